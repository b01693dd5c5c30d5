package sim

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// orderClients are operators and trainers who give orders through any node, up
// to eight at once, and send old ones again whatever came of them.
type orderClients struct {
	*story
	store   *outsider
	history []porcupine.Operation
	sent    []sending
	version uint64 // the newest that was seen
	named   uint64 // weights
	count   int
	repeats int
	answers map[outcome]int
	off     bool
}

// sending is an order as it goes out.
type sending struct {
	in   orderIn
	call *flow.Call  // through a dispatcher
	kind ledger.Kind // or to the store itself
	body any
}

// answered is what came back: no code where nothing did.
type answered struct {
	code int
	body json.RawMessage
}

const orderClientsMost = 8

func (s *story) orderClients() *orderClients {
	c := &orderClients{story: s, store: s.outsider("trainer", 1), answers: map[outcome]int{}}
	for range orderClientsMost {
		c.next()
	}
	return c
}

// next lets one client give its next order after a while.
func (c *orderClients) next() {
	c.w.After(c.w.between(20*time.Millisecond, 400*time.Millisecond), func() {
		if !c.off {
			c.send(c.pick())
		}
	})
}

// pick makes a new order or a look, or takes an old order once more.
func (c *orderClients) pick() sending {
	if n := len(c.sent); n > 0 && c.w.Rand.Intn(3) == 0 {
		c.repeats++
		return c.sent[c.w.Rand.Intn(n)]
	}
	c.count++
	makers := []func() sending{c.plan, c.plan, c.weights, c.pause, c.drain, c.lot, c.endLot, c.lookAtPlan, c.lookAtWeights, c.lookAtLot}
	x := makers[c.w.Rand.Intn(len(makers))]()
	if !x.in.look {
		c.sent = append(c.sent, x)
	}
	return x
}

func (c *orderClients) plan() sending {
	version := c.version + 1 + uint64(c.w.Rand.Intn(3))
	content := fmt.Sprint("c", c.count)
	body := map[string]any{"version": version, "read": c.version, "request": fmt.Sprint("v", version, content), "plan": slim(PlanDoc(content))}
	call := Call("plan.put", nil, body)
	return sending{in: orderIn{object: "plan", kind: planKind, name: fmt.Sprint("v", version), content: content, base: c.version, number: version}, call: &call}
}

func (c *orderClients) weights() sending {
	c.named += uint64(c.w.Rand.Intn(3))
	revision := max(c.named, 2)
	call := Call("weights.put", map[string]string{"pool": ModelPool}, map[string]any{"revision": revision})
	return sending{in: orderIn{object: "weights", kind: weightsKind, name: fmt.Sprint("w", revision), number: revision}, call: &call}
}

// pause pauses or resumes under a request id, which at times stands for another
// order already.
func (c *orderClients) pause() sending {
	revision, paused := max(c.named, 2), c.w.Rand.Intn(2) == 0
	request := fmt.Sprint("pause-", c.count-c.w.Rand.Intn(2)*c.w.Rand.Intn(20))
	call := Call("weights.put", map[string]string{"pool": ModelPool}, map[string]any{"revision": revision, "paused": paused, "request": request})
	return sending{in: orderIn{object: "weights", kind: weightsKind, name: request, content: fmt.Sprint(revision, paused), number: revision, flag: paused, flagged: true}, call: &call}
}

func (c *orderClients) drain() sending {
	engine, on := c.w.anyModel().Name, c.w.Rand.Intn(2) == 0
	request := fmt.Sprint("drain-", engine, "-", c.count-c.w.Rand.Intn(2)*c.w.Rand.Intn(20))
	call := Call("engine.drain", map[string]string{"id": engine}, map[string]any{"drained": on, "request": request})
	return sending{in: orderIn{object: engine, kind: drainKind, name: request, content: fmt.Sprint(on), flag: on, flagged: true}, call: &call}
}

// lots is how many lots the clients share.
const lots = 12

func (c *orderClients) lotID() string { return fmt.Sprint("lot-", c.w.Rand.Intn(lots)) }

// lot hands a lot in, at times with other content under its id.
func (c *orderClients) lot() sending {
	id, items := c.lotID(), 1+c.w.Rand.Intn(8)/7
	return sending{in: orderIn{object: id, kind: lotKind, name: id, content: fmt.Sprint(items)}, kind: "lot.put", body: lotOf(id, c.store.name, items)}
}

func (c *orderClients) endLot() sending {
	id := c.lotID()
	return sending{in: orderIn{object: id, kind: lotEndKind, name: "end"}, kind: "lot.end", body: id}
}

func (c *orderClients) lookAtPlan() sending {
	call := Call("plan.get", nil, nil)
	return sending{in: orderIn{object: "plan", look: true, kind: planKind}, call: &call}
}

func (c *orderClients) lookAtWeights() sending {
	call := Call("roll.get", nil, nil)
	return sending{in: orderIn{object: "weights", look: true, kind: weightsKind}, call: &call}
}

func (c *orderClients) lookAtLot() sending {
	id := c.lotID()
	return sending{in: orderIn{object: id, look: true, kind: lotKind}, kind: "lot.read", body: ledger.ReadLot{Lot: id}}
}

// send gives an order out and notes what comes of it. A client goes on after
// three seconds of silence.
func (c *orderClients) send(x sending) {
	from, done := c.w.Now, false
	end := func(a answered) {
		if !done {
			done = true
			c.note(x.in, from, a)
			c.next()
		}
	}
	c.w.After(3*time.Second, func() { end(answered{}) })
	if x.call != nil {
		c.a.disp().Call(*x.call, func(r flow.Reply) { end(answered{r.Code, r.Body}) })
		return
	}
	c.store.asker.Put(c.w.Now, budget.AskTimeout, x.kind, x.body, func(_ flow.Time, a ask.Answer) { end(answered{int(a.Code), a.Body}) })
}

// note adds one sending to the history.
func (c *orderClients) note(in orderIn, from time.Duration, a answered) {
	out, until := orderOut{outcome: unclear}, int64(c.w.Now)
	switch {
	case in.look && (a.code == 200 || a.code == 404):
		out = orderOut{outcome: acknowledged, seen: *c.seen(in, a)}
	case a.code == 200:
		out.outcome = acknowledged
		// A node may have asked twice: its answer tells what stood then, which may
		// be later than the order itself.
		if seen := c.seen(in, a); seen != nil {
			c.add(orderIn{object: in.object, look: true, kind: in.kind}, from, orderOut{outcome: acknowledged, seen: *seen}, until)
		}
	case a.code/100 == 4 && a.code != 429 && a.code != 408:
		out.outcome, out.gone = refused, a.code == 404
	case in.look:
		return
	default:
		until = math.MaxInt64
	}
	c.answers[out.outcome]++
	c.add(in, from, out, until)
}

// seen reads what an answer says of the object, nil where it says nothing.
func (c *orderClients) seen(in orderIn, a answered) *standing {
	var x struct {
		Version  uint64
		Request  string
		Revision uint64
		Paused   bool
		Drained  bool
		Ended    bool
		Targets  []ledger.Target
	}
	_ = json.Unmarshal(a.body, &x)
	c.version = max(c.version, x.Version)
	switch {
	case in.kind == planKind && in.look:
		return &standing{exists: x.Version > 0, number: x.Version, name: x.Request}
	case in.kind == planKind:
		c.then(x.Version == in.number, "plan %d is acknowledged under its own version: %s", in.number, a.body)
	case in.kind == weightsKind && in.look:
		if len(x.Targets) == 0 {
			return &standing{}
		}
		return &standing{number: uint64(x.Targets[0].Revision), flag: x.Targets[0].Paused}
	case in.kind == weightsKind:
		return &standing{number: x.Revision, flag: x.Paused}
	case in.kind == drainKind:
		return &standing{flag: x.Drained}
	case in.look:
		return &standing{exists: a.code == 200, flag: x.Ended}
	}
	return nil
}

// ownOrders are faults that give orders of their own, unknown to the history.
var ownOrders = []string{"operator-drain", "pause-roll-out"}

// stormOfOrders plays a fleet under faults while clients give orders.
func stormOfOrders(t *testing.T, seed int64, faults int) *orderClients {
	w := Build(seed, Small)
	s := &story{t, w, NewActors(w)}
	s.then(w.Until(2*budget.Heal, func() bool { return w.Serving() && w.Acting() != nil }), "the fleet forms")
	c := s.orderClients()
	w.Run(3 * time.Second)
	for done := 0; done < faults; {
		fault := Faults[w.Rand.Intn(len(Faults))]
		if slices.Contains(ownOrders, fault.kind) {
			continue
		}
		done++
		fault.do(w)
		w.Run(w.between(200*time.Millisecond, 3*time.Second))
	}
	w.Run(5 * time.Second)
	c.off = true
	w.Run(4 * time.Second)
	return c
}

// Given storms of faults, when eight clients at once give orders on plans, weights,
// pauses, drains, lots and ends of lots through any nodes, send old ones again and
// use names twice, then all that they saw fits one order of events, in which what
// was acknowledged is known and a repeat changes nothing.
func TestOrdersAreLinearizable(t *testing.T) {
	t.Parallel()
	orders, repeats, answers := 0, 0, map[outcome]int{}
	for seed := int64(320); seed < 326; seed++ {
		c := stormOfOrders(t, seed, 8)
		orders, repeats = orders+len(c.history), repeats+c.repeats
		for kind, n := range c.answers {
			answers[kind] += n
		}
		if r := checkOrders(c.history); r != porcupine.Ok {
			t.Errorf("seed %d: %s, %d operations, faults %q", seed, r, len(c.history), c.w.Marks)
		}
	}
	t.Logf("%d operations, %d of them repeats: %v", orders, repeats, answers)
	if orders < 1000 || repeats < 300 || answers[refused] < 50 || answers[unclear] < 20 {
		t.Errorf("too little was tried: %d operations, %d repeats, %v", orders, repeats, answers)
	}
}

// lateOrder is an order or a look after all others.
func (c *orderClients) lateOrder(after int64, in orderIn, out orderOut) porcupine.Operation {
	call := int64(c.w.Now) + 2*after
	return porcupine.Operation{ClientId: len(c.history), Input: in, Call: call, Output: out, Return: call + 1}
}

// find gives the first sending of a kind that had an outcome, a look or not.
func (c *orderClients) find(kind orderKind, look bool, wanted outcome) porcupine.Operation {
	for _, op := range c.history {
		if in := op.Input.(orderIn); in.kind == kind && in.look == look && op.Output.(orderOut).outcome == wanted {
			return op
		}
	}
	c.T.Fatalf("no sending of kind %d (look %v) was %s", kind, look, wanted)
	return porcupine.Operation{}
}

// Given a true history of orders, when one thing in it is spoilt, then the checker
// objects: one that can't object proves nothing.
func TestOrderCheckerObjects(t *testing.T) {
	t.Parallel()
	c := stormOfOrders(t, 320, 2)
	if r := checkOrders(c.history); r != porcupine.Ok {
		t.Fatalf("the true history: %s", r)
	}
	late := func(in orderIn, out orderOut) porcupine.Operation { return c.lateOrder(1, in, out) }
	acked := func(kind orderKind) orderIn { return c.find(kind, false, acknowledged).Input.(orderIn) }
	other := func(in orderIn) orderIn { in.content += "-other"; return in }
	seeing := func(op porcupine.Operation, seen standing) porcupine.Operation {
		op.Output = orderOut{outcome: acknowledged, seen: seen}
		return op
	}
	for name, op := range map[string]porcupine.Operation{
		"an old plan is refused when it is sent again": late(acked(planKind), orderOut{outcome: refused}),
		"old weights are refused":                      late(acked(weightsKind), orderOut{outcome: refused}),
		"an old drain is refused":                      late(acked(drainKind), orderOut{outcome: refused}),
		"an old lot is refused":                        late(acked(lotKind), orderOut{outcome: refused}),
		"a number that another plan won is confirmed":  late(other(acked(planKind)), orderOut{outcome: acknowledged}),
		"a lot's id is confirmed for another lot":      late(other(acked(lotKind)), orderOut{outcome: acknowledged}),
		"a look sees a plan that never was":            late(orderIn{object: "plan", look: true}, orderOut{outcome: acknowledged, seen: standing{true, 9999, "never", false}}),
		"a late repeat moved the weights back":         late(orderIn{object: "weights", look: true}, orderOut{outcome: acknowledged, seen: standing{number: 1}}),
		"two looks at one time see different plans":    seeing(c.find(planKind, true, acknowledged), standing{true, 9999, "never", false}),
		"two looks at one time see different weights":  seeing(c.find(weightsKind, true, acknowledged), standing{number: 9999}),
	} {
		if r := checkOrders(append(slices.Clone(c.history), op)); r != porcupine.Illegal {
			t.Errorf("%s: %s", name, r)
		}
	}
}

// lastPlan is the newest version of a plan that was seen or acknowledged.
func (c *orderClients) lastPlan() uint64 {
	last := uint64(0)
	for _, op := range c.history {
		in, out := op.Input.(orderIn), op.Output.(orderOut)
		if in.object != "plan" || out.outcome != acknowledged {
			continue
		}
		last = max(last, in.number, out.seen.number)
	}
	return last
}

// Given a true history, when a plan is sent that nobody answers, then a look may see
// it; but not where the plan is refused afterwards, and not as another plan.
func TestOrderCheckerOnUnansweredOrders(t *testing.T) {
	t.Parallel()
	c := stormOfOrders(t, 320, 2)
	last := c.lastPlan()
	next := last + 1
	plan := orderIn{object: "plan", kind: planKind, name: fmt.Sprint("v", next), content: "unanswered", base: last, number: next}
	sent := c.lateOrder(1, plan, orderOut{outcome: unclear})
	sent.Return = math.MaxInt64
	look := func(name string) porcupine.Operation {
		return c.lateOrder(2, orderIn{object: "plan", look: true}, orderOut{outcome: acknowledged, seen: standing{exists: true, number: next, name: name}})
	}
	refusal := c.lateOrder(3, plan, orderOut{outcome: refused})
	for _, x := range []struct {
		name string
		more []porcupine.Operation
		want porcupine.CheckResult
	}{
		{"it is seen", []porcupine.Operation{sent, look(plan.name + plan.content)}, porcupine.Ok},
		{"it is not seen", []porcupine.Operation{sent}, porcupine.Ok},
		{"it is seen and then refused", []porcupine.Operation{sent, look(plan.name + plan.content), refusal}, porcupine.Illegal},
		{"another one is seen", []porcupine.Operation{sent, look("other")}, porcupine.Illegal},
		{"it is seen and was never sent", []porcupine.Operation{look(plan.name + plan.content)}, porcupine.Illegal},
	} {
		if r := checkOrders(append(slices.Clone(c.history), x.more...)); r != x.want {
			t.Errorf("%s: %s, want %s", x.name, r, x.want)
		}
	}
}

func (c *orderClients) add(in orderIn, from time.Duration, out orderOut, until int64) {
	c.history = append(c.history, porcupine.Operation{ClientId: len(c.history), Input: in, Call: int64(from), Output: out, Return: until})
}
