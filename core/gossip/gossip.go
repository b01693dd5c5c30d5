// Package gossip spreads which processes are alive (design 5.1). The table has
// one entry for each process, keyed by address, with an incarnation for each start
// and a heartbeat counter that must grow. It owns membership hints only: who votes
// and who holds a lease is decided in core/store. core/node calls it: Take for each
// received line, Advance to send, and Live or Everyone to read.
package gossip

import (
	"math/rand"
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

const (
	fullEntryFor = 4 * budget.GossipInterval // a changed entry is sent whole for so long
	missingMost  = 128                       // entries asked for in one line
	forgetAfter  = 10 * budget.FailureTimeout
	fanout       = 2 // live peers that one round is sent to
)

// peerState is what is known of one peer.
type peerState struct {
	entry     Entry
	changedAt flow.Time // when more than its heartbeat counter was new
	grewAt    flow.Time // when its heartbeat counter grew
	heardAt   flow.Time // directly from itself, 0 for never
}

// Gossip is one node's table.
type Gossip struct {
	self        Entry
	known       Known
	seeds       []string
	rand        *rand.Rand
	peers       map[string]*peerState
	gossipAt    flow.Time // when the next round is due
	rounds      int
	announced   Entry               // this node's entry as it was last sent
	announcedAt flow.Time           // and since when it is so
	replyTo     map[string]bool     // peers that are sent the whole table at once
	missing     map[string]string   // addresses without an entry here, and who named them
	requested   map[string][]string // addresses whose entries a peer asked for
	liveView    entryView           // peers whose heartbeats still grow
	fullView    entryView           // the same and this node itself
	selfInFull  Entry               // this node's entry as it stands in fullView
	// This node's entry has news that all live peers are to hear at once.
	announceNow bool
}

// Config are the options of a table.
type Config struct {
	Self  Entry
	Known Known
	Seeds []string
	Rand  *rand.Rand
}

// New starts a table that knows itself and its seeds.
func New(config Config) *Gossip {
	return &Gossip{
		self: config.Self, known: config.Known, seeds: config.Seeds, rand: config.Rand,
		peers: map[string]*peerState{}, replyTo: map[string]bool{},
		missing: map[string]string{}, requested: map[string][]string{},
	}
}

// Reseed takes other seeds, as the settings name them now.
func (g *Gossip) Reseed(seeds []string) { g.seeds = seeds }

// Announce sets what the entry of a node that runs a store is to carry from now on.
func (g *Gossip) Announce(blank, leads bool, known Known) {
	g.self.Blank, g.self.Leads = blank, leads
	g.learn(known)
	g.self.Cluster = g.known.Cluster
	g.self.Member = slices.Contains(g.known.Stores, g.self.Addr)
}

func (g *Gossip) learn(known Known) {
	if known.Cluster == "" || (g.known.Cluster != "" && known.Cluster != g.known.Cluster) {
		return
	}
	if g.known.Cluster == "" || known.At > g.known.At {
		g.known = known
	}
}

// Retire says from now on that an operator empties this machine. All live peers are
// told at once: until the store's leader has heard it, the machine's lots stay, and
// the operator waits for that (design 12.8).
func (g *Gossip) Retire() {
	g.announceNow = g.announceNow || !g.self.Retired
	g.self.Retired = true
}

// Known gives the cluster's id and store addresses as last heard.
func (g *Gossip) Known() Known { return g.known }

// Self gives the node's own entry.
func (g *Gossip) Self() Entry { return g.self }

// Take folds one received line into the table. Entries of another cluster are left out.
func (g *Gossip) Take(now flow.Time, from string, body Body) {
	g.learn(body.Known)
	for _, entry := range body.Entries {
		g.takeEntry(now, from, entry)
	}
	g.noteRequested(from, body.Want)
	for _, heartbeat := range body.Beats {
		g.takeHeartbeat(now, from, heartbeat)
	}
}

func (g *Gossip) takeEntry(now flow.Time, from string, entry Entry) {
	if g.otherStart(entry) {
		g.outrank(entry.Inc)
	}
	if entry.Addr == g.self.Addr && entry.ID == g.self.ID && entry.Retired {
		g.Retire() // an earlier process here was told
	}
	if entry.Addr == g.self.Addr || entry.Addr == "" {
		return
	}
	if entry.Cluster != "" && g.known.Cluster != "" && entry.Cluster != g.known.Cluster {
		return
	}
	peer := g.peers[entry.Addr]
	if entry.Addr == from && (peer == nil || entry.Inc < peer.entry.Inc) {
		g.replyTo[from] = true // it is new here, or does not know what was before it
	}
	if peer != nil && peer.entry.ID == entry.ID && peer.entry.Retired && !entry.Retired {
		entry.Retired = true // its new process hears so from its peers
		if entry.Addr == from {
			g.replyTo[from] = true
		}
	}
	if peer == nil {
		peer = &peerState{entry: entry, grewAt: now, changedAt: now}
		g.peers[entry.Addr] = peer
		g.invalidateViews()
	} else {
		g.merge(peer, entry, now)
	}
	if entry.Addr == from {
		peer.heardAt = now
	}
}

func (g *Gossip) takeHeartbeat(now flow.Time, from string, heartbeat Heartbeat) {
	if heartbeat.Addr == g.self.Addr && heartbeat.Inc > g.self.Inc {
		g.outrank(heartbeat.Inc)
	}
	peer := g.peers[heartbeat.Addr]
	if peer == nil || peer.entry.older(heartbeat.Inc, heartbeat.Changed) {
		g.noteMissing(from, heartbeat.Addr)
	}
	if peer == nil || heartbeat.Inc != peer.entry.Inc {
		return
	}
	if heartbeat.Beat > peer.entry.Beat {
		g.noteGrowth(peer, now)
		peer.entry.Beat = heartbeat.Beat
	}
	if heartbeat.Addr == from {
		peer.heardAt = now
	}
}

// merge takes what an entry has that is newer: all of it, or its heartbeat counter.
// Whoever was sent heartbeats alone may know a later counter with an earlier content.
func (g *Gossip) merge(peer *peerState, entry Entry, now flow.Time) {
	known := peer.entry
	if known.Inc > entry.Inc {
		return
	}
	if known.Inc < entry.Inc || known.Beat < entry.Beat {
		g.noteGrowth(peer, now)
	}
	if !known.older(entry.Inc, entry.Changed) {
		peer.entry.Beat = max(known.Beat, entry.Beat)
		return
	}
	if known.Inc == entry.Inc {
		entry.Beat = max(known.Beat, entry.Beat)
	}
	peer.entry, peer.changedAt = entry, now
	g.invalidateViews()
}

// noteGrowth records that a peer's heartbeat counter has grown.
func (g *Gossip) noteGrowth(peer *peerState, now flow.Time) {
	if now-peer.grewAt > budget.FailureTimeout {
		g.invalidateViews() // it was not among the live ones
	}
	peer.grewAt = now
}

// noteMissing records that a peer names a process of which there is no entry here.
func (g *Gossip) noteMissing(from, addr string) {
	if addr != g.self.Addr && len(g.missing) < missingMost {
		g.missing[addr] = from
	}
}

// noteRequested records the entries that a peer asked for.
func (g *Gossip) noteRequested(from string, want []string) {
	for _, addr := range want[:min(len(want), missingMost)] {
		if s := g.peers[addr]; s != nil || addr == g.self.Addr {
			g.requested[from] = append(g.requested[from], addr)
		}
	}
}

// entry gives what is known of an address, this node's own among them.
func (g *Gossip) entry(addr string) (Entry, bool) {
	if addr == g.self.Addr {
		return g.self, true
	}
	if s := g.peers[addr]; s != nil {
		return s.entry, true
	}
	return Entry{}, false
}

// Leave announces that this process stops.
func (g *Gossip) Leave(now flow.Time) { g.self.Left, g.gossipAt = true, now }

// Heard says whether a peer sent a line to this node itself within the failure timeout.
func (g *Gossip) Heard(now flow.Time, addr string) bool {
	s := g.peers[addr]
	return s != nil && s.heardAt > 0 && now-s.heardAt <= budget.FailureTimeout
}

// Rows counts the entries kept.
func (g *Gossip) Rows() int { return len(g.peers) }
