package store

import (
	"strings"
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// Given a leader whose disk does not answer, when an entry waits for it, then the log says
// that nothing commits, more and more rarely, and says when commits go on.
func TestALeaderThatCommitsNothingSaysSo(t *testing.T) {
	l := newLone(t)
	l.stall = true
	l.store.propose(ledger.PutBounds(l.store.p.Bounds))
	count := func(text string) (lines int) {
		for _, note := range l.notes {
			if strings.Contains(note.Text, text) {
				lines++
			}
		}
		return lines
	}
	for range 3000 {
		l.advance(10 * time.Millisecond)
	}
	if n := count("commits nothing"); n < 3 || n > 6 {
		t.Errorf("%d lines in half a minute", n)
	}
	if stalled := l.store.Health().CommitStalled; stalled < 25 {
		t.Errorf("stalled for %.1f s", stalled)
	}
	l.stall = false
	l.advance(10 * time.Millisecond)
	l.advance(10 * time.Millisecond)
	if count("commits go on") != 1 || l.store.Health().CommitStalled != 0 {
		t.Errorf("%v", l.notes)
	}
}

// Given memberships that differ in a voter, when the change is noted, then the line names
// the machines.
func TestAChangeOfMembersNamesThem(t *testing.T) {
	from := raft.Conf{}.With(raft.Member{ID: "a", Addr: "a:1", Zone: "z", Voter: true}).With(raft.Member{ID: "b", Addr: "b:1", Zone: "z"})
	to := from.Without("a").With(raft.Member{ID: "b", Addr: "b:1", Zone: "z", Voter: true})
	if text := changedText(from, to); text != "b z b:1 voter; a z a:1 voter is out" {
		t.Error(text)
	}
}

// Given a trouble that lasts, when it is noted, then the times between grow to a bound.
func TestATroubleIsNotedMoreAndMoreRarely(t *testing.T) {
	var x trouble
	var at []flow.Time
	for lasted := flow.Time(0); lasted < time.Minute; lasted += 100 * time.Millisecond {
		if x.due(lasted) {
			at = append(at, lasted)
		}
	}
	if len(at) < 4 || at[0] != budget.FailureTimeout || at[len(at)-1]-at[len(at)-2] > troubleNotedMost {
		t.Errorf("%v", at)
	}
	if x.ended(time.Minute) || !x.ended(0) || x.ended(0) {
		t.Error("its end is not told once")
	}
}
