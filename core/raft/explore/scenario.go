package explore

import (
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// Limits say how often each kind of action may happen on one path.
type Limits map[ActionKind]int

// Scenario is a cluster to start from and what may happen to it.
type Scenario struct {
	Name         string
	Voters       int  // machines a, b, ... that vote
	Spares       int  // blank machines after them
	Led          bool // it starts with a as the leader, all caught up and synced
	Unformed     bool // only a has the first membership yet
	SyncIsAction bool // each batch of saves is synced by an action; else at once
	AnyOrder     bool // messages come in any order, or never; else oldest first but for faults
	InFlight     int  // messages in flight; where one more is sent the oldest is lost
	Depth        int  // actions on one path
	Faults       int  // messages that are overtaken, lost or doubled, crashes and wipes in all
	Limits       Limits
}

// start gives the scenario's first state.
func (scenario Scenario) start() *state {
	s := &state{scenario: &scenario}
	onDisk := scenario.formedDisk()
	for machine := range scenario.Voters + scenario.Spares {
		id := string(rune('a' + machine))
		if machine >= scenario.Voters || scenario.Unformed && machine > 0 {
			s.members = append(s.members, newMember(id, disk{}))
			continue
		}
		s.members = append(s.members, newMember(id, onDisk))
	}
	if scenario.Led {
		s.settle()
	}
	s.seal()
	return s
}

// formedDisk is a voter's disk after the cluster was formed.
func (scenario Scenario) formedDisk() disk {
	conf := raft.Conf{Cluster: clusterID, Want: scenario.Voters}
	for machine := range scenario.Voters {
		id := string(rune('a' + machine))
		conf = conf.With(raft.Member{ID: id, Addr: id, Voter: true})
	}
	data, err := json.Marshal(conf)
	if err != nil {
		panic(err) // a Conf has only strings, numbers and booleans
	}
	first := flow.Entry{Index: 1, Term: 1, Kind: raft.EntryConf, Data: data}
	return disk{hard: flow.Hard{Cluster: clusterID, Term: 1}, entries: []flow.Entry{first}}
}

// settle elects a and delivers all messages, until every voter has committed the
// leader's first entry.
func (s *state) settle() {
	s.runOut(0)
	for range settleTurns {
		s.deliverAll()
		if s.isSettled() {
			break
		}
		leader := s.members[0]
		leader.clock += heartbeatInterval
		s.turn(leader)
	}
	s.network = nil
	s.history.votes = nil
}

// settleTurns is how many heartbeats a start may take.
const settleTurns = 8

func (s *state) isSettled() bool {
	return !slices.ContainsFunc(s.members[:s.scenario.Voters], func(m *member) bool { return m.raft.Applied() < 2 })
}

// deliverAll delivers what is in flight, and syncs, until nothing is left.
func (s *state) deliverAll() {
	for {
		for _, m := range s.members {
			s.syncAll(m)
		}
		if len(s.network) == 0 {
			return
		}
		f := s.network[0]
		s.network = s.network[1:]
		s.receive(f, 0)
	}
}
