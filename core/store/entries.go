package store

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// sharedEntries are the entries of a message as they were encoded last: a leader sends the same
// to all members.
type sharedEntries struct {
	first, last uint64 // indexes
	term        uint64 // of the last
	text        json.RawMessage
}

// of gives entries encoded, from the last time where they are the same.
func (e *sharedEntries) of(entries []flow.Entry) json.RawMessage {
	first, last := entries[0], entries[len(entries)-1]
	if e.first != first.Index || e.last != last.Index || e.term != last.Term {
		e.first, e.last, e.term = first.Index, last.Index, last.Term
		e.text = flow.AppendEntries(make([]byte, 0, flow.EncodedSize(entries)), entries)
	}
	return e.text
}

// forget lets the entries go that are applied: who still lacks them has them encoded anew.
func (e *sharedEntries) forget(applied uint64) {
	if e.text != nil && applied >= e.last {
		*e = sharedEntries{}
	}
}

// sendRaft sends a message to another member. Large entries are encoded once for all.
func (s *Store) sendRaft(envelope raft.Envelope, out *flow.Outbox) {
	message := envelope.Message
	if len(message.Entries) == 0 {
		body, err := message.Encode()
		out.EncodedLine(envelope.Addr, "raft", body, err)
		return
	}
	if flow.EncodedSize(message.Entries) < sharedFrom {
		body, err := message.Encode()
		out.EncodedLine(envelope.Addr, flow.Entries, body, err)
		return
	}
	head, err := message.Head().Encode()
	if err != nil {
		out.EncodedLine(envelope.Addr, flow.Entries, nil, err)
		return
	}
	out.SharedLine(envelope.Addr, flow.Entries, head, raft.EntriesField, s.entries.of(message.Entries))
}
