// Package requests carries plain requests of callers to engines and their
// answers back (design 12.4). A request is one row with one state; what was
// refused never runs, and one that may run only once is sent again only where
// it is proven that it did not run.
package requests

import (
	"strconv"
	"time"

	"fernlink/core/flow"
	"fernlink/core/invariant"
	"fernlink/core/resend"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/env"
	"fernlink/core/serve/policy"
	"fernlink/core/serve/route"
	"fernlink/core/sorted"
)

// Ratios of a route's bounds.
const (
	hedgePart  = 3 // a repeatable request gets a second engine after a third of its target
	refusePart = 5 // and is refused after a fifth of it, when no engine can be had
	againPart  = 4 // a refused caller may come back after a quarter of it
)

// margin is what is kept for the way back to the caller.
const margin = 5 * time.Millisecond

// Most bounds the requests that are held or under way at one node.
const Most = 4096

// Request is one try of a caller.
type Request struct {
	call   flow.Call
	route  *route.Route
	pool   string
	came   flow.Time
	late   flow.Time // its deadline
	tried  []*engines.Engine
	sends  int // engines that it was sent to
	tries  []*try
	hedge  flow.Time   // when a second engine is asked, 0 for never
	known  resend.Call // what its sends have shown
	stream *stream     // what was passed on of a series of events
	over   bool
	last   flow.Back       // the newest answer that is not to be trusted as final
	seen   resend.Evidence // of the newest send that ended
	ended  bool            // one has
	own    *ownCall        // what hears of it, where this node itself makes the call
}

// try is one send of it.
type try struct {
	engine *engines.Engine
	id     uint64
	at     flow.Time
	opened bool // the head of its answer, which is a stream, has come
}

// Table is all requests by call.
type Table struct {
	env     *env.Env
	engines *engines.Table
	rows    map[uint64]*Request
	turns   *route.Turns
	stop    stop // zero while this process goes on

	failures failures
}

// New makes an empty table.
func New(e *env.Env, t *engines.Table) *Table {
	return &Table{env: e, engines: t, rows: map[uint64]*Request{}, turns: route.NewTurns(e.Rand)}
}

// Len counts the requests that are held or under way.
func (t *Table) Len() int { return len(t.rows) }

// trace notes what became of a request, by the name of its try.
func (t *Table) trace(q *Request, text string, args ...any) {
	t.env.Trace("requests", text, append([]any{"request", flow.Get(q.call.Fields, t.env.Codec.Attempt), "call", q.call.ID}, args...)...)
}

// violated notes a broken promise, by the name of the request's try.
func (t *Table) violated(name invariant.Name, q *Request, args ...any) {
	t.env.Invariants.Violated(name, append([]any{"request", flow.Get(q.call.Fields, t.env.Codec.Attempt), "call", q.call.ID, "route", q.route.Name}, args...)...)
}

// Take takes a request that a route serves.
func (t *Table) Take(c flow.Call, r *route.Route) {
	now := t.env.Now
	q := &Request{call: c, route: r, pool: t.turns.Pick(r), came: now, late: now + r.Limit, known: resend.Call{Kind: kindOf(r)}}
	if left, named := env.Milliseconds(flow.Get(c.Fields, t.env.Codec.TimeLeft)); named {
		q.late = min(q.late, now+left)
	}
	if t.env.Debug {
		t.trace(q, "accepted", "route", r.Name, "pool", q.pool)
	}
	if why := t.refuses(q); why != "" {
		if t.env.Debug {
			t.trace(q, "refused", "why", why)
		}
		t.env.Refuse(c.ID, why, t.again(q))
		return
	}
	t.rows[c.ID] = q
	if r.Kind == route.Stream {
		q.stream = &stream{after: -1}
		if n, err := strconv.Atoi(flow.Get(c.Fields, t.env.Codec.LastEvent)); err == nil {
			q.stream.after = n
		}
	}
	t.place(q)
}

func (t *Table) again(q *Request) flow.Time {
	return max(min(q.route.Target/againPart, (q.late-t.env.Now)/4), time.Millisecond)
}

// kindOf tells how often requests of a route may run.
func kindOf(r *route.Route) resend.Kind {
	switch {
	case r.Kind == route.Again:
		return resend.Repeatable
	case r.Kind == route.Stream && r.Resumable:
		return resend.ResumableStream
	}
	return resend.RunOnce
}

// repeats says whether the request may run more than once.
func (q *Request) repeats() bool { return q.known.Kind != resend.RunOnce }

func (q *Request) most() int { return max(q.route.Tries, 1) }

// place sends the request, or leaves it held.
func (t *Table) place(q *Request) bool {
	if q.sends >= q.most() || q.late-t.env.Now <= margin {
		return false
	}
	e := t.engines.Spare(q.pool, q.tried)
	if e == nil {
		return false
	}
	t.send(q, e)
	return true
}

func (t *Table) send(q *Request, e *engines.Engine) {
	now := t.env.Now
	if !q.repeats() && (len(q.tries) > 0 || !q.known.DidNotRun()) {
		t.violated(invariant.RunOnceSentAgain, q, "engine", e.ID)
	}
	q.sends++
	q.tried = append(q.tried, e)
	x := &try{engine: e, at: now}
	q.tries = append(q.tries, x)
	if q.repeats() && q.stream == nil && q.route.Target > 0 && t.env.Policies.On(policy.Hedging) {
		q.hedge = now + q.hedgeAfter()
	}
	e.Begin()
	if t.env.Debug {
		t.trace(q, "sent", "engine", e.ID, "try", q.sends)
	}
	x.id = t.env.Send(t.sendTo(q, e), func(b flow.Back) { t.back(q, x, b) })
}

// hedgeAfter is how long a send may take before a second engine is asked. Nobody waits for
// a call of this node's own within its target.
func (q *Request) hedgeAfter() flow.Time {
	if q.own != nil {
		return q.route.Target
	}
	return q.route.Target / hedgePart
}

// sendTo makes the send of a request to an engine.
func (t *Table) sendTo(q *Request, e *engines.Engine) flow.Send {
	w := t.env.Codec.Words
	s := flow.Send{Verb: q.call.Verb, URL: q.urlAt(e), Host: q.call.Host, Fields: t.fieldsFor(q, e), Body: q.call.Body, Until: q.late, Limit: q.late,
		Raw: q.stream != nil, Stream: q.stream != nil, Once: !q.repeats(),
		Name: w.Attempt, Match: flow.Get(q.call.Fields, w.Attempt)}
	if s.Match == "" {
		s.Name = ""
	}
	// One that runs once has a connection of its own, since a kept one may be reset by
	// an engine that forgot it; so has one whose answer can't be told from a surplus one.
	s.Keep = q.repeats() && s.Name != ""
	return s
}

// urlAt is where an engine serves a request.
func (q *Request) urlAt(e *engines.Engine) string {
	url := "http://" + e.Addr + q.call.Path
	if query := q.call.Query["?"]; query != "" {
		url += "?" + query
	}
	return url
}

// fieldsFor are the caller's fields, but for those that this node says itself: the
// time left, the start of the engine that may run it, and the last event passed on.
func (t *Table) fieldsFor(q *Request, e *engines.Engine) []flow.Field {
	w := t.env.Codec.Words
	fields := make([]flow.Field, 0, len(q.call.Fields)+3)
	for _, f := range q.call.Fields {
		if f.Name != w.TimeLeft && f.Name != w.Expect && (f.Name != w.LastEvent || q.stream == nil) {
			fields = append(fields, f)
		}
	}
	left := max(1, (q.late - t.env.Now - margin).Milliseconds())
	fields = append(fields, flow.Field{Name: w.TimeLeft, Value: strconv.FormatInt(left, 10)})
	fields = append(fields, flow.Field{Name: w.Expect, Value: e.ID})
	if q.stream != nil && q.stream.after >= 0 {
		fields = append(fields, flow.Field{Name: w.LastEvent, Value: strconv.Itoa(q.stream.after)})
	}
	return fields
}

func (q *Request) drop(x *try) {
	for i, y := range q.tries {
		if y == x {
			q.tries = append(q.tries[:i:i], q.tries[i+1:]...)
			return
		}
	}
}

// back takes news of a try.
func (t *Table) back(q *Request, x *try, b flow.Back) {
	w := t.env.Codec.Words
	if !b.End {
		t.part(q, x, b)
		return
	}
	x.engine.End(t.engines.KeptUntil(b))
	q.drop(x)
	if t.env.Debug {
		t.trace(q, "answered", "engine", x.engine.ID, "code", b.Code, "evidence", t.env.Observe(b).String(), "failure", b.Err)
	}
	if word := flow.Get(b.Fields, w.Load); word != "" {
		t.engines.Load(x.engine, word)
	}
	if q.over {
		if b.Err == "" {
			t.engines.Good(x.engine)
		}
		return
	}
	if q.stream != nil && q.stream.open == x {
		t.closed(q, x, b)
		return
	}
	t.ended(q, x, b)
}

// ended decides on a request after a send that brought no stream (design 7.4).
func (t *Table) ended(q *Request, x *try, b flow.Back) {
	evidence := t.env.Observe(b)
	q.saw(evidence)
	t.judge(x, evidence)
	decision := q.known.Saw(evidence)
	switch evidence {
	case resend.Unsent:
		q.sends-- // it reached no engine
	case resend.Answered:
		x.engine.Took(float64(t.env.Now-x.at) / 1e6)
	case resend.Failed:
		q.last = b
		q.own.failed(b)
	}
	if len(q.tries) > 0 && q.stream != nil && (q.stream.begun || decision != resend.Accept) {
		return // another engine is at work on it, which this one's end does not concern
	}
	switch decision {
	case resend.Accept:
		if q.stream != nil {
			t.cutAll(q)
		}
		if q.stream != nil && q.stream.begun {
			t.broken(q) // it is no series that goes on with the one that was begun
			return
		}
		t.pass(q, b)
	case resend.Resend:
		t.next(q)
	default:
		t.lost(q)
	}
}

// judge tells the table of engines what a send has shown of one.
func (t *Table) judge(x *try, evidence resend.Evidence) {
	switch evidence {
	case resend.Answered, resend.Failed:
		t.engines.Good(x.engine)
	case resend.NotRun, resend.Promise:
		t.engines.Full(x.engine)
	case resend.WrongInstance:
		t.engines.Stale(x.engine)
	default:
		t.engines.Bad(x.engine)
	}
}

// next goes on after a send that brought no answer to pass on.
func (t *Table) next(q *Request) {
	if len(q.tries) > 0 {
		return // another engine is still at work
	}
	if !q.known.MayResend() {
		t.lost(q)
		return
	}
	if t.place(q) {
		return
	}
	if q.sends >= q.most() || !q.known.DidNotRun() && !q.goesOn() {
		t.giveUp(q)
	}
	// Otherwise it is held until an engine can be had, or it is given up.
}

// goesOn says that the request is a stream that was begun and that any engine may go on with.
func (q *Request) goesOn() bool { return q.stream != nil && q.stream.begun && q.repeats() }

// giveUp ends a request that no engine is at work on.
func (t *Table) giveUp(q *Request) {
	if q.over {
		return
	}
	if q.stream != nil && q.stream.begun {
		t.broken(q)
		return
	}
	if q.last.Code != 0 {
		t.pass(q, q.last) // an engine's own failure, as it came
		return
	}
	if !q.known.MayResend() {
		t.lost(q)
		return
	}
	if !q.repeats() && (len(q.tries) > 0 || !q.known.DidNotRun()) {
		t.violated(invariant.RefusedMayHaveRun, q)
	}
	t.finish(q)
	if q.own != nil {
		q.own.end(flow.Back{})
		return
	}
	t.failed(q, "refused: no engine")
	if t.env.Debug {
		t.trace(q, "refused", "why", env.NoEngine)
	}
	t.env.Refuse(q.call.ID, env.NoEngine, t.again(q))
}

// lost ends a request that may have run and must not run again.
func (t *Table) lost(q *Request) {
	if q.stream != nil && q.stream.begun {
		t.broken(q)
		return
	}
	t.finish(q)
	if q.own != nil {
		q.own.end(flow.Back{})
		return
	}
	t.env.Counts["unknown"]++
	t.failed(q, "it may have run")
	if t.env.Debug {
		t.trace(q, "unknown", "why", "it may have run")
	}
	t.env.Answer(q.call.ID, env.MayHaveRun)
}

// pass hands an engine's answer on as it came.
func (t *Table) pass(q *Request, b flow.Back) {
	if b.Failure != flow.None || b.Err != "" || b.Code == 0 {
		t.violated(invariant.PartialPassed, q, "failure", b.Failure.String(), "code", b.Code, "why", b.Err)
	}
	t.finish(q)
	if q.own != nil {
		q.own.end(b)
		return
	}
	t.env.Counts["passed"]++
	if t.env.Debug {
		t.trace(q, "passed", "code", b.Code)
	}
	t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID, Code: b.Code, Fields: b.Fields, Body: b.Body})
}

func (t *Table) finish(q *Request) {
	q.over = true
	delete(t.rows, q.call.ID)
}

// Advance looks after what is held, late, or slow.
func (t *Table) Advance() {
	now := t.env.Now
	for _, id := range sorted.Keys(t.rows) {
		if q := t.rows[id]; q != nil {
			t.look(q, now)
		}
	}
}

func (t *Table) look(q *Request, now flow.Time) {
	switch {
	case len(q.tries) == 0:
		t.held(q, now)
	case now >= q.late:
		t.late(q)
	case q.stream != nil:
		t.silent(q, now)
	case q.hedge > 0 && now >= q.hedge && q.sends < q.most():
		q.hedge = 0
		t.engines.Slow(q.tries[0].engine, now-q.tries[0].at)
		if t.place(q) {
			t.env.Counts["hedged"]++
		}
	}
}

// held gives a request up once waiting for an engine would cost its caller more
// than coming back.
func (t *Table) held(q *Request, now flow.Time) {
	if t.place(q) {
		return
	}
	waited := q.own == nil && t.env.Policies.On(policy.EarlyRefusal) && now-q.came >= max(q.route.Target/refusePart, margin)
	if q.goesOn() {
		waited = now >= q.stream.last+q.route.Target/firstPart // its caller may go on elsewhere then
	}
	if now >= q.late-margin || waited || q.sends >= q.most() {
		t.giveUp(q)
	}
}

// late ends a request whose time is over while an engine is at work on it.
func (t *Table) late(q *Request) {
	if q.stream != nil && q.stream.begun {
		t.broken(q)
		return
	}
	t.finish(q)
	if q.stream != nil {
		t.cutAll(q)
	}
	if q.own != nil {
		t.cutAll(q)
		q.own.end(flow.Back{})
		return
	}
	t.env.Counts["late"]++
	t.failed(q, "no answer in time")
	if t.env.Debug {
		t.trace(q, "late", "tries", q.sends)
	}
	t.env.Answer(q.call.ID, env.NoEngineInTime)
}

// Gone hears that a caller went away. What is held is never sent. What may run again, or
// streams, is ended at its engines; what may run once is seen to its end.
func (t *Table) Gone(call uint64) {
	q := t.rows[call]
	if q == nil {
		return
	}
	t.finish(q)
	if t.env.Debug {
		t.trace(q, "caller gone")
	}
	if q.stream != nil || q.repeats() {
		t.cutAll(q)
	}
}

// cutAll ends what engines do for a request.
func (t *Table) cutAll(q *Request) {
	for _, x := range q.tries {
		x.engine.End(0)
		t.env.Cut(x.id)
	}
	q.tries = nil
}
