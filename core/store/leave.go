package store

import (
	"slices"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// A member that stops in order hands on what it has while it still runs: first the
// leadership, then, where a learner stands ready, its vote. So a machine that is
// taken away after its successor was added is no voter any more when it goes, and
// the loss of another machine right after it leaves a majority (design 5.5).

// stopWordLasts is for how long a member's word that it stops counts; it repeats
// the word until it is gone.
const stopWordLasts = 2 * budget.ElectionTimeout

// StopNotice is what a member that stops tells the leader.
type StopNotice struct {
	Member string `json:"member"`
}

// Kind names the ask.
func (StopNotice) Kind() ledger.Kind { return ask.KindMemberStops }

// Leave goes on with a clean stop: it hands leadership on, again now and then.
func (s *Store) Leave(now flow.Time) {
	if s.leaveBy == 0 {
		s.leaveBy = now + budget.FailureTimeout
	}
	behind := now >= s.leaveBy-budget.FailureTimeout+handOnBehind
	if s.raft.Role() == raft.Leader && now >= s.moved && s.transfer(now, behind) {
		s.moved = now + budget.ElectionTimeout/2
	}
}

// StopNotice gives what the leader should hear of this member's stop, if anything.
func (s *Store) StopNotice() (StopNotice, bool) {
	return StopNotice{Member: s.p.ID}, s.raft.Conf().Find(s.p.ID) >= 0
}

// Left says that nothing keeps this member from ending: another leads, or nobody
// else could, and its vote is with another, or no learner came to take it in time.
func (s *Store) Left(now flow.Time) bool {
	if s.raft.Role() == raft.Leader && s.otherMember(func(m raft.Member) bool { return m.Voter }) {
		return false
	}
	return now >= s.leaveBy || !s.votes() || !s.hasSuccessor()
}

// hasSuccessor says that another takes this member's vote: a learner, or one that has just
// been promoted, so that there is a voter too many.
func (s *Store) hasSuccessor() bool {
	conf := s.raft.Conf()
	return conf.Voters() > want(conf) || s.otherMember(func(m raft.Member) bool { return !m.Voter && !m.Leave })
}

// votes says that this member is a voter.
func (s *Store) votes() bool {
	members := s.raft.Conf().Members
	at := s.raft.Conf().Find(s.p.ID)
	return at >= 0 && members[at].Voter
}

// otherMember says whether any other member is as asked for.
func (s *Store) otherMember(is func(raft.Member) bool) bool {
	return slices.ContainsFunc(s.raft.Conf().Members, func(m raft.Member) bool { return m.ID != s.p.ID && is(m) })
}

// stopAnnounced hears from a member that it stops.
func (s *Store) stopAnnounced(now flow.Time, w wait, notice StopNotice, out *flow.Outbox) {
	if s.raft.Conf().Find(notice.Member) < 0 {
		s.refuse(w, noSuchMember, out)
		return
	}
	s.stopping[notice.Member] = now
	s.look = now
	s.tell(w, ledger.Accepted, struct{}{}, out)
}

// isStopping says that a member said of late that it stops.
func (s *Store) isStopping(id string, now flow.Time) bool {
	at, said := s.stopping[id]
	return said && now-at < stopWordLasts
}

// forgetStops drops words that no longer count.
func (s *Store) forgetStops(now flow.Time) {
	for id := range s.stopping {
		if !s.isStopping(id, now) {
			delete(s.stopping, id)
		}
	}
}
