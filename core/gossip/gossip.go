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
	Beat    uint64   `json:"beat"`
	Addr    string   `json:"addr"`
	Web     string   `json:"web"`
	Area    string   `json:"area"`
	Roles   []string `json:"roles"`
	Cpu     int      `json:"cpu,omitempty"` // thousandths of a core that its machine gives it, 0 where unknown
	Cluster string   `json:"cluster,omitempty"`
	Blank   bool     `json:"blank,omitempty"`   // a store machine with an empty disk
	Left    bool     `json:"left,omitempty"`    // it is stopping: nobody counts on it
	Retired bool     `json:"retired,omitempty"` // an operator empties it: it gets no more work
	Sees    []string `json:"sees,omitempty"`    // blank stores it hears, by address
}

// Start names this very start of the process.
func (e Entry) Start() string { return e.ID + "." + strconv.FormatInt(e.Inc, 16) }

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

// Beat stands for an entry that the other side knows but for its beat.
type Beat struct {
	Addr string `json:"a"`
	Inc  int64  `json:"i"`
	Beat uint64 `json:"b"`
}

// Body is one gossip line: whole entries where something is new, and every
// fourth time; beats otherwise.
type Body struct {
	Entries []Entry `json:"entries,omitempty"`
	Beats   []Beat  `json:"beats,omitempty"`
	Known   Known   `json:"known"`
}

const wholeEvery = 4

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
	return &Gossip{self: p.Self, known: p.Known, seeds: p.Seeds, rand: p.Rand, seats: map[string]*seat{}, answer: map[string]bool{}}
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

// Retire says from now on that an operator empties this machine.
func (g *Gossip) Retire() { g.self.Retired = true }

// Known gives the cluster's id and store addresses as last heard.
func (g *Gossip) Known() Known { return g.known }

// Self gives the node's own entry.
func (g *Gossip) Self() Entry { return g.self }

// Take folds one line. Entries of another cluster are left out.
func (g *Gossip) Take(now flow.Time, from string, b Body) {
	g.learn(b.Known)
	for _, e := range b.Entries {
		if e.Addr == g.self.Addr && e.ID != g.self.ID && e.Inc >= g.self.Inc {
			g.self.Inc = e.Inc + 1 // an earlier process here, under a clock ahead of ours
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
		if s == nil {
			s = &seat{entry: e, grew: now, fresh: now}
			g.seats[e.Addr] = s
		} else if e.Inc > s.entry.Inc || e.Inc == s.entry.Inc && e.Beat > s.entry.Beat {
			if !same(s.entry, e) {
				s.fresh = now
			}
			s.entry, s.grew = e, now
		}
		if e.Addr == from {
			s.heard = now
		}
	}
	for _, x := range b.Beats {
		s := g.seats[x.Addr]
		if s == nil || x.Inc != s.entry.Inc {
			continue // a whole entry will come
		}
		if x.Beat > s.entry.Beat {
			s.entry.Beat, s.grew = x.Beat, now
		}
		if x.Addr == from {
			s.heard = now
		}
	}
}

// same says whether two entries differ in nothing but their beats.
func same(a, b Entry) bool {
	return a.ID == b.ID && a.Inc == b.Inc && a.Web == b.Web && a.Area == b.Area && a.Cluster == b.Cluster && a.Blank == b.Blank && a.Left == b.Left && a.Retired == b.Retired &&
		slices.Equal(a.Roles, b.Roles) && slices.Equal(a.Sees, b.Sees)
}

// body is what one round tells.
func (g *Gossip) body(now flow.Time) Body {
	b := Body{Known: g.known}
	whole := g.turn%wholeEvery == 0
	put := func(e Entry, fresh flow.Time) {
		if whole || now-fresh < wholeEvery*budget.Gossip {
			b.Entries = append(b.Entries, e)
		} else {
			b.Beats = append(b.Beats, Beat{e.Addr, e.Inc, e.Beat})
		}
	}
	for _, a := range g.addrs() {
		if s := g.seats[a]; now-s.grew <= budget.Lost {
			put(s.entry, s.fresh)
		}
	}
	if !same(g.self, g.was) {
		g.was, g.since = g.self, now
	}
	put(g.self, g.since)
	return b
}

// Advance beats and spreads when it is time.
func (g *Gossip) Advance(now flow.Time, out *flow.Outbox) {
	if len(g.answer) > 0 {
		b := Body{Entries: append(g.every(), g.self), Known: g.known}
		for _, a := range sorted.Keys(g.answer) {
			out.Line(a, "gossip", b)
		}
		g.answer = map[string]bool{}
	}
	if now < g.next {
		return
	}
	g.next = now + budget.Gossip
	g.self.Beat++
	g.self.Sees = nil
	var live []string
	for _, addr := range g.addrs() {
		s := g.seats[addr]
		if now-s.grew > 10*budget.Lost {
			delete(g.seats, addr)
			continue
		}
		if now-s.grew <= budget.Lost {
			live = append(live, addr)
		}
		if s.entry.Blank && now-s.heard <= budget.Lost {
			g.self.Sees = append(g.self.Sees, addr)
		}
	}
	g.turn++
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
	for _, a := range sorted.Keys(to) {
		if to[a] {
			out.Line(a, "gossip", b)
		}
	}
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

// Live gives the peers whose beats still grow, by address.
func (g *Gossip) Live(now flow.Time) []Entry {
	var out []Entry
	for _, a := range g.addrs() {
		if s := g.seats[a]; now-s.grew <= budget.Lost && !s.entry.Left {
			out = append(out, s.entry)
		}
	}
	return out
}

// Leave tells everybody that this process stops.
func (g *Gossip) Leave(now flow.Time) { g.self.Left, g.next = true, now }

// Heard says whether a peer spoke to this node itself of late.
func (g *Gossip) Heard(now flow.Time, addr string) bool {
	s := g.seats[addr]
	return s != nil && s.heard > 0 && now-s.heard <= budget.Lost
}

// Rows counts the entries kept.
func (g *Gossip) Rows() int { return len(g.seats) }
