package flow

import "testing"

func TestALineToAllIsEncodedOnce(t *testing.T) {
	// Given an outbox.
	var out Outbox
	// When a line goes to three peers.
	out.LineToAll([]string{"a", "b", "c"}, "k", map[string]int{"x": 1})
	// Then each gets it, and the body is the same memory.
	if len(out.Lines) != 3 {
		t.Fatal(out.Lines)
	}
	for i, to := range []string{"a", "b", "c"} {
		if l := out.Lines[i]; l.To != to || l.Kind != "k" || string(l.Body) != `{"x":1}` || &l.Body[0] != &out.Lines[0].Body[0] {
			t.Errorf("%+v", l)
		}
	}
	// And nothing goes out where nobody is to hear it, or where it can't be encoded.
	out = Outbox{}
	out.LineToAll(nil, "k", 1)
	out.LineToAll([]string{"a", "b"}, "k", func() {})
	if len(out.Lines) != 0 || len(out.Notes) != 1 {
		t.Errorf("%+v", out)
	}
}
