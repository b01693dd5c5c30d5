// Snapshots and the log before them (design 4.10).

package raft

import (
	"encoding/json"

	"fernlink/core/flow"
)

func (r *Raft) setSnapshot(d *flow.Snapshot) {
	r.snapshot, r.weight = d, 0
	r.base = flow.Entry{Index: d.Index, Term: d.Term}
	r.log = nil
	r.commit, r.applied = d.Index, d.Index
	r.confs = map[uint64]Conf{}
	var c Conf
	if json.Unmarshal(d.Conf, &c) == nil {
		r.confs[d.Index] = c
	}
	r.pickConf()
}

// onSnapshot hears that the leader has only a snapshot for what is lacking here. The
// store fetches it in pieces and then calls Install; until then the offer is a
// heartbeat like any other (design 4.10).
func (r *Raft) onSnapshot(m Msg) {
	if !r.hear(m) {
		return
	}
	ok := m.Index <= r.commit
	back := Msg{Kind: "appr", Term: r.hard.Term, Round: m.Round, Hint: r.last()}
	if ok {
		back.OK, back.Index = true, m.Index
	} else {
		r.out.Offer = &Offer{m.From, m.Index, m.LogTerm}
	}
	r.back(m, "", back)
}

// Install puts a snapshot in the place of the log.
func (r *Raft) Install(d *flow.Snapshot) bool {
	if d.Index <= r.commit || r.role == Leader {
		return false
	}
	r.setSnapshot(d)
	r.stable, r.marks = r.last(), nil
	r.save(flow.Save{Snapshot: d, Cut: d.Index + 1})
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
	at := r.applied
	t, ok := r.term(at)
	if !ok || at == r.base.Index {
		return
	}
	var c Conf
	var top uint64
	for i, x := range r.confs {
		if i <= at && i >= top {
			top, c = i, x
		}
	}
	r.snapshot = &flow.Snapshot{Index: at, Term: t, Conf: raw(c), State: state}
	from := r.retained(at, keep)
	r.weight = 0
	ft, _ := r.term(from)
	r.log = append([]flow.Entry(nil), r.log[from-r.base.Index:]...)
	r.base = flow.Entry{Index: from, Term: ft}
	for i := range r.confs {
		if i < at {
			delete(r.confs, i)
		}
	}
	r.confs[at] = c
	r.pickConf()
	r.save(flow.Save{Snapshot: r.snapshot})
}

// retained gives the index up to which the log goes at a snapshot.
func (r *Raft) retained(at uint64, keep Retention) uint64 {
	from := at
	for from > r.base.Index && at-from < uint64(keep.Entries) && r.bytes(from-1, at) <= keep.Bytes {
		from--
	}
	if r.role != Leader {
		return from
	}
	for id, p := range r.peers {
		heard := id != r.id && r.now-p.heard <= keep.Silence
		if heard && p.match >= r.base.Index && p.match < from && r.bytes(p.match, at) <= keep.Behind {
			from = p.match
		}
	}
	return from
}

// bytes is how much the entries after one index hold, up to another.
func (r *Raft) bytes(after, to uint64) (n int) {
	for _, e := range r.log[after-r.base.Index : to-r.base.Index] {
		n += len(e.Data)
	}
	return n
}

// Weight is how many bytes were applied since the last snapshot, SinceSnapshot how
// many entries.
func (r *Raft) Weight() int { return r.weight }

func (r *Raft) SinceSnapshot() int {
	if r.snapshot == nil {
		return int(r.applied)
	}
	return int(r.applied - min(r.applied, r.snapshot.Index))
}
