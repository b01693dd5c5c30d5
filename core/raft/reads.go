package raft

// Reads that prove leadership (design 4.3).

// pendingRead waits until a majority has confirmed its heartbeat round and the
// ledger has applied up to its index.
type pendingRead struct {
	token, round, index uint64
}

// Read asks that token be released once the leader has proved that it still
// leads and the ledger has caught up (design 4.3).
func (r *Raft) Read(token uint64) bool {
	if !r.Ready() {
		return false
	}
	r.hastenRound() // one round proves all reads that came before it
	r.reads = append(r.reads, pendingRead{token: token, round: r.round + 1, index: r.commit})
	return true
}

// roundsPerInterval bounds the rounds that reads and commits bring on.
const roundsPerInterval = 5

// hastenRound brings the next round of heartbeats forward, within that bound.
func (r *Raft) hastenRound() {
	soon := max(r.now, r.heartbeatSent+r.heartbeatInterval/roundsPerInterval)
	r.heartbeatDue = min(r.heartbeatDue, soon)
}

// releaseReads gives out the reads that are proved, in the order they came.
func (r *Raft) releaseReads() {
	for len(r.reads) > 0 {
		read := r.reads[0]
		if !r.confirmsRound(read.round) || r.commit < read.index {
			return
		}
		r.out.Reads = append(r.out.Reads, read.token)
		r.reads = r.reads[1:]
	}
}

// confirmsRound says whether a majority still followed this leader when it
// answered a heartbeat round.
func (r *Raft) confirmsRound(round uint64) bool {
	confirmed := 0
	for _, member := range r.conf.Members {
		if member.Voter && r.confirmedRound(member.ID) >= round {
			confirmed++
		}
	}
	return r.conf.isMajority(confirmed)
}

func (r *Raft) confirmedRound(id string) uint64 {
	if id == r.id {
		return r.round
	}
	return r.progress[id].round
}
