package raft

import (
	"fernlink/core/flow"
	"fernlink/core/invariant"
)

// How a follower takes entries (design 4.2).

// hearLeader follows the sender of an append or of a snapshot offer, and answers
// one of an older term with the newer.
func (r *Raft) hearLeader(message Message) bool {
	if message.Term < r.hard.Term {
		r.respond(message, r.refusal(message, r.lastIndex()))
		return false
	}
	if r.role == Leader || r.leader != "" && r.leader != message.From {
		r.invariants.Violated(invariant.TwoLeaders, "term", r.hard.Term, "leader", r.leader, "other", message.From)
	}
	r.role, r.leader, r.leaderSeen = Follower, message.From, true
	r.leaderHeard = r.now
	r.resetElectionTimer()
	return true
}

// refusal answers an append with the index after which entries may be sent.
func (r *Raft) refusal(request Message, hint uint64) Message {
	return Message{Kind: MessageAppendResponse, Term: r.hard.Term, Round: request.Round, Hint: hint}
}

// acknowledgement says that this member holds the leader's log up to an index.
func (r *Raft) acknowledgement(request Message, index uint64) Message {
	return Message{Kind: MessageAppendResponse, Term: r.hard.Term, Round: request.Round, Index: index, OK: true}
}

func (r *Raft) handleAppend(message Message) {
	if !r.hearLeader(message) {
		return
	}
	if message.Index < r.base.Index {
		// What the snapshot covers is committed: answer with where it ends.
		r.respond(message, r.acknowledgement(message, r.base.Index))
		return
	}
	if term, ok := r.termAt(message.Index); !ok || term != message.LogTerm {
		refusal := r.refusal(message, min(r.lastIndex(), message.Index-1))
		refusal.UncertainTail = r.hard.Unsure
		r.respond(message, refusal)
		return
	}
	r.takeEntries(message.Entries)
	end := message.Index + uint64(len(message.Entries))
	if term, _ := r.termAt(end); r.hard.Unsure && term == message.Term {
		r.clearUncertainTail() // it has an entry of the leader's own, and so all before it
	}
	r.commit = max(r.commit, min(message.Commit, end))
	r.respond(message, r.acknowledgement(message, end))
}

// takeEntries appends what the log lacks, in the place of what differs.
func (r *Raft) takeEntries(entries []flow.Entry) {
	var save flow.Save
	for _, entry := range entries {
		if term, ok := r.termAt(entry.Index); ok {
			if term == entry.Term {
				continue
			}
			r.truncate(entry.Index)
			if save.Cut == 0 {
				save.Cut = entry.Index
			}
		}
		r.appendEntry(entry)
		save.Add = append(save.Add, entry)
	}
	if len(save.Add) > 0 {
		save.Hard = r.hardState()
		r.save(save)
	}
}

func (r *Raft) clearUncertainTail() {
	if r.hard.Unsure {
		r.hard.Unsure, r.hard.LostTerm, r.hard.LostIndex = false, 0, 0
		r.saveHardState()
	}
}

// truncate drops the entries from an index on.
func (r *Raft) truncate(index uint64) {
	if index <= r.commit {
		r.invariants.Violated(invariant.CommittedReplaced, "index", index, "commit", r.commit, "term", r.hard.Term, "leader", r.leader)
	}
	r.log = append([]flow.Entry(nil), r.log[:index-r.base.Index-1]...)
	r.stable = min(r.stable, r.lastIndex())
	for i := range r.unsynced {
		r.unsynced[i].last = min(r.unsynced[i].last, r.lastIndex())
	}
	for confIndex := range r.confsByIndex {
		if confIndex >= index {
			delete(r.confsByIndex, confIndex)
		}
	}
	r.useNewestConf()
}
