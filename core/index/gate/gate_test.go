package gate

import (
	"testing"

	"fernlink/core/disp"
)

func batch(inc, writer string, seq uint64, full bool) disp.Batch {
	return disp.Batch{Engine: "e", Inc: inc, Writer: writer, Seq: seq, Full: full}
}

// Given streams of two writers, when batches come again, late, with gaps and
// from starts that are over, then each is judged by its own stream's number.
func TestGate(t *testing.T) {
	gate := New()
	steps := []struct {
		b     disp.Batch
		want  string
		stale bool
	}{
		{batch("1", "a", 1, false), Admit, false},
		{batch("1", "a", 1, false), Old, false},
		{batch("1", "b", 1, false), Admit, false},
		{batch("1", "a", 3, false), Gap, true},
		{batch("1", "a", 2, false), Old, true}, // too late: it was counted as lost
		{batch("1", "b", 2, false), Admit, false},
		{batch("1", "a", 4, false), Admit, true}, // still stale until sent whole
		{batch("1", "a", 9, true), Admit, false},
		{batch("2", "b", 1, false), Fresh, false},
		{batch("1", "a", 10, false), Past, false}, // a late word of the old start
		{batch("2", "a", 1, false), Admit, false},
		{batch("3", "a", 5, false), Fresh, true}, // a writer that was heard of late
		{batch("2", "b", 2, false), Past, false},
	}
	for i, s := range steps {
		if got := gate.Check(s.b); got != s.want {
			t.Errorf("step %d: %s, not %s", i, got, s.want)
		}
		if got := gate.Stale(s.b); got != s.stale {
			t.Errorf("step %d: stale %v", i, got)
		}
	}
	if gate.Counts[Old] != 2 || gate.Counts[Past] != 2 || gate.Counts[Gap] != 1 {
		t.Errorf("counts: %v", gate.Counts)
	}
}
