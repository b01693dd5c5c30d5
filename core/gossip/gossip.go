// Package gossip spreads who is there (design 5.1): one entry a process,
// keyed by address, with an incarnation a start and a beat that must grow.
package gossip

import (
	"math/rand"
	"slices"
	"strconv"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// Roles that decide who may own lots.
const (
	RoleDispatcher = "dispatcher" // serves clients
	RoleWorker     = "worker"     // runs lots and serves no clients
)

// Entry is what a process says of itself.
type Entry struct {
	ID      string   `json:"id"`
	Name    string   `json:"name,omitempty"` // the machine's, by which operators call it
	Inc     int64    `json:"inc"`
	Born    int64    `json:"born,omitempty"` // Inc as it was at the start, where it was raised since
	Beat    uint64   `json:"beat"`
	Changed uint64   `json:"changed,omitempty"` // the beat at which it last changed in more than its beat
	Addr    string   `json:"addr"`
	Web     string   `json:"web"`
	Zone    string   `json:"area"` // the name on the wire: builds of both names must read each other
	Roles   []string `json:"roles"`
	Cpu     int      `json:"cpu,omitempty"` // thousandths of a core that its machine gives it, 0 where unknown
	Cluster string   `json:"cluster,omitempty"`
	Blank   bool     `json:"blank,omitempty"`   // a store machine with an empty disk
	Left    bool     `json:"left,omitempty"`    // it is stopping: nobody counts on it
	Retired bool     `json:"retired,omitempty"` // an operator empties it: it gets no more work
	Sees    []string `json:"sees,omitempty"`    // of a blank store: the others that it hears, by address
}

// Start names this very start of the process, also when its incarnation was raised.
func (e Entry) Start() string {
	born := e.Inc
	if e.Born != 0 {
		born = e.Born
	}
	return e.ID + "." + strconv.FormatInt(born, 16)
}

// otherStart says whether an entry at this process's address is of an earlier start
// that seems as new or newer to others: its clock was ahead. One that keeps nothing
// had the same identity. Nobody else has a higher beat under one's own incarnation.
func (g *Gossip) otherStart(e Entry) bool {
	if e.Addr != g.self.Addr || e.Inc < g.self.Inc {
		return false
	}
	return e.Inc > g.self.Inc || e.ID != g.self.ID || e.Beat > g.self.Beat
}

// outrank raises this process's incarnation above an earlier start's. Its parts go on
// under the name that they were given.
func (g *Gossip) outrank(incarnation int64) {
	if g.self.Born == 0 {
		g.self.Born = g.self.Inc
	}
	g.self.Inc = incarnation + 1
}

// RunsLots says whether the process may own lots and run their items.
func (e Entry) RunsLots() bool { return e.Has(RoleDispatcher) || e.Has(RoleWorker) }

// Able gives the live processes that may own lots: those whose machines are not
// much smaller than the largest and that neither stop nor are being emptied.
// Workers, which serve no clients and keep no state, come before dispatchers
// (design 12.5).
func Able(live []Entry) []Entry {
	var candidates []Entry
	most := 0
	for _, e := range live {
		if e.RunsLots() && !e.Left && !e.Retired {
			candidates = append(candidates, e)
			most = max(most, e.Cpu)
		}
	}
	var workers, others []Entry
	for _, e := range candidates {
		switch {
		case 2*e.Cpu < most:
		case e.Has(RoleWorker):
			workers = append(workers, e)
		default:
			others = append(others, e)
		}
	}
	if len(workers) > 0 {
		return workers
	}
	return others
}

// Has says whether the process runs a role.
func (e Entry) Has(role string) bool { return slices.Contains(e.Roles, role) }

// Known is what every node remembers of the cluster, so that all seeds may
// have been replaced (design 4.5).
type Known struct {
	Cluster string   `json:"cluster"`
	At      uint64   `json:"at"` // index of the membership
	Stores  []string `json:"stores"`
}

// Body is one gossip line: whole entries where something is new, heartbeats
// otherwise.
type Body struct {
	Entries []Entry    `json:"entries,omitempty"`
	Beats   Heartbeats `json:"beats,omitempty"`
	Want    []string   `json:"want,omitempty"` // addresses whose whole entries the sender lacks
	Known   Known      `json:"known"`
}

// freshFor is for how long an entry is told whole that has changed; wantMost is how
// many entries are asked for in one line.
const (
	freshFor = 4 * budget.GossipInterval
	wantMost = 128
)

type seat struct {
	entry Entry
	fresh flow.Time // when more than the beat was new
	grew  flow.Time
	heard flow.Time // straight from itself
}

// Gossip is one node's table.
type Gossip struct {
	self  Entry
	known Known
	seeds []string
	rand  *rand.Rand
	seats map[string]*seat
	next  flow.Time
	turn  int
	was   Entry     // this node's entry as it was last told
	since flow.Time // and since when it is so
	// Those that are told at once what is known here.
	answer map[string]bool
	wanted map[string]string   // entries that are lacked, and who spoke of them
	owed   map[string][]string // entries that peers lack
	live   view                // the peers whose beats still grow
	all    view                // and this node itself
	alike  Entry               // this node's entry as it stands in all
	// This node's entry has news that all live peers are to hear at once.
	announce bool
}

// Config are the options of a table.
type Config struct {
	Self  Entry
	Known Known
	Seeds []string
	Rand  *rand.Rand
}

// New starts a table that knows itself and its seeds.
func New(p Config) *Gossip {
	return &Gossip{self: p.Self, known: p.Known, seeds: p.Seeds, rand: p.Rand, seats: map[string]*seat{}, answer: map[string]bool{}, wanted: map[string]string{}, owed: map[string][]string{}}
}

// Reseed takes other seeds, as the settings name them now.
func (g *Gossip) Reseed(seeds []string) { g.seeds = seeds }

// Tell says what the node's own entry is to carry from now on.
func (g *Gossip) Tell(blank bool, known Known) {
	g.self.Blank = blank
	g.learn(known)
	g.self.Cluster = g.known.Cluster
}

func (g *Gossip) learn(k Known) {
	if k.Cluster == "" || (g.known.Cluster != "" && k.Cluster != g.known.Cluster) {
		return
	}
	if g.known.Cluster == "" || k.At > g.known.At {
		g.known = k
	}
}

// Retire says from now on that an operator empties this machine. All live peers are
// told at once: until the store's leader has heard it, the machine's lots stay, and
// the operator waits for that (design 12.8).
func (g *Gossip) Retire() {
	g.announce = g.announce || !g.self.Retired
	g.self.Retired = true
}

// Known gives the cluster's id and store addresses as last heard.
func (g *Gossip) Known() Known { return g.known }

// Self gives the node's own entry.
func (g *Gossip) Self() Entry { return g.self }

// Take folds one line. Entries of another cluster are left out.
func (g *Gossip) Take(now flow.Time, from string, b Body) {
	g.learn(b.Known)
	for _, e := range b.Entries {
		if g.otherStart(e) {
			g.outrank(e.Inc)
		}
		if e.Addr == g.self.Addr && e.ID == g.self.ID && e.Retired {
			g.Retire() // an earlier process here was told
		}
		if e.Addr == g.self.Addr || e.Addr == "" {
			continue
		}
		if e.Cluster != "" && g.known.Cluster != "" && e.Cluster != g.known.Cluster {
			continue
		}
		s := g.seats[e.Addr]
		if e.Addr == from && (s == nil || e.Inc < s.entry.Inc) {
			g.answer[from] = true // it is new here, or does not know what was before it
		}
		if s != nil && s.entry.ID == e.ID && s.entry.Retired && !e.Retired {
			e.Retired = true // its new process hears so from its peers
			if e.Addr == from {
				g.answer[from] = true
			}
		}
		if s == nil {
			s = &seat{entry: e, grew: now, fresh: now}
			g.seats[e.Addr] = s
			g.stir()
		} else {
			g.merge(s, e, now)
		}
		if e.Addr == from {
			s.heard = now
		}
	}
	g.asked(from, b.Want)
	for _, x := range b.Beats {
		if x.Addr == g.self.Addr && x.Inc > g.self.Inc {
			g.outrank(x.Inc)
		}
		s := g.seats[x.Addr]
		if s == nil || s.entry.older(x.Inc, x.Changed) {
			g.lack(from, x.Addr)
		}
		if s == nil || x.Inc != s.entry.Inc {
			continue
		}
		if x.Beat > s.entry.Beat {
			g.grow(s, now)
			s.entry.Beat = x.Beat
		}
		if x.Addr == from {
			s.heard = now
		}
	}
}

// older says whether this is an entry of an earlier start, or of before a change.
func (e Entry) older(inc int64, changed uint64) bool {
	return e.Inc < inc || e.Inc == inc && e.Changed < changed
}

// merge takes what an entry has that is newer: all of it, or its beat. Whoever has
// heard heartbeats alone may know a later beat with an earlier content.
func (g *Gossip) merge(s *seat, e Entry, now flow.Time) {
	known := s.entry
	if known.Inc > e.Inc {
		return
	}
	if known.Inc < e.Inc || known.Beat < e.Beat {
		g.grow(s, now)
	}
	if !known.older(e.Inc, e.Changed) {
		s.entry.Beat = max(known.Beat, e.Beat)
		return
	}
	if known.Inc == e.Inc {
		e.Beat = max(known.Beat, e.Beat)
	}
	s.entry, s.fresh = e, now
	g.stir()
}

// grow notes that a peer's beat has grown.
func (g *Gossip) grow(s *seat, now flow.Time) {
	if now-s.grew > budget.FailureTimeout {
		g.stir() // it was not among the live ones
	}
	s.grew = now
}

// same says whether two entries differ in nothing but their beats.
func same(a, b Entry) bool {
	return a.ID == b.ID && a.Inc == b.Inc && a.Web == b.Web && a.Zone == b.Zone && a.Cluster == b.Cluster && a.Blank == b.Blank && a.Left == b.Left && a.Retired == b.Retired &&
		slices.Equal(a.Roles, b.Roles) && slices.Equal(a.Sees, b.Sees)
}

// lack notes that a peer speaks of a process that is not known here.
func (g *Gossip) lack(from, addr string) {
	if addr != g.self.Addr && len(g.wanted) < wantMost {
		g.wanted[addr] = from
	}
}

// asked tells a peer the entries that it lacks.
func (g *Gossip) asked(from string, want []string) {
	for _, addr := range want[:min(len(want), wantMost)] {
		if s := g.seats[addr]; s != nil || addr == g.self.Addr {
			g.owed[from] = append(g.owed[from], addr)
		}
	}
}

// entry gives what is known of an address, this node's own among them.
func (g *Gossip) entry(addr string) (Entry, bool) {
	if addr == g.self.Addr {
		return g.self, true
	}
	if s := g.seats[addr]; s != nil {
		return s.entry, true
	}
	return Entry{}, false
}

// exchange asks for entries that are lacked, and tells those that others lack.
func (g *Gossip) exchange(out *flow.Outbox) {
	ask := map[string][]string{}
	for _, addr := range sorted.Keys(g.wanted) {
		ask[g.wanted[addr]] = append(ask[g.wanted[addr]], addr)
	}
	for _, to := range sorted.Keys(ask) {
		out.Line(to, "gossip", Body{Want: ask[to], Known: g.known})
	}
	for _, to := range sorted.Keys(g.owed) {
		b := Body{Known: g.known}
		for _, addr := range g.owed[to] {
			if e, ok := g.entry(addr); ok {
				b.Entries = append(b.Entries, e)
			}
		}
		out.Line(to, "gossip", b)
	}
	clear(g.wanted)
	clear(g.owed)
}

// refresh marks this node's own entry where it has changed.
func (g *Gossip) refresh(now flow.Time) {
	if same(g.self, g.was) {
		return
	}
	g.self.Beat++
	g.self.Changed = g.self.Beat
	g.was, g.since = g.self, now
}

// body is what one round tells.
func (g *Gossip) body(now flow.Time) Body {
	b := Body{Known: g.known}
	put := func(e Entry, fresh flow.Time) {
		if now-fresh < freshFor {
			b.Entries = append(b.Entries, e)
		} else {
			b.Beats = append(b.Beats, Heartbeat{e.Addr, e.Inc, e.Changed, e.Beat})
		}
	}
	for _, a := range g.addrs() {
		if s := g.seats[a]; now-s.grew <= budget.FailureTimeout {
			put(s.entry, s.fresh)
		}
	}
	put(g.self, g.since)
	return b
}

// Advance beats and spreads when it is time.
func (g *Gossip) Advance(now flow.Time, out *flow.Outbox) {
	g.refresh(now)
	if len(g.answer) > 0 {
		b := Body{Entries: append(g.every(), g.self), Known: g.known}
		out.LineToAll(sorted.Keys(g.answer), "gossip", b)
		g.answer = map[string]bool{}
	}
	if g.announce {
		out.LineToAll(g.liveAddrs(now), "gossip", Body{Entries: []Entry{g.self}, Known: g.known})
		g.announce = false
	}
	if now < g.next {
		return
	}
	g.next = now + budget.GossipInterval
	g.exchange(out)
	g.self.Beat++
	g.self.Sees = nil
	var live []string
	for _, addr := range g.addrs() {
		s := g.seats[addr]
		if now-s.grew > 10*budget.FailureTimeout {
			delete(g.seats, addr)
			continue
		}
		if now-s.grew <= budget.FailureTimeout {
			live = append(live, addr)
		}
		if g.self.Blank && s.entry.Blank && now-s.heard <= budget.FailureTimeout {
			g.self.Sees = append(g.self.Sees, addr)
		}
	}
	g.turn++
	g.refresh(now)
	b := g.body(now)
	to := map[string]bool{}
	for i := 0; i < 2 && len(live) > 0; i++ {
		to[live[g.rand.Intn(len(live))]] = true
	}
	// One address beyond the live ones each time: a seed, or a store.
	far := append(append([]string{}, g.seeds...), g.known.Stores...)
	if len(far) > 0 {
		to[far[g.turn%len(far)]] = true
	}
	if g.self.Blank {
		// Those who are to form a cluster must hear one another themselves.
		for _, a := range live {
			to[a] = to[a] || g.seats[a].entry.Blank
		}
	}
	delete(to, g.self.Addr)
	var told []string
	for _, a := range sorted.Keys(to) {
		if to[a] {
			told = append(told, a)
		}
	}
	out.LineToAll(told, "gossip", b)
}

func (g *Gossip) addrs() []string { return sorted.Keys(g.seats) }

// every gives all entries, also those of peers that fell silent.
func (g *Gossip) every() []Entry {
	var out []Entry
	for _, a := range g.addrs() {
		out = append(out, g.seats[a].entry)
	}
	return out
}

// Leave tells everybody that this process stops.
func (g *Gossip) Leave(now flow.Time) { g.self.Left, g.next = true, now }

// Heard says whether a peer spoke to this node itself of late.
func (g *Gossip) Heard(now flow.Time, addr string) bool {
	s := g.seats[addr]
	return s != nil && s.heard > 0 && now-s.heard <= budget.FailureTimeout
}

// Rows counts the entries kept.
func (g *Gossip) Rows() int { return len(g.seats) }
