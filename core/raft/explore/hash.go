package explore

import (
	"encoding/binary"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashBytes is FNV-1a with a final mix, so that hashes may be added up.
func hashBytes(data []byte) uint64 {
	hash := uint64(fnvOffset)
	for _, b := range data {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return mix(hash)
}

// mix spreads each bit of a hash over all of it.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// encoder appends what a state consists of.
type encoder struct{ bytes []byte }

func (e *encoder) numbers(values ...uint64) {
	for _, value := range values {
		e.bytes = binary.AppendUvarint(e.bytes, value)
	}
}

func (e *encoder) text(value string) {
	e.numbers(uint64(len(value)))
	e.bytes = append(e.bytes, value...)
}

func (e *encoder) flag(value bool) {
	if value {
		e.numbers(1)
		return
	}
	e.numbers(0)
}

func (e *encoder) hardState(hard flow.Hard) {
	e.text(hard.Cluster)
	e.numbers(hard.Term, hard.Commit)
	e.text(hard.Vote)
	e.flag(hard.Unsure)
}

func (e *encoder) entries(entries []flow.Entry) {
	e.numbers(uint64(len(entries)))
	for _, entry := range entries {
		e.numbers(entry.Index, entry.Term)
		e.text(entry.Kind)
		e.text(string(entry.Data))
	}
}

func (e *encoder) snapshot(snapshot *flow.Snapshot) {
	if snapshot == nil {
		e.numbers(0)
		return
	}
	e.numbers(snapshot.Index, snapshot.Term)
}

func (e *encoder) message(message raft.Message) {
	e.text(string(message.Kind))
	e.text(message.From)
	e.text(message.ToID)
	e.numbers(message.Term, message.Index, message.LogTerm, message.Commit, message.Round, message.Hint)
	e.flag(message.OK)
	e.flag(message.UncertainTail)
	e.flag(message.LeaderTransfer)
	e.entries(message.Entries)
}

func (e *encoder) batch(b batch) {
	e.numbers(uint64(len(b.saves)))
	for _, save := range b.saves {
		e.flag(save.Hard != nil)
		if save.Hard != nil {
			e.hardState(*save.Hard)
		}
		e.numbers(save.Cut)
		e.entries(save.Add)
		e.snapshot(save.Snapshot)
	}
	e.numbers(uint64(len(b.messages)))
	for _, envelope := range b.messages {
		e.message(envelope.Message)
	}
}

// stateHash is the hash of a member's state, kept until seal forgets it.
func (m *member) stateHash() uint64 {
	if m.hash != 0 {
		return m.hash
	}
	e := &encoder{make([]byte, 0, 512)}
	e.text(m.id)
	e.bytes = m.raft.AppendState(e.bytes)
	e.hardState(m.disk.hard)
	e.entries(m.disk.entries)
	e.snapshot(m.disk.snapshot)
	e.numbers(uint64(len(m.unsynced)))
	for _, b := range m.unsynced {
		e.batch(b)
	}
	e.flag(m.offer != nil)
	if m.offer != nil {
		e.text(m.offer.From)
		e.numbers(m.offer.Index, m.offer.Term)
	}
	m.hash = hashBytes(e.bytes)
	return m.hash
}

// hash is the hash of the whole state. The order of the messages in flight counts
// only where they come in it.
func (s *state) hash() uint64 {
	e := &encoder{make([]byte, 0, 256)}
	for _, m := range s.members {
		e.numbers(m.stateHash())
	}
	var messages uint64
	for _, f := range s.network {
		if !s.scenario.AnyOrder {
			messages = mix(messages)
		}
		messages += f.hash
	}
	e.numbers(messages)
	s.history.encode(e)
	for _, count := range s.used {
		e.numbers(uint64(count))
	}
	return hashBytes(e.bytes)
}
