package requests

import (
	"time"

	"fernlink/core/flow"
	"fernlink/core/resend"
)

// failureNote is how often a failed request is noted at most. Those between are counted.
const failureNote = time.Second

// failures are the notes of failed requests, so that one can be explained from a log at
// its usual level (design 10.4).
type failures struct {
	next    flow.Time // when the next may be noted
	unnoted int
}

// failed notes why a request has failed, with what traces it, unless one was noted a
// moment ago.
func (t *Table) failed(q *Request, why string) {
	now := t.env.Now
	if now < t.failures.next {
		t.failures.unnoted++
		return
	}
	var engine string
	if n := len(q.tried); n > 0 {
		engine = q.tried[n-1].ID
	}
	flow.Warn.Note(t.env.Out, "requests", "a request failed", "why", why, "request", flow.Get(q.call.Fields, t.env.Codec.Attempt), "call", q.call.ID,
		"route", q.route.Name, "pool", q.pool, "sends", q.sends, "engine", engine, "evidence", q.evidence(), "after_ms", (now - q.came).Milliseconds(),
		"plan_under_lease", t.env.Fresh(), "unnoted", t.failures.unnoted)
	t.failures = failures{next: now + failureNote}
}

// evidence is what the newest send of a request has shown, "" where none has ended.
func (q *Request) evidence() string {
	if !q.ended {
		return ""
	}
	return q.seen.String()
}

// saw keeps the newest evidence for the log.
func (q *Request) saw(e resend.Evidence) { q.seen, q.ended = e, true }
