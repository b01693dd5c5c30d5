package requests

import (
	"strconv"
	"strings"
	"time"

	"fernlink/core/flow"
	"fernlink/core/resend"
	"fernlink/core/serve/engines"
)

// stream is what was passed on of a series of events.
type stream struct {
	after int  // the id of the last event that was passed on
	begun bool // the head was passed on
	open  *try // whose events are passed on
	last  flow.Time
	gap   float64 // a smoothed time between events, in ms
}

// Silences after which a resumable stream goes on at another engine: ratios of
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
	if q.stream.open == x {
		t.event(q, x, b.Event)
	}
}

// opened takes the head of an engine's answer. The first engine that answers is the
// one whose events are passed on, and one answer keeps the head of its first engine.
func (t *Table) opened(q *Request, x *try, b flow.Back) {
	if word := flow.Get(b.Fields, t.env.Codec.Load); word != "" {
		t.engines.Load(x.engine, word)
	}
	s := q.stream
	if s.open != nil {
		t.drop(q, x)
		return
	}
	s.open, s.last = x, t.env.Now
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
	if id >= 0 {
		s.after = id
	}
	gap := float64(t.env.Now-s.last) / 1e6
	s.gap += (gap - s.gap) / 4
	s.last = t.env.Now
	t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID, Body: append(append([]byte(nil), event...), '\n', '\n'), More: true})
}

// spoilt cuts a try that brings nothing of use, and goes on without it where it may.
func (t *Table) spoilt(q *Request, x *try, evidence resend.Evidence) {
	t.engines.Bad(x.engine)
	t.drop(q, x)
	q.stream.open = nil
	q.known.Saw(evidence)
	t.next(q)
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
	s.open = nil
	if b.Err == "" && b.Code < 300 {
		t.finish(q)
		t.env.Counts["passed"]++
		if t.env.Debug {
			t.trace(q, "passed", "last", s.after)
		}
		t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: q.call.ID})
		return
	}
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

// silent takes a resumable stream to another engine when nothing comes of it.
func (t *Table) silent(q *Request, now flow.Time) {
	s := q.stream
	if !q.repeats() || q.sends >= q.most() || len(q.tries) != 1 {
		return
	}
	x := q.tries[0]
	limit := max(q.route.Target/firstPart, gapLeast)
	since := x.at
	if s.open != nil {
		limit, since = max(flow.Time(s.gap*gapTimes*1e6), gapLeast), s.last
	}
	if now-since < limit || t.engines.Spare(q.pool, append([]*engines.Engine{}, q.tried...)) == nil {
		return
	}
	t.env.Counts["streams_moved"]++
	t.spoilt(q, x, resend.Silent)
}
