package node

import (
	"testing"

	"fernlink/core/flow"
	"fernlink/core/invariant"
)

// Given a node that finds a promise broken, when it takes its next turn, then the log
// says which and what traces it, once, and the metrics count it.
func TestAViolationIsLoggedAndCounted(t *testing.T) {
	n, step := one(t)
	n.p.Invariants = invariant.NewMonitor()
	n.p.Invariants.Violated(invariant.VoteChanged, "term", 7)
	out := step([]flow.Event{{Call: &flow.Call{ID: 3, Name: "metrics"}}})
	logged := 0
	for _, note := range out.Notes {
		if note.Text == invariant.Text && note.Level == flow.Error && note.Args[1] == invariant.VoteChanged && note.Args[3] == 7 {
			logged++
		}
	}
	if logged != 1 {
		t.Errorf("logged %d times: %+v", logged, out.Notes)
	}
	family := parsed(t, out.Replies[0].Body)["fernlink_invariant_violations_total"]
	if len(family.GetMetric()) != len(invariant.Names) {
		t.Fatalf("%v", family)
	}
	for _, metric := range family.GetMetric() {
		want := map[string]float64{string(invariant.VoteChanged): 1}[metric.GetLabel()[0].GetValue()]
		if metric.GetCounter().GetValue() != want {
			t.Errorf("%v", metric)
		}
	}
	if out := step(nil); len(out.Notes) != 0 {
		t.Errorf("logged again: %+v", out.Notes)
	}
}
