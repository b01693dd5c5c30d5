package gossip

import (
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

// entryView is a cached list of entries by address. It is valid until a time, or until
// an entry of it changes in more than its heartbeat counter.
type entryView struct {
	entries []Entry
	until   flow.Time
	valid   bool
}

func (v *entryView) holds(now flow.Time) bool { return v.valid && now <= v.until }

// invalidateViews has the lists built anew: an entry came, changed or is alive again.
func (g *Gossip) invalidateViews() { g.liveView.valid, g.fullView.valid = false, false }

// Live gives the peers whose heartbeats still grow, by address. The list is shared:
// callers must not change it, and its heartbeat counters may be old.
func (g *Gossip) Live(now flow.Time) []Entry {
	if g.liveView.holds(now) {
		return g.liveView.entries
	}
	g.liveView, g.fullView.valid = entryView{until: now + budget.FailureTimeout, valid: true}, false
	for _, addr := range g.addrs() {
		peer := g.peers[addr]
		if now-peer.grewAt > budget.FailureTimeout {
			continue
		}
		g.liveView.until = min(g.liveView.until, peer.grewAt+budget.FailureTimeout)
		if !peer.entry.Left {
			g.liveView.entries = append(g.liveView.entries, peer.entry)
		}
	}
	g.liveView.entries = slices.Clip(g.liveView.entries)
	return g.liveView.entries
}

// Everyone gives the live peers and this node itself. The list is shared, as
// that of Live is.
func (g *Gossip) Everyone(now flow.Time) []Entry {
	live := g.Live(now)
	if g.fullView.valid && sameContent(g.selfInFull, g.self) {
		return g.fullView.entries
	}
	g.selfInFull = g.self
	g.fullView = entryView{entries: append(live, g.self), valid: true}
	return g.fullView.entries
}

// liveAddrs gives the addresses of the peers whose heartbeats still grow.
func (g *Gossip) liveAddrs(now flow.Time) []string {
	var addrs []string
	for _, entry := range g.Live(now) {
		addrs = append(addrs, entry.Addr)
	}
	return addrs
}
