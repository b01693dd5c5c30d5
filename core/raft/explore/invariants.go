package explore

import (
	"bytes"
	"fmt"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// violate notes the first invariant that does not hold.
func (s *state) violate(format string, args ...any) {
	if s.violated == nil {
		s.violated = fmt.Errorf(format, args...)
	}
}

// checkElection: a term has one leader at most, and that leader has all that was
// committed (leader completeness).
func (s *state) checkElection(m *member) {
	for _, won := range s.history.elections {
		if won.term == m.raft.Term() && won.leader != m.id {
			s.violate("two leaders in term %d: %s and %s", won.term, won.leader, m.id)
		}
	}
	if missing, found := s.missing(m.raft.LogView()); found {
		s.violate("%s leads term %d without committed entry %d", m.id, m.raft.Term(), missing)
	}
}

// missing gives the first committed entry that a log lacks.
func (s *state) missing(view raft.LogView) (index uint64, found bool) {
	for _, entry := range s.history.committed {
		if entry.Index <= view.BaseIndex {
			continue
		}
		have, ok := view.Entry(entry.Index)
		if !ok || have.Term != entry.Term {
			return entry.Index, true
		}
	}
	return 0, false
}

// checkApplied: no two members apply different entries at an index.
func (s *state) checkApplied(m *member, entry flow.Entry) {
	first := s.history.committed[entry.Index-1]
	if first.Term != entry.Term || !bytes.Equal(first.Data, entry.Data) {
		s.violate("%s applies entry %d of term %d, another member applied that of term %d", m.id, entry.Index, entry.Term, first.Term)
	}
}

// checkCommit: what a leader commits is on the disks of a majority.
func (s *state) checkCommit(m *member, entry flow.Entry) {
	if entry.Index != s.history.lastCommitted()+1 {
		s.violate("%s applies entry %d, and nobody applied %d", m.id, entry.Index, s.history.lastCommitted()+1)
	}
	if m.raft.Role() != raft.Leader {
		return
	}
	conf, holders := m.raft.Conf(), 0
	for _, voter := range conf.Members {
		if voter.Voter && s.heldBy(voter.ID, entry) {
			holders++
		}
	}
	if holders*2 <= conf.Voters() {
		s.violate("%s commits entry %d, which %d of %d disks hold", m.id, entry.Index, holders, conf.Voters())
	}
}

// heldBy says whether a voter's disk holds an entry. A wiped disk held what its
// old identity acknowledged, which checkSpoken looked at.
func (s *state) heldBy(id string, entry flow.Entry) bool {
	m := s.members[s.machineOf(id)]
	return m.id != id || m.holdsDurably(entry.Index, entry.Term)
}

// checkSpoken: a vote or an acknowledgement that leaves a member is on its disk,
// and a member votes once a term.
func (s *state) checkSpoken(m *member, message raft.Message) {
	if !message.OK {
		return
	}
	switch message.Kind {
	case raft.MessageVoteResponse:
		s.checkVote(m, message)
	case raft.MessageAppendResponse:
		if view := m.durableLog(); view.LastIndex() < message.Index {
			s.violate("%s acknowledges entry %d and has %d on disk", m.id, message.Index, view.LastIndex())
		}
	}
}

func (s *state) checkVote(m *member, message raft.Message) {
	hard := m.disk.hard
	if hard.Term < message.Term || hard.Term == message.Term && hard.Vote != message.ToID {
		s.violate("%s votes for %s in term %d, and its disk does not say so", m.id, message.ToID, message.Term)
	}
	spoken := spokenVote{message.From, message.Term, message.ToID}
	for _, vote := range s.history.votes {
		if vote == spoken {
			return
		}
		if vote.voter == spoken.voter && vote.term == spoken.term {
			s.violate("%s votes for %s and %s in term %d", m.id, vote.candidate, spoken.candidate, spoken.term)
		}
	}
	if message.From != m.id {
		s.violate("%s votes in the name of %s", m.id, message.From)
	}
	s.history.votes = append(s.history.votes, spoken)
}

// checkUnchanged: a message that is meant for whom a machine was before its disk
// was wiped changes nothing there.
func (s *state) checkUnchanged(m *member, message raft.Message, before []byte) {
	if !bytes.Equal(before, m.raft.AppendState(nil)) {
		s.violate("%s takes a %s that was meant for %s", m.id, message.Kind, message.ToID)
	}
}

// checkRead: a read shows all that was committed before it was begun, and no
// later term had a leader by then. The second is what a lease rests on: a leader
// that is elected later counts the lease from its election on.
func (s *state) checkRead(m *member, read openRead) {
	if m.raft.Applied() < read.floor {
		s.violate("%s answers a read at %d that was begun when %d was committed", m.id, m.raft.Applied(), read.floor)
	}
	if m.raft.Term() < read.elected {
		s.violate("%s answers a read in term %d that was begun when term %d had a leader", m.id, m.raft.Term(), read.elected)
	}
}

// checkLease: the holder's lease is over when a successor's begins.
func (s *state) checkLease() {
	l := s.history.lease
	if l.overlaps() {
		s.violate("the lease goes on until %d, and a successor got one at %d", l.until, l.grantedAt)
	}
}

// checkElectable: whoever could be elected with the logs as they are, or as they
// would be after crashes, has all that was committed.
func (s *state) checkElectable() {
	for _, candidate := range s.members {
		for _, view := range logsOf(candidate) {
			missing, found := s.missing(view)
			if found && s.isElectable(candidate.id, view) {
				s.violate("%s could be elected without committed entry %d", candidate.id, missing)
			}
		}
	}
}

// isElectable says whether a majority of a log's configuration would vote for it.
func (s *state) isElectable(id string, view raft.LogView) bool {
	if !isVoter(view.Conf, id) {
		return false
	}
	votes := 0
	for _, voter := range s.members {
		if isVoter(view.Conf, voter.id) && (voter.id == id || wouldVote(voter, view)) {
			votes++
		}
	}
	return votes*2 > view.Conf.Voters()
}

func wouldVote(voter *member, candidate raft.LogView) bool {
	for _, view := range logsOf(voter) {
		if candidate.IsUpToDate(view) {
			return true
		}
	}
	return false
}

// logsOf gives a member's log as it is, and as it is on disk.
func logsOf(m *member) []raft.LogView {
	if len(m.unsynced) == 0 {
		return []raft.LogView{m.raft.LogView()}
	}
	return []raft.LogView{m.raft.LogView(), m.durableLog()}
}

func isVoter(conf raft.Conf, id string) bool {
	i := conf.Find(id)
	return i >= 0 && conf.Members[i].Voter
}

// checkLogsMatch: two logs that have an entry of one index and term agree on it
// and on the one before it.
func (s *state) checkLogsMatch() {
	for i, m := range s.members {
		for _, other := range s.members[:i] {
			s.checkPair(m, other)
		}
	}
}

func (s *state) checkPair(m, other *member) {
	a, b := m.raft.LogView(), other.raft.LogView()
	agreeAbove := false
	for index := min(a.LastIndex(), b.LastIndex()); index > 0; index-- {
		left, ok1 := a.Entry(index)
		right, ok2 := b.Entry(index)
		if !ok1 || !ok2 {
			return
		}
		same := left.Term == right.Term
		if same && !bytes.Equal(left.Data, right.Data) || !same && agreeAbove {
			s.violate("the logs of %s and %s differ at %d and agree after it", m.id, other.id, index)
		}
		agreeAbove = same
	}
}

// checkSnapshot: a snapshot ends with a committed entry.
func (s *state) checkSnapshot(snapshot *flow.Snapshot) {
	if snapshot.Index > s.history.lastCommitted() {
		s.violate("a snapshot ends at %d, and %d is committed", snapshot.Index, s.history.lastCommitted())
		return
	}
	if last := s.history.committed[snapshot.Index-1]; last.Term != snapshot.Term {
		s.violate("a snapshot ends at %d of term %d, and that of term %d is committed", snapshot.Index, snapshot.Term, last.Term)
	}
}

// check holds the invariants of a state against it.
func (s *state) check() {
	s.checkLogsMatch()
	s.checkElectable()
}
