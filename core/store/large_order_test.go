package store

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ledger"
)

// Guards against review/10 where several come at once: each member has a large plan's text several
// times over until it is applied.
//
// Given a large order that is not applied yet, when another comes, then it is told to come again
// and leaves no entry; a small one is written, and once the first is applied so is the other.
func TestLargeOrdersAreWrittenOneAtATime(t *testing.T) {
	large := func(version uint64) ledger.PutPlan {
		doc, _ := json.Marshal(map[string]any{"pools": []any{}, "routes": []any{}, "version": version, "source": strings.Repeat("x", largeOrderFrom)})
		return ledger.PutPlan{Version: version, Read: 0, Doc: doc}
	}
	l := newLone(t)
	l.stall = true
	before := l.commands()
	l.ask("d:1", 1, ledger.KindPlanPut, large(7))
	l.ask("d:2", 1, ledger.KindPlanPut, large(8))
	l.ask("d:3", 1, ledger.KindTargetPut, ledger.PutTarget{Pool: "p", Revision: 2})
	l.turns(5)
	if n := l.commands() - before; n != 2 {
		t.Errorf("%d entries", n)
	}
	if a := l.told(t)["d:2"]; a.Code != ledger.Unavailable {
		t.Errorf("the second large one: %+v", a)
	}
	l.stall = false
	l.turns(5)
	if a := l.told(t)["d:1"]; a.Code != ledger.Accepted {
		t.Errorf("the first: %+v", a)
	}
	l.ask("d:2", 2, ledger.KindPlanPut, large(8))
	l.turns(5)
	if a := l.told(t)["d:2"]; a.Code != ledger.Conflict {
		t.Errorf("the second, once more: %+v", a)
	}
}
