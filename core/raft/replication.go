package raft

import (
	"fernlink/core/flow"
)

// How a leader replicates entries (design 4.2).

const (
	// maxMessageEntries and maxMessageBytes bound the entries of one message: over
	// a thin link each still arrives, and is acknowledged, before it is sent again.
	maxMessageEntries = 64
	maxMessageBytes   = 64 << 10
	// refillMessages is how many messages follow an acknowledgement at most.
	refillMessages = 4
	// maxInflightBytes bounds the entries on their way to one member: what a slow
	// link can't carry yet would only fill this member's memory. The window halves,
	// down to minInflightBytes, when nothing is heard of what was sent, and grows by
	// inflightGrowth with each acknowledgement.
	maxInflightBytes = 512 << 10
	minInflightBytes = maxMessageBytes
	inflightGrowth   = 8 << 10
)

// progress is what a leader knows of another member.
type progress struct {
	match         uint64    // highest index that it acknowledged
	next          uint64    // next index to send
	inflightBytes int       // bytes of entries sent and not acknowledged
	window        int       // how many may be
	moved         flow.Time // when it acknowledged more, or entries were first on their way
	round         uint64    // newest heartbeat round that it confirmed
	heard         flow.Time
}

// isOptimistic says that entries were sent and are not acknowledged yet.
func (p *progress) isOptimistic() bool { return p.next > p.match+1 }

// resend starts again after what was acknowledged, with less of it at a time: over
// a thin link it may still be on its way, and copies would only delay it.
func (p *progress) resend() {
	if p.inflightBytes > 0 {
		p.window = max(p.window/2, minInflightBytes)
	}
	p.next, p.inflightBytes = p.match+1, 0
}

// trackMembers keeps progress for the members of the configuration in force.
func (r *Raft) trackMembers() {
	for _, member := range r.conf.Members {
		if r.progress[member.ID] == nil {
			r.progress[member.ID] = &progress{next: r.lastIndex() + 1, heard: r.now, window: maxInflightBytes}
		}
	}
	for id := range r.progress {
		if r.conf.Find(id) < 0 {
			delete(r.progress, id)
		}
	}
}

func (r *Raft) handleAppendResponse(response Message) {
	peer := r.progress[response.From]
	if r.role != Leader || peer == nil || response.Term != r.hard.Term {
		return
	}
	peer.heard = r.now
	peer.round = max(peer.round, response.Round)
	if response.OK {
		r.acknowledged(peer, response.Index)
	} else {
		refused(peer, response)
		if response.Hint < peer.match {
			// Its log lacks what it acknowledged before, or this answer is old: what
			// is sent at once would be refused at once. The next heartbeat asks again.
			return
		}
	}
	if peer.inflightBytes < 0 || !peer.isOptimistic() {
		peer.inflightBytes = 0
	}
	r.refill(response.From, peer)
}

// refill sends a member that acknowledged something several messages more.
func (r *Raft) refill(id string, peer *progress) {
	for range refillMessages {
		next := peer.next
		r.replicate(id)
		if peer.next == next {
			return
		}
	}
}

// acknowledged notes that a member holds the log up to an index.
func (r *Raft) acknowledged(peer *progress, index uint64) {
	for i := max(peer.match, r.base.Index) + 1; i <= min(index, r.lastIndex()); i++ {
		peer.inflightBytes -= len(r.entryAt(i).Data)
	}
	if index > peer.match {
		peer.match, peer.moved = index, r.now
		peer.window = min(peer.window+inflightGrowth, maxInflightBytes)
	}
	peer.next = max(peer.next, peer.match+1)
}

// refused goes back to where a member's log may agree.
func refused(peer *progress, response Message) {
	if response.UncertainTail {
		peer.match = min(peer.match, response.Hint) // what it had acknowledged is gone
	}
	peer.next = max(peer.match+1, min(peer.next, response.Hint+1))
	peer.inflightBytes = 0
}

// isQuiet says that a member missed two heartbeats.
func (r *Raft) isQuiet(peer *progress) bool { return r.now-peer.heard > 2*r.heartbeatInterval }

// replicate sends a member the entries that come next. To a quiet member nothing
// goes but heartbeats; what it lacks follows its answer.
func (r *Raft) replicate(id string) {
	peer := r.progress[id]
	if peer == nil || id == r.id || r.isQuiet(peer) {
		return
	}
	if peer.next > r.lastIndex() || peer.inflightBytes >= peer.window {
		return // what is left follows the next answer
	}
	term, ok := r.termAt(peer.next - 1)
	if !ok {
		return // a heartbeat offers the snapshot
	}
	entries, size := r.nextEntries(peer.next)
	r.sendAppend(id, peer.next-1, term, entries)
	if peer.inflightBytes == 0 {
		peer.moved = r.now
	}
	peer.next += uint64(len(entries)) // a refusal moves it back
	peer.inflightBytes += size
}

// nextEntries copies the entries of one message and gives their size.
func (r *Raft) nextEntries(next uint64) ([]flow.Entry, int) {
	rest := r.log[next-r.base.Index-1:]
	count, size := 0, 0
	for count < min(len(rest), r.messageEntries) {
		length := len(rest[count].Data)
		if size+length > maxMessageBytes && count > 0 {
			break
		}
		size += length
		count++
	}
	return append([]flow.Entry(nil), rest[:count]...), size
}

// sendHeartbeat sends a member a heartbeat, which carries no entries: whoever
// lacks some says so. Where the log no longer reaches back it offers the snapshot.
func (r *Raft) sendHeartbeat(id string) {
	peer := r.progress[id]
	if peer == nil || id == r.id {
		return
	}
	previous := peer.next - 1
	if peer.inflightBytes > 0 && peer.match > 0 {
		previous = peer.match // a heartbeat may overtake what is on its way
	}
	if term, ok := r.termAt(previous); ok {
		r.sendAppend(id, previous, term, nil)
		if peer.inflightBytes == 0 {
			peer.moved = r.now
		}
		return
	}
	if r.snapshot != nil {
		r.send(id, Message{Kind: MessageSnapshotOffer, Term: r.hard.Term, Round: r.round, Index: r.snapshot.Index, LogTerm: r.snapshot.Term})
	}
}

func (r *Raft) sendAppend(id string, previous, previousTerm uint64, entries []flow.Entry) {
	r.send(id, Message{
		Kind:    MessageAppend,
		Term:    r.hard.Term,
		Index:   previous,
		LogTerm: previousTerm,
		Commit:  r.commit,
		Round:   r.round,
		Entries: entries,
	})
}
