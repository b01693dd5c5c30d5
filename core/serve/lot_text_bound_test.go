package serve

import (
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Guards against a text without an end, which fills its owner's memory and can't be listed.
//
// Given an engine whose stream goes on and on, when its text is longer than can be carried,
// then the run is given up, nothing of it is kept, and another run makes the item's text.
func TestATextWithoutAnEndIsGivenUp(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(1, 1, 1)
	x := w.llm()[0]
	w.head(x, 1)
	endless := strings.Repeat("\u0001", 64<<10)
	for id := 0; id < 100 && !w.cuts[x.ID]; id++ {
		w.event(x, id, endless)
	}
	w.want(w.cuts[x.ID], "it goes on")
	w.pass(300 * time.Millisecond)
	again := w.llm()
	w.want(len(again) == 1 && flow.Get(again[0].Fields, "Last-Event-Id") == "", "it begins anew: %+v", again)
	w.serveItem(again[0], 1)
	w.pass(200 * time.Millisecond)
	p := w.read(lot, 0)
	w.want(len(p.Results) == 1 && p.Results[0].State == ledger.LotComplete, "it is listed: %+v", p)
}
