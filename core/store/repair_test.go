package store

import (
	"testing"

	"fernlink/core/gossip"
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
