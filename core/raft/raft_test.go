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
		r := x.all[id]
		if r == nil {
			continue
		}
		for i := 0; i < 2; i++ {
			o := r.Advance(x.now)
			x.mail = append(x.mail, o.Messages...)
			x.read[id] = append(x.read[id], o.Reads...)
			x.kept[id] = append(x.kept[id], o.Saves...)
			for _, a := range o.Applied {
				if a.Entry.Kind == "cmd" {
					x.done[id] = append(x.done[id], string(a.Entry.Data))
				}
			}
			r.Mark(1)
			r.Synced(1)
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
	x := newTrio(1)
	x.run(3 * time.Second)
	l := x.leader()
	if !l.Read(1) {
		t.Fatal("a leader with its majority takes a read")
	}
	x.run(200 * time.Millisecond)
	if len(x.read[l.id]) != 1 {
		t.Fatalf("the read is released: %v", x.read[l.id])
	}
	x.cut[l.id] = true
	l.Read(2)
	x.run(5 * time.Second)
	if len(x.read[l.id]) != 1 {
		t.Fatalf("a read was released without a majority: %v", x.read[l.id])
	}
}

// Given a voter that lost its disk, when a blank member at its address gets
// the old voter's messages, then it takes none: it is somebody else.
func TestBlankIsNotTheOldVoter(t *testing.T) {
	x := newTrio(2)
	x.run(3 * time.Second)
	l := x.leader()
	var old string
	for id := range x.all {
		if id != l.id {
			old = id
			break
		}
	}
	fresh := New(x.now, Config{ID: "z", Rand: rand.New(rand.NewSource(9)), HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 750 * time.Millisecond})
	fresh.Step(Message{Kind: MessageVote, From: l.id, ToID: old, Term: 99})
	fresh.Step(Message{Kind: MessageAppend, From: l.id, ToID: old, Term: l.Term(), Commit: 1})
	o := fresh.Advance(x.now)
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
		x := newTrio(seed)
		x.run(2 * time.Second)
		for n, a := range acts {
			id := []string{"a", "b", "c"}[a%3]
			if a%4 == 3 {
				x.cut[id] = !x.cut[id]
			} else if l := x.leader(); l != nil {
				d, _ := json.Marshal(fmt.Sprint("cmd", n))
				_, _, _ = l.Propose("cmd", d)
			}
			x.run(time.Duration(a%7) * 200 * time.Millisecond)
		}
		x.cut = map[string]bool{}
		x.run(4 * time.Second)
		var long []string
		for _, l := range x.done {
			if len(l) > len(long) {
				long = l
			}
		}
		for _, l := range x.done {
			for i := range l {
				if l[i] != long[i] {
					return false
				}
			}
		}
		return len(x.done["a"]) == len(x.done["b"]) && len(x.done["b"]) == len(x.done["c"])
	}, gen.Int64Range(1, 1<<30), gen.SliceOfN(12, gen.IntRange(0, 1<<16))))
	config.TestingRun(t)
}

// Given a change of membership under way, when another is proposed, then it
// waits its turn; a leader that has not committed in its term changes none.
func TestOneChangeAtATime(t *testing.T) {
	x := newTrio(3)
	x.run(3 * time.Second)
	l := x.leader()
	c := l.Conf()
	if _, _, err := l.Change(c.With(Member{ID: "d", Addr: "d"})); err != nil {
		t.Fatalf("the first change is taken: %v", err)
	}
	if _, _, err := l.Change(l.Conf().With(Member{ID: "e", Addr: "e"})); err != ErrBusy {
		t.Fatalf("the second is not: %v", err)
	}
	x.run(time.Second)
	if _, _, err := l.Change(l.Conf().Without("d")); err != nil {
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
	x := newTrio(5)
	x.run(3 * time.Second)
	l := x.leader()
	var b, c string
	for _, id := range []string{"a", "b", "c"} {
		if id != l.id {
			b, c = c, id
		}
	}
	x.cut[c] = true
	x.run(300 * time.Millisecond)
	at, _, err := l.Propose("cmd", json.RawMessage(`"kept"`))
	x.run(300 * time.Millisecond)
	if err != nil || l.Commit() < at {
		t.Fatalf("it is committed: %v", err)
	}
	x.restart(b, at-1, true)
	x.cut[l.id], x.cut[c] = true, false
	x.run(10 * time.Second)
	if x.all[b].Role() == Leader || x.all[c].Role() == Leader {
		t.Fatal("somebody leads who lacks what was acknowledged")
	}
	x.cut = map[string]bool{}
	x.run(5 * time.Second)
	for id := range x.all {
		if n := len(x.done[id]); n == 0 || x.done[id][n-1] != `"kept"` {
			t.Errorf("%s applied %v", id, x.done[id])
		}
	}
	if x.all[b].Unsure() {
		t.Error("it caught up and is still unsure")
	}
	// It catches up under a leader that counts on what it had, too.
	l = x.leader()
	b = "a"
	if l.id == b {
		b = "b"
	}
	at, _, _ = l.Propose("cmd", json.RawMessage(`"more"`))
	x.run(300 * time.Millisecond)
	x.restart(b, at-1, true)
	x.run(2 * time.Second)
	if n := len(x.done[b]); l.Role() != Leader || n == 0 || x.done[b][n-1] != `"more"` || x.all[b].Unsure() {
		t.Errorf("%s applied %v under %s", b, x.done[b], l.Role())
	}
	// When all are unsure, all together are as good as it gets.
	for _, id := range []string{"a", "b", "c"} {
		x.restart(id, at, true)
	}
	x.run(5 * time.Second)
	if x.leader() == nil {
		t.Error("nobody leads although all are there")
	}
}

// Given two of three, of which one has lost acknowledged entries and knows where its
// log ended, when the third is away, then the one that has them is elected with its
// vote; one that lacks them is not.
func TestVoteOfKnownLossCounts(t *testing.T) {
	for _, known := range []bool{true, false} {
		x := newTrio(5)
		x.run(3 * time.Second)
		leader := x.leader()
		var damaged, away string
		for _, id := range []string{"a", "b", "c"} {
			if id != leader.id {
				damaged, away = away, id
			}
		}
		x.cut[away] = true
		x.run(300 * time.Millisecond)
		at, term, err := leader.Propose("cmd", json.RawMessage(`"kept"`))
		x.run(300 * time.Millisecond)
		if err != nil || leader.Commit() < at {
			t.Fatalf("it is committed: %v", err)
		}
		x.restart(damaged, at-1, true)
		x.restart(leader.id, at, false)
		if known {
			x.all[damaged].hard.LostTerm, x.all[damaged].hard.LostIndex = term, at
		}
		x.run(10 * time.Second)
		if got := x.all[leader.id].Role() == Leader; got != known {
			t.Errorf("known %v: the one that has all leads: %v", known, got)
		}
		if known && x.all[damaged].Unsure() {
			t.Error("it has all again and is still unsure")
		}
		// Now only the one that lacks the entry is there besides the damaged one.
		x.restart(damaged, at-1, true)
		if known {
			x.all[damaged].hard.LostTerm, x.all[damaged].hard.LostIndex = term, at
		}
		x.cut[leader.id], x.cut[away] = true, false
		x.run(10 * time.Second)
		if x.all[damaged].Role() == Leader || x.all[away].Role() == Leader {
			t.Errorf("known %v: somebody leads who lacks what was acknowledged", known)
		}
	}
}
