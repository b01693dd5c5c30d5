// Changes of membership, one at a time (design 4.4).

package raft

import (
	"fernlink/core/flow"
)

func (r *Raft) pickConf() {
	var top uint64
	r.conf, r.confAt = Conf{}, 0
	for at, c := range r.confs {
		if at >= top {
			top = at
			r.conf, r.confAt = c, at
		}
	}
	if r.role == Leader {
		r.track()
	}
}

// Form writes a new cluster's first entry (design 4.5).
func (r *Raft) Form(c Conf) {
	if !r.Blank() || r.last() != 0 {
		return
	}
	r.hard = flow.Hard{Cluster: c.Cluster, Term: 1}
	e := flow.Entry{Index: 1, Term: 1, Kind: "conf", Data: raw(c)}
	r.push(e)
	r.save(flow.Save{Hard: r.hardCopy(), Add: []flow.Entry{e}})
	r.due = r.now
}

// Change proposes a membership that differs in one member (design 4.4).
func (r *Raft) Change(c Conf) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !r.Ready() {
		return 0, 0, ErrEarly
	}
	if r.confAt > r.commit {
		return 0, 0, ErrBusy
	}
	return r.Propose("conf", raw(c))
}

// Adopt takes over a cluster's id on the first message meant for this blank
// member (design 4.5).
func (r *Raft) Adopt(cluster string) {
	if r.Blank() {
		r.hard.Cluster = cluster
		r.save(flow.Save{Hard: r.hardCopy()})
	}
}

// Busy says whether a change of membership is not committed yet.
func (r *Raft) Busy() bool { return r.confAt > r.commit }

// ConfAt is the index of the membership in force here.
func (r *Raft) ConfAt() uint64 { return r.confAt }
