package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
)

// order is an operator's or a trainer's order as it was first sent.
type order struct {
	name string
	call flow.Call
}

// put gives an order to a dispatcher until the answer is clear, and wants it
// acknowledged.
func (s *story) put(h *Host, o order) {
	s.Helper()
	limit := s.w.Now + budget.Heal
	for {
		r, answered := s.w.Ask(h, o.call, 6*time.Second)
		if answered && r.Code == 200 {
			return
		}
		s.then(!answered || r.Code/100 == 5, "%s is not refused by %s: %d %s", o.name, h.Name, r.Code, r.Body)
		s.then(s.w.Now < limit, "%s is acknowledged by %s in time: %d %s", o.name, h.Name, r.Code, r.Body)
		s.w.Run(200 * time.Millisecond)
	}
}

func weightsOrder(pool string, revision int) order {
	return order{fmt.Sprintf("weights %s %d", pool, revision), Call("weights.put", map[string]string{"pool": pool}, map[string]any{"revision": revision})}
}

func pauseOrder(pool string, revision int, paused bool, request string) order {
	return order{"pause " + request, Call("weights.put", map[string]string{"pool": pool}, map[string]any{"revision": revision, "paused": paused, "request": request})}
}

func drainOrder(engine string, drained bool, request string) order {
	return order{"drain " + request, Call("engine.drain", map[string]string{"id": engine}, map[string]any{"drained": drained, "request": request})}
}

// planOrder is a plan that carries its own version, as the platform's do.
func planOrder(version, read uint64) order {
	body := map[string]any{"version": version, "read": read, "request": fmt.Sprint("v", version), "plan": slim(PlanDoc(fmt.Sprint("v", version)))}
	return order{fmt.Sprint("plan ", version), Call("plan.put", nil, body)}
}

// Given orders that a dispatcher itself would refuse by now, when they were
// acknowledged and are sent again, then they are acknowledged again; one that never
// was is still refused.
func TestRepeatsAreNotRefusedBeforehand(t *testing.T) {
	t.Parallel()
	s := given(t, 241)
	models := s.w.Out.Models()
	drain, weights := drainOrder(models[0].Name, true, "drain-first"), weightsOrder(ModelPool, 3)
	s.put(s.disp(0), drain)
	s.put(s.disp(0), weights)
	step := doc(s.a, "step-first", 3, 1, 8)
	s.put(s.disp(0), order{"step", Call("step.open", nil, step)})
	for _, m := range models[1:] {
		s.w.setState(m.Name, "draining")
	}
	s.w.Run(budget.Engine)
	r := s.ask(s.disp(1), drainOrder(models[0].Name, true, "drain-anew").call)
	s.then(r.Code == 409, "no ready engine would be left: %d %s", r.Code, r.Body)
	s.put(s.disp(1), drain)
	s.w.Out.Relist(func(l *dialect.Listed) bool { return l.ID != models[0].Name })
	s.w.Run(2 * budget.Engine)
	r = s.ask(s.disp(0), drainOrder(models[0].Name, true, "drain-anew").call)
	s.then(r.Code == 404, "the engine is gone: %d %s", r.Code, r.Body)
	s.put(s.disp(0), drain)
	plan := PlanDoc("without-models")
	plan.Pools = plan.Pools[1:]
	s.put(s.disp(0), order{"plan", Call("plan.put", nil, map[string]any{"read": 1, "request": "without-models", "plan": slim(plan)})})
	s.w.Run(budget.Plan)
	r = s.ask(s.disp(1), weightsOrder(ModelPool, 4).call)
	s.then(r.Code == 404, "weights of a pool that is not there are refused: %d %s", r.Code, r.Body)
	s.put(s.disp(1), weights)
	r = s.ask(s.disp(1), Call("step.open", nil, doc(s.a, "step-anew", 3, 1, 8)))
	s.then(r.Code == 422, "a step of a pool that is not there is refused: %d %s", r.Code, r.Body)
	s.put(s.disp(1), order{"step", Call("step.open", nil, step)})
	s.end()
}

// Given a store that was taken in and taken out for good, when its taking in comes
// once more, late, then it stays out.
func TestLateStoreAddChangesNothing(t *testing.T) {
	t.Parallel()
	s := given(t, 242)
	spare := s.fresh("spare", 1, "b")
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "the spare is a learner")
	add := order{"store add", Call("store.add", nil, map[string]any{"addr": spare.Config.Addr})}
	s.put(s.disp(0), add)
	s.put(s.disp(0), order{"store remove", Call("store.remove", map[string]string{"id": spare.ID()}, nil)})
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 3 }), "the spare is out")
	r := s.ask(s.disp(1), add.call)
	s.then(r.Code == 200 && strings.Contains(string(r.Body), "removed"), "its taking in is acknowledged as over: %d %s", r.Code, r.Body)
	s.w.Run(5 * time.Second)
	s.then(len(s.members()) == 3, "it stays out: %v", s.members())
	s.end()
}
