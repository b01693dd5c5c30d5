package gossip

import (
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// exchange asks for entries that are missing here, and sends those that peers asked for.
func (g *Gossip) exchange(outbox *flow.Outbox) {
	wanted := map[string][]string{}
	for _, addr := range sorted.Keys(g.missing) {
		source := g.missing[addr]
		wanted[source] = append(wanted[source], addr)
	}
	for _, to := range sorted.Keys(wanted) {
		outbox.Line(to, "gossip", Body{Want: wanted[to], Known: g.known})
	}
	for _, to := range sorted.Keys(g.requested) {
		body := Body{Known: g.known}
		for _, addr := range g.requested[to] {
			if entry, ok := g.entry(addr); ok {
				body.Entries = append(body.Entries, entry)
			}
		}
		outbox.Line(to, "gossip", body)
	}
	clear(g.missing)
	clear(g.requested)
}

// refresh marks this node's own entry where it has changed.
func (g *Gossip) refresh(now flow.Time) {
	if sameContent(g.self, g.announced) {
		return
	}
	g.self.Beat++
	g.self.Changed = g.self.Beat
	g.announced, g.announcedAt = g.self, now
}

// roundBody is what one round sends: whole entries that changed of late, else heartbeats.
func (g *Gossip) roundBody(now flow.Time) Body {
	body := Body{Known: g.known}
	put := func(entry Entry, changedAt flow.Time) {
		if now-changedAt < fullEntryFor {
			body.Entries = append(body.Entries, entry)
			return
		}
		body.Beats = append(body.Beats, Heartbeat{entry.Addr, entry.Inc, entry.Changed, entry.Beat})
	}
	for _, addr := range g.addrs() {
		peer := g.peers[addr]
		if now-peer.grewAt <= budget.FailureTimeout {
			put(peer.entry, peer.changedAt)
		}
	}
	put(g.self, g.announcedAt)
	return body
}

// Advance sends the table to whom it is due, and runs a round every gossip interval.
func (g *Gossip) Advance(now flow.Time, outbox *flow.Outbox) {
	g.refresh(now)
	g.reply(outbox)
	if g.announceNow {
		outbox.LineToAll(g.liveAddrs(now), "gossip", Body{Entries: []Entry{g.self}, Known: g.known})
		g.announceNow = false
	}
	if now < g.gossipAt {
		return
	}
	g.gossipAt = now + budget.GossipInterval
	g.exchange(outbox)
	g.self.Beat++
	live := g.sweep(now)
	g.rounds++
	g.refresh(now)
	outbox.LineToAll(g.targets(live), "gossip", g.roundBody(now))
}

// reply sends the whole table to peers that do not know it.
func (g *Gossip) reply(outbox *flow.Outbox) {
	if len(g.replyTo) == 0 {
		return
	}
	body := Body{Entries: append(g.everyEntry(), g.self), Known: g.known}
	outbox.LineToAll(sorted.Keys(g.replyTo), "gossip", body)
	g.replyTo = map[string]bool{}
}

// sweep forgets peers that were silent for long and gives the addresses of the live
// ones. It also notes which blank stores this one, if it is blank, hears directly.
func (g *Gossip) sweep(now flow.Time) []string {
	g.self.Sees = nil
	var live []string
	for _, addr := range g.addrs() {
		peer := g.peers[addr]
		if now-peer.grewAt > forgetAfter {
			delete(g.peers, addr)
			continue
		}
		if now-peer.grewAt <= budget.FailureTimeout {
			live = append(live, addr)
		}
		if g.self.Blank && peer.entry.Blank && now-peer.heardAt <= budget.FailureTimeout {
			g.self.Sees = append(g.self.Sees, addr)
		}
	}
	return live
}

// targets chooses to whom a round is sent: some live peers by chance, and one seed or
// store in turn, which need not be live. Blank stores also send to one another, since
// those that are to form a cluster must hear each other directly.
func (g *Gossip) targets(live []string) []string {
	chosen := map[string]bool{}
	for i := 0; i < fanout && len(live) > 0; i++ {
		chosen[live[g.rand.Intn(len(live))]] = true
	}
	fixed := append(append([]string{}, g.seeds...), g.known.Stores...)
	if len(fixed) > 0 {
		chosen[fixed[g.rounds%len(fixed)]] = true
	}
	if g.self.Blank {
		for _, addr := range live {
			if g.peers[addr].entry.Blank {
				chosen[addr] = true
			}
		}
	}
	delete(chosen, g.self.Addr)
	return sorted.Keys(chosen)
}

func (g *Gossip) addrs() []string { return sorted.Keys(g.peers) }

// everyEntry gives all entries, also those of peers that fell silent.
func (g *Gossip) everyEntry() []Entry {
	var entries []Entry
	for _, addr := range g.addrs() {
		entries = append(entries, g.peers[addr].entry)
	}
	return entries
}
