// Renewals of dispatchers' leases in batches (design 5.2).

package store

import (
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// renew gathers renewals: those of a short while are proved by one read, and
// those that have the same part of the ledger get the same answer.
func (s *Store) renew(now flow.Time, w wait, _ *flow.Outbox) {
	if len(s.renewals.waiting) >= renewalsMost {
		s.counts["renewals_dropped"]++ // it is asked again
		return
	}
	if len(s.renewals.waiting) == 0 {
		s.renewals.due = max(now, s.renewals.proved+budget.RenewBatchInterval)
	}
	s.renewals.waiting = append(s.renewals.waiting, w)
}

// renewalsMost bounds the renewals that wait for a proof to be asked for.
const renewalsMost = 4096

// renewals are those that wait for a proved read, and those of a read that is
// under way.
type renewals struct {
	waiting []wait
	due     flow.Time // when they are proved
	proved  flow.Time // when the last read was asked for
	proving map[uint64][]wait
	encoded encodedDeltas
}

// proveRenewals asks for one read for all that wait.
func (s *Store) proveRenewals(now flow.Time, out *flow.Outbox) {
	r := &s.renewals
	if len(r.waiting) == 0 || now < r.due {
		return
	}
	batch := r.waiting
	r.waiting, r.proved = nil, now
	s.token++
	if !s.raft.Read(s.token) {
		for _, w := range batch {
			s.retry(w, out)
		}
		return
	}
	s.counts["reads"] += len(batch)
	r.proving[s.token] = batch
}

// answerRenewals answers what a read has proved.
func (s *Store) answerRenewals(now flow.Time, batch []wait, out *flow.Outbox) {
	for id, x := range s.seen {
		if now-x.at > 2*budget.LeaseDuration {
			delete(s.seen, id)
		}
	}
	for _, w := range batch {
		s.reply(w, s.renewed(now, w), out)
	}
}

// voidRenewals sends those who wait elsewhere.
func (s *Store) voidRenewals(out *flow.Outbox) {
	r := &s.renewals
	for _, token := range sorted.Keys(r.proving) {
		for _, w := range r.proving[token] {
			s.retry(w, out)
		}
	}
	for _, w := range r.waiting {
		s.retry(w, out)
	}
	r.waiting, r.proving, r.encoded = nil, map[uint64][]wait{}, encodedDeltas{}
}

// open says whether a try of a renewal is under way.
func (r *renewals) open(w wait) bool {
	for _, batch := range r.proving {
		if slices.ContainsFunc(batch, w.same) {
			return true
		}
	}
	return slices.ContainsFunc(r.waiting, w.same)
}

// encodedDeltas keeps answers to renewals at one index of the ledger, by the
// index that the renewal had.
type encodedDeltas struct {
	index  uint64
	bodies map[uint64]json.RawMessage
}

// encodedMost bounds the answers that are kept.
const encodedMost = 64

// since gives what changed after index have, encoded. Without open steps it is
// the same for all that have as much.
func (s *Store) since(now flow.Time, have uint64) json.RawMessage {
	e := &s.renewals.encoded
	if e.index != s.ledger.Index || e.bodies == nil || len(e.bodies) >= encodedMost {
		*e = encodedDeltas{index: s.ledger.Index, bodies: map[uint64]json.RawMessage{}}
	}
	if raw, ok := e.bodies[have]; ok {
		return raw
	}
	d := s.ledger.Since(have)
	if len(d.Open) > 0 {
		d.Wall, d.Roster = s.time(), s.roster(now) // only steps are shared out by the roster
		return body(d)
	}
	e.bodies[have] = body(d)
	return e.bodies[have]
}

// roster gives the dispatchers that hold a lease and do not stop.
func (s *Store) roster(now flow.Time) []string {
	var out []string
	for _, id := range sorted.Keys(s.seen) {
		if x := s.seen[id]; now-x.at <= budget.LeaseDuration && !x.left {
			out = append(out, id)
		}
	}
	return out
}
