package explore

import (
	"slices"

	"fernlink/core/flow"
)

// election says who led a term, and at what step of the cluster's time.
type election struct {
	term   uint64
	leader string
	at     int
}

// openRead is a read that was begun and not answered yet.
type openRead struct {
	token   uint64
	reader  string // member that it was asked of
	floor   uint64 // what was committed anywhere when it was begun
	elected uint64 // the newest term that had a leader then
	at      int    // when it was begun
	renews  bool   // the lease's holder asked for it, for its lease
}

// spokenVote is a vote that left its voter.
type spokenVote struct {
	voter     string
	term      uint64
	candidate string
}

// history is what happened so far, as far as the invariants speak of it.
type history struct {
	committed []flow.Entry // as the first member that applied each had it
	elections []election
	reads     []openRead
	votes     []spokenVote
	lease     lease
}

func (h *history) clone() history {
	return history{
		committed: slices.Clip(h.committed),
		elections: slices.Clip(h.elections),
		reads:     slices.Clone(h.reads),
		votes:     slices.Clip(h.votes),
		lease:     h.lease,
	}
}

// lastCommitted is the highest index that any member applied.
func (h *history) lastCommitted() uint64 { return uint64(len(h.committed)) }

// newestElected is the newest term that had a leader.
func (h *history) newestElected() uint64 {
	var newest uint64
	for _, e := range h.elections {
		newest = max(newest, e.term)
	}
	return newest
}

// led says whether a member is known to have led a term.
func (h *history) led(id string, term uint64) bool {
	return slices.ContainsFunc(h.elections, func(won election) bool { return won.leader == id && won.term == term })
}

func (h *history) encode(e *encoder) {
	e.entries(h.committed)
	var unordered uint64
	for _, won := range h.elections {
		unordered += hashParts(won.leader, won.term, uint64(won.at))
	}
	for _, vote := range h.votes {
		unordered += hashParts(vote.voter+">"+vote.candidate, vote.term)
	}
	e.numbers(unordered)
	for _, read := range h.reads {
		e.text(read.reader)
		e.numbers(read.token, read.floor, read.elected, uint64(read.at))
		e.flag(read.renews)
	}
	h.lease.encode(e)
}

func hashParts(text string, values ...uint64) uint64 {
	e := &encoder{make([]byte, 0, 64)}
	e.text(text)
	e.numbers(values...)
	return hashBytes(e.bytes)
}
