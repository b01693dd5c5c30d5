package requests

import (
	"time"

	"fernlink/core/flow"
	"fernlink/core/serve/env"
	"fernlink/core/sorted"
)

// A clean stop (design 5.5). Clients go on with the connections that they have kept, so
// requests come until the process is gone, and each gets an answer.

// stop is when a clean stop began, and when it is over at the latest.
type stop struct{ began, ends flow.Time }

// A request that comes right after a stop began is taken whatever time it has: nearly all
// end long before the stop does. longTaken bounds that time, stopPart is the part of a short
// stop that it is. Later ones are taken where their time is over before the stop is.
const (
	longTaken = 2500 * time.Millisecond
	stopPart  = 3
)

// refuses says why a request can't be taken, or "".
func (t *Table) refuses(q *Request) env.Reason {
	switch {
	case len(t.rows) >= Most:
		return env.TooMuch
	case !t.endsInTime(q):
		return env.Stopping
	}
	return ""
}

// endsInTime says whether a request will have its answer before this process is gone.
func (t *Table) endsInTime(q *Request) bool {
	if t.stop.ends == 0 || q.late <= t.stop.ends-margin {
		return true
	}
	return t.env.Now-t.stop.began < min(longTaken, (t.stop.ends-t.stop.began)/stopPart)
}

// Leave refuses what is held: this process stops, and is gone by ends.
func (t *Table) Leave(ends flow.Time) {
	t.stop = stop{began: t.env.Now, ends: ends}
	for _, id := range sorted.Keys(t.rows) {
		if q := t.rows[id]; len(q.tries) == 0 {
			t.giveUp(q)
		}
	}
}

// Close answers all that is open, since this process ends now: what was passed on may have
// run, and a stream that was begun must not look whole.
func (t *Table) Close() {
	for _, id := range sorted.Keys(t.rows) {
		q := t.rows[id]
		switch {
		case q == nil: // the end of another has ended it
		case len(q.tries) == 0:
			t.giveUp(q)
		default:
			t.lost(q)
		}
	}
}
