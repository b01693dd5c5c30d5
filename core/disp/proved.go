package disp

import (
	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// Calls that this node's view has no answer to. What the view lacks may have been committed and
// acknowledged by another node before the call came, so nothing is called unknown before a
// renewal that was sent after the call has proved the view (design 5.2).

// doubtsMost bounds the calls that wait for such a renewal.
const doubtsMost = 1024

// doubt is a call that waits for one.
type doubt struct {
	came   flow.Time
	limit  flow.Time
	decide func()
}

// onceProved runs decide once this node's view has all that was committed before a call came.
func (d *Disp) onceProved(c flow.Call, decide func()) {
	if len(d.doubts) >= doubtsMost {
		d.answerOwn(c.ID, storeUnheard)
		return
	}
	d.doubts[c.ID] = doubt{d.now, d.now + patience(c), decide}
	d.Nudge()
}

// proveCalls goes on with the calls whose view is proved, and answers those that have waited for
// too long.
func (d *Disp) proveCalls() {
	for _, id := range sorted.Keys(d.doubts) {
		x := d.doubts[id]
		switch {
		case d.leaving:
			delete(d.doubts, id)
			d.answerOwn(id, stopping)
		case d.viewAt > x.came && d.Fresh(d.now):
			delete(d.doubts, id)
			x.decide()
		case d.now >= x.limit:
			delete(d.doubts, id)
			d.answerOwn(id, storeUnheard)
		}
	}
}
