package lots

import (
	"math"
	"time"

	"fernlink/core/flow"
	"fernlink/core/serve/policy"
	"fernlink/core/serve/route"
)

// pace is what runs of a route's items took of late, in ms.
type pace struct {
	mean float64
	most float64 // the longest, forgotten slowly
}

// took hears how long a whole text took from its item's first send.
func (p *pace) took(d flow.Time) {
	ms := float64(d) / 1e6
	if p.mean == 0 {
		p.mean, p.most = ms, ms
		return
	}
	p.mean += (ms - p.mean) / 32
	p.most = max(ms, p.most*0.998)
}

// duePart is the share of a lot's time within which its last item should end:
// what is left is for engines that fail meanwhile.
const duePart = 0.75

// need is how many items of a lot must run at once so that the last of them is
// begun early enough to end in time, were it one of the longest; math.MaxInt
// where that is not known or not to be had.
func (t *Table) need(l *lot) int {
	p := t.paces[l.doc.Route]
	if p == nil || l.doc.DueMS <= 0 {
		return math.MaxInt
	}
	begin := duePart*float64(l.doc.DueMS) - p.most - float64(t.env.Now-l.opened)/float64(time.Millisecond)
	if begin <= 0 {
		return math.MaxInt
	}
	return int(math.Ceil(float64(l.unmade) * p.mean / begin))
}

// spread sets how many slots of each engine of a pool are used: no more than the
// open lots need, since each more is one more connection that is idle between
// lots (design 12.5).
func (t *Table) spread(lots []*lot) {
	t.share = map[string]int{}
	if !t.env.Policies.On(policy.SlotSpread) {
		return
	}
	need := map[string]int{}
	for _, l := range lots {
		r := t.pool(l)
		if r == nil || l.unmade == 0 {
			continue
		}
		n := t.need(l)
		if n == math.MaxInt || need[r.Pool] == math.MaxInt {
			need[r.Pool] = math.MaxInt
			continue
		}
		need[r.Pool] += n
	}
	for pool, n := range need {
		able := 0
		for _, e := range t.engines.Pool(pool) {
			if t.engines.Usable(e) {
				able++
			}
		}
		if n != math.MaxInt && able > 0 {
			t.share[pool] = max(shareLeast, (n+able-1)/able)
		}
	}
}

// shareLeast keeps some slots of each engine in use whatever the lots need.
const shareLeast = 2

// slots is how many requests an engine may be given at once.
func (t *Table) slots(r *route.Route, slots int) int {
	if n, ok := t.share[r.Pool]; ok {
		return min(n, slots)
	}
	return slots
}
