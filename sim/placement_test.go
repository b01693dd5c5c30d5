package sim

import (
	"slices"
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// Where the state stands: on machines that carry it better, where there are such
// (design 4.8).

// votersOn counts the voters on machines of a role, and all of them.
func (s *Site) votersOn(role string) (on, all int) {
	for _, m := range s.membership() {
		if !m.Voter {
			continue
		}
		all++
		if h := s.w.hostOf(m.ID); h != nil && h.Has(role) {
			on++
		}
	}
	return on, all
}

// settled says that no change of membership is under way.
func (s *Site) settled() bool {
	leader := s.w.Leader()
	return leader != nil && !leader.Node.Stats(leader.clock()).Store.Changing
}

// moved says that all voters that are wanted stand on storage machines, and nobody
// else has a copy.
func (s *Site) moved() bool {
	on, all := s.votersOn("reserve")
	strangers := slices.ContainsFunc(s.membership(), func(m raft.Member) bool {
		h := s.w.hostOf(m.ID)
		return h == nil || !h.Has("reserve")
	})
	return on == s.Shape.voters() && all == on && !strangers && s.settled()
}

// wantMoved waits until the state stands where it belongs.
func (s *Site) wantMoved(t *testing.T, most time.Duration) {
	t.Helper()
	if !s.w.Until(most, s.moved) {
		t.Fatalf("after %v the voters are not all on storage machines: %v", most, s.membership())
	}
}

// leadTime is the least time between the start of all machines and traffic.
const leadTime = 10 * time.Second

// Given storage machines with wide links and large disks, when all machines start for
// the first time, then all votes have moved there before traffic starts, over all
// zones, two more stand by, and nothing moves after that.
func TestVotersMoveToMachinesThatCarryTheState(t *testing.T) {
	t.Parallel()
	var took []time.Duration
	for seed := int64(600); seed < 612; seed++ {
		s := BuildSite(seed, WideStores)
		s.wantMoved(t, leadTime)
		took = append(took, s.w.Now)
		s.w.Run(2 * budget.FailureTimeout)
		zones := map[string]int{}
		for _, m := range s.membership() {
			if m.Voter {
				zones[m.Zone]++
			}
		}
		if len(zones) != len(WideStores.Zones) {
			t.Errorf("seed %d: the voters stand in %v", seed, zones)
		}
		if n := len(s.membership()); n != 7 {
			t.Errorf("seed %d: %d members, want five voters and two that stand by", seed, n)
		}
		before := s.membership()
		s.w.Run(30 * time.Second)
		if !slices.Equal(s.membership(), before) {
			t.Errorf("seed %d: members moved on: %v, then %v", seed, before, s.membership())
		}
	}
	t.Logf("moved after %v", took)
}

// Given machines of which none carries much more than another, when they start, then
// the votes stay on the core's machines, and no storage machine is a member.
func TestNothingMovesWhereMachinesAreAlike(t *testing.T) {
	t.Parallel()
	for _, shape := range []SiteShape{LittleSite, FourZones} {
		s := BuildSite(620, shape)
		s.w.Run(30 * time.Second)
		on, all := s.votersOn("coordinator")
		if on != 3 || all != 3 {
			t.Errorf("%d of %d voters on machines of the core: %v", on, all, s.membership())
		}
		if len(s.membership()) != min(shape.Core, 4) {
			t.Errorf("members: %v", s.membership())
		}
	}
}

// Given votes on storage machines, when one of those is emptied that votes, and then
// the one that leads, then each is called empty only when it is no member, and five
// votes stand on others.
func TestAVoterIsEmptied(t *testing.T) {
	t.Parallel()
	s := site(t, 630, WideStores)
	s.wantMoved(t, leadTime)
	for range 2 {
		leader, emptied := s.w.Leader(), s.Count["machines emptied"]
		id := leader.ID()
		s.Empty(leader)
		if !s.w.Until(10*time.Second, func() bool { return s.Count["machines emptied"] > emptied }) {
			t.Fatalf("the leader's machine is not emptied: %v", s.membership())
		}
		if slices.ContainsFunc(s.membership(), func(m raft.Member) bool { return m.ID == id }) {
			t.Errorf("emptied while a member: %v", s.membership())
		}
		s.wantMoved(t, 10*time.Second)
		s.w.Run(5 * time.Second)
	}
	s.over(t)
}

// Given as many storage machines as votes are wanted, when one of them is emptied,
// then a machine of the core stands in for it, and the rest keep their votes.
func TestAVoterIsEmptiedWhereTheCoreStandsIn(t *testing.T) {
	t.Parallel()
	shape := WideStores
	shape.Reserve = shape.voters()
	s := site(t, 680, shape)
	s.wantMoved(t, leadTime)
	s.Empty(s.Storage()[1])
	if !s.w.Until(10*time.Second, func() bool { return s.Count["machines emptied"] > 0 }) {
		t.Fatalf("the machine is not emptied: %v, %v", s.membership(), s.Count)
	}
	s.w.Until(budget.Heal, func() bool { return s.settled() && len(s.membership()) >= 5 })
	if on, all := s.votersOn("reserve"); on != 4 || all != 5 {
		t.Errorf("%d of %d voters on storage machines: %v", on, all, s.membership())
	}
	s.w.Run(5 * time.Second)
	s.over(t)
}

// Given votes on storage machines, when all of those but one are lost one after the
// other, then machines of the core stand in; when they are back, the state moves to
// them again, and an acknowledged configuration is there all the while.
func TestTheStateMovesBack(t *testing.T) {
	t.Parallel()
	s := site(t, 640, WideStores)
	s.wantMoved(t, leadTime)
	all := s.Storage()
	for _, h := range all[1:] {
		s.Touch(h)
		h.Lose(true)
		if !s.w.Until(2*budget.Heal, func() bool { return s.w.Repaired() && s.settled() }) {
			t.Fatalf("without %s: %v", h.Name, s.membership())
		}
	}
	if on, voters := s.votersOn("coordinator"); on != 4 || voters != 5 {
		t.Errorf("%d of %d voters on machines of the core: %v", on, voters, s.membership())
	}
	for _, h := range all[1:] {
		s.Start(h)
	}
	s.wantMoved(t, 3*budget.Heal)
	s.over(t)
}

// Given three storage machines that carry the state better, for five votes, when one
// of them comes and goes, then votes move no more often than once in a pause.
func TestAMachineThatComesAndGoesMovesLittle(t *testing.T) {
	t.Parallel()
	shape := WideStores
	shape.Reserve = 5
	s := BuildSite(650, shape)
	s.wantMoved(t, leadTime)
	h := s.Storage()[4]
	if h == s.w.Leader() {
		h = s.Storage()[3]
	}
	changes, last := 0, s.membership()
	s.w.Every(20*time.Millisecond, func() bool {
		if now := s.membership(); now != nil && !slices.Equal(now, last) {
			changes, last = changes+1, now
		}
		return true
	})
	for range 10 {
		h.Kill()
		s.w.Run(3 * time.Second)
		h.Start()
		s.w.Run(3 * time.Second)
	}
	t.Logf("%d changes in 60 s", changes)
	if changes > 12 {
		t.Errorf("%d changes of membership in 60 s", changes)
	}
	s.wantMoved(t, 3*budget.Heal)
}

// Given votes on storage machines, when lots are handed in, then machines that keep
// no copy of the state run them, and never the one that leads.
func TestLotsRunBesideTheState(t *testing.T) {
	t.Parallel()
	s := site(t, 660, WideStores)
	s.wantMoved(t, leadTime)
	s.w.Run(8 * time.Second)
	members, seen := map[string]bool{}, map[string]bool{}
	for _, m := range s.membership() {
		members[m.ID] = true
	}
	for range 40 {
		s.w.Run(100 * time.Millisecond)
		for _, h := range s.Owners() {
			seen[h.Name] = true
			if members[h.ID()] {
				t.Errorf("%s owns lots and keeps the state", h.Name)
			}
		}
	}
	if len(seen) == 0 {
		t.Error("no storage machine owns a lot")
	}
	s.wantGroups(t, 0.9)
	s.over(t)
}

// Given votes that move from small disks to large ones, when they have, then lots may
// hold what the smallest disk of a voter allows.
func TestLotsMayHoldWhatMembersDisksAllow(t *testing.T) {
	t.Parallel()
	s := BuildSite(670, WideStores)
	bound := func() int64 {
		leader := s.w.Leader()
		if leader == nil {
			return 0
		}
		return leader.Node.Stats(leader.clock()).Store.LotBytes
	}
	s.w.Until(leadTime, func() bool { return bound() == ledger.LotBytesOf(WideStores.CoreDisk) })
	if got := bound(); got != ledger.LotBytesOf(WideStores.CoreDisk) {
		t.Errorf("before the move lots may hold %d bytes", got)
	}
	s.wantMoved(t, leadTime)
	if !s.w.Until(2*budget.FailureTimeout, func() bool { return bound() == ledger.LotBytesOf(WideStores.ReserveDisk) }) {
		t.Errorf("after the move lots may hold %d bytes", bound())
	}
}
