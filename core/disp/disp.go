// Package disp is the dispatcher: callers' and operators' requests, placement
// of generations, engine streams, the judge, and the events that the index is
// derived from (design 7, 8, 9.1). It is one state machine; entities are in
// tables and systems run over them each tick.
package disp

import (
	"math/rand"
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// Config are the options of a dispatcher.
type Config struct {
	ID, Addr, Zone string // ID names this very start of the process
	Platform       string // where the platform list is read
	Rand           *rand.Rand
	Asker          *ask.Asker
	IDs            func() uint64
	BlocksMost     int // prefix blocks remembered for one engine
	Invariants     *invariant.Monitor
	// Heard, if any, is told of each renewal and the plan that stands after it.
	Heard func(flow.Time, ledger.Delta, uint64, *api.Plan)
}

// Disp is one dispatcher.
type Disp struct {
	p   Config
	now flow.Time
	out *flow.Outbox

	till        flow.Time // the lease's end; nothing starts after it
	lastRenewal ledger.Outcome
	viewAt      flow.Time // up to when all that was committed is known here
	next        flow.Time // the next renewal
	asked       flow.Time // the last one
	renewing    bool      // it is not answered yet
	index       uint64
	indexAt     flow.Time // when it was heard
	version     uint64
	plan        *api.Plan
	whole       bool // the plan's changes did not fit: all is asked for again
	steps       map[string]*step
	roster      []string
	coord       ledger.Coord
	orders      map[string]ledger.Order
	drains      map[string]bool

	engines  map[string]*engine
	listDue  flow.Time
	listOpen bool
	listSeen bool

	sends   map[uint64]func(flow.Back)
	reqs    map[uint64]*req
	busy    map[string]int
	slices  map[string]*slice
	evDue   flow.Time
	lookups map[uint64]*group
	live    []gossip.Entry
	counts  map[string]int64
	tries   uint64
	doubts  map[uint64]doubt  // calls that wait for a proved view
	parked  map[uint64]reader // readers that wait for results
	lists   map[string]int    // results heard of, by open step
	stirred map[string]bool   // steps with news since the last turn
	heard   uint64            // answers to renewals
	rosters int               // counts the rosters there were
	owed    int               // claims that are still to be settled
	leaving bool              // this process stops
	handed  bool              // and what it had was handed on
}

// New starts a dispatcher without a lease.
func New(p Config) *Disp {
	return &Disp{p: p, steps: map[string]*step{}, orders: map[string]ledger.Order{}, drains: map[string]bool{},
		engines: map[string]*engine{}, sends: map[uint64]func(flow.Back){},
		reqs: map[uint64]*req{}, busy: map[string]int{}, slices: map[string]*slice{}, lookups: map[uint64]*group{},
		counts: map[string]int64{}, parked: map[uint64]reader{}, doubts: map[uint64]doubt{}, lists: map[string]int{}, stirred: map[string]bool{}}
}

// systems run over the tables each tick, in this order.
var systems = []func(*Disp){
	(*Disp).renew,
	(*Disp).proveCalls,
	(*Disp).readList,
	(*Disp).readLoads,
	(*Disp).own,
	(*Disp).lapse,
	(*Disp).watch,
	(*Disp).placeAll,
	(*Disp).judgeAll,
	(*Disp).listAll,
	(*Disp).endLate,
	(*Disp).unpark,
	(*Disp).report,
}

// Bind sets where answers to asks write what they want done.
func (d *Disp) Bind(now flow.Time, out *flow.Outbox) { d.now, d.out = now, out }

// Advance runs the systems.
func (d *Disp) Advance(now flow.Time, live []gossip.Entry, out *flow.Outbox) {
	d.now, d.out, d.live = now, out, live
	for _, f := range systems {
		f(d)
	}
}

// Back takes news of a send.
func (d *Disp) Back(now flow.Time, b flow.Back, out *flow.Outbox) {
	d.now, d.out = now, out
	f, ok := d.sends[b.ID]
	if !ok {
		return
	}
	if b.End {
		delete(d.sends, b.ID)
	}
	f(b)
}

// sendWork sends what may only be sent under a lease (design 5.2).
func (d *Disp) sendWork(s flow.Send, f func(flow.Back)) uint64 {
	if !d.Fresh(d.now) || s.Until > d.till {
		d.p.Invariants.Violated(invariant.SentWithoutLease, "url", s.URL, "until", s.Until, "lease_until", d.till, "now", d.now)
	}
	return d.send(s, f)
}

func (d *Disp) send(s flow.Send, f func(flow.Back)) uint64 {
	s.ID = d.p.IDs()
	d.sends[s.ID] = f
	d.out.Sends = append(d.out.Sends, s)
	return s.ID
}

func (d *Disp) cut(id uint64) {
	if _, ok := d.sends[id]; ok {
		delete(d.sends, id)
		d.out.Cuts = append(d.out.Cuts, id)
	}
}

// fresh says whether this dispatcher may start work (design 5.2).
func (d *Disp) fresh() bool { return d.now < d.till && !d.leaving }

// Fresh says whether the view of the ledger is under a lease.
func (d *Disp) Fresh(now flow.Time) bool { return now < d.till }

// Idle says that nothing is under way here, and that there is a lease.
func (d *Disp) Idle(now flow.Time) bool {
	return d.Fresh(now) && !d.leaving && len(d.sends)+len(d.reqs)+len(d.steps)+len(d.parked)+len(d.lookups) == 0
}

func (d *Disp) renew() {
	if d.now < d.next || d.leaving || d.renewing && d.now-d.asked < budget.AskRetryInterval {
		return
	}
	d.renewing = true
	d.next, d.asked = d.now+budget.RenewInterval, d.now
	have := d.index
	if d.whole {
		have = 0
	}
	d.p.Asker.Ask(d.now, budget.LeaseDuration, store.Renew{ID: d.p.ID, Have: have, Heard: d.heard}, func(now flow.Time, a ask.Answer) {
		var x ledger.Delta
		d.renewing, d.lastRenewal = false, a.Code
		if a.Code != ledger.Unanswered {
			d.heard++
		}
		if a.Code == ledger.Unavailable {
			d.next = now
		}
		if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &x) != nil {
			return
		}
		d.now = now
		if d.till < now && a.Sent+budget.LeaseDuration > now {
			d.out.Note("disp", "took up serving", "plan", d.version, "index", x.Index)
		}
		if d.leaving {
			return
		}
		d.till = max(d.till, a.Sent+budget.LeaseDuration)
		if x.Index < d.index && a.Sent > d.indexAt {
			d.p.Invariants.Violated(invariant.LedgerWentBack, "index", x.Index, "known", d.index)
		}
		if x.Index >= d.index {
			d.fold(x)
		}
		if !d.whole {
			d.viewAt = max(d.viewAt, a.Sent)
		}
	})
}

// LastRenewal is what the newest renewal came to.
func (d *Disp) LastRenewal() ledger.Outcome { return d.lastRenewal }

// ViewAt is a moment up to which this view of the ledger has all that was committed, also the
// plan: when the newest renewal that proved it was sent (design 5.2).
func (d *Disp) ViewAt() flow.Time { return d.viewAt }

// Nudge hears that something changed: the renewal comes sooner.
func (d *Disp) Nudge() { d.next = min(d.next, d.asked+budget.RenewMinInterval) }

// fold takes what changed in the ledger. An older view never replaces a
// newer one, since the index only grows (design 6.2).
func (d *Disp) fold(x ledger.Delta) {
	d.foldPlan(x)
	if len(x.Open) > 0 && !slices.Equal(d.roster, x.Roster) {
		d.roster, d.rosters = x.Roster, d.rosters+1
	}
	if x.Index > d.index {
		d.indexAt = d.now
	}
	d.index, d.coord, d.whole = x.Index, x.Coord, api.Behind(d.version, x.Changes)
	if d.p.Heard != nil {
		d.p.Heard(d.now, x, d.version, d.plan)
	}
	d.foldOrders(x.Orders)
	for _, r := range x.Drains {
		d.drains[r.Engine] = r.On
	}
	d.prune()
	d.foldSteps(x)
}

// foldPlan takes a plan that is newer than the one in force here.
func (d *Disp) foldPlan(x ledger.Delta) {
	version, plan, newer := api.Follow(d.version, d.plan, x.Plan, x.Changes)
	if !newer {
		return
	}
	if version < d.version {
		d.p.Invariants.Violated(invariant.PlanWentBack, "version", version, "in_force", d.version)
	}
	d.plan, d.version = plan, version
	d.out.Note("disp", "plan in force", "version", d.version)
}

// foldOrders takes weight orders that are new or have changed.
func (d *Disp) foldOrders(orders []ledger.Order) {
	for _, o := range orders {
		d.Nudge() // the coordinator waits to hear that this was read
		d.orders[o.Engine] = o
		if e := d.engines[o.Engine]; e != nil && o.State == "done" {
			e.due = d.now // read its new weights soon
		}
	}
}

// foldSteps takes steps that were opened, results that were listed, and drops the
// steps that are not open any more.
func (d *Disp) foldSteps(x ledger.Delta) {
	for i, doc := range x.Steps {
		if d.steps[doc.ID] == nil {
			d.addStep(doc, flow.Time(x.Wall-x.Opened[i])*1e6)
		}
	}
	for _, k := range x.Listed {
		if s := d.steps[k.Step]; s != nil {
			s.listed(d, k.Group, k.Sample)
			d.stir(k.Step)
		}
	}
	open := map[string]bool{}
	for _, id := range x.Open {
		open[id] = true
	}
	for _, id := range sorted.Keys(d.steps) {
		if !open[id] {
			d.dropStep(id)
		}
	}
}

// prune forgets orders and drains of engines that are not there, once they are
// more than the ledger itself keeps.
func (d *Disp) prune() {
	for _, id := range sorted.Keys(d.orders) {
		if len(d.orders) > ledger.KeepOrders && d.engines[id] == nil {
			delete(d.orders, id)
		}
	}
	for _, id := range sorted.Keys(d.drains) {
		if len(d.drains) > ledger.KeepDrains && d.engines[id] == nil {
			delete(d.drains, id)
		}
	}
}

// lapse cuts what still runs once the lease is gone for a while: an ended
// step's leftovers may be among it (design 8.4).
func (d *Disp) lapse() {
	if d.now < d.till+budget.End/4 || d.till == 0 {
		return
	}
	for _, id := range sorted.Keys(d.steps) {
		for _, g := range d.steps[id].gens {
			g.stop(d)
		}
	}
}

// Rows counts what each table keeps.
func (d *Disp) Rows(to map[string]int) {
	to["sends"], to["requests"], to["engines"], to["work_steps"], to["lookups"] = len(d.sends), len(d.reqs), len(d.engines), len(d.steps), len(d.lookups)
	to["claims_owed"], to["parked_readers"] = d.owed, len(d.parked)
	to["order_copies"], to["drain_copies"], to["busy_routes"] = len(d.orders), len(d.drains), len(d.busy)
	for _, s := range d.slices {
		to["blocks"] += len(s.blocks)
		to["events"] += len(s.events)
		to["batches"] += len(s.open)
	}
}
