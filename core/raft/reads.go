// Reads that prove leadership (design 4.3).

package raft

type read struct {
	token, round, index uint64
}

// Read asks that token be released once the leader has proved that it still
// leads and the ledger has caught up (design 4.3).
func (r *Raft) Read(token uint64) bool {
	if !r.Ready() {
		return false
	}
	r.hurry() // one round proves all reads that came before it
	r.reads = append(r.reads, read{token, r.round + 1, r.commit})
	return true
}

// roundsPerBeat bounds the rounds that reads and commits bring on.
const roundsPerBeat = 5

// hurry brings the next round of heartbeats forward, within the bound on them.
func (r *Raft) hurry() {
	r.heartbeat = min(r.heartbeat, max(r.now, r.heartbeatAt+r.beat/roundsPerBeat))
}

func (r *Raft) release() {
	for len(r.reads) > 0 {
		rd := r.reads[0]
		n := 0
		for _, m := range r.conf.Members {
			if m.Voter && (m.ID == r.id && r.round >= rd.round || m.ID != r.id && r.peers[m.ID].round >= rd.round) {
				n++
			}
		}
		if n*2 <= r.conf.Voters() || r.commit < rd.index {
			return
		}
		r.out.Reads = append(r.out.Reads, rd.token)
		r.reads = r.reads[1:]
	}
}
