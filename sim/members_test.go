package sim

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/sorted"
	"fernlink/shell/disk"
)

// Given a wiped voter that is back and votes again, when it is lost once more at
// that very moment, then orders go on: the two others are all that was needed
// throughout (design 4.8).
func TestFreshVoterLostAtOnce(t *testing.T) {
	t.Parallel()
	for seed := int64(440); seed < 443; seed++ {
		s := &lossStory{story: givenShape(t, seed, lossShape)}
		s.bulk(2)
		s.write()
		s.changing = s.follower()
		s.changing.Lose(true)
		s.changing.Start()
		s.then(s.w.Until(budget.Heal, func() bool { return s.members()[s.changing.ID()].Voter }), "it votes: %v", s.members())
		s.w.killFor(s.changing, 8*time.Second)
		stood, ok := s.ordersBack(budget.Heal)
		s.then(ok && stood < time.Second, "orders go on: %v %v", stood, s.members())
		s.then(s.w.Until(3*budget.Heal, func() bool { return s.w.Repaired() && s.settled() }), "all is whole again: %v", s.members())
		s.end()
	}
}

// Given a learner whose log is a few entries short and stands still, when it is to
// be promoted, then that is refused: what counts is what was committed an election
// timeout ago, not a number of entries.
func TestStalledLearnerIsNotPromoted(t *testing.T) {
	t.Parallel()
	s := &lossStory{story: givenShape(t, 445, Small)}
	s.changing = s.follower()
	n := s.fresh("learner", 1, s.changing.Config.Zone)
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "it is a learner")
	s.w.Run(2 * time.Second)
	s.version = 1
	s.write()
	s.w.Net.Split([]string{n.Name}, s.w.others(n.Name))
	s.w.Run(850 * time.Millisecond)
	r := s.ask(s.disp(0), Call("store.vote", map[string]string{"id": n.ID()}, nil))
	s.then(r.Code == 409 && !s.members()[n.ID()].Voter, "refused: %d %s", r.Code, r.Body)
	s.w.Net.Heal()
	s.w.Run(2 * time.Second)
	r = s.ask(s.disp(0), Call("store.vote", map[string]string{"id": n.ID()}, nil))
	s.then(r.Code == 200, "granted once it has caught up: %d %s", r.Code, r.Body)
	s.end()
}

// Given a voter that is silent, when an operator takes out the machine that stands
// ready for it, or another voter, then too few would remain: refused, and no trace.
func TestRemovalThatLeavesTooFewIsRefused(t *testing.T) {
	t.Parallel()
	s := given(t, 446)
	quiet := s.follower()
	n := s.fresh("ready", 1, quiet.Config.Zone)
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "it is a learner")
	s.w.Run(2 * time.Second)
	quiet.Freeze(1500 * time.Millisecond)
	s.w.Run(700 * time.Millisecond)
	before := fmt.Sprint(s.members())
	for _, h := range []*Host{n, s.w.Leader()} {
		r := s.ask(s.disp(0), Call("store.remove", map[string]string{"id": h.ID()}, nil))
		s.then(r.Code == 409, "%s stays: %d %s", h.Name, r.Code, r.Body)
	}
	s.then(fmt.Sprint(s.members()) == before, "no trace: %v", s.members())
	s.w.Run(3 * time.Second)
	r := s.ask(s.disp(0), Call("store.remove", map[string]string{"id": n.ID()}, nil))
	s.then(r.Code == 200, "it may go once all voters are heard: %d %s", r.Code, r.Body)
	s.end()
}

// Given a cluster, when a machine comes back blank that hears nobody and is told that
// it is the first start of all, then it forms no second cluster, and joins the first
// as somebody new once it hears the others; what its lost identity asks is passed over.
func TestSecondFormationIsRefused(t *testing.T) {
	t.Parallel()
	for seed, alone := range map[int64]bool{450: true, 451: false} {
		s := given(t, seed)
		h := s.follower()
		old, cluster := h.ID(), h.Node.Cluster()
		before := fmt.Sprint(s.members())
		h.Lose(true)
		h.Config.First = true
		if alone {
			s.w.Net.Split([]string{h.Name}, s.w.others(h.Name))
		}
		h.Start()
		for end := s.w.Now + 6*time.Second; alone && s.w.Now < end; s.w.Run(20 * time.Millisecond) {
			s.then(s.stats(h).Role != raft.Leader && h.Node.Cluster() == "", "it forms nothing alone: %v", s.stats(h))
			s.then(fmt.Sprint(s.members()) == before, "no trace: %v", s.members())
		}
		s.w.Net.Heal()
		term := s.stats(s.w.Leader()).Term
		h.claimOldIdentity(s, old)
		s.then(s.w.Until(budget.Heal, func() bool { return s.members()[h.ID()].Voter && s.settled() }), "it joins: %v", s.members())
		strangers := 0
		for _, x := range s.w.By("store") {
			strangers += s.stats(x).Strangers
			s.then(x.Node.Stats(x.clock()).Rows["member_addresses"] <= 18, "no trace of them is left")
		}
		s.then(strangers >= 200, "they are counted: %d", strangers)
		_, still := s.members()[old]
		s.then(!still && h.Node.Cluster() == cluster, "as somebody new, of the same cluster")
		s.then(s.stats(s.w.Leader()).Term == term, "nobody followed the lost identity: term %d, then %d", term, s.stats(s.w.Leader()).Term)
		s.end()
	}
}

// claimOldIdentity asks for votes and acknowledges entries in a lost identity's name.
func (h *Host) claimOldIdentity(s *story, old string) {
	for id := range s.members() {
		to := s.w.hostOf(id)
		if to == nil {
			continue
		}
		var claims []raft.Message
		for i := range 100 {
			claims = append(claims, raft.Message{Kind: raft.MessageVote, From: fmt.Sprintf("%s-%d", old, i), ToID: id, Term: 99, Index: 1 << 40, LogTerm: 99})
		}
		claims = append(claims,
			raft.Message{Kind: raft.MessageVote, From: old, ToID: id, Term: 99, Index: 1 << 40, LogTerm: 99},
			raft.Message{Kind: raft.MessagePreVote, From: old, ToID: id, Term: 99, Index: 1 << 40, LogTerm: 99})
		for _, m := range claims {
			body, _ := json.Marshal(m)
			to.offer(to.life, flow.Event{Line: &flow.Line{Ver: flow.Version, Kind: "raft", Cluster: to.Node.Cluster(), From: old, Addr: h.Config.Addr, Body: body}})
		}
	}
}

// Given a voter that is away and another whose last save is damaged, when the leader
// restarts, then it leads again with the damaged one's vote, and orders go on long
// before the third is back (design 4.6).
func TestDamagedTailAndSecondLoss(t *testing.T) {
	t.Parallel()
	for seed := int64(470); seed < 474; seed++ {
		s := &lossStory{story: givenShape(t, seed, lossShape)}
		s.version = 1
		s.write()
		s.w.Run(time.Second)
		leader, damaged := s.w.Leader(), s.follower()
		for _, h := range s.w.By("store") {
			if h != leader && h != damaged {
				s.w.killFor(h, 20*time.Second)
			}
		}
		s.w.Run(500 * time.Millisecond)
		damaged.Kill()
		damaged.Disk.damageLastSave(t)
		leader.Kill()
		damaged.Start()
		leader.Start()
		s.then(damaged.Up && leader.Up, "both start: %q", damaged.Notes)
		stood, ok := s.ordersBack(budget.Heal)
		s.then(ok && stood < ordersBound, "orders go on: %v", stood)
		s.w.Run(20 * time.Second)
		s.end()
	}
}

// damageLastSave changes a byte of the last save of the log, and not of its mark.
func (d *Disk) damageLastSave(t *testing.T) {
	t.Helper()
	name := ""
	for _, n := range sorted.Keys(d.names) {
		if strings.HasPrefix(n, "log-") {
			name = n
		}
	}
	x := d.names[name]
	mark := bytes.LastIndexByte(x.data[:len(x.data)-1], '\n') + 1
	if mark < 40 {
		t.Fatal("there is no save with a mark")
	}
	x.data = append([]byte(nil), x.data...)
	x.data[mark-20] ^= 1
	x.safe = append([]byte(nil), x.data...)
}

// Given members that follow under load, one of them a learner that fetches a
// snapshot, when the power of any goes at any instant, then its disk has all that
// the leader counts it for: the log up to its match, and every blob that its
// snapshot names (design 4.8).
func TestMatchIsOnDisk(t *testing.T) {
	t.Parallel()
	s := &lossStory{story: givenShape(t, 447, lossShape)}
	for _, h := range s.w.By("store") {
		h.Disk.Slow = 8 * time.Millisecond // so that much is under way when it is looked at
	}
	s.bulk(4)
	s.write()
	s.a.Consume(30 * time.Millisecond)
	s.w.Run(2 * time.Second)
	dead := s.follower()
	dead.Lose(true)
	dead.Start()
	checked, promoted := 0, false
	for end := s.w.Now + 2500*time.Millisecond; s.w.Now < end; s.w.Run(13 * time.Millisecond) {
		lead := s.w.Leader()
		for _, h := range s.w.By("store") {
			if lead == nil || !h.Up || h == lead {
				continue
			}
			match := s.stats(lead).Match[h.ID()]
			if last, err := h.Disk.lastAfterPowerLoss(); err != nil || last < match {
				t.Fatalf("at %v the leader counts %s up to %d, its disk has %d: %v", s.w.Now, h.Name, match, last, err)
			}
			if match > 0 {
				checked++
			}
		}
		promoted = promoted || s.members()[dead.ID()].Voter
	}
	s.then(checked > 200 && promoted, "much was checked, over a promotion: %d %v", checked, promoted)
	s.end()
}

// lastAfterPowerLoss gives the last entry that a copy of the disk still has after a
// loss of power, or an error where it would not start.
func (d *Disk) lastAfterPowerLoss() (uint64, error) {
	c := &Disk{rand: rand.New(rand.NewSource(1)), names: map[string]*inode{}, safe: map[string]*inode{}}
	for name, x := range d.names {
		c.names[name] = x
	}
	for name, x := range d.safe {
		c.safe[name] = x
	}
	c.Lose()
	log, content, err := disk.Open(c)
	if err != nil {
		return 0, err
	}
	var last uint64
	if content.Snapshot != nil {
		loaded, err := ledger.Load(content.Snapshot.State, content.Items)
		if err != nil {
			return 0, err
		}
		for kind, ids := range loaded.Items() {
			for _, id := range ids {
				got, err := log.Fetch(flow.Fetch{Refs: []flow.Ref{{Kind: kind, ID: id}}, Check: true})
				if err != nil || len(got.Missing) > 0 {
					return 0, fmt.Errorf("%s %d is missing: %v", kind, id, err)
				}
			}
		}
		last = content.Snapshot.Index
	}
	if n := len(content.Entries); n > 0 {
		last = content.Entries[n-1].Index
	}
	return last, nil
}
