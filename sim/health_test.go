package sim

import (
	"strings"
	"testing"
	"time"
)

// noted says whether a process has a log line that contains all texts.
func noted(h *Host, texts ...string) bool {
	for _, note := range h.Notes {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(note, text)
		}
		if all {
			return true
		}
	}
	return false
}

// stores gives the store machines of a story, the leader first.
func (s *story) stores() []*Host {
	leader := s.w.Leader()
	all := []*Host{leader}
	for _, h := range s.w.By("store") {
		if h != leader {
			all = append(all, h)
		}
	}
	return all
}

// Given a store machine that is left alone, when its log is read, then it names the voters
// that it does not hear: the majority itself is gone (design 10.4).
func TestALogNamesTheVotersThatAreGone(t *testing.T) {
	t.Parallel()
	s := given(t, 601)
	stores := s.stores()
	gone := []string{stores[0].ID(), stores[1].ID()}
	stores[0].Lose(true)
	stores[1].Lose(true)
	s.w.Run(6 * time.Second)
	for _, id := range gone {
		s.then(noted(stores[2], "no leader is heard", id, "no answer"), "%s is named: %v", id, stores[2].Notes)
	}
	s.then(noted(s.w.Host("disp-1"), "no lease", "no store answers"), "a dispatcher says whose word is lacking: %v", s.w.Host("disp-1").Notes)
	s.w.Run(time.Second)
}

// Given voters that run and can't reach each other, when the log is read, then each names
// the others with how long they are silent, and a leader that comes ends it.
func TestALogTellsThatVotersAreNotReached(t *testing.T) {
	t.Parallel()
	s := given(t, 603)
	stores := s.stores()
	for _, h := range stores {
		s.w.cutFor([]string{h.Name}, s.w.others(h.Name), 6*time.Second, true)
	}
	s.w.Run(5 * time.Second)
	for _, h := range stores[1:] {
		s.then(noted(h, "no leader is heard", "silent", "no answer"), "%s says so: %v", h.Name, h.Notes)
	}
	s.w.Run(8 * time.Second)
	for _, h := range stores[1:] {
		s.then(noted(h, "a leader is heard again"), "%s hears a leader: %v", h.Name, h.Notes)
	}
}
