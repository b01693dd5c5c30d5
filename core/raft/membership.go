package raft

import (
	"fernlink/core/flow"
)

// Changes of membership, one at a time (design 4.4).

// useNewestConf puts the newest configuration of the log in force.
func (r *Raft) useNewestConf() {
	r.conf, r.confIndex = Conf{}, 0
	for index, conf := range r.confsByIndex {
		if index >= r.confIndex {
			r.conf, r.confIndex = conf, index
		}
	}
	r.forgetHeard()
	if r.role == Leader {
		r.trackMembers()
	}
}

// Form writes a new cluster's first entry (design 4.5).
func (r *Raft) Form(conf Conf) {
	if !r.Blank() || r.lastIndex() != 0 {
		return
	}
	r.hard = flow.Hard{Cluster: conf.Cluster, Term: 1}
	entry := flow.Entry{Index: 1, Term: 1, Kind: EntryConf, Data: encode(conf)}
	r.appendEntry(entry)
	r.save(flow.Save{Hard: r.hardState(), Add: []flow.Entry{entry}})
	r.electionDue = r.now
}

// Change proposes a membership that differs in one member (design 4.4).
func (r *Raft) Change(conf Conf) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !r.Ready() {
		return 0, 0, ErrEarly
	}
	if r.Busy() {
		return 0, 0, ErrBusy
	}
	return r.Propose(EntryConf, encode(conf))
}

// Adopt takes over a cluster's id on the first message meant for this blank
// member (design 4.5).
func (r *Raft) Adopt(cluster string) {
	if r.Blank() {
		r.hard.Cluster = cluster
		r.saveHardState()
	}
}

// Busy says whether a change of membership is not committed yet.
func (r *Raft) Busy() bool { return r.confIndex > r.commit }

// ConfAt is the index of the membership in force here.
func (r *Raft) ConfAt() uint64 { return r.confIndex }
