// Package coord is the coordinator role (design 9): the fleet-wide index of prefixes
// and the roll-out of weights. Every coordinator process has one Coord; the one that
// holds the store's lease acts, the others stand by. It owns the gate, journal, views
// and policies of core/index, their checkpoint and the weight orders on their way.
// core/node calls it, one call at a time.
package coord

import (
	"slices"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/index/gate"
	"fernlink/core/index/journal"
	"fernlink/core/index/policy"
	"fernlink/core/index/view"
	"fernlink/core/inflight"
	"fernlink/core/ledger"
)

// Config are the options of a coordinator.
type Config struct {
	ID, Addr string
	Asker    *ask.Asker
	IDs      func() uint64
	File     []byte   // the checkpoint found at the start, if any
	Off      []string // policies that are switched off
	Keeps    bool     // there is a data folder for the checkpoint
	Orders   *inflight.Orders
}

// Coord is one coordinator, acting or not.
type Coord struct {
	config     Config
	now        flow.Time
	outbox     *flow.Outbox
	term       uint64    // of the lease, 0 while standing by
	leaseUntil flow.Time // by this process's clock
	renewAt    flow.Time // when the next renewal is due
	renewedAt  flow.Time // when the last one was sent

	cluster     string
	gate        *gate.Gate
	journal     *journal.Journal
	views       *view.Views
	fleet       policy.Fleet
	pending     map[string]*pendingOrder
	sends       map[uint64]func(flow.Back)
	plan        *api.Plan // without what it was made from
	planVersion uint64
	readUpTo    uint64 // the ledger index up to which every dispatcher with a lease has read

	policiesAt, sweepAt, checkpointAt flow.Time // when each is due

	watchers         map[uint64]*watcher
	feeds            map[string]*feed     // by slice
	counts           map[string]int64     // what was done, by name
	passedAt         map[string]flow.Time // when each loop last ran
	coldStart        bool                 // the lease was taken without a checkpoint
	answeredRenewals uint64
	leaving          bool // this process stops
	released         bool // and has given the lease back
}

// New starts a coordinator that stands by.
func New(config Config) *Coord {
	c := &Coord{
		config: config, sends: map[uint64]func(flow.Back){}, watchers: map[uint64]*watcher{},
		counts: map[string]int64{}, passedAt: map[string]flow.Time{},
	}
	c.reset()
	return c
}

// reset forgets all that belongs to one term.
func (c *Coord) reset() {
	c.gate, c.views, c.journal = gate.New(), view.New(), &journal.Journal{}
	c.journal.Read(func(r journal.Record) { c.views.Fold(r) })
	c.pending = map[string]*pendingOrder{}
	c.feeds, c.planVersion = map[string]*feed{}, 0
	c.fleet = policy.Fleet{
		Orders: map[string]ledger.Order{}, Targets: map[string]ledger.Target{},
		Keep: map[string]float64{}, Pins: map[string]bool{},
	}
}

// Bind sets the time and the outbox that answers to asks work with.
func (c *Coord) Bind(now flow.Time, outbox *flow.Outbox) { c.now, c.outbox = now, outbox }

// Advance does what is due: it renews the lease and, while it acts, runs the policies,
// moves weight orders on and writes to watchers.
func (c *Coord) Advance(now flow.Time, cluster string, outbox *flow.Outbox) {
	c.now, c.outbox, c.cluster = now, outbox, cluster
	c.renew()
	if !c.Acting(now) {
		return
	}
	if c.leaving {
		c.releaseLease()
		return
	}
	if now >= c.sweepAt {
		c.sweepAt = now + budget.SweepInterval
		c.fenceSilentEngines()
	}
	if now >= c.policiesAt {
		c.policiesAt = now + budget.RenewInterval
		c.runPolicies()
	}
	c.advanceOrders()
	c.publishChanges()
	if c.config.Keeps && now >= c.checkpointAt {
		c.checkpointAt = now + budget.CheckpointInterval
		c.checkpoint()
	}
}

// Events takes batches of cache events from a dispatcher (design 9.2). The answer has
// one sequence number for each engine start, as its last batch leaves it.
func (c *Coord) Events(now flow.Time, from string, batches disp.Batches, outbox *flow.Outbox) {
	if !c.Acting(now) || batches.Term > c.term {
		return
	}
	c.now, c.outbox = now, outbox
	ack := disp.Ack{Term: c.term}
	position := map[string]int{}
	for _, batch := range batches.Batches {
		if handle, ok := verdictHandlers[c.gate.Check(batch)]; ok {
			handle(c, batch)
		}
		seq := disp.Seq{Engine: batch.Engine, Inc: batch.Inc, Seq: c.gate.Seq(batch)}
		start := batch.Engine + "/" + batch.Inc
		if i, ok := position[start]; ok {
			ack.Seqs[i] = seq
			continue
		}
		position[start] = len(ack.Seqs)
		ack.Seqs = append(ack.Seqs, seq)
		if c.gate.Stale(batch) {
			ack.Stale = append(ack.Stale, seq)
		}
	}
	outbox.Line(from, "acked", ack)
}

var verdictHandlers = map[string]func(*Coord, disp.Batch){
	gate.Admit: (*Coord).admit,
	gate.Gap:   (*Coord).admit,
	gate.Fresh: func(c *Coord, batch disp.Batch) {
		c.journal.Append(journal.Record{At: c.now, Kind: journal.Fence, Engine: batch.Engine})
		c.admit(batch)
	},
}

func (c *Coord) admit(batch disp.Batch) {
	c.journal.Append(journal.Record{At: c.now, Kind: journal.Batch, Engine: batch.Engine, Batch: &batch})
}

// Lookup answers a dispatcher with the number of a prompt's leading blocks on each engine.
func (c *Coord) Lookup(now flow.Time, from string, lookup disp.Lookup, outbox *flow.Outbox) {
	if !c.Acting(now) {
		return
	}
	c.counts["lookups"]++
	hits := c.views.Hits(lookup.Blocks)
	if len(hits) > 0 {
		c.counts["lookup_hits"]++
	}
	outbox.Line(from, "looked", disp.Looked{ID: lookup.ID, Term: c.term, Hits: hits})
}

// fenceSilentEngines takes engines out of the index that no dispatcher reports any more.
func (c *Coord) fenceSilentEngines() {
	for _, id := range c.views.IDs() {
		if c.now-c.views.Registry[id].At >= budget.EngineExpiry {
			c.counts["silenced"]++
			c.journal.Append(journal.Record{At: c.now, Kind: journal.Fence, Engine: id})
			delete(c.gate.Engines, id)
		}
	}
	c.passedAt["silence"] = c.now
}

var actionHandlers = map[string]func(*Coord, policy.Action){
	policy.Forget: (*Coord).forgetBlocks,
	policy.Order:  (*Coord).startOrder,
}

func (c *Coord) forgetBlocks(action policy.Action) {
	c.counts["forgotten"] += int64(len(action.Blocks))
	c.journal.Append(journal.Record{At: c.now, Kind: journal.Forget, Engine: action.Engine, Blocks: action.Blocks})
}

func (c *Coord) runPolicies() {
	for _, p := range policy.All {
		if slices.Contains(c.config.Off, p.Name) {
			continue
		}
		for _, action := range p.Tick(c.now, c.views, c.fleet) {
			actionHandlers[action.Kind](c, action)
		}
		c.passedAt[p.Name] = c.now
	}
}

// Check says which switched-off names match no policy: a typo stops the node
// at the start (design 9.4).
func Check(names []string) []string {
	var unknown []string
	for _, name := range names {
		known := slices.ContainsFunc(policy.All, func(p policy.Policy) bool { return p.Name == name })
		if !known {
			unknown = append(unknown, name)
		}
	}
	return unknown
}
