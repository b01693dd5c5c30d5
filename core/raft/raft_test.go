package raft

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fernlink/core/flow"
)

// trio is three members on a table: messages move when it is said.
type trio struct {
	now  flow.Time
	all  map[string]*Raft
	mail []Envelope
	cut  map[string]bool
	read map[string][]uint64
	done map[string][]string // applied commands
	kept map[string][]flow.Save
}

func newTrio(seed int64) *trio {
	x := &trio{all: map[string]*Raft{}, cut: map[string]bool{}, read: map[string][]uint64{}, done: map[string][]string{}, kept: map[string][]flow.Save{}}
	c := Conf{Cluster: "c"}
	for _, id := range []string{"a", "b", "c"} {
		c = c.With(Member{ID: id, Addr: id, Voter: true})
	}
	for i, id := range []string{"a", "b", "c"} {
		x.all[id] = New(0, Config{ID: id, Rand: rand.New(rand.NewSource(seed + int64(i))), HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 750 * time.Millisecond})
	}
	x.all["a"].Form(c)
	return x
}

func (x *trio) step() {
	x.now += 10 * time.Millisecond
	mail := x.mail
	x.mail = nil
	for _, d := range mail {
		to := d.Message.ToID
		if x.all[to] == nil || x.cut[to] || x.cut[d.Message.From] {
			continue
		}
		x.all[to].Now(x.now)
		x.all[to].Step(d.Message)
	}
	for _, id := range []string{"a", "b", "c"} {
		node := x.all[id]
		if node == nil {
			continue
		}
		for i := 0; i < 2; i++ {
			o := node.Advance(x.now)
			x.mail = append(x.mail, o.Messages...)
			x.read[id] = append(x.read[id], o.Reads...)
			x.kept[id] = append(x.kept[id], o.Saves...)
			for _, a := range o.Applied {
				if a.Entry.Kind == "cmd" {
					x.done[id] = append(x.done[id], string(a.Entry.Data))
				}
			}
			node.Mark(1)
			node.Synced(1)
		}
	}
}

func (x *trio) run(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.step()
	}
}

func (x *trio) leader() *Raft {
	var best *Raft
	for _, id := range []string{"a", "b", "c"} {
		if r := x.all[id]; r != nil && r.Role() == Leader && (best == nil || r.Term() > best.Term()) {
			best = r
		}
	}
	return best
}

// Given a leader that is cut off, when it is asked for a read, then it never
// releases it, while a leader with its majority does.
func TestReadNeedsMajority(t *testing.T) {
	trio := newTrio(1)
	trio.run(3 * time.Second)
	node := trio.leader()
	if !node.Read(1) {
		t.Fatal("a leader with its majority takes a read")
	}
	trio.run(200 * time.Millisecond)
	if len(trio.read[node.id]) != 1 {
		t.Fatalf("the read is released: %v", trio.read[node.id])
	}
	trio.cut[node.id] = true
	node.Read(2)
	trio.run(5 * time.Second)
	if len(trio.read[node.id]) != 1 {
		t.Fatalf("a read was released without a majority: %v", trio.read[node.id])
	}
}

// Given a voter that lost its disk, when a blank member at its address gets
// the old voter's messages, then it takes none: it is somebody else.
func TestBlankIsNotTheOldVoter(t *testing.T) {
	trio := newTrio(2)
	trio.run(3 * time.Second)
	node := trio.leader()
	var old string
	for id := range trio.all {
		if id != node.id {
			old = id
			break
		}
	}
	fresh := New(trio.now, Config{ID: "z", Rand: rand.New(rand.NewSource(9)), HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 750 * time.Millisecond})
	fresh.Step(Message{Kind: MessageVote, From: node.id, ToID: old, Term: 99})
	fresh.Step(Message{Kind: MessageAppend, From: node.id, ToID: old, Term: node.Term(), Commit: 1})
	o := fresh.Advance(trio.now)
	if len(o.Messages) > 0 || len(o.Saves) > 0 || fresh.Term() != 0 {
		t.Fatalf("it answered for the old voter: %+v", o)
	}
}

// Given any schedule of cuts and proposals, when members apply commands, then
// what they applied never disagrees.
func TestLogsNeverDisagree(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(4711)
	p.MinSuccessfulTests = 40
	config := gopter.NewProperties(p)
	config.Property("applied commands are prefixes of one another", prop.ForAll(func(seed int64, acts []int) bool {
		trio := newTrio(seed)
		trio.run(2 * time.Second)
		for n, a := range acts {
			id := []string{"a", "b", "c"}[a%3]
			if a%4 == 3 {
				trio.cut[id] = !trio.cut[id]
			} else if l := trio.leader(); l != nil {
				d, _ := json.Marshal(fmt.Sprint("cmd", n))
				_, _, _ = l.Propose("cmd", d)
			}
			trio.run(time.Duration(a%7) * 200 * time.Millisecond)
		}
		trio.cut = map[string]bool{}
		trio.run(4 * time.Second)
		var long []string
		for _, l := range trio.done {
			if len(l) > len(long) {
				long = l
			}
		}
		for _, l := range trio.done {
			for i := range l {
				if l[i] != long[i] {
					return false
				}
			}
		}
		return len(trio.done["a"]) == len(trio.done["b"]) && len(trio.done["b"]) == len(trio.done["c"])
	}, gen.Int64Range(1, 1<<30), gen.SliceOfN(12, gen.IntRange(0, 1<<16))))
	config.TestingRun(t)
}

// Given a change of membership under way, when another is proposed, then it
// waits its turn; a leader that has not committed in its term changes none.
func TestOneChangeAtATime(t *testing.T) {
	trio := newTrio(3)
	trio.run(3 * time.Second)
	node := trio.leader()
	c := node.Conf()
	if _, _, err := node.Change(c.With(Member{ID: "d", Addr: "d"})); err != nil {
		t.Fatalf("the first change is taken: %v", err)
	}
	if _, _, err := node.Change(node.Conf().With(Member{ID: "e", Addr: "e"})); err != ErrBusy {
		t.Fatalf("the second is not: %v", err)
	}
	trio.run(time.Second)
	if _, _, err := node.Change(node.Conf().Without("d")); err != nil {
		t.Fatalf("it is, once the first is committed: %v", err)
	}
}

// restart gives a member as its disk has it, less what is after keep.
func (x *trio) restart(id string, keep uint64, unsure bool) {
	var hard flow.Hard
	var log []flow.Entry
	for _, s := range x.kept[id] {
		if s.Hard != nil {
			hard = *s.Hard
		}
		for len(log) > 0 && s.Cut > 0 && log[len(log)-1].Index >= s.Cut {
			log = log[:len(log)-1]
		}
		log = append(log, s.Add...)
	}
	for len(log) > 0 && log[len(log)-1].Index > keep {
		log = log[:len(log)-1]
	}
	hard.Unsure = unsure
	x.done[id] = nil
	x.all[id] = New(x.now, Config{ID: id, Rand: rand.New(rand.NewSource(int64(77 + id[0]))), HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 750 * time.Millisecond, Hard: hard, Entries: log})
}

// Given an entry that two of three acknowledged, when one of the two lost it to
// a damaged frame and the other is away, then the third is not elected with its
// vote; once all are there, the entry is too, also where it was lost.
func TestUnsureVotesDoNotCount(t *testing.T) {
	trio := newTrio(5)
	trio.run(3 * time.Second)
	node := trio.leader()
	var b, c string
	for _, id := range []string{"a", "b", "c"} {
		if id != node.id {
			b, c = c, id
		}
	}
	trio.cut[c] = true
	trio.run(300 * time.Millisecond)
	at, _, err := node.Propose("cmd", json.RawMessage(`"kept"`))
	trio.run(300 * time.Millisecond)
	if err != nil || node.Commit() < at {
		t.Fatalf("it is committed: %v", err)
	}
	trio.restart(b, at-1, true)
	trio.cut[node.id], trio.cut[c] = true, false
	trio.run(10 * time.Second)
	if trio.all[b].Role() == Leader || trio.all[c].Role() == Leader {
		t.Fatal("somebody leads who lacks what was acknowledged")
	}
	trio.cut = map[string]bool{}
	trio.run(5 * time.Second)
	for id := range trio.all {
		if n := len(trio.done[id]); n == 0 || trio.done[id][n-1] != `"kept"` {
			t.Errorf("%s applied %v", id, trio.done[id])
		}
	}
	if trio.all[b].Unsure() {
		t.Error("it caught up and is still unsure")
	}
	// It catches up under a leader that counts on what it had, too.
	node = trio.leader()
	b = "a"
	if node.id == b {
		b = "b"
	}
	at, _, _ = node.Propose("cmd", json.RawMessage(`"more"`))
	trio.run(300 * time.Millisecond)
	trio.restart(b, at-1, true)
	trio.run(2 * time.Second)
	if n := len(trio.done[b]); node.Role() != Leader || n == 0 || trio.done[b][n-1] != `"more"` || trio.all[b].Unsure() {
		t.Errorf("%s applied %v under %s", b, trio.done[b], node.Role())
	}
	// When all are unsure, all together are as good as it gets.
	for _, id := range []string{"a", "b", "c"} {
		trio.restart(id, at, true)
	}
	trio.run(5 * time.Second)
	if trio.leader() == nil {
		t.Error("nobody leads although all are there")
	}
}

// Given two of three, of which one has lost acknowledged entries and knows where its
// log ended, when the third is away, then the one that has them is elected with its
// vote; one that lacks them is not.
func TestVoteOfKnownLossCounts(t *testing.T) {
	for _, known := range []bool{true, false} {
		trio := newTrio(5)
		trio.run(3 * time.Second)
		leader := trio.leader()
		var damaged, away string
		for _, id := range []string{"a", "b", "c"} {
			if id != leader.id {
				damaged, away = away, id
			}
		}
		trio.cut[away] = true
		trio.run(300 * time.Millisecond)
		at, term, err := leader.Propose("cmd", json.RawMessage(`"kept"`))
		trio.run(300 * time.Millisecond)
		if err != nil || leader.Commit() < at {
			t.Fatalf("it is committed: %v", err)
		}
		trio.restart(damaged, at-1, true)
		trio.restart(leader.id, at, false)
		if known {
			trio.all[damaged].hard.LostTerm, trio.all[damaged].hard.LostIndex = term, at
		}
		trio.run(10 * time.Second)
		if got := trio.all[leader.id].Role() == Leader; got != known {
			t.Errorf("known %v: the one that has all leads: %v", known, got)
		}
		if known && trio.all[damaged].Unsure() {
			t.Error("it has all again and is still unsure")
		}
		// Now only the one that lacks the entry is there besides the damaged one.
		trio.restart(damaged, at-1, true)
		if known {
			trio.all[damaged].hard.LostTerm, trio.all[damaged].hard.LostIndex = term, at
		}
		trio.cut[leader.id], trio.cut[away] = true, false
		trio.run(10 * time.Second)
		if trio.all[damaged].Role() == Leader || trio.all[away].Role() == Leader {
			t.Errorf("known %v: somebody leads who lacks what was acknowledged", known)
		}
	}
}

// Given a voter that lacks an entry, when it is to take over, then it is not asked until it
// has it: it would lose its election to those that have more (design 5.5).
func TestLeadershipIsHandedToWhoHasAll(t *testing.T) {
	trio := newTrio(5)
	trio.run(3 * time.Second)
	leader := trio.leader()
	target := "a"
	if leader.id == target {
		target = "b"
	}
	if _, _, err := leader.Propose(EntryCommand, []byte(`{}`)); err != nil {
		t.Fatal(err)
	}
	if leader.TransferTo(target, false) {
		t.Error("a voter that lacks an entry is asked to take over")
	}
	if !leader.TransferTo(target, true) {
		t.Error("it is not asked where it may be behind")
	}
	trio.run(200 * time.Millisecond)
	leader = trio.leader()
	if target == leader.id {
		target = "c"
	}
	if !leader.TransferTo(target, false) {
		t.Error("a voter that has all entries is not asked")
	}
	trio.run(200 * time.Millisecond)
	if trio.all[target].Role() != Leader {
		t.Errorf("%s is %s", target, trio.all[target].Role())
	}
}
