package serve

import (
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Given a lot whose items were asked of the store, when they come after its end or its
// move to another node was heard, since they were held up on their way, then none of
// them runs: nobody would ever take the lot away again.
func TestItemsThatComeLateDoNotRun(t *testing.T) {
	for name, told := range map[string]ledger.LotRow{
		"ended": {ID: "late", Owner: "me.0", Ended: true},
		"moved": {ID: "late", Owner: "other.0"},
	} {
		w := two(t)
		doc := ledger.LotDoc{ID: "late", Owner: "me.0", Model: "m", Pool: "llm", Route: "l", Least: 1, Wanted: 1, Host: "h", Path: "/l/x", Tries: 2, Single: true, KeepMS: 60_000, WaitMS: 40_000, DueMS: 4000,
			Items: []ledger.LotItem{{ID: "i", Group: "g", Path: "/l/i", Body: []byte("p"), Tokens: 10}}}
		var out flow.Outbox
		w.s.Bind(w.now, &out)
		w.s.lots.Heard([]ledger.LotRow{told})
		w.s.lots.Adopt(doc, 0)
		w.take(&out)
		w.pass(100 * time.Millisecond)
		w.want(len(w.llm()) == 0, "%s: %d items run", name, len(w.llm()))
	}
}
