package store

import (
	"strings"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/sorted"
)

// storeBlobs hands on what the ledger wants done to the blob store (design 4.9).
func (s *Store) storeBlobs(out *flow.Outbox) {
	if b, any := s.ledger.Box(); any {
		b.At = s.ledger.Index
		out.Blobs = append(out.Blobs, b)
	}
}

// keysFull warns well before a key has to be refused.
func (s *Store) keysFull() string {
	b, n := s.ledger.Bounds, s.ledger.Keys.Len()
	if n*5 > b.Keys*4 {
		return "run-once keys fill more than four fifths of keys_most; beyond it bookings are refused"
	}
	if s.ledger.Receipts.Len()*5 > b.Keys*4 {
		return "receipts of orders fill more than four fifths of keys_most; beyond it orders are refused"
	}
	if s.ledger.Keys.Bytes*5 > b.Answers*4 {
		return "recorded answers fill more than four fifths of answer_bytes; beyond it they are not kept"
	}
	return ""
}

func (s *Store) snapshotSize() int {
	if d := s.raft.Snapshot(); d != nil {
		return len(d.State)
	}
	return 0
}

// routeMost is longer than any route lets a request run.
const routeMost = 15 * 60 * 1000

// orphans settles claims that nobody will settle any more: their dispatcher was
// not heard for long, or they are older than any request. Whether they ran is
// not known (design 7.2). It also puts this leader's bounds into force.
func (s *Store) orphans(now flow.Time) {
	if s.raft.Role() != raft.Leader || !s.raft.Ready() || s.timed != s.raft.Term() {
		return
	}
	if now >= s.bounded && s.placement.disks != nil {
		s.bounded = now + budget.FailureTimeout
		if bounds := s.bounds(); s.p.Bounds.Keys > 0 && s.ledger.Bounds != bounds {
			s.propose(ledger.PutBounds(bounds))
		}
	}
	if now < s.orphan || now-s.raft.Since() < budget.Heal {
		return
	}
	s.orphan = now + budget.FailureTimeout
	n := 0
	for _, row := range sorted.Keys(s.ledger.Owners) {
		who := s.ledger.Owners[row]
		id, _, _ := strings.Cut(who, "/")
		x, heard := s.seen[id]
		lost := !heard || now-x.at > budget.Heal
		if lost || s.time()-int64(s.ledger.Keys.Row(row).At)*1000 > routeMost {
			s.propose(ledger.LostClaim{Row: row, Owner: who})
			if n++; n == 64 {
				return
			}
		}
	}
}

// propose makes a change of the leader's own.
func (s *Store) propose(change ledger.Body) {
	if _, _, err := s.raft.Propose(commandEntry, ledger.NewCommand(s.time(), change).Encode()); err == nil {
		s.counts["writes"]++
	}
}
