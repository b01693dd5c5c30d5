package explore

import (
	"slices"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// flight is one message on its way to a machine.
type flight struct {
	message raft.Message
	machine int
	hash    uint64
}

// state is one state of the cluster. Members and messages are shared between
// states; an action copies the member that it changes.
type state struct {
	scenario *Scenario
	members  []*member
	network  []*flight // oldest first
	history  history
	used     [actionKinds]uint8
	trace    *trace
	violated error
	owned    [maxMachines]bool // members that no other state shares
}

func (s *state) clone() *state {
	return &state{
		scenario: s.scenario,
		members:  slices.Clone(s.members),
		network:  slices.Clone(s.network),
		history:  s.history.clone(),
		used:     s.used,
		trace:    s.trace,
	}
}

// edit gives a copy of a member that this state may change until it is sealed.
func (s *state) edit(machine int) *member {
	if !s.owned[machine] {
		s.members[machine] = s.members[machine].clone()
		s.owned[machine] = true
	}
	return s.members[machine]
}

// maxMachines is how many machines a cluster has at most.
const maxMachines = 4

// machineOf is where an identity lives or lived: its first letter is the address,
// and whoever comes after it on a wiped disk has a longer name.
func (s *state) machineOf(id string) int { return int(id[0] - 'a') }

// seal computes what is kept of each member, so that states may share it.
func (s *state) seal() {
	for machine, m := range s.members {
		if s.owned[machine] {
			m.hash = 0
		}
		m.durableLog()
		m.stateHash()
	}
	s.owned = [maxMachines]bool{}
}

// turn lets a member do what is due, as its store does after each event.
func (s *state) turn(m *member) {
	s.recordElection(m)
	out := m.raft.Advance(m.clock)
	s.recordElection(m)
	for _, applied := range out.Applied {
		s.recordApplied(m, applied.Entry)
	}
	for _, token := range out.Reads {
		s.recordAnswer(m, token)
	}
	if out.Lost {
		s.dropReads(m.id)
	}
	if out.Offer != nil {
		m.offer = out.Offer
	}
	s.transmit(m, m.hold(out))
	if !s.scenario.SyncIsAction {
		s.syncAll(m)
	}
}

// syncAll syncs what a member saved, for scenarios without faults of the disk.
func (s *state) syncAll(m *member) {
	for len(m.unsynced) > 0 {
		s.sync(m)
	}
}

// sync makes a member's oldest batch durable and lets go what waited for it.
func (s *state) sync(m *member) {
	s.transmit(m, m.sync())
	s.turn(m)
}

// transmit puts messages on their way. Where the network is full the oldest
// message is lost.
func (s *state) transmit(from *member, envelopes []raft.Envelope) {
	for _, envelope := range envelopes {
		s.checkSpoken(from, envelope.Message)
		s.send(envelope.Message)
	}
}

func (s *state) send(message raft.Message) {
	e := &encoder{make([]byte, 0, 128)}
	e.message(message)
	f := &flight{message, s.machineOf(message.ToID), hashBytes(e.bytes)}
	same := func(other *flight) bool { return other.hash == f.hash }
	if slices.ContainsFunc(s.network, same) {
		return
	}
	s.network = append(s.network, f)
	if len(s.network) > s.scenario.InFlight {
		s.network = s.network[1:]
	}
}

// dropDead forgets the responses that can have no effect any more, since their
// receiver's disk has a newer term.
func (s *state) dropDead() {
	s.network = slices.DeleteFunc(s.network, func(f *flight) bool {
		receiver := s.members[f.machine]
		durable := receiver.disk.hard.Term
		switch f.message.Kind {
		case raft.MessagePreVoteResponse:
			return f.message.Term <= durable
		case raft.MessageVoteResponse, raft.MessageAppendResponse:
			return f.message.Term < durable
		}
		return false
	})
}

// recordElection notes a leader that is not known yet. A member may become the
// leader by a message as well as by a timer.
func (s *state) recordElection(m *member) {
	if m.raft.Role() != raft.Leader || s.history.led(m.id, m.raft.Term()) {
		return
	}
	s.checkElection(m)
	s.history.elections = append(s.history.elections, election{m.raft.Term(), m.id, s.history.lease.now})
}

func (s *state) recordApplied(m *member, entry flow.Entry) {
	if entry.Index <= s.history.lastCommitted() {
		s.checkApplied(m, entry)
		return
	}
	s.checkCommit(m, entry)
	s.history.committed = append(s.history.committed, entry)
	if string(entry.Data) == grantData {
		s.history.lease.granted, s.history.lease.grantedAt = true, s.history.lease.now
		s.checkLease()
	}
}

func (s *state) recordAnswer(m *member, token uint64) {
	for i, read := range s.history.reads {
		if read.token != token {
			continue
		}
		s.checkRead(m, read)
		s.history.reads = slices.Delete(s.history.reads, i, i+1)
		s.renewLease(read)
		return
	}
}

// renewLease counts the holder's lease from when it asked for it.
func (s *state) renewLease(read openRead) {
	if !read.renews {
		return
	}
	l := &s.history.lease
	l.until = max(l.until, read.at+leaseSteps)
	s.checkLease()
}

// dropReads forgets the reads that a member will not answer any more.
func (s *state) dropReads(id string) {
	s.history.reads = slices.DeleteFunc(s.history.reads, func(read openRead) bool { return read.reader == id })
}
