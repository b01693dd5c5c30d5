package raft

import "sort"

// What a leader does at each turn (design 4.1 to 4.4).

// lead commits, steps down where it must, sends heartbeats and releases reads.
func (r *Raft) lead() {
	r.advanceCommit()
	if r.lostQuorum() || r.isRemoved() {
		r.becomeFollower(r.hard.Term, "")
		return
	}
	if r.now >= r.heartbeatDue {
		r.sendHeartbeats()
	}
	r.releaseReads()
}

// advanceCommit commits what a majority holds on disk, and directly only an entry
// of the leader's own term.
func (r *Raft) advanceCommit() {
	var held []uint64
	for _, member := range r.conf.Members {
		if member.Voter {
			held = append(held, r.heldBy(member.ID))
		}
	}
	if len(held) == 0 {
		return
	}
	sort.Slice(held, func(a, b int) bool { return held[a] > held[b] })
	majority := held[len(held)/2]
	if term, ok := r.termAt(majority); ok && majority > r.commit && term == r.hard.Term {
		r.commit = majority
		r.hastenRound() // the others hear of it
	}
}

// heldBy is the highest index that a member is known to have on disk.
func (r *Raft) heldBy(id string) uint64 {
	if id == r.id {
		return r.stable
	}
	return r.progress[id].match
}

// lostQuorum says that the leader has heard no majority for an election time-out
// (check-quorum).
func (r *Raft) lostQuorum() bool {
	live := 0
	for _, member := range r.conf.Members {
		if member.Voter && r.Live(member.ID, r.now) {
			live++
		}
	}
	if r.conf.isMajority(live) {
		r.quorumHeard, r.leaderHeard = r.now, r.now
		return false
	}
	return r.now-r.quorumHeard >= r.electionTimeout
}

// isRemoved says that a configuration without this leader's vote is committed.
func (r *Raft) isRemoved() bool { return !r.isVoter() && !r.Busy() }

// sendHeartbeats starts the next round.
func (r *Raft) sendHeartbeats() {
	r.round++
	r.heartbeatDue, r.heartbeatSent = r.now+r.heartbeatInterval, r.now
	for _, member := range r.conf.Members {
		peer := r.progress[member.ID]
		if peer != nil && peer.isOptimistic() && r.isStalled(peer) {
			peer.resend()
		}
		r.sendHeartbeat(member.ID)
	}
}

// isStalled says that nothing was heard of entries that were sent.
func (r *Raft) isStalled(peer *progress) bool {
	return r.isQuiet(peer) || r.now-peer.moved > 2*r.electionTimeout
}
