package timeline

import (
	"bytes"
	"strings"
	"testing"
)

const bench = `built in 1.7 s; 3 lines in 1 file
  -9.5 edge-b-1 ts=2026-06-21T05:08:48.5Z level=info part=daemon msg=started addr=10.2.0.24:7660
   0.0661 edge-b-1 ts=2026-06-21T05:08:58.0661Z level=debug part=requests msg=accepted request=q1 call=11 route=r
   0.0700 edge-b-1 ts=2026-06-21T05:08:58.07Z level=debug part=requests msg=sent request=q1 call=11 engine=e1 try=1
   0.0900 edge-b-1 ts=2026-06-21T05:08:58.09Z level=debug part=requests msg=answered request=q1 call=11 engine=e1 code=200 failure=
   0.0900 edge-b-1 ts=2026-06-21T05:08:58.09Z level=debug part=requests msg=passed request=q1 call=11 code=200
   0.0100 edge-a-1 ts=2026-06-21T05:08:58.01Z level=debug part=requests msg=refused request=q2 call=1 why="too much at once"

what happened = 3
`

func read(t *testing.T, filter Filter, logs ...string) (*Log, string, bool) {
	t.Helper()
	var l Log
	for i, x := range logs {
		if err := l.Read(strings.NewReader(x), string(rune('a'+i)), filter); err != nil {
			t.Fatal(err)
		}
	}
	var b bytes.Buffer
	ok := l.Write(&b, filter)
	return &l, b.String(), ok
}

// Given the bench's log, when nothing is named, then events are counted with
// their reasons and stages timed, and what is no log line is only counted.
func TestSummary(t *testing.T) {
	l, text, ok := read(t, Filter{}, bench)
	if !ok || l.Skipped != 2 || len(l.Events) != 6 {
		t.Errorf("%d events, %d skipped", len(l.Events), l.Skipped)
	}
	for _, want := range []string{"2 nodes, from -9.5000 to 0.0900 (9.590 s)", "refused   too much at once",
		"request: accepted to its end  1      0     23.9ms", "q1 e1  edge-b-1"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}

// Given a name, when it is asked for, then only its lines come, in the order of
// their times, with the time since the first and the last.
func TestByName(t *testing.T) {
	for _, x := range []struct {
		f    Filter
		want []string
	}{
		{Filter{Request: "q1"}, []string{"0.0661  0.0ms   0.0ms       edge-b-1  requests  accepted  call=11 route=r", "0.0700  3.9ms   3.9ms       edge-b-1  requests  sent  call=11 engine=e1 try=1",
			"answered  call=11 engine=e1 code=200\n", "passed  call=11 code=200\n"}},
		{Filter{Engine: "e1"}, []string{"sent  request=q1", "answered  request=q1"}},
		{Filter{Node: "edge-a-1"}, []string{`refused  request=q2 call=1 why="too much at once"`}},
	} {
		_, text, ok := read(t, x.f, bench)
		at := 0
		for _, w := range x.want {
			n := strings.Index(text[at:], w)
			if n < 0 {
				t.Errorf("%+v: no %q in order in\n%s", x.f, w, text)
				break
			}
			at += n
		}
		if !ok || strings.Count(text, "\n") != len(x.want)+1 {
			t.Errorf("%+v: too much\n%s", x.f, text)
		}
	}
	if _, text, ok := read(t, Filter{Lot: "none"}, bench); ok || !strings.Contains(text, "nothing of it in 8 lines") {
		t.Errorf("nothing: %v %q", ok, text)
	}
}

// Given logs of two nodes without prefixes, when they are read together, then
// their own time stamps order them and the files name the nodes.
func TestSeveralNodes(t *testing.T) {
	one := "ts=2026-06-21T05:08:58.100Z level=debug part=lots msg=adopted lot=l left=2\nts=2026-06-21T05:08:58.300Z level=debug part=lots msg=listed lot=l item=i\n"
	two := "ts=2026-06-21T05:08:58.200Z level=debug part=lots msg=\"let go\" lot=l left=2\n"
	_, text, _ := read(t, Filter{Lot: "l"}, one, two)
	lines := strings.Split(text, "\n")
	for i, want := range []string{"TIME", "2026-06-21T05:08:58.100Z  0.0ms    0.0ms       a     lots  adopted  left=2",
		"2026-06-21T05:08:58.200Z  100.0ms  100.0ms     b     lots  let go  left=2", "2026-06-21T05:08:58.300Z  200.0ms  100.0ms     a     lots  listed  item=i"} {
		if !strings.HasPrefix(lines[i], want) {
			t.Errorf("line %d is %q, want %q", i, lines[i], want)
		}
	}
	if _, text, _ := read(t, Filter{Lot: "l"}, one, "  1.5 n "+two); !strings.Contains(text, "order is not known") {
		t.Errorf("two clocks are mixed in silence:\n%s", text)
	}
}

// Given any bytes, when they are read, then nothing crashes and lines are told
// apart from what is none.
func FuzzRead(f *testing.F) {
	f.Add([]byte(bench))
	f.Add([]byte("a=\"\n\"b=\x00 =\n1 2 3 ts=x msg=y"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var l Log
		if err := l.Read(bytes.NewReader(b), "n", Filter{}); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		l.Write(&out, Filter{})
		if l.Skipped+len(l.Events) != l.Lines {
			t.Errorf("%d lines, %d skipped, %d events", l.Lines, l.Skipped, len(l.Events))
		}
	})
}
