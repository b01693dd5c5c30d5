// The coordinator's lease, weight orders, targets and drains (design 8.5).

package ledger

import "fernlink/core/sorted"

func (l *Ledger) target(pool string, rev int) {
	t := l.Targets[pool]
	if t == nil {
		t = &Target{Pool: pool}
		l.Targets[pool] = t
	}
	t.Revision, t.Mod = rev, l.Index
}

// GrantCoord moves the coordinator's lease, if Term is still the one that was read
// (design 9.2). grantCoord applies it; TestOldTermOrdersNothing.
type GrantCoord struct {
	Term uint64 `json:"term"`
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Kind names the command.
func (GrantCoord) Kind() Kind { return KindCoordGrant }

func (l *Ledger) grantCoord(g GrantCoord, _ Command) Result {
	if g.Term != l.Coord.Term {
		return leaseMoved.Result()
	}
	l.Coord = Coord{Term: g.Term + 1, ID: g.ID, Addr: g.Addr, Mod: l.Index}
	return good(l.Coord)
}

// PutOrder orders an engine to change weights (design 8.5). putOrder applies it;
// TestOldTermOrdersNothing.
type PutOrder Order

// Kind names the command.
func (PutOrder) Kind() Kind { return KindOrderPut }

// putOrder is the fence: only the acting coordinator's term passes.
func (l *Ledger) putOrder(put PutOrder, _ Command) Result {
	o := Order(put)
	if o.Term != l.Coord.Term {
		return orderLeasePassed.Result()
	}
	if old := l.Orders[o.Engine]; old != nil && old.Inc == o.Inc && old.Revision > o.Revision {
		return orderOvertaken.Result()
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

// StateOrder says what became of an order (design 8.5). stateOrder applies it;
// TestCommandsOfAnEarlierBuild.
type StateOrder Order

// Kind names the command.
func (StateOrder) Kind() Kind { return KindOrderState }

func (l *Ledger) stateOrder(o StateOrder, _ Command) Result {
	old := l.Orders[o.Engine]
	if o.Term != l.Coord.Term || old == nil || old.Inc != o.Inc || old.Revision != o.Revision {
		return otherOrder.Result()
	}
	old.State, old.Mod = o.State, l.Index
	return good(old)
}

// PutTarget names weights for a pool (design 8.5). Where Paused is set it also
// pauses or resumes the roll-out, and Request tells it from the next order of the
// same content. putTarget applies it; TestNamedWeightsAreKnownAgain,
// TestLatePauseChangesNothing.
type PutTarget struct {
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	Paused   *bool  `json:"paused,omitempty"`
	Request  string `json:"request,omitempty"`
}

// Kind names the command.
func (PutTarget) Kind() Kind { return KindTargetPut }

// putTarget names weights for a pool, or pauses a roll-out. A repeat of what was
// acknowledged changes nothing; what was never named and lies below the target is
// refused.
func (l *Ledger) putTarget(p PutTarget, c Command) Result {
	if answer, known := l.recallTarget(p); known {
		return answer
	}
	old := l.Targets[p.Pool]
	if old != nil && p.Revision < old.Revision {
		return weightsBackward.Result()
	}
	if !l.roomForReceipts(c.At, receiptsOf(p.Request)) {
		return receiptsFull.Result()
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
		return requestUsed.Result(), true
	}
	return Result{}, false
}

// PutDrain takes an engine out of placement or back in (design 8.5). Request tells
// it from the next order of the same content. putDrain applies it;
// TestLateDrainChangesNothing.
type PutDrain struct {
	Engine  string `json:"engine"`
	On      bool   `json:"drained"`
	Request string `json:"request,omitempty"`
}

// Kind names the command.
func (PutDrain) Kind() Kind { return KindDrainPut }

// putDrain takes an engine out of placement, or back in. A repeat of what was
// acknowledged changes nothing.
func (l *Ledger) putDrain(p PutDrain, c Command) Result {
	if answer, known := l.recallDrain(p); known {
		return answer
	}
	if !l.roomForReceipts(c.At, 1) {
		return receiptsFull.Result()
	}
	if !l.roomForDrain(p.Engine) {
		return drainsFull.Result()
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
		return requestUsed.Result(), true
	}
	return Result{}, false
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
