package raft

import (
	"testing"
	"time"

	"fernlink/core/flow"
)

// other gives a member that is neither of two.
func (x *trio) other(ids ...string) string {
	for _, id := range []string{"a", "b", "c"} {
		if id != ids[0] && (len(ids) < 2 || id != ids[1]) {
			return id
		}
	}
	return ""
}

// Given a candidate that lacks what the other voter has, when it loses its election, then
// its record says that its log is behind, and who has not answered (design 10.4).
func TestAnElectionNamesTheReasonOfARefusal(t *testing.T) {
	x := newTrio(1)
	x.run(3 * time.Second)
	leader := x.leader()
	behind := x.other(leader.id)
	ahead := x.other(leader.id, behind)
	x.cut[behind] = true
	if _, _, err := leader.Propose(EntryCommand, []byte(`{}`)); err != nil {
		t.Fatal(err)
	}
	x.run(time.Second)
	x.cut[behind], x.cut[leader.id] = false, true
	x.all[ahead].leader = ""
	x.all[behind].electionDue = x.now
	x.run(50 * time.Millisecond)
	election := x.all[behind].LastElection()
	if answer := election.Answers[ahead]; answer.Granted || answer.Refusal != RefusalLog {
		t.Errorf("%s answered %+v", ahead, answer)
	}
	if _, answered := election.Answers[leader.id]; answered {
		t.Errorf("%s, which is cut off, answered", leader.id)
	}
}

// Given voters that hear a leader, when a member that was cut off stands for election, then
// its record says so, and its term stays as it was.
func TestAnElectionBesideALeaderIsRefusedWithTheReason(t *testing.T) {
	x := newTrio(2)
	x.run(3 * time.Second)
	leader := x.leader()
	id := x.other(leader.id)
	term := leader.Term()
	x.all[id].electionDue = x.now
	x.run(35 * time.Millisecond)
	election := x.all[id].LastElection()
	for _, voter := range []string{leader.id, x.other(leader.id, id)} {
		if answer := election.Answers[voter]; answer.Granted || answer.Refusal != RefusalHearsLeader && voter != leader.id {
			t.Errorf("%s answered %+v", voter, answer)
		}
	}
	x.run(time.Second)
	if leader.Role() != Leader || leader.Term() != term {
		t.Errorf("the leader is %s in term %d, it was %d", leader.Role(), leader.Term(), term)
	}
}

// Given a voter that is unsure of its log's tail, when it votes, then the candidate's record
// says that the vote has no weight.
func TestAnElectionTellsAVoteWithoutWeight(t *testing.T) {
	x := newTrio(3)
	x.run(3 * time.Second)
	leader := x.leader()
	candidate := x.other(leader.id)
	voter := x.other(leader.id, candidate)
	x.all[voter].hard = flow.Hard{Cluster: x.all[voter].hard.Cluster, Term: x.all[voter].hard.Term, Unsure: true}
	x.all[voter].leader = ""
	x.cut[leader.id] = true
	x.all[candidate].electionDue = x.now
	x.run(50 * time.Millisecond)
	if answer := x.all[candidate].LastElection().Answers[voter]; !answer.Granted || !answer.Uncertain {
		t.Errorf("%+v", answer)
	}
}
