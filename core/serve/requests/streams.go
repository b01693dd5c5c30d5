package requests

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlink/core/flow"
	"fernlink/core/resend"
)

// stream is what was passed on of a series of events.
type stream struct {
	after int       // the id of the last event that was passed on
	begun bool      // the head was passed on
	open  *try      // whose events are passed on
	last  flow.Time // when the newest of them came, or its engine broke off
	asked flow.Time // when another engine was last asked to go on
	gap   float64   // a smoothed time between events, in ms
}

// Silences after which another engine is asked to go on with a resumable stream: ratios of
// the route's target before the first event, and of the usual gap after it.
const (
	firstPart = 2
	gapTimes  = 6
	gapLeast  = 80 * time.Millisecond
)

// eventID reads an event's id from its lines, or -1.
func eventID(block []byte) int {
	for _, l := range strings.Split(string(block), "\n") {
		if v, ok := strings.CutPrefix(l, "id:"); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil {
				return n
			}
		}
	}
	return -1
}

// part takes the head or an event of a stream.
func (t *Table) part(q *Request, x *try, b flow.Back) {
	if q.stream == nil || q.over {
		return
	}
	t.engines.Good(x.engine)
	if b.Open {
		t.opened(q, x, b)
		return
	}
	t.event(q, x, b.Event)
}

// opened takes the head of an engine's answer. One answer keeps the head of its first engine.
func (t *Table) opened(q *Request, x *try, b flow.Back) {
	if word := flow.Get(b.Fields, t.env.Codec.Load); word != "" {
		t.engines.Load(x.engine, word)
	}
	s := q.stream
	x.opened = true
	if s.open == nil {
		s.open, s.last = x, t.env.Now
	}
	if s.begun {
		return
	}
	s.begun = true
	if t.env.Debug {
		t.trace(q, "first token", "engine", x.engine.ID)
	}
	t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID, Code: b.Code, Fields: b.Fields, More: true})
}

// event passes an event on, once and in its place.
func (t *Table) event(q *Request, x *try, event []byte) {
	s := q.stream
	id := eventID(event)
	if id >= 0 && id <= s.after {
		return // it was passed on before
	}
	if id >= 0 && s.after >= 0 && id != s.after+1 {
		t.spoilt(q, x, resend.Malformed)
		return
	}
	t.takeOver(q, x)
	if id >= 0 {
		s.after = id
	}
	gap := float64(t.env.Now-s.last) / 1e6
	s.gap += (gap - s.gap) / 4
	s.last = t.env.Now
	t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID, Body: append(append([]byte(nil), event...), '\n', '\n'), More: true})
}

// takeOver makes an engine the one whose events are passed on, as it makes the next: only now
// are others cut that were at work on the stream.
func (t *Table) takeOver(q *Request, x *try) {
	if q.stream.open != x {
		t.env.Counts["streams_moved"]++
		q.stream.open = x
	}
	for _, other := range slices.Clone(q.tries) {
		if other != x {
			t.drop(q, other)
		}
	}
}

// spoilt cuts a try that brings nothing of use, and goes on without it where it may.
func (t *Table) spoilt(q *Request, x *try, evidence resend.Evidence) {
	t.engines.Bad(x.engine)
	t.drop(q, x)
	q.left(x)
	q.known.Saw(evidence)
	t.next(q)
}

// left takes a try that is over off its stream: another engine's whose head has come, if there
// is one, is the stream's now.
func (q *Request) left(x *try) {
	s := q.stream
	if s.open != x {
		return
	}
	s.open = nil
	if at := slices.IndexFunc(q.tries, func(y *try) bool { return y.opened }); at >= 0 {
		s.open = q.tries[at]
	}
}

// drop cuts one try of a stream.
func (t *Table) drop(q *Request, x *try) {
	x.engine.End(0)
	t.env.Cut(x.id)
	q.drop(x)
}

// closed hears the end of the try whose events were passed on.
func (t *Table) closed(q *Request, x *try, b flow.Back) {
	s := q.stream
	q.left(x)
	if b.Err == "" && b.Code < 300 {
		t.finish(q)
		t.cutAll(q)
		t.env.Counts["passed"]++
		if t.env.Debug {
			t.trace(q, "passed", "last", s.after)
		}
		t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID})
		return
	}
	s.last = t.env.Now
	t.engines.Bad(x.engine)
	q.known.Saw(resend.Incomplete)
	t.next(q)
}

// broken ends a stream so that it does not look complete.
func (t *Table) broken(q *Request) {
	t.finish(q)
	t.cutAll(q)
	t.env.Counts["streams_broken"]++
	t.failed(q, "stream broken")
	if t.env.Debug {
		t.trace(q, "broken", "last", q.stream.after)
	}
	t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID, Cut: true})
}

// silent asks another engine to go on with a resumable stream of which nothing comes. The
// engines at work keep it until the other makes its next event: it may decline, and a silence
// is no end.
func (t *Table) silent(q *Request, now flow.Time) {
	if !q.repeats() || q.sends >= q.most() || now < t.askAgainAt(q) {
		return
	}
	doubted := q.tries[0].engine
	if !t.place(q) {
		return
	}
	q.stream.asked = now
	t.engines.Bad(doubted)
	t.env.Counts["streams_doubted"]++
}

// askAgainAt is when a stream of which nothing comes has been silent for long enough to ask
// another engine.
func (t *Table) askAgainAt(q *Request) flow.Time {
	s := q.stream
	beforeFirst := max(q.route.Target/firstPart, gapLeast)
	switch {
	case len(q.tries) > 1: // the one that was asked last is to begin
		return s.asked + beforeFirst
	case s.open == nil:
		return max(q.tries[0].at, s.asked) + beforeFirst
	}
	return max(s.last, s.asked) + max(flow.Time(s.gap*gapTimes*1e6), gapLeast)
}
