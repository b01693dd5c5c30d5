package store

import (
	"fernlink/core/budget"
	"fernlink/core/flow"
)

// About how many bytes a piece of a snapshot has.
const (
	pieceLeast = 8 << 10
	pieceStart = 64 << 10
	pieceMost  = 256 << 10
)

// A piece is to arrive within pieceTime; one that took longer makes the next
// smaller, one that took less than a quarter of it makes it larger.
const pieceTime = budget.AskRetryInterval / 2

// pace sizes the pieces of a fetch to the link, and says when a piece that did
// not come is asked for again. Asking again too soon would fill a thin link with
// copies of what is already on its way.
type pace struct {
	size    int
	asked   flow.Time
	next    flow.Time // when the piece is asked for again
	waiting bool
	wait    flow.Time
}

func newPace(size int) pace { return pace{size: size, wait: budget.AskRetryInterval} }

// due says whether a piece may be asked for.
func (p *pace) due(now flow.Time) bool { return !p.waiting || now >= p.next }

// ask notes that a piece is asked for, and gives its size.
func (p *pace) ask(now flow.Time) int {
	if p.waiting { // the last one did not come
		p.size = max(p.size/2, pieceLeast)
		p.wait = min(2*p.wait, budget.Heal)
	}
	p.asked, p.next, p.waiting = now, now+p.wait, true
	return p.size
}

// came notes that the piece came.
func (p *pace) came(now flow.Time) {
	took := now - p.asked
	switch {
	case took > pieceTime:
		p.size = max(p.size/2, pieceLeast)
	case took < pieceTime/4:
		p.size = min(p.size*2, pieceMost)
	}
	p.wait = max(budget.AskRetryInterval, 2*took)
	p.idle()
}

// idle says that no piece is on its way.
func (p *pace) idle() { p.waiting = false }
