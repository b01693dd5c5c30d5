// Package rollout brings engines to the newest weights (design 12.7). Only the
// acting coordinator orders, under its term as fence; each order is sent under a
// fresh lease and followed until the engine says that it holds the version.
package rollout

import (
	"net/http"
	"slices"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/invariant"
	"fernlink/core/resend"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/env"
	"fernlink/core/serve/fleet"
	"fernlink/core/sorted"
)

// Roll is the roll-outs of one node's coordinator.
type Roll struct {
	env     *env.Env
	engines *engines.Table
	fleet   *fleet.Fleet
	acting  fleet.Acting
	targets map[string]target // by model
	jobs    map[string]*job
	taken   map[string]uint64 // orders that each engine has taken, as it reported last
	term    uint64
	next    flow.Time // when engines that are behind are looked for next
}

// job is one order to one engine.
type job struct {
	engine *engines.Engine
	model  string
	rev    int
	sent   bool // it may be under way at the engine
	open   bool
	due    flow.Time
	since  flow.Time
	shown  bool // told to dispatchers as busy
	told   flow.Time
}

// New has no targets.
func New(e *env.Env, t *engines.Table, f *fleet.Fleet, acting fleet.Acting) *Roll {
	return &Roll{env: e, engines: t, fleet: f, acting: acting, targets: map[string]target{}, jobs: map[string]*job{}, taken: map[string]uint64{}}
}

// target is what is wanted of a model's engines.
type target struct {
	rev   int
	since flow.Time // when it was heard
	// slack is how many versions behind the newest the last two lots allowed.
	slack [2]int
	lots  int
}

// Target hears the newest version named for a model.
func (r *Roll) Target(model string, rev int) {
	if t := r.targets[model]; rev > t.rev {
		t.rev, t.since = rev, r.env.Now
		r.targets[model] = t
	}
}

// Lot hears the oldest version that a new lot of a model allows. Engines of several
// models that the next lot will allow as well need not take each version: each then
// takes one of so many, in turn, and the others go on serving (design 12.7).
func (r *Roll) Lot(model string, least int) {
	t := r.targets[model]
	t.slack[t.lots%len(t.slack)] = max(0, t.rev-least)
	t.lots++
	r.targets[model] = t
}

// least is the version below which an engine takes the newest: what the next lot
// will allow, as far as earlier ones tell, or the newest itself when it has
// stood for long.
func (t target) least(now flow.Time) int {
	if t.lots < len(t.slack) || now-t.since > settled {
		return t.rev
	}
	return t.rev - min(t.slack[0], t.slack[1])
}

// settled is how long the newest version stands before all engines take it,
// whatever lots allow.
const settled = budget.Heal

// Len counts orders under way.
func (r *Roll) Len() int { return len(r.jobs) }

// share is the part of a model's engines that take weights at once.
const share = 3

// Times: ratios of the bound in which an engine must be known to be gone.
const (
	look       = budget.Engine / 15 // between two readings of an engine
	orderAgain = budget.Engine / 2  // an order that shows no effect is sent again
	sendBy     = budget.Engine / 4  // an order's call
)

// Advance starts orders and follows them.
func (r *Roll) Advance() {
	term, till, ok := r.acting()
	if !ok || term != r.term {
		r.jobs, r.taken = map[string]*job{}, map[string]uint64{}
		r.term = term
		if !ok {
			return
		}
	}
	if r.env.Now >= r.next {
		r.next = r.env.Now + look/4
		r.forgetGone()
		for _, m := range sorted.Keys(r.targets) {
			r.begin(m, r.targets[m])
		}
	}
	for _, id := range sorted.Keys(r.jobs) {
		r.follow(id, r.jobs[id], till)
	}
}

func (r *Roll) begin(model string, t target) {
	rev, least := t.rev, t.least(r.env.Now)
	var behind []*engines.Engine
	all, busy := 0, 0
	for _, e := range r.engines.All() {
		if _, has := e.Models[model]; !has || e.Draining {
			continue
		}
		all++
		if j := r.jobs[e.ID]; j != nil {
			if j.model == model {
				busy++
			}
			continue
		}
		want := rev
		if len(e.Models) > 1 {
			want = least // a load takes slots from the other models
		}
		if e.Held[model] < want {
			behind = append(behind, e)
		}
	}
	slices.SortStableFunc(behind, func(a, b *engines.Engine) int { return r.engines.Busy(a) - r.engines.Busy(b) })
	for _, e := range behind {
		if busy >= max(1, (all+share-1)/share) {
			return
		}
		busy++
		r.jobs[e.ID] = &job{engine: e, model: model, rev: rev, due: r.env.Now}
	}
}

func (r *Roll) follow(id string, j *job, till flow.Time) {
	now := r.env.Now
	if j.engine.Gone {
		delete(r.taken, id)
		r.close(id, j)
		return
	}
	if j.engine.Held[j.model] >= j.rev && !j.open {
		r.close(id, j)
		return
	}
	if !j.shown || now-j.told > look*4 {
		j.shown, j.told = true, now
		r.show(j, true)
	}
	if j.open || now < j.due {
		return
	}
	if taken, known := r.taken[id]; known && !j.sent {
		r.order(j, taken, till)
		return
	}
	r.read(j)
}

func (r *Roll) show(j *job, busy bool) {
	r.engines.Weights(j.engine.ID, j.model, j.engine.Held[j.model], busy)
	r.fleet.Weights(fleet.Row{Engine: j.engine.ID, Model: j.model, Held: j.engine.Held[j.model], Busy: busy})
}

func (r *Roll) close(id string, j *job) {
	delete(r.jobs, id)
	if r.env.Debug {
		r.env.Trace("rollout", "order over", "engine", id, "model", j.model, "version", j.engine.Held[j.model], "gone", j.engine.Gone)
	}
	r.show(j, false)
}

// order sends the order to an engine that has taken so many before. Without an answer it may
// have been taken; one that arrives after the engine has taken another is declined.
func (r *Roll) order(j *job, taken uint64, till flow.Time) {
	now := r.env.Now
	j.open, j.sent, j.since = true, true, now
	r.env.Counts["weight_orders"]++
	if r.env.Debug {
		r.env.Trace("rollout", "ordered", "engine", j.engine.ID, "model", j.model, "version", j.rev, "term", r.term)
	}
	if term, until, acting := r.acting(); !acting || term != r.term || now >= until {
		r.env.Invariants.Violated(invariant.OrderWithoutLease, "engine", j.engine.ID, "model", j.model, "version", j.rev, "term", r.term, "acting_term", term)
	}
	body := r.env.Codec.WriteOrder(dialect.WeightOrder{Model: j.model, Revision: j.rev, Mode: "hold", Owner: r.env.Me, Fence: r.term, Expected: taken})
	until := min(till, now+sendBy)
	var id uint64
	id = r.send(flow.Send{Verb: "POST", URL: "http://" + j.engine.Addr + r.env.Codec.OrderPath, Body: body, Until: until, Limit: now + sendBy, Alone: true,
		Fields: []flow.Field{{Name: "Content-Type", Value: "application/json"}, {Name: r.env.Codec.Expect, Value: j.engine.ID}}}, func(b flow.Back) {
		j.open = false
		j.due = r.env.Now + look*2
		if r.env.Debug {
			r.env.Trace("rollout", "order answered", "engine", j.engine.ID, "code", b.Code, "failure", b.Err)
		}
		evidence := r.env.ObserveOrder(b)
		r.env.Orders.Ended(id, evidence)
		if evidence == resend.WrongInstance {
			r.engines.Stale(j.engine)
		}
		switch {
		case resend.Decide(resend.WeightOrder, evidence) == resend.Resend:
			j.sent, j.due = false, r.env.Now+look
		case b.Code == http.StatusConflict:
			delete(r.taken, j.engine.ID) // another is under way, or was taken since
			j.sent, j.due = false, r.env.Now+look
		case b.Code == http.StatusPreconditionFailed:
			flow.Warn.Note(r.env.Out, "rollout", "an engine has seen a higher fence", "engine", j.engine.ID, "term", r.term)
			j.due = r.env.Now + orderAgain
		}
	})
	r.env.Orders.Sent(now, id)
}

// forgetGone forgets engines that left the list.
func (r *Roll) forgetGone() {
	for id := range r.taken {
		if r.engines.Get(id) == nil {
			delete(r.taken, id)
		}
	}
}

// reported takes how many orders an engine has taken: with one under way it is not asked for
// another.
func (r *Roll) reported(j *job, x dialect.Report) {
	delete(r.taken, j.engine.ID)
	if x.Busy {
		return
	}
	r.taken[j.engine.ID] = x.Orders
	if !j.sent {
		j.due = r.env.Now // it is ordered now
	}
}

// send makes a call whose connection is kept. Answers to reports and orders carry no id. What
// comes for a report is only trusted as far as it reads as one; an order's answer tells whether
// the order may still be under way, so its connection has carried nothing before, and its
// effect is read all the same.
func (r *Roll) send(s flow.Send, f func(flow.Back)) (id uint64) {
	s.Keep = true
	return r.env.Send(s, f)
}

// read asks the engine for what it holds.
func (r *Roll) read(j *job) {
	j.open = true
	until := r.env.Now + sendBy
	r.env.Counts["reports_read"]++
	r.send(flow.Send{Verb: "GET", URL: "http://" + j.engine.Addr + r.env.Codec.ReportPath, Until: until, Limit: until}, func(b flow.Back) {
		j.open = false
		j.due = r.env.Now + look
		x, err := r.env.Codec.ReadReport(b.Body)
		if resend.Decide(resend.Read, r.env.Observe(b)) != resend.Accept || b.Code != http.StatusOK || err != nil {
			return // read again when it is due
		}
		for _, m := range sorted.Keys(x.Models) {
			j.engine.Learn(m, x.Models[m])
		}
		r.reported(j, x)
		if j.engine.Held[j.model] < j.rev && !x.Busy && r.env.Now-j.since > orderAgain {
			j.sent = false
		}
	})
}
