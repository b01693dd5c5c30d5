package sim

import (
	"testing"
	"time"

	"fernlink/core/budget"
)

// Given a state of a few MB, when a voter comes back at its address with an empty
// disk, then it votes again under its new identity, and the old one is out,
// within 2.5 s of its first word (design 4.8).
func TestWipedVoterIsBackInTime(t *testing.T) {
	t.Parallel()
	for seed := int64(400); seed < 406; seed++ {
		s := given(t, seed)
		s.train("one")
		s.a.Consume(50 * time.Millisecond)
		s.bulky(14)
		s.snapshoted()
		h := s.follower()
		old := h.ID()
		h.Lose(true)
		h.Start()
		from := s.w.Now
		s.then(s.w.Until(2*budget.Heal, func() bool {
			m := s.members()
			_, was := m[old]
			return m[h.ID()].Voter && !was && s.settled()
		}), "it votes again: %v", s.members())
		took := s.w.Now - from
		t.Logf("seed %d: %v, %d pieces", seed, took, s.stats(h).Pulled)
		if took > 2500*time.Millisecond {
			t.Errorf("seed %d: it took %v", seed, took)
		}
		s.end()
	}
}

// Given a machine that stands ready in a voter's zone, when that voter is silent,
// then the other has its place long before the time for one that nobody can
// replace; and when it comes back, it is a learner and nothing else moves.
func TestReadyMachineTakesOver(t *testing.T) {
	t.Parallel()
	s := given(t, 430)
	s.train("one")
	dead := s.follower()
	id := dead.ID()
	n := s.fresh("ready", 1, dead.Config.Zone)
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "it is a learner")
	s.w.Run(2 * time.Second)
	dead.Freeze(4 * time.Second)
	from := s.w.Now
	s.then(s.w.Until(budget.Heal, func() bool {
		m := s.members()
		return m[n.ID()].Voter && !m[id].Voter && s.settled()
	}), "it takes over: %v", s.members())
	took := s.w.Now - from
	s.then(took >= budget.FailureTimeout-2*budget.HeartbeatInterval && took < budget.FailureTimeout+time.Second, "in time: %v", took)
	s.then(s.w.Until(2*budget.Heal, func() bool { m, in := s.members()[id]; return in && !m.Voter }), "the other comes back as a learner: %v", s.members())
	changes := 0
	was := s.members()
	s.w.Every(100*time.Millisecond, func() bool {
		if now := s.members(); len(now) > 0 && len(now) != len(was) {
			changes++
		}
		return !s.a.Stop
	})
	s.w.Run(10 * time.Second)
	s.then(changes == 0 && s.voters() == 3 && len(s.members()) == 4, "and nothing else moves: %d %v", changes, s.members())
	s.end()
}

// Given a voter that nobody stands ready for, when it is silent for some seconds,
// then it stays a voter.
func TestSilentVoterStaysWithoutAnother(t *testing.T) {
	t.Parallel()
	s := given(t, 431)
	dead := s.follower()
	id := dead.ID()
	dead.Freeze(budget.Heal - 4*time.Second)
	for end := s.w.Now + budget.Heal; s.w.Now < end; s.w.Run(20 * time.Millisecond) {
		s.then(s.members()[id].Voter && s.voters() == 3, "it votes: %v", s.members())
	}
	s.end()
}

// Given a learner in a zone that has a voter, when the voter of another zone is silent, then
// the learner takes its place in time, and the vote goes back to that zone once its machine
// is heard again.
func TestASilentVoterIsReplacedFromAnotherZone(t *testing.T) {
	t.Parallel()
	s := given(t, 433)
	dead := s.follower()
	id := dead.ID()
	learner := s.fresh("elsewhere", 1, s.w.Leader().Config.Zone)
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "a learner of another zone")
	s.w.Run(2 * time.Second)
	dead.Freeze(budget.Heal - 4*time.Second)
	from := s.w.Now
	s.then(s.w.Until(budget.Heal, func() bool {
		m := s.members()
		return m[learner.ID()].Voter && !m[id].Voter && s.settled()
	}), "it takes over: %v", s.members())
	took := s.w.Now - from
	s.then(took < budget.FailureTimeout+time.Second, "in time: %v", took)
	s.w.Run(budget.Heal)
	zones := map[string]int{}
	for _, m := range s.members() {
		if m.Voter {
			zones[m.Zone]++
		}
	}
	s.then(len(zones) == 3 && s.voters() == 3, "each zone has a voter again: %v", s.members())
	s.end()
}

// Given a voter that stops in order while a learner stands ready, when its process ends,
// then it has no vote any more, however soon the learner was promoted (design 5.5).
func TestAMemberThatStopsGoesAfterItsVote(t *testing.T) {
	t.Parallel()
	for seed := int64(440); seed < 452; seed++ {
		s := given(t, seed)
		leaving := s.follower()
		if seed%2 == 0 {
			leaving = s.w.Leader()
		}
		id := leaving.ID()
		s.fresh("learner", 1, leaving.Config.Zone)
		s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "a learner")
		s.w.Run(2 * time.Second)
		leaving.Stop()
		s.then(s.w.Until(8*time.Second, func() bool { return !leaving.Up }), "it ends")
		s.then(s.w.Until(time.Second, func() bool { return len(s.members()) > 0 }), "somebody leads")
		s.then(!s.members()[id].Voter, "seed %d: it has no vote: %v", seed, s.members())
		s.end()
	}
}

// Given stores that want more voters than formed the cluster, when there are
// enough machines, then they come to be that many, and one by one.
func TestMoreVotersThanFormed(t *testing.T) {
	t.Parallel()
	// One learner stands by for each voter that may be lost, and no more.
	for _, c := range []struct{ spare, want, voters, members int }{{1, 5, 3, 4}, {2, 5, 5, 5}, {2, 4, 3, 5}, {3, 6, 5, 6}, {2, 0, 3, 4}} {
		shape := Small
		shape.Spare = c.spare
		w := Prepare(432, shape)
		for _, h := range w.By("store") {
			h.Config.Want = c.want
			h.Start()
		}
		for _, h := range w.Hosts {
			h.Start()
		}
		s := &story{t, w, NewActors(w)}
		s.then(w.Until(2*budget.Heal, w.Serving), "the fleet serves")
		w.Run(10 * time.Second)
		s.then(s.voters() == c.voters && len(s.members()) == c.members, "%+v: %v", c, s.members())
		if c.voters < 5 {
			continue
		}
		n := 0
		for _, h := range w.By("store") {
			if s.members()[h.ID()].Voter && n < 2 {
				h.Kill()
				n++
			}
		}
		s.then(w.Until(2*budget.Heal, func() bool { return w.Leader() != nil && w.Serving() }), "two losses are survived")
	}
}

// Given blank machines that are told that this is the first start of all, when
// they start, then the cluster forms without the wait for others.
func TestFirstStartOfAll(t *testing.T) {
	t.Parallel()
	took := map[bool]time.Duration{}
	for _, first := range []bool{false, true} {
		w := Prepare(433, Small)
		for _, h := range w.Hosts {
			h.Config.First = first
			h.Start()
		}
		if !w.Until(2*budget.Heal, func() bool { return w.Leader() != nil }) {
			t.Fatalf("first %v: no leader", first)
		}
		took[first] = w.Now
	}
	t.Logf("a leader after %v", took)
	if took[false]-took[true] < budget.FailureTimeout/2 {
		t.Errorf("a leader after %v", took)
	}
}
