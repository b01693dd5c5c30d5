package serve

import (
	"testing"
	"time"

	"fernlink/api"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Given plans with limits and without, when each comes in force, then its limits
// go out once, and those of a plan that says nothing are the usual.
func TestLimitsOfThePlanInForce(t *testing.T) {
	w := newWorld(t)
	hear := func(version uint64, l *api.Limits) *flow.Limits {
		var out flow.Outbox
		w.s.Bind(w.now, &out)
		w.s.Heard(w.now, ledger.Delta{}, version, &api.Plan{Limits: l})
		return out.Limits
	}
	set := &api.Limits{HeaderBytes: 100, BodyBytes: 2000, HeaderMS: 30, IdleMS: 400}
	if l := hear(3, set); l == nil || *l != (flow.Limits{HeaderBytes: 100, BodyBytes: 2000, Header: 30 * time.Millisecond, Idle: 400 * time.Millisecond}) {
		t.Errorf("%+v", l)
	}
	if l := hear(3, set); l != nil {
		t.Errorf("the same plan again: %+v", l)
	}
	if l := hear(2, &api.Limits{BodyBytes: 1}); l != nil {
		t.Errorf("an older plan: %+v", l)
	}
	if l := hear(4, nil); l == nil || *l != (flow.Limits{}) {
		t.Errorf("a plan that says nothing: %+v", l)
	}
}
