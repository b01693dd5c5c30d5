package store

import (
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/raft"
)

// How much the log may hold.
const (
	// KeepBytes is how much is applied before a snapshot is made, whatever the
	// number of entries.
	KeepBytes = 2 << 20
	// RetainBytes is how much is applied before a snapshot is made although a
	// member fetches the one before.
	RetainBytes = 4 * KeepBytes
	// retainStates is the same for a large state, in sizes of the state: a link
	// that carries the changes carries the state in that time too.
	retainStates = 2
	// retainSilence is how long a member that says nothing keeps the log from
	// being cut.
	retainSilence = budget.Heal
)

// retention keeps which members fetch the newest snapshot. A leader that made
// another one each time enough was applied could outrun a member for ever: each
// new one makes it begin anew with the state (design 4.10).
type retention struct {
	fetching map[string]flow.Time // members by when they last asked for a piece
}

func newRetention() retention { return retention{fetching: map[string]flow.Time{}} }

func (r retention) asked(member string, now flow.Time) { r.fetching[member] = now }

// compact makes a snapshot when enough was applied since the last.
func (s *Store) compact(now flow.Time, out *flow.Outbox) {
	if s.raft.SinceSnapshot() <= s.p.Keep && s.raft.Weight() <= KeepBytes {
		return
	}
	state := retainStates * s.snapshotSize()
	if s.raft.Weight() <= max(RetainBytes, state) && s.fetched(now) {
		return
	}
	s.raft.Compact(s.ledger.Snapshot(), raft.Retention{
		Entries: s.p.Keep / 4,
		Bytes:   KeepBytes / 2,
		// The log since the last snapshot stays for a member that has just fetched
		// it; for others what costs less than another fetch.
		Behind:  max(KeepBytes, state, s.raft.Weight()),
		Silence: retainSilence,
	})
	s.storeBlobs(out)
	out.Save = append(out.Save, s.raft.Advance(now).Saves...)
}

// fetched says whether a member is fetching the newest snapshot, or has not said
// yet that it has it.
func (s *Store) fetched(now flow.Time) bool {
	snapshot := s.raft.Snapshot()
	for id, asked := range s.retention.fetching {
		gone := now-asked > retainSilence || s.raft.Conf().Find(id) < 0
		if gone || snapshot == nil || s.raft.Match(id) >= snapshot.Index {
			delete(s.retention.fetching, id)
		}
	}
	return len(s.retention.fetching) > 0
}
