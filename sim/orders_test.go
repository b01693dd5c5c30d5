package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/ledger"
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

// underWay is how many orders callers have open at once.
const underWay = 8

// putAll sends orders through all dispatchers, several at once and in any order,
// each until its answer is clear, and wants them acknowledged.
func (s *story) putAll(orders []order) {
	s.Helper()
	left, open := s.w.Rand.Perm(len(orders)), 0
	var send func(o order)
	send = func(o order) {
		answered := false
		end := func(r flow.Reply) {
			if answered {
				return
			}
			answered = true
			s.then(r.Code == 0 || r.Code == 200 || r.Code/100 == 5, "%s is not refused: %d %s", o.name, r.Code, r.Body)
			if r.Code == 200 {
				open--
				return
			}
			s.w.After(200*time.Millisecond, func() { send(o) })
		}
		s.a.disp().Call(o.call, end)
		s.w.After(3*time.Second, func() { end(flow.Reply{}) })
	}
	s.then(s.w.Until(5*time.Minute, func() bool {
		for ; open < underWay && len(left) > 0; left = left[1:] {
			open++
			send(orders[left[0]])
		}
		return open == 0 && len(left) == 0
	}), "all orders are acknowledged")
}

// ordersStand is what orders change, as a dispatcher reads it.
func (s *story) ordersStand() string {
	s.Helper()
	plan := s.ask(s.disp(0), Call("plan.get", nil, nil))
	var roll struct{ Targets []ledger.Target }
	s.then(jsonInto(s.ask(s.disp(1), Call("roll.get", nil, nil)).Body, &roll) == nil, "the targets are told")
	return fmt.Sprintf("%s %+v", plan.Body, roll.Targets)
}

// Given hundreds of orders of all kinds that were acknowledged, when the leader died
// in between, snapshots were made and all machines lost power, and each order is sent
// again through any node, eight at a time, then each is acknowledged again and nothing
// moves: no plan, no target, no pause, no drain, no lot.
func TestAcknowledgedOrdersAreKnownForLong(t *testing.T) {
	t.Parallel()
	s := given(t, 243)
	trainer := s.outsider("trainer", 1)
	const changes = 150
	var orders []order
	take := func(o order) {
		s.put(s.a.disp(), o)
		orders = append(orders, o)
	}
	for i := 1; i <= changes; i++ {
		take(planOrder(uint64(i+1), uint64(i)))
		take(weightsOrder(ModelPool, i+1))
		if i%3 == 0 {
			engine := s.w.Out.Models()[i%2].Name
			take(pauseOrder(ModelPool, i+1, true, fmt.Sprint("pause-", i)))
			take(pauseOrder(ModelPool, i+1, false, fmt.Sprint("resume-", i)))
			take(drainOrder(engine, true, fmt.Sprint("drain-", i)))
			take(drainOrder(engine, false, fmt.Sprint("undrain-", i)))
			id := fmt.Sprint("lot-", i)
			lot := lotOf(id, trainer.name, 1)
			lot.KeepMS = 1000
			s.then(trainer.tell("lot.put", lot, nil) == 200 && trainer.tell("lot.end", id, nil) == 200, "lot %d is taken and ended", i)
		}
		if i%50 == 0 {
			leader := s.w.Leader()
			leader.Kill()
			s.w.After(3*time.Second, leader.Start)
		}
	}
	s.w.Run(5 * time.Second)
	for _, h := range s.w.Hosts {
		if h.Up {
			h.Lose(false)
			s.w.After(time.Second, h.Start)
		}
	}
	s.w.Run(2 * time.Second)
	s.then(s.w.Until(2*budget.Heal, func() bool { return s.w.Serving() && s.w.Leader() != nil }), "all are back")
	leader := s.stats(s.w.Leader())
	s.then(leader.Snapshot > 0 && leader.Receipts >= len(orders), "there is a snapshot, and %d receipts of %d orders", leader.Receipts, len(orders))
	before := s.ordersStand()
	s.putAll(orders)
	for i := 3; i <= changes; i += 3 {
		id := fmt.Sprint("lot-", i)
		lot := lotOf(id, trainer.name, 1)
		var taken ledger.LotPut
		s.then(trainer.tell("lot.put", lot, &taken) == 200 && !taken.Fresh, "lot %d is known: %+v", i, taken)
		s.then(trainer.tell("lot.end", id, nil) == 200, "and so is its end")
	}
	s.then(s.ordersStand() == before, "nothing moved: %s, then %s", before, s.ordersStand())
	for _, e := range s.engines() {
		s.then(!e.Drained, "%s is not drained by a late repeat", e.ID)
	}
	s.end()
}

// engines are those that a dispatcher knows.
func (s *story) engines() []disp.EngineView {
	s.Helper()
	var x struct{ Engines []disp.EngineView }
	s.then(jsonInto(s.ask(s.disp(0), Call("engine.list", nil, nil)).Body, &x) == nil && len(x.Engines) > 0, "the engines are told")
	return x.Engines
}
