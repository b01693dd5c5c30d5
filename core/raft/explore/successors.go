package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/raft"
)

// clusterID is the id of the explored cluster.
const clusterID = "cluster"

// expansion collects the states that follow one state.
type expansion struct {
	from *state
	next []*state
}

// expanders add the states that follow by the actions of a kind.
var expanders = [actionKinds]func(*expansion){
	Deliver:     (*expansion).deliver,
	Overtake:    (*expansion).overtake,
	Drop:        (*expansion).dropOldest,
	DeliverLate: (*expansion).deliverLate,
	Duplicate:   (*expansion).duplicate,
	Sync:        (*expansion).sync,
	Timeout:     (*expansion).timeout,
	Elect:       (*expansion).elect,
	Heartbeat:   (*expansion).heartbeat,
	QuorumLost:  (*expansion).quorumLost,
	Transfer:    (*expansion).transfer,
	Propose:     (*expansion).propose,
	Read:        (*expansion).read,
	Crash:       (*expansion).crash,
	Wipe:        (*expansion).wipe,
	Compact:     (*expansion).compact,
	Install:     (*expansion).install,
	AddLearner:  (*expansion).addLearner,
	Promote:     (*expansion).promote,
	Remove:      (*expansion).remove,
	AdvanceTime: (*expansion).advanceTime,
	GrantLease:  (*expansion).grantLease,
}

// successors gives all states that are one action away.
func (s *state) successors() []*state {
	x := &expansion{from: s}
	for kind, expand := range expanders {
		if s.mayHappen(ActionKind(kind)) {
			expand(x)
		}
	}
	for _, next := range x.next {
		next.dropDead()
		next.seal()
	}
	return x.next
}

// mayHappen says whether the scenario's limit leaves room for an action.
func (s *state) mayHappen(kind ActionKind) bool {
	switch kind {
	case Deliver:
		return true
	case Sync:
		return s.scenario.SyncIsAction
	}
	if kind.isFault() && s.faults() >= s.scenario.Faults {
		return false
	}
	return int(s.used[kind]) < s.scenario.Limits[kind]
}

// faults is how many faults happened so far.
func (s *state) faults() int {
	total := 0
	for kind, count := range s.used {
		if ActionKind(kind).isFault() {
			total += int(count)
		}
	}
	return total
}

// add starts a state that follows by an action.
func (x *expansion) add(a action) *state {
	next := x.from.clone()
	next.trace = &trace{x.from.trace, a}
	if a.kind != Deliver && a.kind != Sync {
		next.used[a.kind]++
	}
	x.next = append(x.next, next)
	return next
}

// drop takes back the state that was added last: its action changed nothing.
func (x *expansion) drop() { x.next = x.next[:len(x.next)-1] }

// each calls for every member that a condition holds for.
func (x *expansion) each(holds func(*member) bool, do func(machine int, m *member)) {
	for machine, m := range x.from.members {
		if holds(m) {
			do(machine, m)
		}
	}
}

func isLeader(m *member) bool { return m.raft.Role() == raft.Leader }

func isFollower(m *member) bool { return !isLeader(m) && isVoter(m.raft.Conf(), m.id) }

func anyMember(*member) bool { return true }

func (x *expansion) deliver() {
	for i := range x.from.network {
		if i > 0 && !x.from.scenario.AnyOrder {
			return
		}
		x.deliverAt(Deliver, i, 0)
	}
}

func (x *expansion) overtake() {
	for i := range x.from.network {
		if i > 0 {
			x.deliverAt(Overtake, i, 0)
		}
	}
}

// deliverAt delivers one message in flight, after so many election time-outs on
// its receiver's clock.
func (x *expansion) deliverAt(kind ActionKind, i, timeouts int) {
	f := x.from.network[i]
	next := x.add(action{kind: kind, message: &f.message})
	next.network = slices.Delete(next.network, i, i+1)
	next.receive(f, timeouts)
}

func (x *expansion) dropOldest() {
	if len(x.from.network) == 0 {
		return
	}
	next := x.add(action{kind: Drop, message: &x.from.network[0].message})
	next.network = next.network[1:]
}

func (x *expansion) deliverLate() {
	for i, f := range x.from.network {
		if i > 0 && !x.from.scenario.AnyOrder {
			return
		}
		isRequest := f.message.Kind == raft.MessagePreVote || f.message.Kind == raft.MessageVote
		receiver := x.from.members[f.machine]
		if !isRequest || f.message.LeaderTransfer || isLeader(receiver) || receiver.raft.LeaderID() == "" {
			continue
		}
		x.deliverAt(DeliverLate, i, 1)
	}
}

func (x *expansion) duplicate() {
	for _, f := range x.from.network {
		next := x.add(action{kind: Duplicate, message: &f.message})
		next.receive(f, 0)
	}
}

// receive hands a message to the machine at its address, after so many election
// time-outs on that machine's clock.
func (s *state) receive(f *flight, timeouts int) {
	m := s.edit(f.machine)
	m.clock += electionTimeout * time.Duration(timeouts)
	if m.raft.Blank() && f.message.ToID == m.id {
		m.raft.Adopt(clusterID)
	}
	m.raft.Now(m.clock)
	before := m.raft.AppendState(nil)
	m.raft.Step(f.message)
	if f.message.ToID != m.id {
		s.checkUnchanged(m, f.message, before)
	}
	s.turn(m)
}

func (x *expansion) sync() {
	x.each(func(m *member) bool { return len(m.unsynced) > 0 }, func(machine int, m *member) {
		next := x.add(action{kind: Sync, member: m.id})
		next.sync(next.edit(machine))
	})
}

func (x *expansion) timeout() {
	x.each(isFollower, func(machine int, m *member) {
		next := x.add(action{kind: Timeout, member: m.id})
		next.runOut(machine)
	})
}

// runOut lets a member's election time-out run out.
func (s *state) runOut(machine int) {
	m := s.edit(machine)
	m.clock += 2 * electionTimeout
	s.turn(m)
}

func (x *expansion) heartbeat() {
	x.each(isLeader, func(machine int, m *member) {
		next := x.add(action{kind: Heartbeat, member: m.id})
		leader := next.edit(machine)
		leader.clock += heartbeatInterval
		next.turn(leader)
	})
}

func (x *expansion) quorumLost() {
	x.each(isLeader, func(machine int, m *member) {
		next := x.add(action{kind: QuorumLost, member: m.id})
		next.loseQuorum(machine)
	})
}

// loseQuorum lets a leader hear nobody until it steps down.
func (s *state) loseQuorum(machine int) {
	leader := s.edit(machine)
	leader.clock += 2 * electionTimeout
	s.turn(leader)
	leader.clock += electionTimeout
	s.turn(leader)
}

func (x *expansion) transfer() {
	x.each(isLeader, func(machine int, m *member) {
		next := x.add(action{kind: Transfer, member: m.id})
		leader := next.edit(machine)
		leader.raft.Transfer(true)
		next.turn(leader)
	})
}

func (x *expansion) propose() {
	x.each(isLeader, func(machine int, m *member) {
		next := x.add(action{kind: Propose, member: m.id})
		data := fmt.Sprintf(`"write %d"`, next.used[Propose])
		next.write(machine, data)
	})
}

// write proposes a command at a leader.
func (s *state) write(machine int, data string) {
	leader := s.edit(machine)
	_, _, _ = leader.raft.Propose(raft.EntryCommand, json.RawMessage(data))
	s.turn(leader)
}

func (x *expansion) read() {
	x.each(isLeader, func(machine int, m *member) {
		next := x.add(action{kind: Read, member: m.id})
		if !next.beginRead(machine) {
			x.drop()
		}
	})
}

// beginRead asks a leader for a proved read, which also renews the lease, and says
// whether the leader took it.
func (s *state) beginRead(machine int) bool {
	leader := s.edit(machine)
	l := &s.history.lease
	read := openRead{
		token:   uint64(s.used[Read]),
		reader:  leader.id,
		floor:   s.history.lastCommitted(),
		elected: s.history.newestElected(),
		at:      l.now,
		renews:  l.mayRenew(machine, leader.raft.Applied() >= s.history.lastCommitted()),
	}
	if !leader.raft.Read(read.token) {
		return false
	}
	s.history.reads = append(s.history.reads, read)
	if read.renews {
		l.heard[machine] = l.now
	}
	s.turn(leader)
	return true
}

func (x *expansion) crash() {
	x.each(anyMember, func(machine int, m *member) {
		next := x.add(action{kind: Crash, member: m.id})
		next.dropReads(m.id)
		next.edit(machine).start()
	})
}

func (x *expansion) wipe() {
	x.each(anyMember, func(machine int, m *member) {
		next := x.add(action{kind: Wipe, member: m.id})
		next.dropReads(m.id)
		fresh := newMember(m.id+"2", disk{})
		next.members[machine] = fresh
	})
}

func (x *expansion) compact() {
	x.each(anyMember, func(machine int, m *member) {
		if m.raft.SinceSnapshot() == 0 {
			return
		}
		next := x.add(action{kind: Compact, member: m.id})
		compacted := next.edit(machine)
		compacted.raft.Compact(json.RawMessage(`{}`), raft.Retention{})
		next.checkSnapshot(compacted.raft.Snapshot())
		next.turn(compacted)
	})
}

func (x *expansion) install() {
	wanted := func(m *member) bool {
		return m.offer != nil && m.offer.Index > m.raft.Commit() && m.raft.LeaderID() == m.offer.From
	}
	x.each(wanted, func(machine int, m *member) {
		leader := x.from.members[x.from.machineOf(m.offer.From)]
		snapshot := leader.raft.Snapshot()
		if !isLeader(leader) || leader.id != m.offer.From || snapshot == nil || snapshot.Index != m.offer.Index {
			return
		}
		next := x.add(action{kind: Install, member: m.id})
		next.checkSnapshot(snapshot)
		installed := next.edit(machine)
		installed.offer = nil
		installed.raft.Install(snapshot)
		next.turn(installed)
	})
}

func (x *expansion) advanceTime() {
	next := x.add(action{kind: AdvanceTime})
	next.history.lease.now++
}

func (x *expansion) grantLease() {
	x.each(isLeader, func(machine int, m *member) {
		elected := x.from.electedAt(m)
		if !m.raft.Ready() || !x.from.history.lease.mayGrant(machine, elected) {
			return
		}
		next := x.add(action{kind: GrantLease, member: m.id})
		next.history.lease.proposed, next.history.lease.proposer = true, machine
		next.write(machine, grantData)
	})
}

// electedAt is when a leader was elected.
func (s *state) electedAt(m *member) int {
	for _, won := range s.history.elections {
		if won.term == m.raft.Term() {
			return won.at
		}
	}
	return s.history.lease.now
}
