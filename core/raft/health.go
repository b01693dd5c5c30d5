package raft

import "fernlink/core/flow"

// What a member can say of the other members and of its own elections, for logs and
// metrics (design 10.4). Nothing here takes part in a decision.

// Refusal is why a voter did not vote for a candidate.
type Refusal string

// Reasons of a refusal. The values are part of the wire format.
const (
	RefusalTerm        Refusal = "newer term"       // the voter is in a term that is as new or newer
	RefusalLog         Refusal = "log is behind"    // the candidate's log is older than the voter's
	RefusalVoted       Refusal = "voted already"    // the voter's vote of this term is another's
	RefusalHearsLeader Refusal = "hears the leader" // the voter has a leader
)

// VoteAnswer is what a voter said in an election.
type VoteAnswer struct {
	Granted   bool
	Uncertain bool // it may have lost entries: its vote counts beside all others only
	Refusal   Refusal
}

// Election is the newest election in which a member was a candidate.
type Election struct {
	At      flow.Time // when it began
	Term    uint64    // that was asked for
	PreVote bool
	Answers map[string]VoteAnswer // by voter; who has not answered is not in it
}

// noteElection begins the record of an election.
func (r *Raft) noteElection(request Message) {
	r.election = Election{At: r.now, Term: request.Term, PreVote: request.Kind == MessagePreVote, Answers: map[string]VoteAnswer{}}
}

// noteMessage keeps when members were heard and what voters answered.
func (r *Raft) noteMessage(message Message) {
	if r.conf.Find(message.From) < 0 {
		return
	}
	r.heardAt[message.From] = r.now
	preVote := message.Kind == MessagePreVoteResponse
	if !preVote && message.Kind != MessageVoteResponse || r.election.PreVote != preVote || r.election.Answers == nil {
		return
	}
	r.election.Answers[message.From] = VoteAnswer{Granted: message.OK, Uncertain: message.UncertainTail, Refusal: message.Refusal}
}

// forgetHeard drops the times of those that are no members any more.
func (r *Raft) forgetHeard() {
	for id := range r.heardAt {
		if r.conf.Find(id) < 0 {
			delete(r.heardAt, id)
		}
	}
}

// HeardAt is when a message of a member last came, if any has since the start.
func (r *Raft) HeardAt(id string) (at flow.Time, heard bool) {
	at, heard = r.heardAt[id]
	return at, heard
}

// LeaderHeardAt is when this member last heard a leader, or the time of its start. A
// leader has heard itself while a majority follows.
func (r *Raft) LeaderHeardAt() flow.Time { return r.leaderHeard }

// LastElection is the newest election in which this member was a candidate. The caller
// must not change it.
func (r *Raft) LastElection() Election { return r.election }

// LastEntry gives index and term of the end of this member's log.
func (r *Raft) LastEntry() (index, term uint64) { return r.lastIndex(), r.lastTerm() }

// ConfTerm is the term of the entry that brought the membership in force, 0 where it is
// not known any more.
func (r *Raft) ConfTerm() uint64 {
	term, _ := r.termAt(r.confIndex)
	return term
}
