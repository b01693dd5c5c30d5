package lots

import (
	"slices"

	"fernlink/core/serve/engines"
	"fernlink/core/serve/policy"
	"fernlink/core/serve/route"
	"fernlink/core/sorted"
)

func sortedIDs(m map[string]*lot) []string { return sorted.Keys(m) }

// free is how many more requests an engine is to run at once.
func (t *Table) free(r *route.Route, e *engines.Engine) int {
	return t.slots(r, e.Slots) - t.engines.Busy(e)
}

// fits says whether an engine may make a text that is going on from one.
func (t *Table) fits(l *lot, e *engines.Engine, from text) bool {
	if !t.engines.Usable(e) || t.env.Now < e.Changing[l.doc.Model] {
		return false
	}
	v := e.Held[l.doc.Model]
	if v > 0 && v < l.doc.Least {
		return false
	}
	return !l.doc.Single || from.last < 0 || v == 0 || v == from.made()
}

// place gives free slots to held items: lots by when they are due, groups in
// the lot's order, so that whole groups come first (design 12.5).
func (t *Table) place() {
	if t.leaving || !t.env.Fresh() {
		return
	}
	lots := t.ordered()
	t.spread(lots)
	for _, l := range lots {
		r := t.pool(l)
		if r == nil || l.unmade == 0 {
			continue
		}
		t.placeLot(l, r)
	}
	t.share = nil // second runs may have any free slot
}

func (t *Table) placeLot(l *lot, r *route.Route) {
	if !l.advised {
		t.advise(l)
	}
	for _, g := range l.groups {
		if g.left == 0 {
			continue
		}
		for _, i := range g.items {
			if !i.toPlace(t.env.Now) {
				continue
			}
			from, not := i.longest(), i.engines()
			e := t.seat(l, g, r, from, not)
			if e == nil && from.last >= 0 && l.doc.Single && !t.can(l, r, from) {
				from, i.kept = text{last: -1}, text{last: -1} // no engine has the weights that made it
				e = t.seat(l, g, r, from, not)
			}
			if e == nil {
				if t.room(l, r) == 0 {
					return
				}
				continue
			}
			if len(i.runs) >= runsMost {
				t.env.Counts["runs_silent"]++
				t.give(i.runs[0])
			}
			t.start(i, e, from)
			if g.home == nil || from.last < 0 {
				g.home = e
			}
		}
	}
}

// engines are those that an item runs at.
func (i *item) engines() []*engines.Engine {
	var out []*engines.Engine
	for _, r := range i.runs {
		out = append(out, r.engine)
	}
	return out
}

// can says whether any engine could go on from a text, now or soon.
func (t *Table) can(l *lot, r *route.Route, from text) bool {
	for _, e := range t.pools(r) {
		if !e.Gone && !e.Draining && e.Held[l.doc.Model] == from.made() {
			return true
		}
	}
	return false
}

// pools gives the engines that may serve a route.
func (t *Table) pools(r *route.Route) []*engines.Engine {
	if len(r.Split) == 0 {
		return t.engines.Pool(r.Pool)
	}
	var out []*engines.Engine
	for _, s := range r.Split {
		if s.Share > 0 {
			out = append(out, t.engines.Pool(s.Pool)...)
		}
	}
	return out
}

// room counts the free slots of a route's engines.
func (t *Table) room(l *lot, r *route.Route) int {
	n := 0
	for _, e := range t.pools(r) {
		if t.fits(l, e, text{last: -1}) {
			n += max(0, t.free(r, e))
		}
	}
	return n
}

// seat picks the engine for an item: the one that read its group's prompt while
// it has room, else the one with the most room for its pace.
func (t *Table) seat(l *lot, g *group, r *route.Route, from text, not []*engines.Engine) *engines.Engine {
	if h := g.home; h != nil && t.env.Policies.On(policy.GroupAffinity) && r.Uses(h.Pool) && !slices.Contains(not, h) && t.fits(l, h, from) && t.free(r, h) > 0 && h.Sound() {
		return h
	}
	var best *engines.Engine
	var most float64
	for _, e := range t.pools(r) {
		n := t.free(r, e)
		if n <= 0 || slices.Contains(not, e) || !t.fits(l, e, from) {
			continue
		}
		s := float64(n) / float64(max(e.Slots, 1)) / max(e.Pace, 1)
		if !e.Sound() {
			s /= 8
		}
		if t.engines.Idle(e) > 0 {
			s /= engines.IdleFactor
		}
		if best == nil || s > most {
			best, most = e, s
		}
	}
	return best
}

// second starts another run of items that hang or lag behind, where slots are
// free: the first whole text wins (design 12.5).
func (t *Table) second() {
	if t.leaving || !t.env.Fresh() || !t.env.Policies.On(policy.SecondRuns) {
		return
	}
	now := t.env.Now
	for _, l := range t.ordered() {
		r := t.pool(l)
		if r == nil {
			continue
		}
		usual := t.usual(r)
		for _, i := range l.items {
			if i.state != running || len(i.runs) != 1 {
				continue
			}
			x := i.runs[0]
			slow := x.first && usual > 0 && x.gap > 2*usual && len(x.text.events)-x.from >= 2 && t.idle(l)
			if !x.doubt(now) && !slow {
				continue
			}
			e := t.seat(l, i.group, r, x.text, []*engines.Engine{x.engine})
			if e == nil || slow && !x.doubt(now) && e.Pace > x.gap/1.5 {
				continue
			}
			t.env.Counts["second_runs"]++
			t.start(i, e, x.text)
		}
	}
}

// idle says that a lot has nothing held that a free slot should rather go to.
func (t *Table) idle(l *lot) bool {
	for _, i := range l.items {
		if i.state == held {
			return false
		}
	}
	return true
}

// usual is the median pace of a route's engines.
func (t *Table) usual(r *route.Route) float64 {
	var p []float64
	for _, e := range t.pools(r) {
		if e.Pace > 0 {
			p = append(p, e.Pace)
		}
	}
	if len(p) == 0 {
		return 0
	}
	slices.Sort(p)
	return p[len(p)/2]
}
