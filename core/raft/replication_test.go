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
	trio := newTrio(5)
	trio.run(3 * time.Second)
	node := trio.leader()
	behind := "b"
	if node.id == behind {
		behind = "c"
	}
	trio.cut[behind] = true
	big := make([]byte, 1<<20)
	for i := range big {
		big[i] = '1'
	}
	for i := 0; i < 30; i++ {
		_, _, _ = node.Propose("cmd", json.RawMessage(big))
	}
	trio.run(time.Second)
	trio.cut[behind] = false
	for end := trio.now + 5*time.Second; trio.now < end; trio.step() {
		for _, d := range trio.mail {
			size := 0
			for _, e := range d.Message.Entries {
				size += len(e.Data)
			}
			if size > maxMessageBytes+len(big) {
				t.Fatalf("a message has %d bytes", size)
			}
		}
	}
	if n := len(trio.done[behind]); n != 30 {
		t.Errorf("%d entries came", n)
	}
}

// Given members that answer, when many large entries are proposed at once, then what
// is on its way to one of them can cross a link of 100 Mbit/s, beside as much to seven
// others, well before it counts as lost.
func TestEntriesOnTheirWayAreFew(t *testing.T) {
	trio := newTrio(9)
	trio.run(3 * time.Second)
	node := trio.leader()
	trio.step()
	big := json.RawMessage(fmt.Sprintf(`"%0100000d"`, 0))
	for range 40 {
		if _, _, err := node.Propose("cmd", big); err != nil {
			t.Fatal(err)
		}
	}
	sent := map[string]int{}
	for _, message := range node.Advance(trio.now).Messages {
		for _, entry := range message.Message.Entries {
			sent[message.Message.ToID] += len(entry.Data)
		}
	}
	const bytesPerSecond, members = 100 << 20 / 8, 8
	for id, n := range sent {
		if way := time.Duration(n*members) * time.Second / bytesPerSecond; way > node.electionTimeout {
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
	trio, node, gone := withoutMember(t)
	trio.run(time.Second)
	big := json.RawMessage(fmt.Sprintf(`"%01000d"`, 0))
	sent := 0
	for range 100 {
		if _, _, err := node.Propose("cmd", big); err != nil {
			t.Fatal(err)
		}
		trio.step()
		for _, d := range trio.mail {
			if d.Message.ToID == gone {
				sent += len(d.Message.Entries)
			}
		}
	}
	if sent != 0 {
		t.Fatalf("%d entries were sent to a member that is silent", sent)
	}
	trio.cut[gone] = false
	trio.run(2 * time.Second)
	if trio.all[gone].Commit() != node.Commit() {
		t.Fatalf("it did not catch up: %d of %d", trio.all[gone].Commit(), node.Commit())
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
		trio, node, gone := withoutMember(t)
		match := node.Match(gone)
		for range c.entries {
			if _, _, err := node.Propose("cmd", json.RawMessage(fmt.Sprintf(`"%01000d"`, 0))); err != nil {
				t.Fatal(err)
			}
		}
		trio.run(c.away)
		node.Compact(json.RawMessage(`{}`), keep)
		_, kept := node.termAt(match)
		if kept != c.stays {
			t.Errorf("%s: the log goes back to where it stands: %v", c.name, kept)
		}
		if !c.stays && node.LogLen() > keep.Entries {
			t.Errorf("%s: %d entries stay for nobody", c.name, node.LogLen())
		}
		trio.cut[gone] = false
		trio.run(2 * time.Second)
		if caught := trio.all[gone].Commit() == node.Commit(); caught != c.stays {
			t.Errorf("%s: it caught up without a snapshot: %v", c.name, caught)
		}
	}
}

// Given a member whose disk was put back, so that it lacks what it acknowledged,
// when it refuses what follows that, then the leader does not send the same again
// and again at one instant, but with its heartbeats.
func TestAMemberThatForgotIsNotAskedWithoutPause(t *testing.T) {
	trio := newTrio(3)
	trio.run(3 * time.Second)
	node := trio.leader()
	if node == nil {
		t.Fatal("no leader")
	}
	forgot := "b"
	if node.id == forgot {
		forgot = "c"
	}
	if _, _, err := node.Propose("cmd", json.RawMessage(`1`)); err != nil {
		t.Fatal(err)
	}
	trio.run(time.Second)
	if _, _, err := node.Propose("cmd", json.RawMessage(`2`)); err != nil {
		t.Fatal(err)
	}
	node.Advance(trio.now)
	sent := 0
	for range 20 {
		node.Step(Message{Kind: MessageAppendResponse, From: forgot, ToID: node.id, Term: node.hard.Term, Hint: 0})
		for _, envelope := range node.Advance(trio.now).Messages {
			if envelope.Message.ToID == forgot {
				sent++
			}
		}
	}
	if sent > 1 {
		t.Errorf("%d messages follow 20 refusals at one instant", sent)
	}
}

// withoutMember gives three members with their leader and one that is cut off.
func withoutMember(t *testing.T) (cluster *trio, leader *Raft, gone string) {
	t.Helper()
	cluster = newTrio(3)
	cluster.run(3 * time.Second)
	leader = cluster.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	gone = "b"
	if leader.id == gone {
		gone = "c"
	}
	cluster.cut[gone] = true
	return cluster, leader, gone
}
