package raft

import (
	"fernlink/core/flow"
)

// Elections (design 4.1).

// resetElectionTimer draws when the next election is due. A member that has
// heard no leader since its start asks sooner: where there is one, the others
// ignore its pre-vote (design 4.1).
func (r *Raft) resetElectionTimer() {
	least := r.electionTimeout
	if !r.leaderSeen {
		least /= 4
	}
	r.electionDue = r.now + least + flow.Time(r.random.Int63n(int64(least)))
}

// isVoter says whether this member votes in the configuration in force.
func (r *Raft) isVoter() bool {
	i := r.conf.Find(r.id)
	return i >= 0 && r.conf.Members[i].Voter
}

// Transfer asks the voter that has most of the log to take over at once, for a
// leader that is about to stop (design 5.5).
func (r *Raft) Transfer(behind bool) bool {
	if r.role != Leader {
		return false
	}
	successor := ""
	for _, member := range r.conf.Members {
		if !member.Voter || member.ID == r.id || !r.Live(member.ID, r.now) {
			continue
		}
		if successor == "" || r.Match(member.ID) > r.Match(successor) {
			successor = member.ID
		}
	}
	return successor != "" && r.TransferTo(successor, behind)
}

// TransferTo asks one voter to take over at once, and says whether it did. A voter that
// lacks entries may lose its election to those that have them: it is asked only if behind
// says so.
func (r *Raft) TransferTo(id string, behind bool) bool {
	i := r.conf.Find(id)
	if r.role != Leader || id == r.id || i < 0 || !r.conf.Members[i].Voter {
		return false
	}
	if !behind && r.Match(id) < r.lastIndex() {
		return false
	}
	r.send(id, Message{Kind: MessageTimeoutNow, Term: r.hard.Term})
	return true
}

func (r *Raft) handleTimeoutNow(message Message) {
	if message.Term == r.hard.Term && r.leader == message.From && r.role == Follower {
		r.campaign(true)
	}
}

// preCampaign asks who would vote for this member, without raising the term.
func (r *Raft) preCampaign() {
	r.resetElectionTimer()
	if !r.isVoter() {
		return
	}
	r.role = PreCandidate
	r.requestVotes(Message{Kind: MessagePreVote, Term: r.hard.Term + 1})
}

// campaign stands for election in a new term. Voters do not ignore the request
// of a leadership transfer, although they hear a leader.
func (r *Raft) campaign(transfer bool) {
	r.resetElectionTimer()
	if !r.isVoter() {
		return
	}
	r.role = Candidate
	r.hard.Term, r.hard.Vote = r.hard.Term+1, r.id
	r.saveHardState()
	r.requestVotes(Message{Kind: MessageVote, Term: r.hard.Term, LeaderTransfer: transfer})
}

// requestVotes votes for this member itself and asks the other voters.
func (r *Raft) requestVotes(request Message) {
	r.leader = ""
	r.noteElection(request)
	r.votes = map[string]bool{r.id: true}
	r.uncertainVoters = map[string]bool{r.id: r.hard.Unsure}
	request.Index, request.LogTerm = r.lastIndex(), r.lastTerm()
	for _, member := range r.conf.Members {
		if member.Voter && member.ID != r.id {
			r.send(member.ID, request)
		}
	}
	r.countVotes()
}

// countVotes goes on to the next stage of the election once the votes suffice.
func (r *Raft) countVotes() {
	if !r.wonVotes() {
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(false)
	case Candidate:
		r.becomeLeader()
	}
}

// wonVotes says whether a majority voted for this member. The vote of a member
// that is uncertain of its log's tail, and can't tell that this member has all that
// it may have lost, only counts where every voter's is in: then nobody has more
// (design 4.6).
func (r *Raft) wonVotes() bool {
	certain, granted := 0, 0
	for _, member := range r.conf.Members {
		if !member.Voter || !r.votes[member.ID] {
			continue
		}
		granted++
		if !r.uncertainVoters[member.ID] {
			certain++
		}
	}
	return r.conf.isMajority(certain) || granted >= r.conf.Voters()
}

func (r *Raft) becomeLeader() {
	r.role, r.leader, r.leaderSeen = Leader, r.id, true
	r.leaderSince, r.quorumHeard, r.leaderHeard = r.now, r.now, r.now
	r.progress = map[string]*progress{}
	r.reads = nil
	r.trackMembers()
	r.clearUncertainTail()
	r.heartbeatDue = r.now
	_, _, _ = r.Propose(EntryNoop, nil)
}

// isUpToDate says whether a candidate's log is at least as new as this member's.
func (r *Raft) isUpToDate(request Message) bool {
	if request.LogTerm != r.lastTerm() {
		return request.LogTerm > r.lastTerm()
	}
	return request.Index >= r.lastIndex()
}

// isUncertainOf says that a candidate may lack entries which this member has
// acknowledged and lost.
func (r *Raft) isUncertainOf(request Message) bool {
	if !r.hard.Unsure {
		return false
	}
	return r.hard.LostIndex == 0 || !r.coversLostTail(request)
}

// coversLostTail says whether a candidate's log is at least as new as this member's
// was before its tail was damaged.
func (r *Raft) coversLostTail(request Message) bool {
	if request.LogTerm != r.hard.LostTerm {
		return request.LogTerm > r.hard.LostTerm
	}
	return request.Index >= r.hard.LostIndex
}

// ignoresVoteRequest says that a vote is asked for while a leader is being
// heard: a member that was cut off does not disturb the others (design 4.1).
func (r *Raft) ignoresVoteRequest(message Message) bool {
	if !message.Kind.isVoteRequest() || message.LeaderTransfer {
		return false
	}
	hearsLeader := r.leader != "" && r.now-r.leaderHeard < r.electionTimeout
	return hearsLeader && r.leader != message.From
}

func (r *Raft) handlePreVote(request Message) {
	response := Message{Kind: MessagePreVoteResponse, Term: r.hard.Term, UncertainTail: r.isUncertainOf(request)}
	switch {
	case request.Term <= r.hard.Term:
		response.Refusal = RefusalTerm
	case !r.isUpToDate(request):
		response.Refusal = RefusalLog
	default:
		response.OK, response.Term = true, request.Term
	}
	r.respond(request, response)
}

func (r *Raft) handlePreVoteResponse(response Message) {
	if r.role == PreCandidate && response.OK && response.Term == r.hard.Term+1 {
		r.recordVote(response)
	}
}

func (r *Raft) handleVote(request Message) {
	refusal := r.refusesVote(request)
	granted := refusal == ""
	if granted {
		r.hard.Vote = request.From
		r.saveHardState()
		r.resetElectionTimer()
	}
	r.respond(request, Message{Kind: MessageVoteResponse, Term: r.hard.Term, OK: granted, Refusal: refusal, UncertainTail: r.isUncertainOf(request)})
}

// refusesVote says why this member does not vote for a candidate, "" where it does.
func (r *Raft) refusesVote(request Message) Refusal {
	switch {
	case request.Term != r.hard.Term:
		return RefusalTerm
	case r.role != Follower:
		return RefusalVoted
	}
	if r.hard.Vote != "" && r.hard.Vote != request.From {
		return RefusalVoted
	}
	if !r.isUpToDate(request) {
		return RefusalLog
	}
	return ""
}

func (r *Raft) handleVoteResponse(response Message) {
	if r.role == Candidate && response.OK && response.Term == r.hard.Term {
		r.recordVote(response)
	}
}

func (r *Raft) recordVote(response Message) {
	r.votes[response.From] = true
	r.uncertainVoters[response.From] = response.UncertainTail
	r.countVotes()
}

// Live says whether a leader has heard a member of late.
func (r *Raft) Live(id string, now flow.Time) bool {
	return r.Silent(id, now) < 2*r.electionTimeout
}

// Silent is for how long a leader has not heard a member.
func (r *Raft) Silent(id string, now flow.Time) flow.Time {
	if id == r.id {
		return 0
	}
	if peer := r.progress[id]; peer != nil {
		return now - peer.heard
	}
	return now
}
