package node

import (
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

func TestANodeWithoutWorkRests(t *testing.T) {
	// Given a node that only gossips.
	n, err := New(time.Hour, Config{ID: "r", Addr: "r:1", Roles: []string{"reserve"}})
	if err != nil {
		t.Fatal(err)
	}
	n.Advance(time.Hour, 0, nil)
	// Then it rests for several ticks, and much shorter than a renewal or gossip takes.
	if p := n.Pause(); p <= budget.TickInterval || p > budget.RenewInterval/5 {
		t.Errorf("rests for %v", p)
	}
	// And when it is to stop, it looks at its deadlines in each tick.
	n.Advance(time.Hour, 0, []flow.Event{{Stop: true}})
	if p := n.Pause(); p != budget.TickInterval {
		t.Errorf("rests for %v while it stops", p)
	}
}

func TestADispatcherWithoutALeaseDoesNotRest(t *testing.T) {
	// Given a dispatcher that has no lease yet.
	n, err := New(time.Hour, Config{ID: "d", Addr: "d:1", Roles: []string{"dispatcher"}})
	if err != nil {
		t.Fatal(err)
	}
	n.Advance(time.Hour, 0, nil)
	// Then it looks at its deadlines in each tick.
	if p := n.Pause(); p != budget.TickInterval {
		t.Errorf("rests for %v", p)
	}
}
