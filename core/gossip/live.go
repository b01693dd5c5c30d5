package gossip

import (
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

// view is a list of entries by address. It holds until a time, or until an entry
// of it changes in more than its beat.
type view struct {
	entries []Entry
	until   flow.Time
	valid   bool
}

func (v *view) holds(now flow.Time) bool { return v.valid && now <= v.until }

// stir makes the views be made anew: an entry came, changed or is alive again.
func (g *Gossip) stir() { g.live.valid, g.all.valid = false, false }

// Live gives the peers whose beats still grow, by address. The list is shared:
// nobody may change it, and its beats may be old.
func (g *Gossip) Live(now flow.Time) []Entry {
	if g.live.holds(now) {
		return g.live.entries
	}
	g.live, g.all.valid = view{until: now + budget.FailureTimeout, valid: true}, false
	for _, addr := range g.addrs() {
		s := g.seats[addr]
		if now-s.grew > budget.FailureTimeout {
			continue
		}
		g.live.until = min(g.live.until, s.grew+budget.FailureTimeout)
		if !s.entry.Left {
			g.live.entries = append(g.live.entries, s.entry)
		}
	}
	g.live.entries = slices.Clip(g.live.entries)
	return g.live.entries
}

// Everyone gives the live peers and this node itself. The list is shared, as
// that of Live is.
func (g *Gossip) Everyone(now flow.Time) []Entry {
	live := g.Live(now)
	if g.all.valid && same(g.alike, g.self) {
		return g.all.entries
	}
	g.alike = g.self
	g.all = view{entries: append(live, g.self), valid: true}
	return g.all.entries
}

// liveAddrs gives the addresses of the peers whose beats still grow.
func (g *Gossip) liveAddrs(now flow.Time) []string {
	var out []string
	for _, entry := range g.Live(now) {
		out = append(out, entry.Addr)
	}
	return out
}
