// The coordinator's lease, weight orders, targets and drains (design 8.5).

package ledger

import (
	"encoding/json"

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

func (l *Ledger) putTarget(c Command) Result {
	var t Target
	_ = json.Unmarshal(c.Body, &t)
	old := l.Targets[t.Pool]
	if old != nil && t.Revision < old.Revision {
		return fail(409, "weights only go forward")
	}
	l.target(t.Pool, t.Revision)
	l.Targets[t.Pool].Paused = t.Paused
	return good(l.Targets[t.Pool])
}

func (l *Ledger) putDrain(c Command) Result {
	var d Drain
	_ = json.Unmarshal(c.Body, &d)
	d.Mod = l.Index
	if l.Drains[d.Engine] == nil && len(l.Drains) >= KeepDrains {
		for _, id := range sorted.Keys(l.Drains) {
			if !l.Drains[id].On {
				delete(l.Drains, id)
				break
			}
		}
	}
	if l.Drains[d.Engine] == nil && len(l.Drains) >= KeepDrains {
		return fail(429, "too many drained engines are remembered")
	}
	l.Drains[d.Engine] = &d
	return good(d)
}
