package lots

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlink/core/flow"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/resend"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/policy"
)

// run is one send of an item to an engine.
type run struct {
	item   *item
	engine *engines.Engine
	id     uint64
	text   text
	from   int // events that it was begun with
	began  flow.Time
	last   flow.Time // the last news of it
	open   bool      // its head has come
	bound  bool      // it named the weights that it goes on under
	first  bool      // an event has come
	gap    float64   // a smoothed time between its events, in ms
}

// start sends an item, going on from a text where there is one.
func (t *Table) start(i *item, e *engines.Engine, from text) {
	now, w := t.env.Now, t.env.Codec.Words
	r := &run{item: i, engine: e, text: from.clone(), from: len(from.events), began: now, last: now}
	fields := make([]flow.Field, 0, len(i.Fields)+5)
	for _, f := range i.Fields {
		if f.Name != w.Attempt && f.Name != w.LastEvent && f.Name != w.Expect && f.Name != w.ExpectWeights && f.Name != w.TimeLeft {
			fields = append(fields, f)
		}
	}
	limit := time.Minute
	if i.lot.doc.WaitMS > 0 {
		limit = max(time.Second, i.lot.opened+flow.Time(i.lot.doc.WaitMS)*time.Millisecond-now)
	}
	fields = append(fields, flow.Field{Name: w.Attempt, Value: i.ID}, flow.Field{Name: w.Expect, Value: e.ID},
		flow.Field{Name: w.TimeLeft, Value: strconv.FormatInt(limit.Milliseconds(), 10)})
	if from.last >= 0 {
		fields = append(fields, flow.Field{Name: w.LastEvent, Value: strconv.Itoa(from.last)})
		if r.bound = i.lot.doc.Single; r.bound {
			fields = append(fields, flow.Field{Name: w.ExpectWeights, Value: strconv.Itoa(from.made())})
		}
	}
	if !t.env.Fresh() || t.rows[i.lot.doc.ID] != i.lot {
		t.env.Invariants.Violated(invariant.SentWithoutLease, "lot", i.lot.doc.ID, "item", i.ID, "engine", e.ID, "owned", t.rows[i.lot.doc.ID] == i.lot)
	}
	i.state = running
	if i.begun == 0 {
		i.begun = now
	}
	i.runs = append(i.runs, r)
	e.Begin()
	t.env.Counts["items_sent"]++
	if t.env.Debug {
		t.trace(i, "sent", "engine", e.ID, "run", len(i.runs), "from", r.from)
	}
	r.id = t.env.Send(flow.Send{Verb: "POST", URL: "http://" + e.Addr + i.Path, Host: i.lot.doc.Host, Fields: fields, Body: i.Body,
		Until: now + time.Second, Limit: now + limit, Keep: true, Raw: true, Stream: true, Name: w.Attempt, Match: i.ID}, func(b flow.Back) { t.back(r, b) })
}

// back takes news of a run.
func (t *Table) back(r *run, b flow.Back) {
	switch {
	case b.End:
		t.ended(r, b)
	case b.Open:
		t.opened(r, b)
	default:
		t.event(r, b.Event)
	}
}

// learn takes what an engine's head says of its weights and its load.
func (t *Table) learn(r *run, fields []flow.Field) int {
	w := t.env.Codec.Words
	if word := flow.Get(fields, w.Load); word != "" {
		t.engines.Load(r.engine, word)
	}
	v := lastNumber(flow.Get(fields, w.Weights))
	r.engine.Learn(r.item.lot.doc.Model, v)
	return v
}

// lastNumber reads the newest of versions that are separated by commas.
func lastNumber(word string) int {
	best := 0
	for _, p := range strings.Split(word, ",") {
		if n, err := strconv.Atoi(strings.TrimSpace(p)); err == nil {
			best = max(best, n)
		}
	}
	return best
}

func (t *Table) opened(r *run, b flow.Back) {
	r.last, r.open = t.env.Now, true
	t.engines.Good(r.engine)
	v := t.learn(r, b.Fields)
	if v > 0 {
		r.text.now = v
	}
	if !t.allowed(r) {
		t.give(r)
	}
}

// allowed says whether a run's present weights may make its text.
func (t *Table) allowed(r *run) bool {
	d := &r.item.lot.doc
	if r.text.now > 0 && r.text.now < d.Least {
		return false
	}
	return !d.Single || len(r.text.versions) == 0 || r.text.now == 0 || slices.Equal(r.text.versions, []int{r.text.now})
}

// event takes one event: what it says of the weights counts from it on.
func (t *Table) event(r *run, block []byte) {
	now := t.env.Now
	id, data, any := -1, "", false
	mark := strings.ToLower(t.env.Codec.Weights) + ":"
	for _, l := range strings.Split(string(block), "\n") {
		switch {
		case strings.HasPrefix(l, mark):
			if n, err := strconv.Atoi(strings.TrimSpace(l[len(mark):])); err == nil {
				r.text.now = n
				r.engine.Learn(r.item.lot.doc.Model, n)
			}
		case strings.HasPrefix(l, "id:"):
			if n, err := strconv.Atoi(strings.TrimSpace(l[3:])); err == nil {
				id = n
			}
		case strings.HasPrefix(l, "data:"):
			d := strings.TrimPrefix(l[5:], " ")
			if any {
				d = data + "\n" + d
			}
			data, any = d, true
		}
	}
	t.engines.Good(r.engine)
	if !any {
		return
	}
	if !t.allowed(r) || id < 0 || r.text.last >= 0 && id != r.text.last+1 {
		t.give(r) // not what was asked for: nothing of it is joined
		return
	}
	if t.env.Debug && !r.first {
		t.trace(r.item, "first token", "engine", r.engine.ID)
	}
	if r.first {
		gap := float64(now-r.last) / 1e6
		r.gap += (gap - r.gap) / 4
		r.engine.Took(gap)
	}
	if !r.first {
		t.index.Stored(r.engine, r.item.lot.doc.Model, r.text.now, r.item.group.parts, r.item.lot.doc.Route)
	}
	if r.text.size+len(data) > textMost {
		t.tooLong(r)
		return
	}
	r.first, r.last = true, now
	t.giveOverdue(r)
	r.text.last = id
	r.text.events, r.text.size = append(r.text.events, data), r.text.size+len(data)
	r.text.name(r.text.now)
}

// textMost is the largest text of an item, in bytes: a listing of one and an answer that has
// it must be carried, whatever its letters are. It is some hundred thousand tokens.
const textMost = 2 << 20

// tooLong gives a run up whose text has no end in sight. Nothing of it is kept.
func (t *Table) tooLong(r *run) {
	t.env.Counts["texts_too_long"]++
	t.engines.Bad(r.engine)
	t.give(r)
	r.item.kept = text{last: -1}
}

// leave takes a run off its item, and keeps the text where it is the longest.
func (t *Table) leave(r *run) {
	t.changed = true
	i := r.item
	i.runs = slices.DeleteFunc(i.runs, func(x *run) bool { return x == r })
	if len(r.text.events) > len(i.kept.events) && i.state != done && t.env.Policies.On(policy.ResumedTexts) {
		i.kept = r.text
	}
	if len(i.runs) == 0 && i.state == running {
		i.state = held
	}
}

// give cuts a run whose text can't be used from here on.
func (t *Table) give(r *run) {
	if t.env.Debug {
		t.trace(r.item, "run given up", "engine", r.engine.ID, "events", len(r.text.events))
	}
	r.engine.End(0)
	t.env.Cut(r.id)
	t.leave(r)
}

// ended hears the end of a run.
func (t *Table) ended(r *run, b flow.Back) {
	r.engine.End(t.engines.KeptUntil(b))
	i := r.item
	if t.env.Debug {
		t.trace(i, "run over", "engine", r.engine.ID, "code", b.Code, "events", len(r.text.events), "failure", b.Err)
	}
	if len(b.Fields) > 0 && !r.open {
		t.learn(r, b.Fields) // a stream's head was heard when it opened, and is old by now
	}
	t.leave(r)
	if i.state == done || t.rows[i.lot.doc.ID] != i.lot {
		return
	}
	evidence := t.env.Observe(b)
	if resend.Decide(resend.LotItem, evidence) == resend.Accept {
		t.answered(r, b)
		return
	}
	// The item is held now, and goes out again within its lot's time and tries.
	switch evidence {
	case resend.WrongInstance:
		t.moved(r, b)
	case resend.NotRun, resend.Promise:
		t.engines.Full(r.engine)
	case resend.Failed:
		t.failed(i, b)
	case resend.Unsent:
		t.engines.Bad(r.engine)
	default:
		t.engines.Bad(r.engine)
		t.env.Counts["runs_broken"]++
	}
}

// answered takes a whole answer to an item: its text, or a word that it has none.
func (t *Table) answered(r *run, b flow.Back) {
	i := r.item
	switch {
	case b.Code == http.StatusUnprocessableEntity:
		t.finish(i, ledger.LotResult{Item: i.ID, State: ledger.LotAbandoned})
	case b.Code == http.StatusOK && len(r.text.events) > 0 && t.allowed(r):
		t.engines.Good(r.engine)
		if t.paces[i.lot.doc.Route] == nil {
			t.paces[i.lot.doc.Route] = &pace{}
		}
		t.paces[i.lot.doc.Route].took(t.env.Now - i.begun)
		t.checkWeights(r)
		t.made(i, ledger.LotResult{Item: i.ID, State: ledger.LotComplete, Text: strings.Join(r.text.events, "\n"), Versions: r.text.versions})
	default:
		t.engines.Full(r.engine)
	}
}

// checkWeights finds a text whose weights its lot does not allow. The ledger would not
// list it (design 8.7).
func (t *Table) checkWeights(r *run) {
	d, versions := &r.item.lot.doc, r.text.versions
	for _, v := range versions {
		if v < d.Least || d.Single && v != versions[0] {
			t.env.Invariants.Violated(invariant.DisallowedWeights, "lot", d.ID, "item", r.item.ID, "engine", r.engine.ID, "version", v, "least", d.Least)
		}
	}
}

// failed counts a failed attempt, of which an item has so many.
func (t *Table) failed(i *item, b flow.Back) {
	if b.Code != http.StatusInternalServerError {
		return
	}
	i.fails++
	if i.lot.doc.Tries > 0 && i.fails >= i.lot.doc.Tries {
		t.finish(i, ledger.LotResult{Item: i.ID, State: ledger.LotAbandoned})
	}
}

// moved hears that other weights, or another start, are at an engine. A partial
// that no engine can go on from is let go.
func (t *Table) moved(r *run, b flow.Back) {
	id := flow.Get(b.Fields, t.env.Codec.Instance)
	if id != "" && id != r.engine.ID || id == "" && !r.bound {
		t.engines.Stale(r.engine)
		return
	}
	t.engines.Full(r.engine)
}

// Silences after which a run is doubted, and after which its item is placed again.
const (
	firstMost = 400 * time.Millisecond // before its first event
	gapMost   = 250 * time.Millisecond // between events, at least
	gapTimes  = 8
	lostAfter = 2500 * time.Millisecond // nothing will come any more
)

// doubt says that a run has been silent for longer than it should.
func (r *run) doubt(now flow.Time) bool {
	if !r.first {
		return now-r.last > firstMost
	}
	return now-r.last > max(gapMost, flow.Time(r.gap*gapTimes*1e6))
}

// overdue says that nothing is likely to come of a run any more: its item is placed again, as
// one that is held. Its engine keeps it until another has made an event, since a silence is no
// end.
func (r *run) overdue(now flow.Time) bool {
	return r.doubt(now) && (now-r.last > lostAfter || r.engine.Gone)
}

// runsMost is how many runs of an item are under way at once.
const runsMost = 2

// toPlace says whether an item waits for an engine.
func (i *item) toPlace(now flow.Time) bool {
	switch i.state {
	case held:
		return now >= i.again
	case running:
		return !slices.ContainsFunc(i.runs, func(r *run) bool { return !r.overdue(now) })
	}
	return false
}

// longest is the longest text that there is of an item.
func (i *item) longest() text {
	best := i.kept
	for _, r := range i.runs {
		if len(r.text.events) > len(best.events) {
			best = r.text
		}
	}
	return best
}

// giveOverdue cuts the overdue runs of an item beside one that has made an event.
func (t *Table) giveOverdue(r *run) {
	for _, other := range slices.Clone(r.item.runs) {
		if other != r && other.overdue(t.env.Now) {
			t.env.Counts["runs_silent"]++
			t.give(other)
		}
	}
}

// watch looks for runs that went silent. While this node stops, no engine is looked for in
// their place, and the lot's next owner goes on with their texts.
func (t *Table) watch() {
	now := t.env.Now
	for _, id := range sortedIDs(t.rows) {
		for _, i := range t.rows[id].items {
			// Backwards, since one that is given up leaves the item's runs.
			for at := len(i.runs) - 1; at >= 0; at-- {
				r := i.runs[at]
				if !r.doubt(now) {
					continue
				}
				t.engines.Bad(r.engine)
				if !r.overdue(now) {
					continue
				}
				t.changed = true
				if t.leaving {
					t.env.Counts["runs_silent"]++
					t.give(r)
				}
			}
		}
	}
}
