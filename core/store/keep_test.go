package store

import (
	"strings"
	"testing"
	"time"

	"fernlink/core/ledger"
)

func TestAMemberThatIsALittleBehindNeedsNoSnapshot(t *testing.T) {
	// Given a leader that takes large commands for long, as results of lots are.
	l := newLone(t)
	l.store.p.Keep = 1 << 20
	text := strings.Repeat("x", 200<<10)
	least, snapshots := 1<<30, 0
	for i := range 60 {
		was := l.store.raft.LogLen()
		l.ask("o:1", uint64(i+1), "target.put", ledger.Target{Pool: text, Revision: i + 1})
		for range 3 {
			l.advance(10 * time.Millisecond)
		}
		if now := l.store.raft.LogLen(); now <= was {
			snapshots++
			least = min(least, now*len(text))
		}
	}
	// Then snapshots were made, and behind each the log still has what a member that
	// is behind by most of a second of them lacks.
	if snapshots < 3 || least < 900<<10 {
		t.Errorf("%d snapshots, %d bytes are kept", snapshots, least)
	}
}
