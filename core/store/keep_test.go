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
	for i := range 60 {
		l.ask("o:1", uint64(i+1), "target.put", ledger.Target{Pool: text, Revision: i + 1})
		for range 3 {
			l.advance(10 * time.Millisecond)
		}
	}
	// Then snapshots were made, and the log still has what a member that is behind
	// by more than a second of them lacks.
	if l.store.raft.LogLen() >= 60 {
		t.Errorf("no snapshot: %d entries", l.store.raft.LogLen())
	}
	if kept := l.store.raft.LogLen() * len(text); kept < 3<<20/2 {
		t.Errorf("%d bytes are kept", kept)
	}
}
