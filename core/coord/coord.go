// Package coord is the coordinator role (design 9): one acts, under a lease
// from the store; others stand by. Gate, journal, views, policies, checkpoint
// and the weight roll-outs.
package coord

import (
	"sort"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/index/gate"
	"fernlink/core/index/journal"
	"fernlink/core/index/policy"
	"fernlink/core/index/view"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// Config are the options of a coordinator.
type Config struct {
	ID, Addr string
	Asker    *ask.Asker
	IDs      func() uint64
	File     []byte   // the checkpoint found at the start, if any
	Off      []string // policies that are switched off
	Keeps    bool     // there is a data folder for the checkpoint
}

// Coord is one coordinator, acting or not.
type Coord struct {
	p    Config
	now  flow.Time
	out  *flow.Outbox
	term uint64
	till flow.Time
	next flow.Time
	last flow.Time // the last renewal

	cluster string
	gate    *gate.Gate
	journal *journal.Journal
	views   *view.Views
	fleet   policy.Fleet
	moves   map[string]*move
	sends   map[uint64]func(flow.Back)
	plan    uint64
	known   uint64 // how far every dispatcher that may serve has read

	tick, sweep, save flow.Time
	watchers          map[uint64]*watcher
	feeds             map[string]*feed
	counts            map[string]int64
	passed            map[string]flow.Time
	saved             flow.Time
	cold              bool
	heard             uint64 // answers to renewals
	leaving           bool   // this process stops
	gone              bool   // and has given the lease back
}

// New starts a coordinator that stands by.
func New(p Config) *Coord {
	c := &Coord{p: p, sends: map[uint64]func(flow.Back){}, watchers: map[uint64]*watcher{}, counts: map[string]int64{}, passed: map[string]flow.Time{}}
	c.clear()
	return c
}

func (c *Coord) clear() {
	c.gate, c.views, c.journal = gate.New(), view.New(), &journal.Journal{}
	c.journal.Read(func(r journal.Record) { c.views.Fold(r) })
	c.moves = map[string]*move{}
	c.feeds, c.plan = map[string]*feed{}, 0
	c.fleet = policy.Fleet{Orders: map[string]ledger.Order{}, Targets: map[string]ledger.Target{}, Keep: map[string]float64{}, Pins: map[string]bool{}}
}

// Acting says whether this coordinator holds a fresh lease.
func (c *Coord) Acting(now flow.Time) bool { return c.term > 0 && now < c.till }

// Lease tells the term, until when it holds, and whether this coordinator acts
// and does not stop.
func (c *Coord) Lease(now flow.Time) (uint64, flow.Time, bool) {
	return c.term, c.till, c.Acting(now) && !c.leaving
}

// Bind sets where answers to asks write what they want done.
func (c *Coord) Bind(now flow.Time, out *flow.Outbox) { c.now, c.out = now, out }

// Advance runs the coordinator's systems.
func (c *Coord) Advance(now flow.Time, cluster string, out *flow.Outbox) {
	c.now, c.out, c.cluster = now, out, cluster
	c.renew()
	if !c.Acting(now) {
		return
	}
	if c.leaving {
		c.leave()
		return
	}
	if now >= c.sweep {
		c.sweep = now + budget.SweepInterval
		c.silence()
	}
	if now >= c.tick {
		c.tick = now + budget.RenewInterval
		c.runPolicies()
	}
	c.roll()
	c.feed()
	if c.p.Keeps && now >= c.save {
		c.save = now + budget.CheckpointInterval
		c.checkpoint()
	}
}

// Leave stops ordering. Once nothing is under way the lease is given back, so
// that a successor need not wait for it to lapse (design 5.5).
func (c *Coord) Leave() { c.leaving = true }

// Left says that this coordinator holds nothing.
func (c *Coord) Left(now flow.Time) bool { return c.term == 0 || !c.gone && !c.Acting(now) }

func (c *Coord) leave() {
	if len(c.sends) > 0 || c.gone {
		return
	}
	c.gone = true
	c.till = c.now // nothing is ordered from here on, whatever the answer
	c.p.Asker.Ask(c.now, budget.LeaseDuration, store.LeaveCoord{ID: c.p.ID, Addr: c.p.Addr, Term: c.term}, func(now flow.Time, _ ask.Answer) {
		c.now = now
		c.standDown()
	})
}

// Nudge hears that something changed: the renewal comes sooner.
func (c *Coord) Nudge() {
	if c.term > 0 {
		c.next = min(c.next, c.last+budget.RenewMinInterval)
	}
}

func (c *Coord) renew() {
	if c.now < c.next || c.leaving && c.term == 0 {
		return
	}
	c.last = c.now
	lease := store.CoordRenew{ID: c.p.ID, Addr: c.p.Addr, Term: c.term, Plan: c.plan, Heard: c.heard}
	if c.term == 0 {
		c.next = c.now + budget.LeaseTakeoverTimeout/12
		c.p.Asker.Ask(c.now, budget.LeaseDuration, store.TakeCoord(lease), func(now flow.Time, a ask.Answer) {
			c.now = now
			c.granted(a)
		})
		return
	}
	c.next = c.now + budget.RenewInterval
	c.p.Asker.Ask(c.now, budget.LeaseDuration, lease, func(now flow.Time, a ask.Answer) {
		c.now = now
		if a.Code != ledger.Unanswered {
			c.heard++
		}
		if a.Code == ledger.Unavailable {
			c.next = now
		}
		c.renewed(lease.Term, a)
	})
}

func (c *Coord) granted(a ask.Answer) {
	var t ledger.Coord
	if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &t) != nil || t.ID != c.p.ID || c.term != 0 {
		return
	}
	c.clear()
	c.restore()
	c.term = t.Term
	c.till = 0 // acts from the first renewal on, which also brings the fleet
	c.next = c.now
	c.save = c.now + budget.CheckpointInterval
	c.sweep = c.now + budget.SweepInterval
	flow.Warn.Note(c.out, "coord", "took the lease", "term", c.term, "cold", c.cold)
}

func (c *Coord) renewed(term uint64, a ask.Answer) {
	if term != c.term || c.term == 0 {
		return
	}
	if a.Code == ledger.Conflict {
		c.standDown()
		return
	}
	var d ledger.Delta
	if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &d) != nil {
		return
	}
	if !c.gone {
		c.till = max(c.till, a.Sent+budget.LeaseDuration)
	}
	c.tick = c.now // policies look at what is new
	c.fleet.Steps, c.known = d.Steps, d.Known
	c.fleet.Orders, c.fleet.Targets = map[string]ledger.Order{}, map[string]ledger.Target{}
	for _, o := range d.Orders {
		c.fleet.Orders[o.Engine] = o
	}
	for _, t := range d.Targets {
		c.fleet.Targets[t.Pool] = t
	}
	if d.Plan != nil && d.Plan.Version > c.plan {
		c.takePlan(d.Plan)
	}
}

func (c *Coord) takePlan(p *ledger.Plan) {
	var plan api.Plan
	if json.Unmarshal(p.Doc, &plan) != nil {
		return
	}
	c.plan = p.Version
	c.fleet.Keep, c.fleet.Pins = map[string]float64{}, map[string]bool{}
	for _, x := range plan.Pools {
		if x.Keep > 0 {
			c.fleet.Keep[x.Name] = x.Keep
		}
	}
	for _, x := range plan.Pins {
		for _, b := range prefix.Blocks(x.Prefix) {
			c.fleet.Pins[b] = true
		}
	}
}

func (c *Coord) standDown() {
	flow.Warn.Note(c.out, "coord", "stood down", "term", c.term)
	c.term, c.till, c.plan = 0, 0, 0
	for _, id := range sorted.Keys(c.watchers) {
		c.closeWatch(id, "this coordinator stood down")
	}
	for id := range c.sends {
		delete(c.sends, id)
		c.out.Cuts = append(c.out.Cuts, id)
	}
	sort.Slice(c.out.Cuts, func(i, j int) bool { return c.out.Cuts[i] < c.out.Cuts[j] })
	c.clear()
}

// Events takes batches from a dispatcher (design 9.2).
func (c *Coord) Events(now flow.Time, from string, b disp.Batches, out *flow.Outbox) {
	if !c.Acting(now) || b.Term > c.term {
		return
	}
	c.now, c.out = now, out
	a := disp.Ack{Term: c.term}
	at := map[string]int{}
	for _, x := range b.Batches {
		x := x
		v := c.gate.Check(x)
		if f, ok := verdicts[v]; ok {
			f(c, x)
		}
		s := disp.Seq{Engine: x.Engine, Inc: x.Inc, Seq: c.gate.Seq(x)}
		if i, ok := at[x.Engine+"/"+x.Inc]; ok {
			a.Seqs[i] = s
			continue
		}
		at[x.Engine+"/"+x.Inc] = len(a.Seqs)
		a.Seqs = append(a.Seqs, s)
		if c.gate.Stale(x) {
			a.Stale = append(a.Stale, s)
		}
	}
	out.Line(from, "acked", a)
}

var verdicts = map[string]func(*Coord, disp.Batch){
	gate.Admit: (*Coord).admit,
	gate.Gap:   (*Coord).admit,
	gate.Fresh: func(c *Coord, b disp.Batch) {
		c.journal.Append(journal.Record{At: c.now, Kind: journal.Fence, Engine: b.Engine})
		c.admit(b)
	},
}

func (c *Coord) admit(b disp.Batch) {
	c.journal.Append(journal.Record{At: c.now, Kind: journal.Batch, Engine: b.Engine, Batch: &b})
}

// Lookup answers with leading hits by engine.
func (c *Coord) Lookup(now flow.Time, from string, l disp.Lookup, out *flow.Outbox) {
	if !c.Acting(now) {
		return
	}
	c.counts["lookups"]++
	h := c.views.Hits(l.Blocks)
	if len(h) > 0 {
		c.counts["lookup_hits"]++
	}
	out.Line(from, "looked", disp.Looked{ID: l.ID, Term: c.term, Hits: h})
}

// silence fences engines of which nothing was heard for long.
func (c *Coord) silence() {
	for _, id := range c.views.IDs() {
		if c.now-c.views.Registry[id].At >= budget.EngineExpiry {
			c.counts["silenced"]++
			c.journal.Append(journal.Record{At: c.now, Kind: journal.Fence, Engine: id})
			delete(c.gate.Engines, id)
		}
	}
	c.passed["silence"] = c.now
}

var actions = map[string]func(*Coord, policy.Action){
	"forget": func(c *Coord, a policy.Action) {
		c.counts["forgotten"] += int64(len(a.Blocks))
		c.journal.Append(journal.Record{At: c.now, Kind: journal.Forget, Engine: a.Engine, Blocks: a.Blocks})
	},
	"order": func(c *Coord, a policy.Action) { c.order(a) },
}

func (c *Coord) runPolicies() {
	for _, p := range policy.All {
		if off(c.p.Off, p.Name) {
			continue
		}
		for _, a := range p.Tick(c.now, c.views, c.fleet) {
			actions[a.Kind](c, a)
		}
		c.passed[p.Name] = c.now
	}
}

func off(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// Check says which switched-off names match no policy: a typo stops the node
// at the start (design 9.4).
func Check(names []string) []string {
	var bad []string
	for _, n := range names {
		ok := false
		for _, p := range policy.All {
			ok = ok || p.Name == n
		}
		if !ok {
			bad = append(bad, n)
		}
	}
	return bad
}

// Stats is the coordinator's part of the one snapshot (design 10.4): is the
// view complete, how old is it, are the loops alive, what do policies do.
type Stats struct {
	Acting  bool               `json:"acting"`
	Term    uint64             `json:"term"`
	Offset  uint64             `json:"journal_offset"`
	Stale   int                `json:"stale_slices"`
	Gate    map[string]int64   `json:"gate"`
	Engines int                `json:"engines"`
	Blocks  int                `json:"blocks"`
	Bytes   map[string]int64   `json:"bytes_by_trainer"`
	Oldest  float64            `json:"oldest_sign_seconds"`
	Passed  map[string]float64 `json:"seconds_since_pass"`
	Moves   int                `json:"orders_under_way"`
	Counts  map[string]int64   `json:"counts"`
	Cold    bool               `json:"cold_start"`
	Watch   int                `json:"watchers"`
}

// Stats gives the snapshot.
func (c *Coord) Stats(now flow.Time) Stats {
	s := Stats{Acting: c.Acting(now), Term: c.term, Offset: c.journal.Offset, Stale: c.gate.StaleCount(), Gate: map[string]int64{},
		Engines: len(c.views.Registry), Bytes: map[string]int64{}, Passed: map[string]float64{}, Moves: len(c.moves),
		Counts: map[string]int64{}, Cold: c.cold, Watch: len(c.watchers)}
	for _, d := range c.views.Directory {
		s.Blocks += len(d)
	}
	for _, r := range c.views.Registry {
		s.Oldest = max(s.Oldest, (now - r.At).Seconds())
	}
	for k, v := range c.gate.Counts {
		s.Gate[k] = v
	}
	for k, v := range c.views.Trainers {
		s.Bytes[k] = v
	}
	for k, v := range c.passed {
		s.Passed[k] = (now - v).Seconds()
	}
	for k, v := range c.counts {
		s.Counts[k] = v
	}
	return s
}

// Rows counts what each table keeps.
func (c *Coord) Rows(to map[string]int) {
	to["index_engines"], to["index_gate"], to["coord_sends"], to["moves"], to["watchers"] = len(c.views.Registry), len(c.gate.Engines), len(c.sends), len(c.moves), len(c.watchers)
	for _, d := range c.views.Directory {
		to["index_blocks"] += len(d)
	}
	for _, f := range c.feeds {
		to["feed_lines"] += len(f.lines)
	}
}
