package policy

import (
	"fmt"
	"testing"

	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/index/view"
	"fernlink/core/ledger"
)

func fleetOf(n, rev int) *view.Views {
	v := view.New()
	for i := 0; i < n; i++ {
		id := fmt.Sprint("e", i)
		v.Registry[id] = &view.Row{ID: id, Inc: "1", Seat: disp.Seat{Kind: "model", Pool: "p", Ready: true}, Load: dialect.Load{Revision: rev, Blocks: 4}}
	}
	return v
}

// Given engines that an open step can use, when new weights are named, then a
// share keeps serving; those that nobody can use all go at once.
func TestRollKeepsAShare(t *testing.T) {
	fleet := Fleet{Targets: map[string]ledger.Target{"p": {Pool: "p", Revision: 2}}, Orders: map[string]ledger.Order{}, Keep: map[string]float64{"p": 0.5}}
	fleet.Steps = []ledger.StepDoc{{Pool: "p", Revision: 2, Lag: 1}}
	if a := Roll(0, fleetOf(10, 1), fleet); len(a) != 5 {
		t.Errorf("useful engines: %d ordered", len(a))
	}
	fleet.Orders["e0"] = ledger.Order{Engine: "e0", Inc: "1", State: "ordered"}
	fleet.Orders["e1"] = ledger.Order{Engine: "e1", Inc: "0", State: "ordered"} // of a start that is over
	if a := Roll(0, fleetOf(10, 1), fleet); len(a) != 4 {
		t.Errorf("with one under way: %d ordered", len(a))
	}
	fleet.Steps = []ledger.StepDoc{{Pool: "p", Revision: 2}}
	fleet.Orders = map[string]ledger.Order{}
	if a := Roll(0, fleetOf(10, 1), fleet); len(a) != 10 {
		t.Errorf("engines of no use: %d ordered", len(a))
	}
	fleet.Targets["p"] = ledger.Target{Pool: "p", Revision: 2, Paused: true}
	if a := Roll(0, fleetOf(10, 1), fleet); len(a) != 0 {
		t.Errorf("paused: %d ordered", len(a))
	}
}

// Given more blocks than an engine can hold, when the estimate runs, then the
// least used go, and pinned ones never do.
func TestEvictKeepsPins(t *testing.T) {
	v := fleetOf(1, 1)
	v.Directory["e0"] = map[string]*view.Block{}
	for i := 0; i < 7; i++ {
		v.Directory["e0"][fmt.Sprint("b", i)] = &view.Block{Last: uint64(i)}
	}
	a := Evict(0, v, Fleet{Pins: map[string]bool{"b0": true}})
	if len(a) != 1 || fmt.Sprint(a[0].Blocks) != "[b1 b2 b3]" {
		t.Errorf("forgotten: %v", a)
	}
}
