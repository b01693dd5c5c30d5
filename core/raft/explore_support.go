package raft

import (
	"encoding/binary"
	"maps"
	"slices"

	"fernlink/core/flow"
)

// What core/raft/explore needs to explore the states of this very code: a copy
// of a member, its log, and a canonical encoding of its state. Nothing else
// calls it.

// Clone copies a member. The copy shares nothing with it that either changes,
// but the random source.
func (r *Raft) Clone() *Raft {
	clone := *r
	clone.log = slices.Clip(r.log)
	clone.confsByIndex = maps.Clone(r.confsByIndex)
	clone.unsynced = slices.Clone(r.unsynced)
	clone.votes = maps.Clone(r.votes)
	clone.uncertainVoters = maps.Clone(r.uncertainVoters)
	clone.heardAt = maps.Clone(r.heardAt)
	clone.election.Answers = maps.Clone(r.election.Answers)
	clone.reads = slices.Clone(r.reads)
	clone.progress = make(map[string]*progress, len(r.progress))
	for id, peer := range r.progress {
		copied := *peer
		clone.progress[id] = &copied
	}
	clone.out = Out{}
	return &clone
}

// LogView is a member's log as an election sees it.
type LogView struct {
	BaseIndex, BaseTerm uint64 // the entry before the first of Entries
	Entries             []flow.Entry
	Conf                Conf
}

// LogView shows the member's log; the caller must not change it.
func (r *Raft) LogView() LogView {
	return LogView{BaseIndex: r.base.Index, BaseTerm: r.base.Term, Entries: slices.Clip(r.log), Conf: r.conf}
}

// LastIndex is the index of the last entry.
func (v LogView) LastIndex() uint64 { return v.BaseIndex + uint64(len(v.Entries)) }

// LastTerm is the term of the last entry.
func (v LogView) LastTerm() uint64 {
	if len(v.Entries) == 0 {
		return v.BaseTerm
	}
	return v.Entries[len(v.Entries)-1].Term
}

// IsUpToDate says whether a voter with the other log would vote for this one.
func (v LogView) IsUpToDate(other LogView) bool {
	if v.LastTerm() != other.LastTerm() {
		return v.LastTerm() > other.LastTerm()
	}
	return v.LastIndex() >= other.LastIndex()
}

// Entry gives the entry at an index; ok is false before the log's first and
// after its last.
func (v LogView) Entry(index uint64) (entry flow.Entry, ok bool) {
	if index <= v.BaseIndex || index > v.LastIndex() {
		return flow.Entry{}, false
	}
	return v.Entries[index-v.BaseIndex-1], true
}

// stateEncoder appends numbers and strings so that different states give
// different bytes.
type stateEncoder struct{ bytes []byte }

func (e *stateEncoder) number(value uint64) {
	e.bytes = binary.AppendUvarint(e.bytes, value)
}

func (e *stateEncoder) text(value string) {
	e.number(uint64(len(value)))
	e.bytes = append(e.bytes, value...)
}

func (e *stateEncoder) flag(value bool) {
	if value {
		e.number(1)
		return
	}
	e.number(0)
}

// duration appends how long ago something was, up to the longest that matters.
func (e *stateEncoder) duration(value, longest flow.Time) {
	e.number(uint64(min(max(value, 0), longest)))
}

// AppendState appends a canonical encoding of the member's state. Times stand
// relative to now and only as far as they matter, and what the member's role
// makes meaningless is left out, so equal encodings behave alike.
func (r *Raft) AppendState(to []byte) []byte {
	encoder := &stateEncoder{to}
	r.encodeLog(encoder)
	encoder.text(string(r.role))
	encoder.text(r.leader)
	encoder.flag(r.leaderSeen)
	encoder.number(r.round)
	switch r.role {
	case Leader:
		r.encodeLeader(encoder)
	case PreCandidate, Candidate:
		r.encodeVotes(encoder)
	}
	if r.role != Leader {
		encoder.duration(r.electionDue-r.now, 2*r.electionTimeout)
	}
	if r.leader != "" && r.role != Leader {
		encoder.duration(r.now-r.leaderHeard, r.electionTimeout)
	}
	return encoder.bytes
}

func (r *Raft) encodeLog(encoder *stateEncoder) {
	encoder.text(r.hard.Cluster)
	encoder.number(r.hard.Term)
	encoder.text(r.hard.Vote)
	encoder.flag(r.hard.Unsure)
	encoder.number(r.base.Index)
	encoder.number(r.base.Term)
	if r.snapshot != nil {
		encoder.number(r.snapshot.Index)
	}
	encoder.number(uint64(len(r.log)))
	for _, entry := range r.log {
		encoder.number(entry.Term)
		encoder.text(entry.Kind)
		encoder.text(string(entry.Data))
	}
	encoder.number(r.confIndex)
	encoder.number(r.commit)
	encoder.number(r.applied)
	encoder.number(r.stable)
	for _, mark := range r.unsynced {
		encoder.number(mark.last)
	}
}

func (r *Raft) encodeLeader(encoder *stateEncoder) {
	encoder.duration(r.heartbeatDue-r.now, r.heartbeatInterval)
	encoder.duration(r.now-r.heartbeatSent, r.heartbeatInterval)
	encoder.duration(r.now-r.quorumHeard, r.electionTimeout)
	for _, member := range r.conf.Members {
		peer := r.progress[member.ID]
		encoder.number(peer.match)
		encoder.number(peer.next)
		encoder.number(peer.round)
		encoder.number(uint64(peer.inflightBytes))
		encoder.duration(r.now-peer.heard, 2*r.electionTimeout)
		encoder.duration(r.now-peer.moved, 2*r.electionTimeout+1)
	}
	for _, read := range r.reads {
		encoder.number(read.token)
		encoder.number(read.round)
		encoder.number(read.index)
	}
}

func (r *Raft) encodeVotes(e *stateEncoder) {
	for _, member := range r.conf.Members {
		e.flag(r.votes[member.ID])
		e.flag(r.uncertainVoters[member.ID])
	}
}
