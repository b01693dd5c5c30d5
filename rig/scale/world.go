package scale

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/node"
	"fernlink/platform"
)

// Round is the hollow fleet's clock step: a node's own tick (design 3.1). What is
// said in a round is heard in a later one.
const Round = 10 * time.Millisecond

// Workers bounds the processors that a run uses at once.
const Workers = 4

const (
	ahead  = 16 // rounds that a line may be on its way
	inHost = 1  // rounds to another machine of the region
	far    = 3  // rounds to another region
)

// Size is what a run is made of.
type Size struct {
	Stores  int           `json:"stores"`
	Coords  int           `json:"coordinators"`
	Nodes   int           `json:"nodes"` // in all, stores and coordinators among them
	Engines int           `json:"engines"`
	Models  int           `json:"models"` // engines are shared out over them
	Regions int           `json:"regions"`
	Zones   int           `json:"zones"`
	Routes  int           `json:"routes"`
	Lazy    bool          `json:"lazy"`    // nodes that hear nothing take a turn only every tenth round
	Swap    time.Duration `json:"swap_ns"` // how long an engine needs for new weights
}

// World is a hollow fleet.
type World struct {
	Size   Size
	Hosts  []*Host
	Out    *outside
	Now    time.Duration
	byAddr map[string]*Host
	round  int
	told   map[uint64]func(ledger.Result)
	asks   uint64
	codec  func() node.Config
	later  map[int][]func()
	lead   *Host
	acts   *Host
	said   int // bytes of large lines
	out    int // voters that were taken out: others stand in their place
}

// New makes a fleet that is not started.
func New(size Size) *World {
	world := &World{Size: size, byAddr: map[string]*Host{}, told: map[uint64]func(ledger.Result){}, later: map[int][]func(){}}
	world.Out = newOutside(world)
	var form []string
	for i := range size.Stores {
		form = append(form, addrOf(i))
	}
	seeds := []string{addrOf(0), addrOf(min(1, size.Nodes-1)), addrOf(min(2, size.Nodes-1))}
	for i := range size.Nodes {
		zone := i % size.Zones
		if i >= size.Stores && i < size.Stores+size.Coords {
			zone = (i - size.Stores) % size.Zones // beside a store, so that a zone's loss takes both
		}
		h := &Host{Name: fmt.Sprintf("node-%d", i), Addr: addrOf(i), Zone: zone, Region: zone % size.Regions, Roles: []string{"dispatcher"}, at: i, world: world,
			blobs: map[flow.Ref][]byte{}}
		if i < size.Stores {
			h.Roles = []string{"store"}
		} else if i < size.Stores+size.Coords {
			h.Roles = []string{"coordinator", "dispatcher"}
		}
		world.Hosts, world.byAddr[h.Addr] = append(world.Hosts, h), h
	}
	world.codec = func() node.Config {
		t := platform.Codec("10.255.0.1:80")
		return node.Config{Seeds: seeds, Form: form, Keep: 1 << 30, Bounds: ledger.Usual, BlocksMost: 65536, First: true, Codec: &t, LotKeep: time.Hour}
	}
	return world
}

func addrOf(i int) string { return fmt.Sprintf("10.%d.%d.%d:7000", 1+i/62500, i/250%250, 1+i%250) }

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i) }

// Clear forgets what was spent so far.
func (w *World) Clear() {
	for _, h := range w.Hosts {
		h.clear()
	}
}

// After does f in a later round, between two turns of the hosts.
func (w *World) After(d time.Duration, f func()) {
	k := w.round + max(1, int(d/Round))
	w.later[k] = append(w.later[k], f)
}

// Run lets time pass.
func (w *World) Run(d time.Duration) { w.Until(d, func() bool { return false }) }

// Until lets time pass until ok, at most d, and says whether it came to be.
func (w *World) Until(d time.Duration, ok func() bool) bool {
	for end := w.Now + d; w.Now < end; {
		if ok() {
			return true
		}
		w.turn()
	}
	return ok()
}

// turn is one round: all hosts advance side by side, then what they said is
// carried, in the order of the hosts.
func (w *World) turn() {
	w.round++
	w.Now += Round
	for _, f := range w.later[w.round] {
		f()
	}
	delete(w.later, w.round)
	for from := 0; from < len(w.Hosts); {
		// Whole lists and configurations come to all at once: what reading them
		// leaves is collected before the next nodes read theirs.
		to, size := from, 0
		for to < len(w.Hosts) && size < burst {
			size += w.Hosts[to].bulk()
			to++
		}
		w.advance(w.Hosts[from:to])
		if size >= burst {
			runtime.GC()
		}
		from = to
	}
	said := w.said
	for _, h := range w.Hosts {
		if h.Up {
			h.emit()
		}
	}
	if w.said-said > 2*burst {
		runtime.GC()
	}
}

// burst is how many bytes of large lines are read before a collection.
const burst = 160 << 20

// large is the least that counts as one.
const large = 64 << 10

func (w *World) advance(hosts []*Host) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for {
				i := int(next.Add(1)) - 1
				if i >= len(hosts) {
					return
				}
				hosts[i].advance()
			}
		}()
	}
	wg.Wait()
}

func (h *Host) advance() {
	h.out = flow.Outbox{}
	if !h.Up {
		return
	}
	k := h.world.round % ahead
	h.in, h.queue[k] = h.queue[k], nil
	h.idle++
	if h.world.Size.Lazy && len(h.in) == 0 && (h.idle+h.at)%10 != 0 {
		return
	}
	was := threadTime()
	h.out = h.Node.Advance(h.clock(), 1_700_000_000_000+h.world.Now.Milliseconds(), h.in)
	was = threadTime() - was
	h.Spent.CPU += was
	h.Spent.Turn = max(h.Spent.Turn, was)
	h.in = nil
}

func (w *World) rounds(a, b *Host) int {
	if a.Region != b.Region {
		return far
	}
	return inHost
}

// operator is the address of the hollow operator, who asks the store's leader.
const operator = "10.254.0.1:1"

// Ask puts a command or a question to the store's leader, as a node does.
func (w *World) Ask(question ledger.Body, done func(ledger.Result)) {
	raw, _ := json.Marshal(question)
	w.asks++
	id := w.asks
	lead := w.Leader()
	if lead == nil {
		w.After(10*Round, func() { w.Ask(question, done) })
		return
	}
	a, _ := json.Marshal(ask.Ask{ID: id, Kind: question.Kind(), Body: raw})
	w.told[id] = func(r ledger.Result) {
		if r.Code == ledger.Unanswered {
			w.After(5*Round, func() { w.Ask(question, done) })
			return
		}
		if done != nil {
			done(r)
		}
	}
	lead.offer(1, flow.Event{Line: &flow.Line{Ver: flow.Version, Cluster: lead.Node.Cluster(), Kind: "ask", From: "operator", Addr: operator, Body: a}})
	w.After(100*Round, func() { // the leader may have died
		if w.told[id] != nil {
			delete(w.told, id)
			w.Ask(question, done)
		}
	})
}

func (w *World) heard(l flow.Line) {
	var told ask.Told
	if l.Kind != "told" || json.Unmarshal(l.Body, &told) != nil || w.told[told.ID] == nil {
		return
	}
	f := w.told[told.ID]
	delete(w.told, told.ID)
	if told.Retry {
		told.Code = ledger.Unanswered
	}
	f(ledger.Result{Code: told.Code, Body: told.Body})
}

// Leader gives the store that leads, or nil.
func (w *World) Leader() *Host { return w.lead }

// Acting gives the coordinator that acts, or nil.
func (w *World) Acting() *Host { return w.acts }

// All says whether every running host that serves callers is as wanted.
func (w *World) All(ok func(*Host) bool) bool {
	for _, h := range w.Hosts {
		if h.Up && h.Has("dispatcher") && !ok(h) {
			return false
		}
	}
	return true
}
