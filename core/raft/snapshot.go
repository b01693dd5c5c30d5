package raft

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Snapshots and the log before them (design 4.10).

func (r *Raft) setSnapshot(snapshot *flow.Snapshot) {
	r.snapshot, r.appliedBytes = snapshot, 0
	r.base = flow.Entry{Index: snapshot.Index, Term: snapshot.Term}
	r.log = nil
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.confsByIndex = map[uint64]Conf{}
	if conf, ok := decodeConf(snapshot.Conf); ok {
		r.confsByIndex[snapshot.Index] = conf
	}
	r.useNewestConf()
}

// handleSnapshotOffer hears that the leader has only a snapshot for what is
// lacking here. The store fetches it in pieces and then calls Install; until then
// the offer is a heartbeat like any other (design 4.10).
func (r *Raft) handleSnapshotOffer(message Message) {
	if !r.hearLeader(message) {
		return
	}
	if message.Index <= r.commit {
		r.respond(message, r.acknowledgement(message, message.Index))
		return
	}
	r.out.Offer = &Offer{From: message.From, Index: message.Index, Term: message.LogTerm}
	r.respond(message, r.refusal(message, r.lastIndex()))
}

// Install puts a snapshot in the place of the log.
func (r *Raft) Install(snapshot *flow.Snapshot) bool {
	if snapshot.Index <= r.commit || r.role == Leader {
		return false
	}
	r.setSnapshot(snapshot)
	r.stable, r.unsynced = r.lastIndex(), nil
	r.save(flow.Save{Snapshot: snapshot, Cut: snapshot.Index + 1})
	return true
}

// Snapshot is the newest snapshot, or nil.
func (r *Raft) Snapshot() *flow.Snapshot { return r.snapshot }

// Retention says how much of the log stays in memory before a new snapshot, so
// that a member that is behind needs none.
type Retention struct {
	Entries int       // so many at most, and
	Bytes   int       // so many bytes, whoever needs them
	Behind  int       // so many bytes for members that are behind
	Silence flow.Time // a member that was not heard for longer gets nothing kept
}

// Compact makes a snapshot of the ledger's state stand for what was applied.
func (r *Raft) Compact(state json.RawMessage, keep Retention) {
	index := r.applied
	term, ok := r.termAt(index)
	if !ok || index == r.base.Index {
		return
	}
	conf := r.confAt(index)
	r.snapshot = &flow.Snapshot{Index: index, Term: term, Conf: encode(conf), State: state}
	r.appliedBytes = 0
	r.dropLogBefore(r.firstKept(index, keep))
	for confIndex := range r.confsByIndex {
		if confIndex < index {
			delete(r.confsByIndex, confIndex)
		}
	}
	r.confsByIndex[index] = conf
	r.useNewestConf()
	r.save(flow.Save{Snapshot: r.snapshot})
}

// confAt is the configuration that was in force at an index.
func (r *Raft) confAt(index uint64) Conf {
	var newest uint64
	var conf Conf
	for confIndex, candidate := range r.confsByIndex {
		if confIndex <= index && confIndex >= newest {
			newest, conf = confIndex, candidate
		}
	}
	return conf
}

// firstKept is the index after which the log stays in memory: what the retention
// allows everybody, and on a leader what members need that are behind.
func (r *Raft) firstKept(index uint64, keep Retention) uint64 {
	first := index
	for first > r.base.Index && index-first < uint64(keep.Entries) && r.bytesBetween(first-1, index) <= keep.Bytes {
		first--
	}
	if r.role != Leader {
		return first
	}
	for id, peer := range r.progress {
		heard := id != r.id && r.now-peer.heard <= keep.Silence
		if heard && peer.match >= r.base.Index && peer.match < first && r.bytesBetween(peer.match, index) <= keep.Behind {
			first = peer.match
		}
	}
	return first
}

// bytesBetween is how much the entries after one index hold, up to another.
func (r *Raft) bytesBetween(after, to uint64) (size int) {
	for _, entry := range r.log[after-r.base.Index : to-r.base.Index] {
		size += len(entry.Data)
	}
	return size
}

// dropLogBefore forgets the entries up to an index.
func (r *Raft) dropLogBefore(index uint64) {
	term, _ := r.termAt(index)
	r.log = append([]flow.Entry(nil), r.log[index-r.base.Index:]...)
	r.base = flow.Entry{Index: index, Term: term}
}

// Weight is how many bytes were applied since the last snapshot.
func (r *Raft) Weight() int { return r.appliedBytes }

// SinceSnapshot is how many entries were applied since the last snapshot.
func (r *Raft) SinceSnapshot() int {
	if r.snapshot == nil {
		return int(r.applied)
	}
	return int(r.applied - min(r.applied, r.snapshot.Index))
}
