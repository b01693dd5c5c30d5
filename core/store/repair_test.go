package store

import (
	"fmt"
	"testing"

	"fernlink/core/budget"
	"fernlink/core/gossip"
	"fernlink/core/raft"
)

// Given a store machine that was taken out for its silence a moment ago, when others
// still tell of it, then it is not taken in again; one that was not is (design 4.8).
func TestASilentMachineIsNotTakenInByHearsay(t *testing.T) {
	l := newLone(t)
	s := l.store
	machine := gossip.Entry{ID: "x", Addr: "x:1", Roles: []string{"store"}, Cluster: s.raft.Cluster()}
	live := []gossip.Entry{machine}
	s.p.Want = 3

	s.silent[machine.ID] = l.now
	if next, what := s.takeIn(l.now, s.raft.Conf(), live); what != "" || next.Find(machine.ID) >= 0 {
		t.Errorf("silent: %q", what)
	}
	delete(s.silent, machine.ID)
	if next, _ := s.takeIn(l.now, s.raft.Conf(), live); next.Find(machine.ID) < 0 {
		t.Error("a machine that was not silent is not taken in")
	}
}

// Given all places taken, one by a learner that is gone, when another machine waits, then
// the learner's place is free as soon as it counts as lost; while nobody waits, it stays
// for longer (design 4.8).
func TestALearnerThatIsGoneKeepsNoPlaceFromAnother(t *testing.T) {
	l := newLone(t)
	s := l.store
	full := s.raft.Conf()
	for n := 1; len(full.Members) < mostMembers; n++ {
		full = full.With(raft.Member{ID: fmt.Sprint("learner-", n), Addr: fmt.Sprintf("l%d:1", n)})
	}
	waits := []gossip.Entry{{ID: "x", Addr: "x:1", Roles: []string{"store"}, Cluster: s.raft.Cluster()}}
	s.p.Want = 5
	if _, what := s.forgetLearner(budget.FailureTimeout/2, full, waits); what != "" {
		t.Errorf("a learner is dropped that is hardly silent: %s", what)
	}
	if next, _ := s.forgetLearner(budget.FailureTimeout, full, waits); len(next.Members) != mostMembers-1 {
		t.Error("the place of a learner that is gone is not free")
	}
	if _, what := s.forgetLearner(budget.Heal, full, nil); what != "" {
		t.Errorf("nobody waits, and a learner is dropped: %s", what)
	}
}
