package explore

import (
	"slices"

	"fernlink/core/raft"
)

// elect adds the states in which a member was elected by one majority, with all
// the steps of the election taken at once. The steps between are explored by the
// scenarios that let time-outs run out one by one.
func (x *expansion) elect() {
	votes := func(m *member) bool { return isVoter(m.raft.Conf(), m.id) }
	x.each(votes, func(machine int, m *member) {
		for _, voters := range x.from.majoritiesWith(m) {
			x.electBy(machine, voters)
		}
	})
}

// majoritiesWith gives the smallest sets of machines that make up a majority
// with a member.
func (s *state) majoritiesWith(m *member) [][]int {
	var others []int
	for machine, other := range s.members {
		if other.id != m.id && isVoter(m.raft.Conf(), other.id) {
			others = append(others, machine)
		}
	}
	return subsets(others, m.raft.Conf().Voters()/2)
}

// subsets gives the subsets of a size.
func subsets(of []int, size int) [][]int {
	if size == 0 {
		return [][]int{nil}
	}
	if len(of) < size {
		return nil
	}
	var sets [][]int
	for _, rest := range subsets(of[1:], size-1) {
		sets = append(sets, append([]int{of[0]}, rest...))
	}
	return append(sets, subsets(of[1:], size)...)
}

func (x *expansion) electBy(machine int, voters []int) {
	candidate := x.from.members[machine]
	next := x.add(action{kind: Elect, member: candidate.id})
	before := slices.Clone(next.network)
	for _, voter := range voters {
		m := next.edit(voter)
		next.syncAll(m)
		m.clock += electionTimeout
		m.raft.Now(m.clock)
	}
	next.syncAll(next.edit(machine))
	if isLeader(candidate) {
		next.loseQuorum(machine)
	}
	next.runOut(machine)
	next.exchangeVotes(machine, voters)
	if !isLeader(next.members[machine]) { // it learned of a newer term
		next.runOut(machine)
		next.exchangeVotes(machine, voters)
	}
	if next.members[machine].raft.Role() != raft.Leader || next.members[machine].raft.Term() == candidate.raft.Term() {
		x.drop()
		return
	}
	next.loseVotes(before)
}

// exchangeVotes delivers the votes between a candidate and some voters, and what
// the candidate sends as the leader stays in flight.
func (s *state) exchangeVotes(candidate int, voters []int) {
	for {
		s.syncAll(s.edit(candidate))
		for _, voter := range voters {
			s.syncAll(s.edit(voter))
		}
		i := slices.IndexFunc(s.network, func(f *flight) bool { return s.isVoteBetween(f, candidate, voters) })
		if i < 0 {
			return
		}
		f := s.network[i]
		s.network = slices.Delete(s.network, i, i+1)
		s.receive(f, 0)
	}
}

func (s *state) isVoteBetween(f *flight, candidate int, voters []int) bool {
	if !isVoteMessage(f) {
		return false
	}
	from := s.machineOf(f.message.From)
	toVoter := from == candidate && slices.Contains(voters, f.machine)
	return toVoter || f.machine == candidate && slices.Contains(voters, from)
}

func isVoteMessage(f *flight) bool {
	switch f.message.Kind {
	case raft.MessagePreVote, raft.MessagePreVoteResponse, raft.MessageVote, raft.MessageVoteResponse:
		return true
	}
	return false
}

// loseVotes forgets the votes that were not in flight before.
func (s *state) loseVotes(before []*flight) {
	s.network = slices.DeleteFunc(s.network, func(f *flight) bool {
		return isVoteMessage(f) && !slices.Contains(before, f)
	})
}
