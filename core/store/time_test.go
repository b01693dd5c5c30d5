package store

import (
	"testing"
	"time"

	"fernlink/core/ledger"
)

// Given a store whose disk does not say what was committed, and a date that jumped
// while it was down, when it leads again, then the ledger's time goes on from the last
// committed command and not from the date (design 4.7).
func TestTimeGoesOnFromTheLastCommand(t *testing.T) {
	l := newLone(t)
	l.ask("d:0", 1, ledger.KindPlanPut, aPlan(7, 0))
	l.turns(5)
	before := l.store.time()

	l.disk.Hard.Commit = 0
	restarted, err := New(l.now, loneConfig(l.disk))
	if err != nil {
		t.Fatal(err)
	}
	const jump = 72 * time.Hour
	l.store, l.wall, l.batch = restarted, l.wall+jump.Milliseconds(), 0
	began := l.now
	l.turns(300)
	if !restarted.raft.Ready() {
		t.Fatal("it does not lead")
	}
	passed := restarted.time() - before
	if most := (l.now - began).Milliseconds(); passed < 0 || passed > most {
		t.Errorf("its time went on by %d ms in %d ms", passed, most)
	}
}
