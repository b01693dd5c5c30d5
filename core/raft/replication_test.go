package raft

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"
)

// Given a member that is behind by large entries, when it is fed, then no message
// has more than the bound and one entry, and all of them come in their order.
func TestLargeEntriesInManyMessages(t *testing.T) {
	x := newTrio(5)
	x.run(3 * time.Second)
	l := x.leader()
	behind := "b"
	if l.id == behind {
		behind = "c"
	}
	x.cut[behind] = true
	big := make([]byte, 1<<20)
	for i := range big {
		big[i] = '1'
	}
	for i := 0; i < 30; i++ {
		_, _, _ = l.Propose("cmd", json.RawMessage(big))
	}
	x.run(time.Second)
	x.cut[behind] = false
	for end := x.now + 5*time.Second; x.now < end; x.step() {
		for _, d := range x.mail {
			size := 0
			for _, e := range d.Message.Entries {
				size += len(e.Data)
			}
			if size > maxMessageBytes+len(big) {
				t.Fatalf("a message has %d bytes", size)
			}
		}
	}
	if n := len(x.done[behind]); n != 30 {
		t.Errorf("%d entries came", n)
	}
}

// Given members that answer, when many large entries are proposed at once, then what
// is on its way to one of them can cross a link of 100 Mbit/s, beside as much to seven
// others, well before it counts as lost.
func TestEntriesOnTheirWayAreFew(t *testing.T) {
	x := newTrio(9)
	x.run(3 * time.Second)
	l := x.leader()
	x.step()
	big := json.RawMessage(fmt.Sprintf(`"%0100000d"`, 0))
	for range 40 {
		if _, _, err := l.Propose("cmd", big); err != nil {
			t.Fatal(err)
		}
	}
	sent := map[string]int{}
	for _, message := range l.Advance(x.now).Messages {
		for _, entry := range message.Message.Entries {
			sent[message.Message.ToID] += len(entry.Data)
		}
	}
	const bytesPerSecond, members = 100 << 20 / 8, 8
	for id, n := range sent {
		if way := time.Duration(n*members) * time.Second / bytesPerSecond; way > l.electionTimeout {
			t.Errorf("%d bytes are on their way to %s, which take %v", n, id, way)
		}
	}
	if len(sent) != 2 {
		t.Errorf("entries went to %d members", len(sent))
	}
}

// A leader sends nothing but heartbeats to a member that does not answer: entries
// would pile up on the way to it, and fill the leader's memory.
func TestNothingPilesUpForASilentMember(t *testing.T) {
	x := newTrio(3)
	x.run(3 * time.Second)
	l := x.leader()
	if l == nil {
		t.Fatal("no leader")
	}
	gone := "b"
	if l.id == gone {
		gone = "c"
	}
	x.cut[gone] = true
	x.run(time.Second)
	big := json.RawMessage(fmt.Sprintf(`"%01000d"`, 0))
	sent := 0
	for range 100 {
		if _, _, err := l.Propose("cmd", big); err != nil {
			t.Fatal(err)
		}
		x.step()
		for _, d := range x.mail {
			if d.Message.ToID == gone {
				sent += len(d.Message.Entries)
			}
		}
	}
	if sent != 0 {
		t.Fatalf("%d entries were sent to a member that is silent", sent)
	}
	x.cut[gone] = false
	x.run(2 * time.Second)
	if x.all[gone].Commit() != l.Commit() {
		t.Fatalf("it did not catch up: %d of %d", x.all[gone].Commit(), l.Commit())
	}
}

// Given a member that is behind, when the leader makes a snapshot, then the log
// stays for it where it was heard of late and lacks little, and only then.
func TestLogStaysForAMemberBehind(t *testing.T) {
	keep := Retention{Entries: 5, Bytes: 5000, Behind: 50_000, Silence: 12 * time.Second}
	for _, c := range []struct {
		name    string
		entries int
		away    time.Duration
		stays   bool
	}{
		{"a little behind", 30, time.Second, true},
		{"far behind", 80, time.Second, false},
		{"silent for long", 30, 13 * time.Second, false},
	} {
		x := newTrio(3)
		x.run(3 * time.Second)
		l := x.leader()
		if l == nil {
			t.Fatal("no leader")
		}
		gone := "b"
		if l.id == gone {
			gone = "c"
		}
		x.cut[gone] = true
		match := l.Match(gone)
		for range c.entries {
			if _, _, err := l.Propose("cmd", json.RawMessage(fmt.Sprintf(`"%01000d"`, 0))); err != nil {
				t.Fatal(err)
			}
		}
		x.run(c.away)
		l.Compact(json.RawMessage(`{}`), keep)
		_, kept := l.termAt(match)
		if kept != c.stays {
			t.Errorf("%s: the log goes back to where it stands: %v", c.name, kept)
		}
		if !c.stays && l.LogLen() > keep.Entries {
			t.Errorf("%s: %d entries stay for nobody", c.name, l.LogLen())
		}
		x.cut[gone] = false
		x.run(2 * time.Second)
		if caught := x.all[gone].Commit() == l.Commit(); caught != c.stays {
			t.Errorf("%s: it caught up without a snapshot: %v", c.name, caught)
		}
	}
}

// Given a member whose disk was put back, so that it lacks what it acknowledged,
// when it refuses what follows that, then the leader does not send the same again
// and again at one instant, but with its heartbeats.
func TestAMemberThatForgotIsNotAskedWithoutPause(t *testing.T) {
	x := newTrio(3)
	x.run(3 * time.Second)
	l := x.leader()
	if l == nil {
		t.Fatal("no leader")
	}
	forgot := "b"
	if l.id == forgot {
		forgot = "c"
	}
	if _, _, err := l.Propose("cmd", json.RawMessage(`1`)); err != nil {
		t.Fatal(err)
	}
	x.run(time.Second)
	if _, _, err := l.Propose("cmd", json.RawMessage(`2`)); err != nil {
		t.Fatal(err)
	}
	l.Advance(x.now)
	sent := 0
	for range 20 {
		l.Step(Message{Kind: MessageAppendResponse, From: forgot, ToID: l.id, Term: l.hard.Term, Hint: 0})
		for _, envelope := range l.Advance(x.now).Messages {
			if envelope.Message.ToID == forgot {
				sent++
			}
		}
	}
	if sent > 1 {
		t.Errorf("%d messages follow 20 refusals at one instant", sent)
	}
}
