package store

import (
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/raft"
)

const mostMembers = 9

// repair keeps the membership whole (design 4.8). The leader looks now and
// then, and makes one change at a time; the first rule that applies wins.
// Every rule only looks at the committed membership and at who is heard, so
// that a new leader goes on where the old one was.
func (s *Store) repair(now flow.Time, live []gossip.Entry, out *flow.Outbox) {
	if now < s.look || s.raft.Role() != raft.Leader || !s.raft.Ready() || s.raft.Busy() {
		return
	}
	s.look = now + budget.HeartbeatInterval
	s.taken = map[string]string{}
	for _, e := range live {
		s.taken[e.Addr] = e.ID
	}
	s.forgetStops(now)
	for id, at := range s.silent {
		if now-at >= 2*budget.FailureTimeout {
			delete(s.silent, id)
		}
	}
	c := s.raft.Conf()
	s.judge(now, c, live)
	for _, f := range rules {
		next, what := f(s, now, c, live)
		if what == "" {
			continue
		}
		for _, m := range c.Members {
			if next.Find(m.ID) < 0 && s.raft.Silent(m.ID, now) >= budget.FailureTimeout/4 {
				s.silent[m.ID] = now
			}
		}
		if _, _, err := s.raft.Change(next); err == nil {
			s.look = now // the next is looked for as soon as this is committed
			s.counts["writes"]++
			flow.Warn.Note(out, "store", what, "members", len(next.Members), "voters", next.Voters(), "changed", changedText(c, next))
		}
		return
	}
}

// rules, in order. Taking in learners comes first, since all else needs them;
// a voter only leaves once there is one more than is wanted.
var rules = []func(*Store, flow.Time, raft.Conf, []gossip.Entry) (raft.Conf, string){
	(*Store).takeIn,
	(*Store).trim,
	(*Store).dropWiped,
	(*Store).fill,
	(*Store).spread,
	(*Store).grow,
	(*Store).moveVote,
	(*Store).dropNarrowLearner,
	(*Store).dropSurplusLearner,
	(*Store).forgetLearner,
}

// takeIn makes every store machine that speaks up and is no member a learner,
// but not one that was retired. One that was taken out for its silence a moment
// ago may still be spoken of by others.
func (s *Store) takeIn(now flow.Time, c raft.Conf, live []gossip.Entry) (raft.Conf, string) {
	if len(c.Members) >= mostMembers {
		return c, ""
	}
	candidates := s.candidates(now, c, live)
	if len(candidates) == 0 {
		return c, ""
	}
	e := s.firstToTakeIn(c, candidates)
	return c.With(raft.Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone}), "took in a learner"
}

// candidates gives the machines that would become learners if there was room. One stands
// by for each voter that may be lost; each more would be one more copy of all that is
// written.
func (s *Store) candidates(now flow.Time, c raft.Conf, live []gossip.Entry) []gossip.Entry {
	wants, heard := max(want(c), s.p.Want), 0
	for _, m := range c.Members {
		replaceable := s.placement.narrow[m.ID] && s.placement.enough(wants)
		if !replaceable && (m.ID == s.p.ID || s.raft.Silent(m.ID, now) < budget.FailureTimeout) {
			heard++
		}
	}
	full := heard >= wants+standby(wants)
	var candidates []gossip.Entry
	for _, e := range live {
		if _, silent := s.silent[e.ID]; silent || s.isStopping(e.ID, now) || !e.Has("store") || e.Cluster != s.raft.Cluster() || c.Find(e.ID) >= 0 || slices.Contains(c.Retired, e.ID) {
			continue
		}
		if s.placement.admits(e, wants) && !e.Retired && (!full || s.spreads(c, e)) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// standby is how many learners are to stand ready beside so many voters.
func standby(voters int) int { return (voters - 1) / 2 }

func want(c raft.Conf) int {
	if c.Want > 0 {
		return c.Want
	}
	return 3
}

// gone says whether a voter should be replaced: an operator wants its machine
// emptied, its process stops, or it is lost.
func (s *Store) gone(m raft.Member, now flow.Time) bool {
	return m.Leave || s.isStopping(m.ID, now) || s.lost(m, now)
}

// lost says that a member is silent, or that somebody else speaks from its address: its
// disk was replaced. Whoever stands ready takes its place, whatever the zone: two votes in
// one zone are worth more than one that is gone, and spread moves them apart later.
func (s *Store) lost(m raft.Member, now flow.Time) bool {
	return s.raft.Silent(m.ID, now) >= budget.FailureTimeout || s.replaced(m, now)
}

// replaced says that a silent member's address speaks with another identity.
func (s *Store) replaced(m raft.Member, now flow.Time) bool {
	return s.raft.Silent(m.ID, now) >= budget.FailureTimeout/4 && s.taken[m.Addr] != "" && s.taken[m.Addr] != m.ID
}

// dropWiped takes a voter out whose disk is gone for good, as soon as a learner
// stands ready, and before that learner is promoted: until then exactly the other
// voters are needed, as they are anyway, and the loss of the learner stops
// nothing (design 4.8).
func (s *Store) dropWiped(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	if c.Voters() != want(c) || c.Voters() < 3 || s.spare(now, c) == "" {
		return c, ""
	}
	for _, m := range c.Members {
		if m.Voter && s.replaced(m, now) {
			return c.Without(m.ID), "took out a voter whose disk is gone"
		}
	}
	return c, ""
}

// fill promotes a ready learner where fewer sound voters stand than wanted.
func (s *Store) fill(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	sound := 0
	for _, m := range c.Members {
		if m.Voter && !s.gone(m, now) {
			sound++
		}
	}
	if sound >= want(c) || c.Voters() > want(c) {
		return c, ""
	}
	id := s.spare(now, c)
	if id == "" {
		return c, ""
	}
	m := c.Members[c.Find(id)]
	m.Voter = true
	return c.With(m), "promoted a learner"
}

// spare picks the ready learner that spreads the voters best, or "". Those on
// machines that carry less than others come last.
func (s *Store) spare(now flow.Time, c raft.Conf) string {
	held := map[string]int{}
	for _, m := range c.Members {
		if m.Voter && !s.gone(m, now) {
			held[m.Zone]++
		}
	}
	best := -1
	for i, m := range c.Members {
		if m.Voter || m.Leave || !s.ready(m.ID, now) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		worse, narrow := s.placement.narrow[c.Members[best].ID], s.placement.narrow[m.ID]
		if worse && !narrow || worse == narrow && held[m.Zone] < held[c.Members[best].Zone] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return c.Members[best].ID
}

// Why a voter leaves where there is one more than wanted: the highest leaves first.
const (
	scoreNone       = iota // it stays
	scoreSpare             // the silent one came back; it is taken in again as a learner
	scoreSharesZone        // another voter stands in its zone
	scoreNarrow            // its machine carries less than others
	scoreNarrowAlso        // and another voter stands in its zone
	scoreLeaving           // its machine is to be emptied, or stops
	scoreLost              // whoever takes its place votes already
)

// stopWordHeard is after how long in office a leader has heard of all members that stop.
const stopWordHeard = budget.ElectionTimeout

// trim takes one voter out where there is one more than wanted: first one that
// is silent, then one that is to be emptied, then one on a machine that carries less
// than others, then one of two in a zone. A leader that can commit this has a
// majority of one more, so what is left has one too.
func (s *Store) trim(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	if c.Voters() <= want(c) {
		return c, ""
	}
	held := map[string]int{}
	for _, m := range c.Members {
		if m.Voter {
			held[m.Zone]++
		}
	}
	worst, score := -1, scoreNone
	for i, m := range c.Members {
		if !m.Voter {
			continue
		}
		if n := s.trimScore(now, m, held); n > score {
			worst, score = i, n
		}
	}
	if worst < 0 || score <= scoreSharesZone && now-s.raft.Since() < stopWordHeard {
		return c, ""
	}
	leaves := c.Members[worst]
	if (score == scoreNarrow || score == scoreNarrowAlso) && !s.othersReady(now, c, leaves.ID) {
		return c, ""
	}
	if leaves.ID != s.p.ID {
		s.placement.handedAt = 0
	} else if s.handOn(now, c) {
		return c, ""
	}
	if leaves.Leave {
		return retire(c, leaves.ID), "emptied a store machine"
	}
	return c.Without(leaves.ID), "took out a voter"
}

// trimScore says how much there is for taking a voter out. This leader itself goes
// only where it must, and after the others that must.
func (s *Store) trimScore(now flow.Time, m raft.Member, held map[string]int) int {
	shared, own := held[m.Zone] > 1, m.ID == s.p.ID
	switch {
	case s.raft.Silent(m.ID, now) >= budget.FailureTimeout || s.replaced(m, now):
		return scoreLost
	case m.Leave || s.isStopping(m.ID, now):
		return scoreLeaving
	case s.placement.narrow[m.ID] && shared && !own:
		return scoreNarrowAlso
	case s.placement.narrow[m.ID] && !own:
		return scoreNarrow
	case s.placement.narrow[m.ID] && !s.otherNarrowVoter():
		return scoreNarrow
	case own:
		return scoreNone
	case shared:
		return scoreSharesZone
	default:
		return scoreSpare
	}
}

// spread swaps a voter for a ready learner where two voters share a zone and
// the learner's has none.
func (s *Store) spread(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	held, twice := map[string]int{}, false
	for _, m := range c.Members {
		if m.Voter {
			if s.gone(m, now) {
				return c, "" // first things first
			}
			held[m.Zone]++
			twice = twice || held[m.Zone] > 1
		}
	}
	id := s.spare(now, c)
	if !twice || id == "" || c.Voters() != want(c) {
		return c, ""
	}
	m := c.Members[c.Find(id)]
	if held[m.Zone] > 0 || s.placement.narrow[id] {
		return c, ""
	}
	m.Voter = true
	return c.With(m), "promoted a learner of a zone without a voter"
}

// grow wants more voters than the cluster was formed with, once there are as
// many sound machines. An even number survives no more than one less.
func (s *Store) grow(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	n, sound := s.p.Want-1+s.p.Want%2, 0
	for _, m := range c.Members {
		if m.Voter && !s.gone(m, now) || !m.Voter && !m.Leave && s.ready(m.ID, now) {
			sound++
		}
	}
	if n <= want(c) || sound < n {
		return c, ""
	}
	c.Want = n
	return c, "wants more voters"
}

// forgetLearner drops a learner that has been silent for very long, as soon as it counts
// as lost where another machine waits for its place, and at once where somebody else
// speaks from its address.
func (s *Store) forgetLearner(now flow.Time, c raft.Conf, live []gossip.Entry) (raft.Conf, string) {
	patience := 5 * budget.Heal
	if len(c.Members) >= mostMembers && len(s.candidates(now, c, live)) > 0 {
		patience = budget.FailureTimeout
	}
	for _, m := range c.Members {
		if !m.Voter && (s.raft.Silent(m.ID, now) >= patience || s.replaced(m, now)) {
			return c.Without(m.ID), "dropped a silent learner"
		}
	}
	return c, ""
}
