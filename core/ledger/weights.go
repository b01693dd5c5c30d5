// The coordinator's lease, weight orders, targets and drains (design 8.5).

package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/sorted"
)

func (l *Ledger) target(pool string, rev int) {
	t := l.Targets[pool]
	if t == nil {
		t = &Target{Pool: pool}
		l.Targets[pool] = t
	}
	t.Revision, t.Mod = rev, l.Index
}

func (l *Ledger) grantCoord(c Command) Result {
	var g GrantCoord
	_ = json.Unmarshal(c.Body, &g)
	if g.Term != l.Coord.Term {
		return fail(409, "the lease has moved on")
	}
	l.Coord = Coord{Term: g.Term + 1, ID: g.ID, Addr: g.Addr, Mod: l.Index}
	return good(l.Coord)
}

// putOrder is the fence: only the acting coordinator's term passes.
func (l *Ledger) putOrder(c Command) Result {
	var o Order
	_ = json.Unmarshal(c.Body, &o)
	if o.Term != l.Coord.Term {
		return fail(409, "the order's lease has passed")
	}
	if old := l.Orders[o.Engine]; old != nil && old.Inc == o.Inc && old.Revision > o.Revision {
		return fail(409, "the engine was ordered to newer weights")
	}
	o.State, o.Mod = "ordered", l.Index
	l.Orders[o.Engine] = &o
	if len(l.Orders) > KeepOrders {
		l.dropOrder()
	}
	return good(o)
}

// Ordered says whether a weight order stands.
func (l *Ledger) Ordered() bool {
	for _, o := range l.Orders {
		if o.State == "ordered" {
			return true
		}
	}
	return false
}

func (l *Ledger) dropOrder() {
	var old *Order
	for _, o := range l.Orders {
		if o.State != "ordered" && (old == nil || o.Mod < old.Mod) {
			old = o
		}
	}
	if old != nil {
		delete(l.Orders, old.Engine)
	}
}

func (l *Ledger) stateOrder(c Command) Result {
	var o Order
	_ = json.Unmarshal(c.Body, &o)
	old := l.Orders[o.Engine]
	if o.Term != l.Coord.Term || old == nil || old.Inc != o.Inc || old.Revision != o.Revision {
		return fail(409, "not the order that stands")
	}
	old.State, old.Mod = o.State, l.Index
	return good(old)
}

// putTarget names weights for a pool, or pauses a roll-out. A repeat of what was
// acknowledged changes nothing; what was never named and lies below the target is
// refused.
func (l *Ledger) putTarget(c Command) Result {
	var p PutTarget
	_ = json.Unmarshal(c.Body, &p)
	if answer, known := l.recallTarget(p); known {
		return answer
	}
	old := l.Targets[p.Pool]
	if old != nil && p.Revision < old.Revision {
		return fail(409, "weights only go forward")
	}
	if !l.roomForReceipts(c.At, receiptsOf(p.Request)) {
		return fail(503, receiptsFull)
	}
	newer := old == nil || p.Revision > old.Revision
	if newer {
		l.target(p.Pool, p.Revision)
		l.Targets[p.Pool].Paused = false
	}
	if p.Paused != nil && l.Targets[p.Pool].Paused != *p.Paused {
		l.target(p.Pool, p.Revision)
		l.Targets[p.Pool].Paused = *p.Paused
	}
	l.acknowledgeOnce(weightsVersionID(p.Pool, p.Revision), c.At, 0)
	if p.Request != "" {
		l.acknowledge(p.requestID(), c.At, 0)
	}
	return good(l.Targets[p.Pool])
}

// requestID is the order's own name, where its caller gave one.
func (p PutTarget) requestID() orderID {
	request := p.Request
	p.Request = ""
	return requestID(request, p)
}

// recallTarget answers an order on weights that was taken before. One that only
// names a version is known by that; one that pauses or resumes may be given more
// than once, and is known by its request id.
func (l *Ledger) recallTarget(p PutTarget) (Result, bool) {
	known := firstTime
	switch {
	case p.Request != "":
		known, _ = l.recall(p.requestID())
	case p.Paused == nil:
		known, _ = l.recall(weightsVersionID(p.Pool, p.Revision))
	}
	switch known {
	case repeated:
		return good(l.Targets[p.Pool]), true
	case changed:
		return fail(422, requestUsed), true
	}
	return Result{}, false
}

// knownTarget answers a question about an order on weights (KnownOrder).
func (l *Ledger) knownTarget(body json.RawMessage) (Result, bool) {
	var p PutTarget
	_ = json.Unmarshal(body, &p)
	return l.recallTarget(p)
}

// requestUsed answers an order whose request id stands for another one.
const requestUsed = "this request id was used for another order"

// putDrain takes an engine out of placement, or back in. A repeat of what was
// acknowledged changes nothing.
func (l *Ledger) putDrain(c Command) Result {
	var p PutDrain
	_ = json.Unmarshal(c.Body, &p)
	if answer, known := l.recallDrain(p); known {
		return answer
	}
	if !l.roomForReceipts(c.At, 1) {
		return fail(503, receiptsFull)
	}
	if !l.roomForDrain(p.Engine) {
		return fail(429, "too many drained engines are remembered")
	}
	if p.Request != "" {
		l.acknowledge(p.requestID(), c.At, 0)
	}
	drain := Drain{Engine: p.Engine, On: p.On, Mod: l.Index}
	l.Drains[p.Engine] = &drain
	return good(drain)
}

// requestID is the order's own name, where its caller gave one.
func (p PutDrain) requestID() orderID {
	request := p.Request
	p.Request = ""
	return requestID(request, p)
}

// recallDrain answers an order on an engine that was taken before: with what
// stands now, which a later order may have made.
func (l *Ledger) recallDrain(p PutDrain) (Result, bool) {
	if p.Request == "" {
		return Result{}, false
	}
	known, _ := l.recall(p.requestID())
	switch known {
	case repeated:
		if now := l.Drains[p.Engine]; now != nil {
			return good(now), true
		}
		return good(Drain{Engine: p.Engine}), true
	case changed:
		return fail(422, requestUsed), true
	}
	return Result{}, false
}

// knownDrain answers a question about an order on an engine (KnownOrder).
func (l *Ledger) knownDrain(body json.RawMessage) (Result, bool) {
	var p PutDrain
	_ = json.Unmarshal(body, &p)
	return l.recallDrain(p)
}

// roomForDrain says whether an engine's row has room. Engines that are back in
// placement give way.
func (l *Ledger) roomForDrain(engine string) bool {
	if l.Drains[engine] != nil || len(l.Drains) < KeepDrains {
		return true
	}
	for _, id := range sorted.Keys(l.Drains) {
		if !l.Drains[id].On {
			delete(l.Drains, id)
			return true
		}
	}
	return false
}
