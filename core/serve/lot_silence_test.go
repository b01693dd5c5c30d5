package serve

import (
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// longSilence is one after which nothing is likely to come of an item's run any more.
const longSilence = 3 * time.Second

// begunItem is a lot of one item, whose run has made its first event.
func begunItem(t *testing.T) (w *world, lot string, first flow.Send) {
	w = two(t)
	lot, _ = w.lot(1, 1, 1)
	first = w.llm()[0]
	w.head(first, 1)
	w.event(first, 0, "a")
	return w, lot, first
}

// Given an item whose run falls silent for long, while all other engines decline it, when its
// engine goes on, then its run was never cut and makes the text.
func TestASilentItemKeepsItsEngine(t *testing.T) {
	w, lot, first := begunItem(t)
	declined := 0
	for range int(longSilence / (10 * time.Millisecond)) {
		w.turn(10 * time.Millisecond)
		for _, x := range w.llm() {
			if x.ID != first.ID {
				declined++
				w.end(x, 503, "", flow.Field{Name: "Not-Run", Value: "1"})
			}
		}
	}
	w.want(declined > 0, "no other engine was asked")
	w.want(!w.cuts[first.ID], "the run is cut before another engine has made an event")
	w.event(first, 1, "b")
	w.done(first)
	w.pass(200 * time.Millisecond)
	p := w.read(lot, 0)
	w.want(len(p.Results) == 1 && p.Results[0].State == ledger.LotComplete && p.Results[0].Text == "a\nb", "%+v", p)
}

// Given an item whose run falls silent for long, when another engine goes on with its text, then
// the silent run is cut with the first event of the other and not before.
func TestASilentItemIsTakenOver(t *testing.T) {
	w, lot, first := begunItem(t)
	w.pass(longSilence)
	var second flow.Send
	for _, x := range w.llm() {
		if x.ID != first.ID {
			second = x
		}
	}
	w.want(flow.Get(second.Fields, "Last-Event-Id") == "0", "asked to go on after 0: %+v", second)
	w.head(second, 1)
	w.want(!w.cuts[first.ID], "cut by a head")
	w.event(second, 1, "b")
	w.want(w.cuts[first.ID], "the silent run is kept beside one that makes events")
	w.done(second)
	w.pass(200 * time.Millisecond)
	p := w.read(lot, 0)
	w.want(len(p.Results) == 1 && p.Results[0].Text == "a\nb", "%+v", p)
}

// Given an item at whose engines nothing comes, when engine after engine is asked, then no more
// than two are at work on it at once.
func TestASilentItemIsAtFewEngines(t *testing.T) {
	w := given(t, seat("m1", "10.0.1.1:1", "llm", 4, "m"), seat("m2", "10.0.1.2:1", "llm", 4, "m"), seat("m3", "10.0.1.3:1", "llm", 4, "m"))
	w.lot(1, 1, 1)
	asked := map[uint64]bool{}
	for range 12 {
		w.pass(time.Second)
		at := append(w.llm(), w.at("10.0.1.3:1")...)
		w.want(len(at) <= 2, "%d engines are at work", len(at))
		for _, x := range at {
			asked[x.ID] = true
		}
	}
	w.want(len(asked) >= 3, "only %d runs in all", len(asked))
}

// Given a process that stops while an item's run is silent, when the silence is long, then the
// run is cut, so that the stop does not wait for it.
func TestAStopDoesNotWaitForASilentItem(t *testing.T) {
	w := two(t)
	w.lot(1, 1, 1)
	first := w.llm()[0]
	w.leave()
	w.pass(longSilence)
	w.want(w.cuts[first.ID] && w.s.lots.Quiet(), "cut %v, quiet %v", w.cuts[first.ID], w.s.lots.Quiet())
}
