// Package lots is the owner's side of lots (design 12.5): which item runs where,
// what became of it, and its listing in the ledger. What the ledger has listed
// never moves; everything here may be lost with the process and is made again.
package lots

import (
	"cmp"
	"slices"
	"time"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/env"
	"fernlink/core/serve/policy"
	"fernlink/core/serve/prefixes"
	"fernlink/core/serve/requests"
	"fernlink/core/serve/route"
	"fernlink/core/sorted"
)

// Table is the lots that this node owns, and the calls that wait for results.
type Table struct {
	env      *env.Env
	engines  *engines.Table
	routes   func() *route.Table
	live     func() []gossip.Entry
	index    *prefixes.Table
	calls    *requests.Table // makes reward calls
	rows     map[string]*lot
	asked    map[string]bool      // lots whose items are being fetched
	wanted   map[string]flow.Time // lots that fell to this node, and when to fetch them
	others   map[string]bool      // open lots that were another's
	open     map[string]openLot   // lots that have not ended, and their owners
	over     map[string]flow.Time // lots that are over, and when that was heard
	last     map[string]string    // pool, and pool and model, who owned the newest lot
	paces    map[string]*pace     // by route
	share    map[string]int       // slots of each engine in use, by pool, where that is bounded
	partials partials             // texts of items that may come again
	readers  map[uint64]*reader
	putting  map[uint64]int // hand-ins that are not answered yet, and their bytes on the way to the store
	handIns  map[uint64]*handIn
	leaving  bool
	scanned  flow.Time // when all items were last looked through
	changed  bool      // a slot became free, or an item may run
}

// New makes an empty table.
func New(e *env.Env, t *engines.Table, routes func() *route.Table, live func() []gossip.Entry, index *prefixes.Table, calls *requests.Table) *Table {
	return &Table{env: e, engines: t, routes: routes, live: live, index: index, calls: calls, rows: map[string]*lot{}, asked: map[string]bool{}, wanted: map[string]flow.Time{}, others: map[string]bool{}, open: map[string]openLot{}, over: map[string]flow.Time{}, last: map[string]string{}, paces: map[string]*pace{}, partials: partials{},
		readers: map[uint64]*reader{}, putting: map[uint64]int{}, handIns: map[uint64]*handIn{}}
}

// lot is an open lot that this node owns.
type lot struct {
	doc     ledger.LotDoc
	opened  flow.Time
	adopted flow.Time // when this node took it over, after it was committed
	items   []*item   // those that are not listed, in the lot's order
	byID    map[string]*item
	groups  []*group
	ready   []ledger.LotResult // finished and not listed yet
	flight  int                // how many of them a listing under way has
	flushed flow.Time          // when the last listing was asked for
	left    int                // items that are not finished
	unmade  int                // items whose texts are not whole
	whole   []*item            // those that wait for their scores, the oldest first
	advised bool               // engines that hold its prompts were looked for
}

// group is the items of one prompt.
type group struct {
	id    string
	items []*item
	home  *engines.Engine // where its prompt was read
	parts []string        // the shared parts of its prompt
	left  int             // items that are not finished
}

// Item states.
const (
	held = iota
	running
	scoring // its text is whole, and waits for its score
	done
)

// item is one request of a lot.
type item struct {
	ledger.LotItem
	lot   *lot
	group *group
	state int
	runs  []*run
	kept  text // the longest text of a run that broke off
	score *scoreCall
	fails int       // answers of 500
	begun flow.Time // its first send
	again flow.Time
}

// text is what came of an item so far.
type text struct {
	events   []string // the data of its events
	size     int      // of these, in bytes
	last     int      // the id of the newest event, -1 for none
	versions []int
	now      int // the version that makes it just now
}

func (t text) clone() text {
	t.events, t.versions = slices.Clone(t.events), slices.Clone(t.versions)
	return t
}

// made is the version that made the newest event, 0 where none is known.
func (t text) made() int {
	if n := len(t.versions); n > 0 {
		return t.versions[n-1]
	}
	return 0
}

// name adds the version that made an event.
func (t *text) name(v int) {
	if v > 0 && !slices.Contains(t.versions, v) {
		t.versions = append(t.versions, v)
	}
}

// Len counts open lots here, and what is under way for them.
func (t *Table) Len() int { return len(t.rows) }

// Readers counts the calls that wait for results.
func (t *Table) Readers() int { return len(t.readers) }

// Items counts what this node has of its open lots: items held, under way, and
// finished that are not listed.
func (t *Table) Items() (waiting, under, unlisted int) {
	for _, l := range t.rows {
		unlisted += len(l.ready)
		for _, i := range l.items {
			switch i.state {
			case held:
				waiting++
			case running:
				under++
			}
		}
	}
	return
}

// Quiet says that nothing is under way that is worth waiting for at a stop.
func (t *Table) Quiet() bool {
	for _, l := range t.rows {
		if len(l.ready) > 0 {
			return false
		}
		for _, i := range l.items {
			if len(i.runs) > 0 || i.score.unsaved() {
				return false
			}
		}
	}
	return len(t.readers)+len(t.putting) == 0
}

// Leave stops starting items; what runs is seen to its end.
func (t *Table) Leave() { t.leaving = true }

// Close answers hand-ins and readers that still wait: this process ends now. A hand-in that may
// be taken yet gets no promise.
func (t *Table) Close() {
	for _, call := range sorted.Keys(t.putting) {
		if h := t.handIns[call]; h != nil && h.step != naming {
			t.refuseHandIn(h, env.Stopping)
			continue
		}
		delete(t.putting, call)
		delete(t.handIns, call)
		t.env.Answer(call, env.LotMayBeTaken)
	}
	for _, call := range sorted.Keys(t.readers) {
		delete(t.readers, call)
		t.env.Refuse(call, env.Stopping, budget.RenewInterval)
	}
}

// Adopt takes a lot over: the items in doc are those that are not listed, and whole those of
// their texts that wait for their scores.
func (t *Table) Adopt(doc ledger.LotDoc, age flow.Time, whole ...ledger.LotResult) {
	if t.rows[doc.ID] != nil || t.superseded(doc.ID) {
		return
	}
	l := &lot{doc: doc, opened: t.env.Now - age, adopted: t.env.Now, byID: map[string]*item{}, left: len(doc.Items), unmade: len(doc.Items)}
	at := map[string]*group{}
	for _, x := range doc.Items {
		name := x.Group
		if name == "" {
			name = "=" + x.ID
		}
		g := at[name]
		if g == nil {
			g = &group{id: name, parts: prefixes.Parts(doc.Model, flow.Get(x.Fields, t.env.Codec.Prompt))}
			at[name] = g
			l.groups = append(l.groups, g)
		}
		i := &item{LotItem: x, lot: l, group: g, kept: text{last: -1}}
		if t.env.Policies.On(policy.CarriedTexts) {
			i.kept = t.partials.take(x.ID, &doc)
			if r, ok := t.partials.takeWhole(x.ID, &doc); ok && x.Reward != nil {
				t.await(i, r, false)
			}
		}
		g.items = append(g.items, i)
		g.left++
		l.items = append(l.items, i)
		l.byID[x.ID] = i
	}
	l.doc.Items = nil
	for _, r := range whole {
		if i := l.byID[r.Item]; i != nil && i.state == held && i.Reward != nil {
			t.await(i, r, true)
		}
	}
	t.rows[doc.ID] = l
	t.changed = true
	t.advise(l)
	t.env.Counts["lots_adopted"]++
	if t.env.Debug {
		t.env.Trace("lots", "adopted", "lot", doc.ID, "left", l.left, "age_ms", age.Milliseconds())
	}
}

// advise looks for engines that hold the groups' prompts already: by this node's
// own table, else by the index, whose advice counts for groups that have no place
// when it comes.
func (t *Table) advise(l *lot) {
	r := t.pool(l)
	if r == nil {
		return // looked for once the plan is here
	}
	l.advised = true
	if !t.env.Policies.On(policy.PrefixIndex) {
		return
	}
	pool := t.pools(r)
	for _, g := range l.groups {
		if g.home = t.index.Local(pool, l.doc.Model, g.parts); g.home != nil {
			continue
		}
		t.index.Ask(l.doc.Model, g.parts, func(hits map[string]int) {
			most := 0
			for _, id := range sorted.Keys(hits) {
				if e := t.engines.Get(id); e != nil && hits[id] > most && g.home == nil {
					g.home, most = e, hits[id]
				}
			}
		})
	}
}

// Heard takes what the ledger says of lots (design 5.2).
func (t *Table) Heard(rows []ledger.LotRow) {
	for _, r := range rows {
		t.heardOwner(r)
		switch {
		case r.Ended || r.Owner != t.env.Me:
			delete(t.wanted, r.ID)
			t.drop(r.ID)
		case t.rows[r.ID] == nil && (t.others[r.ID] || r.Parts):
			t.fetch(r.ID) // nobody hands it over
		case t.rows[r.ID] == nil:
			t.wanted[r.ID] = t.env.Now + handTime(r.Bytes)
		}
		if r.Ended {
			delete(t.others, r.ID)
		} else if r.Owner != t.env.Me {
			t.others[r.ID] = true
		}
	}
}

// handOver is how long the node that took a lot may need to hand it over, where it is
// small.
const handOver = budget.Listed / 5

// handTime is how long a hand-over of so many bytes may take; then the owner fetches the
// lot. A question is given time for its way and its answer's (ask.Carry), a hand-over
// for one of the two. A lot that is on its way must not be fetched as well: that goes by
// the leader's link.
func handTime(bytes int64) flow.Time { return handOver + ask.Carry(int(bytes))/2 }

// fetches asks for lots that fell to this node and were not handed to it.
func (t *Table) fetches() {
	for _, id := range sorted.Keys(t.wanted) {
		if t.rows[id] != nil {
			delete(t.wanted, id)
		} else if t.env.Now >= t.wanted[id] {
			delete(t.wanted, id)
			t.fetch(id)
		}
	}
}

// drop ends all work on a lot.
func (t *Table) drop(id string) {
	l := t.rows[id]
	if l == nil {
		return
	}
	delete(t.rows, id)
	if t.env.Debug {
		t.env.Trace("lots", "let go", "lot", id, "left", l.left)
	}
	for _, i := range l.items {
		for _, r := range i.runs {
			if len(r.text.events) > len(i.kept.events) {
				i.kept = r.text
			}
		}
		t.stop(i)
		t.unscore(i)
		if i.state != done {
			t.partials.put(i.ID, i.kept, t.env.Now)
		}
	}
}

// trace notes what became of an item.
func (t *Table) trace(i *item, text string, args ...any) {
	t.env.Trace("lots", text, append([]any{"lot", i.lot.doc.ID, "item", i.ID}, args...)...)
}

// stop cuts all runs of an item.
func (t *Table) stop(i *item) {
	t.changed = t.changed || len(i.runs) > 0
	for _, r := range i.runs {
		r.engine.End(0)
		t.env.Cut(r.id)
	}
	i.runs = nil
}

// scanEvery is how often all items are looked through for what only time changes:
// silences, rests that are over, lots that are late. It is far below the shortest
// of those times, and what an event changes is seen in the same turn.
const scanEvery = budget.Listed / 50

// Advance runs the room's systems.
func (t *Table) Advance() {
	t.advanceHandIns()
	t.fetches()
	scan := t.env.Now >= t.scanned+scanEvery
	if scan {
		t.scanned = t.env.Now
		t.expire()
		t.watch()
	}
	if scan || t.changed {
		t.changed = false
		t.place()
		t.score()
	}
	if scan {
		t.second()
	}
	t.flush()
	t.wake()
}

func (t *Table) ordered() []*lot {
	var out []*lot
	for _, id := range sorted.Keys(t.rows) {
		out = append(out, t.rows[id])
	}
	late := func(l *lot) int {
		if t.env.Now > l.due()+lateAfter {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b *lot) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.due(), b.due()))
	})
	return out
}

// lateAfter is how long past its due time a lot's results still count as in
// time: they go before those of lots that are late already.
const lateAfter = budget.Listed / 2

// due is when all results are due, by this node's clock.
func (l *lot) due() flow.Time { return l.opened + flow.Time(l.doc.DueMS)*time.Millisecond }

// expire abandons what may be given up: the lot's time is over, or its route is
// gone.
func (t *Table) expire() {
	for _, id := range sorted.Keys(t.rows) {
		l := t.rows[id]
		over := l.doc.WaitMS > 0 && t.env.Now-l.opened > flow.Time(l.doc.WaitMS)*time.Millisecond+time.Second
		if !over && !t.routeGone(l) {
			continue
		}
		for _, i := range l.items {
			if i.state != done {
				t.finish(i, ledger.LotResult{Item: i.ID, State: ledger.LotAbandoned})
			}
		}
	}
}

// knowsRoute says whether this node's plan is as new as the one by which a lot was taken. What
// an older one says of the lot's route, or does not say, is no word on it (design 12.5).
func (t *Table) knowsRoute(l *lot) bool {
	routes := t.routes()
	return routes != nil && routes.Version >= l.doc.Plan
}

// routeGone says that the route of a lot has ended: this node's plan has none for it, and is as
// new as the one by which the lot was taken and as all that was committed before the lot came. A
// route may have been taken away and added again when an older plan, which still had it, took
// the lot.
func (t *Table) routeGone(l *lot) bool {
	return t.env.Fresh() && t.env.ViewAt() > l.adopted && t.knowsRoute(l) && t.pool(l) == nil
}

// pool gives the route of a lot, or nil where there is none that this node knows of.
func (t *Table) pool(l *lot) *route.Route {
	if !t.knowsRoute(l) {
		return nil
	}
	r := t.routes().Find(l.doc.Host, l.doc.Path)
	if r == nil || r.Kind != route.Samples {
		return nil
	}
	return r
}

// finish ends an item with its result.
func (t *Table) finish(i *item, r ledger.LotResult) {
	t.stop(i)
	if i.state == done {
		return
	}
	t.checkScored(i, r)
	if i.state != scoring {
		i.lot.unmade--
	}
	t.unscore(i)
	i.state = done
	i.kept = text{last: -1}
	i.group.left--
	i.lot.left--
	i.lot.ready = append(i.lot.ready, r)
	t.env.Counts["items_"+r.State]++
	if t.env.Debug {
		t.trace(i, "finished", "state", r.State)
	}
}
