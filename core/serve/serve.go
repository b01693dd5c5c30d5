// Package serve wires the packages of the serving side (design 12): host routes,
// lots, engines, the platform's list and weight roll-outs. It owns no table; it only
// runs the packages' systems in the order of a tick. core/node calls it.
package serve

import (
	"math/rand"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/inflight"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/env"
	"fernlink/core/serve/fleet"
	"fernlink/core/serve/lots"
	"fernlink/core/serve/policy"
	"fernlink/core/serve/prefixes"
	"fernlink/core/serve/requests"
	"fernlink/core/serve/rollout"
	"fernlink/core/serve/route"
)

// Config are the options of the serving side.
type Config struct {
	ID, Zone string // ID names this very start of the process
	Codec    dialect.Codec
	Asker    *ask.Asker
	Rand     *rand.Rand
	IDs      func() uint64
	Keep     flow.Time        // for how long after its hand-in a lot's results stay
	Fresh    func() bool      // the view of the ledger is under a lease
	ViewAt   func() flow.Time // up to when that view has all that was committed
	Debug    bool             // trace notes are wanted
	Acting   fleet.Acting     // of this node's coordinator

	Orders     *inflight.Orders // weight orders that may be on their way
	Invariants *invariant.Monitor
	Policies   policy.Set // for measurements: what is left out
}

// Serve is the serving side of one node.
type Serve struct {
	p        Config
	env      *env.Env
	routes   *route.Table
	engines  *engines.Table
	index    *prefixes.Table
	requests *requests.Table
	lots     *lots.Table
	fleet    *fleet.Fleet
	roll     *rollout.Roll
	live     []gossip.Entry
	open     map[string]bool // lots that were heard of and are open
	leaving  bool
	started  flow.Time             // when it first advanced
	fresh    flow.Time             // when there was a lease last, or the start
	retiring map[string]retirement // by the machine's identity
}

// New starts without a plan or an engine.
func New(p Config) *Serve {
	s := &Serve{p: p, open: map[string]bool{}, retiring: map[string]retirement{}, env: &env.Env{Me: p.ID, Zone: p.Zone, Asker: p.Asker, Rand: p.Rand, Codec: p.Codec, IDs: p.IDs,
		Counts: map[string]int64{}, Fresh: p.Fresh, ViewAt: p.ViewAt, Debug: p.Debug, Orders: p.Orders, Invariants: p.Invariants, Policies: p.Policies}}
	s.engines = engines.New(s.env)
	s.index = prefixes.New(s.env)
	s.requests = requests.New(s.env, s.engines)
	s.lots = lots.New(s.env, s.engines, func() *route.Table { return s.routes }, func() []gossip.Entry { return s.live }, s.index, s.requests)
	s.fleet = fleet.New(s.env, s.engines, p.Acting)
	s.roll = rollout.New(s.env, s.engines, s.fleet, p.Acting)
	return s
}

// Bind sets where answers to asks write what they want done.
func (s *Serve) Bind(now flow.Time, out *flow.Outbox) { s.env.Turn(now, out) }

// Advance runs the packages' systems.
func (s *Serve) Advance(now flow.Time, live []gossip.Entry, out *flow.Outbox) {
	s.env.Turn(now, out)
	s.live = live
	if s.started == 0 {
		s.started = now
	}
	if s.fresh == 0 || s.p.Fresh() {
		s.fresh = now
	}
	if len(s.retiring) > 0 {
		s.tellRetired()
	}
	s.fleet.Advance(live)
	s.roll.Advance()
	s.requests.Advance()
	s.lots.Advance()
	s.index.Advance()
}

// adopt takes a plan, only where it is newer than the one in force. The first
// one comes with the first renewal, like all others: a majority confirmed it
// after this process started (design 12.4).
func (s *Serve) adopt(version uint64, p *api.Plan) {
	if s.routes == nil || version > s.routes.Version {
		if s.routes != nil && version < s.routes.Version {
			s.env.Invariants.Violated(invariant.PlanWentBack, "version", version, "in_force", s.routes.Version)
		}
		s.routes = route.New(version, p)
		s.env.Out.Limits = limits(p.Limits)
	}
}

// Back takes news of a send.
func (s *Serve) Back(now flow.Time, b flow.Back, out *flow.Outbox) {
	s.env.Turn(now, out)
	s.env.Back(b)
}

// Gone hears that a caller went away.
func (s *Serve) Gone(now flow.Time, call uint64, out *flow.Outbox) {
	s.env.Turn(now, out)
	s.requests.Gone(call)
	s.lots.Gone(call)
}

// Heard folds what a renewal brought: a plan only where it is newer.
func (s *Serve) Heard(now flow.Time, d ledger.Delta, version uint64, p *api.Plan) {
	s.env.Now = now
	if p != nil {
		s.adopt(version, p)
	}
	s.index.Coord(d.Coord.Term, d.Coord.Addr)
	for _, t := range d.Targets {
		s.roll.Target(t.Pool, t.Revision)
	}
	for _, l := range d.Lots {
		if l.Ended {
			delete(s.open, l.ID)
		} else if !s.open[l.ID] {
			s.open[l.ID] = true
			s.roll.Lot(l.Model, l.Least)
		}
	}
	s.lots.Heard(d.Lots)
}

// limits are a plan's own for callers, which hold from now on.
func limits(l *api.Limits) *flow.Limits {
	if l == nil {
		return &flow.Limits{}
	}
	ms := func(n int) flow.Time { return flow.Time(min(n, api.MostMS)) * time.Millisecond }
	return &flow.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, Header: ms(l.HeaderMS), Idle: ms(l.IdleMS)}
}

// Leave begins a clean stop, which is over by ends at the latest.
func (s *Serve) Leave(now, ends flow.Time, out *flow.Outbox) {
	s.env.Turn(now, out)
	s.leaving = true
	s.requests.Leave(ends)
	s.lots.Leave()
}

// Close answers all callers that still wait: this process ends now.
func (s *Serve) Close(now flow.Time, out *flow.Outbox) {
	s.env.Turn(now, out)
	s.requests.Close()
	s.lots.Close()
}

// Acked and Looked take what the acting coordinator says to events and questions.
func (s *Serve) Acked(a disp.Ack) { s.index.Acked(a) }

func (s *Serve) Looked(now flow.Time, l disp.Looked, out *flow.Outbox) {
	s.env.Turn(now, out)
	s.index.Looked(l)
}

// Idle says that a plan is known, and that nothing is under way here.
func (s *Serve) Idle() bool {
	return s.routes != nil && !s.leaving && s.requests.Len()+s.lots.Len()+s.lots.Readers()+s.lots.HandIns()+s.env.Sends() == 0
}

// Left says that nothing is under way any more.
func (s *Serve) Left() bool { return s.requests.Len() == 0 && s.lots.Quiet() }

var calls = map[string]func(*Serve, flow.Call){
	"request":       (*Serve).request,
	"ready":         (*Serve).ready,
	"lot.read":      func(s *Serve, c flow.Call) { s.lots.Read(c) },
	"lot.end":       func(s *Serve, c flow.Call) { s.lots.End(c) },
	"lot.item":      func(s *Serve, c flow.Call) { s.lots.Item(c) },
	"machine.empty": (*Serve).emptyMachine,
	"machine.state": (*Serve).machineState,
}

// Serves says whether a call is this side's.
func Serves(name string) bool { _, ok := calls[name]; return ok }

// Call takes a call.
func (s *Serve) Call(now flow.Time, c flow.Call, out *flow.Outbox) {
	s.env.Turn(now, out)
	calls[c.Name](s, c)
}

// backIn is when a caller may come back to a node that knows no plan yet.
const backIn = 200 * time.Millisecond

// request takes a caller's request. That there is no route is only said under a
// lease: a node that may be behind says when to come back.
func (s *Serve) request(c flow.Call) {
	r := s.routes.Find(c.Host, c.Path)
	if r == nil {
		if s.env.Debug {
			s.env.Trace("serve", "refused", "request", flow.Get(c.Fields, s.p.Codec.Attempt), "call", c.ID, "why", "no route is known", "host", c.Host, "path", c.Path)
		}
		if s.routes == nil || !s.p.Fresh() {
			s.env.Refuse(c.ID, env.MayBeBehind, backIn)
			return
		}
		s.env.Answer(c.ID, env.NoRoute)
		return
	}
	if r.Kind == route.Samples {
		s.lots.Put(c, r, s.p.Keep)
		return
	}
	s.requests.Take(c, r)
}

// ready says whether this node wants callers: not when it has been without a lease
// for long, since others may know newer routes, and take lots.
func (s *Serve) ready(c flow.Call) {
	if s.leaving || s.routes == nil || !s.fleet.Known() || s.env.Now-s.fresh > budget.Engine {
		s.env.Out.Answer(c.ID, env.StatusNotReady, map[string]bool{"ready": false}, nil)
		return
	}
	s.env.Out.Answer(c.ID, env.StatusDone, map[string]bool{"ready": true}, nil)
}

var lines = map[string]func(*Serve, flow.Line){
	"fleet": func(s *Serve, l flow.Line) {
		var n fleet.News
		if json.Unmarshal(l.Body, &n) == nil {
			s.fleet.Take(l.Addr, n)
		}
	},
	"lot.hand": func(s *Serve, l flow.Line) {
		var d ledger.LotDoc
		if flow.Decode(l.Body, &d) == nil {
			s.lots.Handed(d)
		}
	},
	lots.CutLine: func(s *Serve, l flow.Line) {
		var id string
		if json.Unmarshal(l.Body, &id) == nil {
			s.lots.Cut(id)
		}
	},
	"fleet.ask": func(s *Serve, l flow.Line) { s.fleet.Asked(l.Addr) },
}

// Line takes a line of another node, if it is this side's.
func (s *Serve) Line(now flow.Time, l flow.Line, out *flow.Outbox) bool {
	f, ok := lines[l.Kind]
	if ok {
		s.env.Turn(now, out)
		f(s, l)
	}
	return ok
}

// Stats is the serving side's part of the one snapshot (design 10.4).
type Stats struct {
	Plan    uint64           `json:"plan_version"`
	Open    int              `json:"requests_open"`
	Lots    int              `json:"lots_owned"`
	Sends   int              `json:"sends_open"`
	Counts  map[string]int64 `json:"counts"`
	Engines []engines.View   `json:"engines"`
	Fresh   bool             `json:"under_lease"`
	List    int              `json:"engines_listed"`
	ListAge float64          `json:"list_age_seconds"` // below zero where there is no list
	Orders  int              `json:"weight_orders_under_way"`
	Readers int              `json:"readers_waiting"`
	Held    int              `json:"items_held"`
	Running int              `json:"items_running"`
	Ready   int              `json:"items_to_list"` // finished here, and not listed yet
}

// counted are counts that are shown before they first happen, so that a scraper
// sees them rise from 0.
var counted = []string{"passed", "refused", "hedged", "late", "unknown", "streams_broken", "streams_doubted", "streams_moved", "lots_taken", "lots_adopted", "items_sent",
	"items_listed", "items_complete", "items_abandoned", "second_runs", "runs_broken", "runs_silent", "weight_orders", "reports_read", "list_calls",
	"list_failures", "engine_failures", "turned_away", "reward_calls", "rewards_failed", "texts_kept", "texts_too_long"}

// Stats gives the snapshot.
func (s *Serve) Stats() Stats {
	x := Stats{Open: s.requests.Len(), Lots: s.lots.Len(), Sends: s.env.Sends(), Counts: map[string]int64{}, Engines: s.engines.Views(),
		Fresh: s.p.Fresh(), List: s.fleet.Len(), ListAge: s.fleet.Age().Seconds(), Orders: s.roll.Len(), Readers: s.lots.Readers()}
	x.Held, x.Running, x.Ready = s.lots.Items()
	for _, k := range counted {
		x.Counts[k] = 0
	}
	if s.routes != nil {
		x.Plan = s.routes.Version
	}
	for k, v := range s.env.Counts {
		x.Counts[k] = v
	}
	return x
}
