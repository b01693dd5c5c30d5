package store

import (
	"testing"

	"github.com/go-json-experiment/json/v1"
)

// Given a dispatcher that owns a lot beside another, when it says that it is gone, then
// the lot's next owner is proposed in the same turn (design 8.7).
func TestLotsOfWhoIsGoneMoveAtOnce(t *testing.T) {
	l := newLone(t)
	l.ask("d:1", 1, "renew", Renew{ID: "d1.1"})
	l.ask("d:2", 1, "renew", Renew{ID: "d2.1"})
	lot := handedIn("a", "x")
	lot.Doc.Owner = "d1.1"
	l.handIn("d:1", 2, lot)
	l.turns(10)
	before := l.commands()

	l.ask("d:1", 3, "gone", Gone("d1.1"))
	if n := l.commands() - before; n != 1 {
		t.Errorf("%d entries in the turn in which it said so", n)
	}
	l.turns(5)
	if rows := l.store.ledger.LotRows(); len(rows) != 1 || rows[0].Owner != "d2.1" {
		text, _ := json.Marshal(rows)
		t.Errorf("its lot: %s", text)
	}
	if l.store.ledger.Lots["a"].Doc.Owner == lot.Doc.Owner {
		t.Error("the ledger has the owner that is gone")
	}
}
