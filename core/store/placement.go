package store

import (
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// Where the state belongs (design 4.8): on the machines whose link and disk carry
// much more than others', where there are such. All else the rules of repair do.

// placement is how the leader judges the store machines of the cluster.
type placement struct {
	narrow    map[string]bool // a sound machine carries much more than this one
	preferred map[string]bool // it carries much more than another, and none more than it
	sound     int             // preferred ones that are sound
	disks     map[string]int  // MB, of machines that say it
	settledAt flow.Time       // the last time a voter was not sound, or a preferred machine was lost
	unsettled bool            // that was at some time
	handedAt  flow.Time       // when this leader first handed leadership on to leave
}

// settlePause is for how long nothing may have been lost before a vote moves only for
// the sake of a better machine, so that one which comes and goes moves nothing.
const settlePause = budget.Heal

// judge looks at all store machines that are heard, and at members heard before.
func (s *Store) judge(now flow.Time, c raft.Conf, live []gossip.Entry) {
	sound := s.soundStores(now, c, live)
	s.remember(c, sound)
	p := &s.placement
	p.narrow, p.preferred, p.disks = map[string]bool{}, map[string]bool{}, map[string]int{}
	for id, e := range s.machines {
		p.disks[id] = e.Disk
		p.narrow[id] = slices.ContainsFunc(sound, func(x gossip.Entry) bool { return x.CarriesMore(e) })
		for _, other := range s.machines {
			p.preferred[id] = p.preferred[id] || e.CarriesMore(other)
		}
		p.preferred[id] = p.preferred[id] && !p.narrow[id]
	}
	before := p.sound
	p.sound = 0
	for _, e := range sound {
		if p.preferred[e.ID] {
			p.sound++
		}
	}
	if p.sound < before {
		p.settledAt, p.unsettled = now, true
	}
	for _, m := range c.Members {
		if m.Voter && s.gone(m, now) {
			p.settledAt, p.unsettled = now, true
		}
	}
}

// soundStores gives the store machines of the cluster that are heard and stay.
func (s *Store) soundStores(now flow.Time, c raft.Conf, live []gossip.Entry) []gossip.Entry {
	var sound []gossip.Entry
	for _, e := range append(slices.Clip(live), s.self) {
		i := c.Find(e.ID)
		leaving := i >= 0 && c.Members[i].Leave || e.Retired || s.isStopping(e.ID, now) || slices.Contains(c.Retired, e.ID)
		if e.Has("store") && e.Cluster == s.raft.Cluster() && !leaving {
			sound = append(sound, e)
		}
	}
	return sound
}

// remember keeps what machines said of themselves while they are heard or members.
func (s *Store) remember(c raft.Conf, sound []gossip.Entry) {
	heard := map[string]gossip.Entry{}
	for _, e := range sound {
		heard[e.ID] = e
	}
	for _, m := range c.Members {
		if e, known := s.machines[m.ID]; known && heard[m.ID].ID == "" {
			heard[m.ID] = e
		}
	}
	s.machines = heard
}

// calm says that nothing was lost for a while.
func (p *placement) calm(now flow.Time) bool {
	return !p.unsettled || now-p.settledAt >= settlePause
}

// enough says that so many preferred machines are sound that no other is needed.
func (p *placement) enough(wants int) bool { return p.sound >= wants }

// admits says whether a machine that is no member may become one. Machines that run
// lots are for the state only where they carry more than others; those that carry
// less stand in only while too few others are there.
func (p *placement) admits(e gossip.Entry, wants int) bool {
	if e.Has(gossip.RoleWorker) && !p.preferred[e.ID] {
		return false
	}
	return !p.narrow[e.ID] || !p.enough(wants)
}

// standIns counts the machines that are heard and no members, and would become
// learners if a preferred voter left.
func (s *Store) standIns(c raft.Conf, id string) (count int) {
	if !s.placement.preferred[id] {
		return 0
	}
	for other, narrow := range s.placement.narrow {
		if narrow && c.Find(other) < 0 {
			count++
		}
	}
	return count
}

// firstToTakeIn picks, of machines that may become members, one that is preferred
// and whose zone has the fewest such members; else the first.
func (s *Store) firstToTakeIn(c raft.Conf, candidates []gossip.Entry) gossip.Entry {
	held := map[string]int{}
	for _, m := range c.Members {
		if s.placement.preferred[m.ID] {
			held[m.Zone]++
		}
	}
	best := candidates[0]
	for _, e := range candidates[1:] {
		better, worse := s.placement.preferred[e.ID], s.placement.preferred[best.ID]
		if better && (!worse || held[e.Zone] < held[best.Zone]) {
			best = e
		}
	}
	return best
}

// narrowVoter says whether a voter stands on a machine that carries less than
// another that is sound.
func (s *Store) narrowVoter(c raft.Conf) bool {
	return slices.ContainsFunc(c.Members, func(m raft.Member) bool { return m.Voter && s.placement.narrow[m.ID] })
}

// otherNarrowVoter says whether a voter beside this leader stands on such a machine.
func (s *Store) otherNarrowVoter() bool {
	return s.otherMember(func(m raft.Member) bool { return m.Voter && s.placement.narrow[m.ID] })
}

// moveVote promotes a ready learner on a machine that can carry the state where a
// voter stands on one that carries less; trim then takes that voter out.
func (s *Store) moveVote(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	if c.Voters() != want(c) || !s.narrowVoter(c) || !s.placement.calm(now) {
		return c, ""
	}
	id := s.spare(now, c)
	if id == "" || s.placement.narrow[id] {
		return c, ""
	}
	m := c.Members[c.Find(id)]
	m.Voter = true
	return c.With(m), "promoted a learner on a machine that carries more"
}

// dropNarrowLearner ends a copy that stood in, once enough others are voters.
func (s *Store) dropNarrowLearner(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	if c.Voters() != want(c) || s.narrowVoter(c) || !s.placement.enough(want(c)) || !s.placement.calm(now) {
		return c, ""
	}
	for _, m := range c.Members {
		if !m.Voter && s.placement.narrow[m.ID] {
			return c.Without(m.ID), "took out a learner on a machine that carries less"
		}
	}
	return c, ""
}

// spreads says whether a preferred machine stands in an zone without such a member.
func (s *Store) spreads(c raft.Conf, e gossip.Entry) bool {
	return s.placement.preferred[e.ID] && !slices.ContainsFunc(c.Members, func(m raft.Member) bool {
		return m.Zone == e.Zone && s.placement.preferred[m.ID]
	})
}

// dropSurplusLearner takes out a learner where more stand ready than are needed, one
// of the zone that has the most preferred members.
func (s *Store) dropSurplusLearner(now flow.Time, c raft.Conf, _ []gossip.Entry) (raft.Conf, string) {
	if c.Voters() != want(c) || s.narrowVoter(c) || !s.placement.calm(now) {
		return c, ""
	}
	held, learners := map[string]int{}, []raft.Member{}
	for _, m := range c.Members {
		if !s.placement.preferred[m.ID] {
			continue
		}
		held[m.Zone]++
		if !m.Voter && !m.Leave && s.ready(m.ID, now) {
			learners = append(learners, m)
		}
	}
	if len(learners) <= standby(want(c)) {
		return c, ""
	}
	surplus := slices.MaxFunc(learners, func(a, b raft.Member) int { return held[a.Zone] - held[b.Zone] })
	if held[surplus.Zone] < 2 {
		return c, "" // it is there for the sake of its zone
	}
	return c.Without(surplus.ID), "took out a learner that is not needed"
}

// othersReady says that every other voter is heard and has what was committed a
// moment ago, so that a sound voter may go.
func (s *Store) othersReady(now flow.Time, c raft.Conf, id string) bool {
	for _, m := range c.Members {
		if m.Voter && m.ID != id && m.ID != s.p.ID && !s.ready(m.ID, now) {
			return false
		}
	}
	return true
}

// handOn hands leadership to another voter before this one leaves the membership,
// and says whether that is under way. Where nobody took it in time, the leader goes
// as it is.
func (s *Store) handOn(now flow.Time, c raft.Conf) bool {
	if s.placement.handedAt == 0 {
		s.placement.handedAt = now
	}
	if now-s.placement.handedAt >= budget.FailureTimeout {
		return false
	}
	if now < s.moved {
		return true
	}
	id := s.successor(now, c)
	if id == "" {
		return false
	}
	if s.raft.TransferTo(id, now-s.placement.handedAt >= handOnBehind) {
		s.moved = now + budget.ElectionTimeout/2
	}
	return true
}

// handOnBehind is after how long a leader that is to leave hands leadership also to a voter
// that lacks entries: under many changes on slow disks every other voter always does.
const handOnBehind = budget.FailureTimeout / 2

// transfer hands leadership to the voter that suits best, or to whoever is heard, and says
// whether it did.
func (s *Store) transfer(now flow.Time, behind bool) bool {
	if id := s.successor(now, s.raft.Conf()); id != "" {
		return s.raft.TransferTo(id, behind)
	}
	return s.raft.Transfer(behind)
}

// successor picks the voter that is to lead next: on a machine that carries no less
// than others, and with the most of the log.
func (s *Store) successor(now flow.Time, c raft.Conf) string {
	best := ""
	for _, m := range c.Members {
		if !m.Voter || m.ID == s.p.ID || m.Leave || !s.ready(m.ID, now) {
			continue
		}
		narrow := s.placement.narrow[m.ID]
		switch {
		case best == "":
		case narrow && !s.placement.narrow[best]:
			continue
		case narrow == s.placement.narrow[best] && s.raft.Match(m.ID) <= s.raft.Match(best):
			continue
		}
		best = m.ID
	}
	return best
}

// Forming says that this store waits for others to form a cluster with.
func (s *Store) Forming() bool { return s.raft.Blank() && len(s.p.Form) > 0 }

// Leads says that this store leads the cluster.
func (s *Store) Leads() bool { return s.raft.Role() == raft.Leader }

// Outside says that this machine is no member of the cluster, by its own log or by a
// newer membership that others speak of. It has no deadlines then.
func (s *Store) Outside(known gossip.Known) bool {
	switch {
	case s.Forming() || s.pull != nil || len(s.fetches) > 0 || s.Leads():
		return false
	case known.At > s.raft.ConfAt():
		return !slices.Contains(known.Stores, s.p.Addr)
	default:
		return s.raft.Conf().Find(s.p.ID) < 0
	}
}

// bounds gives the bounds that this leader puts into force: its own, and for lots
// what the smallest disk of a voter allows. A learner that has no room for what there
// is never catches up, and is never a voter.
func (s *Store) bounds() ledger.Bounds {
	bounds, smallest := s.p.Bounds, 0
	for _, m := range s.raft.Conf().Members {
		if disk := s.placement.disks[m.ID]; m.Voter && disk > 0 && (smallest == 0 || disk < smallest) {
			smallest = disk
		}
	}
	if smallest > 0 {
		bounds.LotBytes = ledger.LotBytesOf(smallest)
	}
	return bounds
}
