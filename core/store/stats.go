// What the store shows of itself (design 10.4).

package store

import (
	"fernlink/core/raft"
)

// Stats is the store's part of the one snapshot (design 10.4).
type Stats struct {
	ID       string        `json:"id"`
	Role     raft.Role     `json:"role"`
	Term     uint64        `json:"term"`
	Commit   uint64        `json:"commit"`
	Applied  uint64        `json:"applied"`
	Log      int           `json:"log_entries"`
	Leader   string        `json:"leader"`
	Members  []raft.Member `json:"members"`
	Changing bool          `json:"membership_changing"`
	Writes   int           `json:"writes_total"`
	Reads    int           `json:"reads_total"`
	Steps    int           `json:"steps"`
	Keys     int           `json:"keys"`
	Warning  string        `json:"warning,omitempty"`
	Unsure   bool          `json:"unsure_of_its_tail,omitempty"`
	Pulling  bool          `json:"fetching_snapshot,omitempty"`
	Pulled   int           `json:"pieces_total"`
	Strays   int           `json:"stray_pieces_total"`
	Damaged  int           `json:"damaged_pieces_total"`
	Snapshot int           `json:"snapshot_bytes"`
	LotBytes int64         `json:"lot_bytes"` // what lots may hold on the disk, 0 where nothing is known of it
	Receipts int           `json:"order_receipts"`
	Repeated int           `json:"order_repeats_total"`
	Changed  int           `json:"order_changes_total"`
	// Match is how much of the log each other member has on its disk, on the leader.
	Match map[string]uint64 `json:"match,omitempty"`
	// Strangers counts messages of identities that are no members here.
	Strangers int    `json:"strangers_total"`
	Health    Health `json:"health"`
}

// Stats gives the snapshot.
func (s *Store) Stats() Stats {
	return Stats{
		ID:        s.p.ID,
		Role:      s.raft.Role(),
		Term:      s.raft.Term(),
		Commit:    s.raft.Commit(),
		Applied:   s.raft.Applied(),
		Log:       s.raft.LogLen(),
		Leader:    s.raft.LeaderAddr(),
		Members:   s.raft.Conf().Members,
		Changing:  s.raft.Busy(),
		Writes:    s.counts["writes"],
		Reads:     s.counts["reads"],
		Steps:     len(s.ledger.Steps),
		Keys:      s.ledger.Keys.Len(),
		Warning:   s.keysFull(),
		Unsure:    s.raft.Unsure(),
		Pulling:   s.pull != nil,
		Pulled:    s.counts["pieces"],
		Strays:    s.counts["stray_pieces"] + s.counts["stray_pulls"],
		Damaged:   s.counts["damaged_pieces"],
		Snapshot:  s.snapshotSize(),
		LotBytes:  s.ledger.Bounds.LotBytes,
		Receipts:  s.ledger.Receipts.Len(),
		Repeated:  s.ledger.OrderCounts.Repeated,
		Changed:   s.ledger.OrderCounts.Changed,
		Match:     s.matches(),
		Strangers: s.counts["strangers"],
		Health:    s.Health(),
	}
}

// matches gives what the leader counts each other member for.
func (s *Store) matches() map[string]uint64 {
	if s.raft.Role() != raft.Leader {
		return nil
	}
	match := map[string]uint64{}
	for _, m := range s.raft.Conf().Members {
		if m.ID != s.p.ID {
			match[m.ID] = s.raft.Match(m.ID)
		}
	}
	return match
}

// Rows counts what each table keeps.
func (s *Store) Rows(to map[string]int) {
	l := s.ledger
	to["log"], to["waiting_writes"], to["waiting_reads"], to["dispatchers"] = s.raft.LogLen(), len(s.writes), len(s.reads), len(s.seen)
	to["waiting_renewals"] = len(s.renewals.waiting)
	to["plans"], to["steps"], to["keys"], to["orders"], to["drains"] = len(l.Plans), len(l.Steps), l.Keys.Len(), len(l.Orders), len(l.Drains)
	to["claims_open"], to["member_addresses"], to["fetches"] = len(l.Owners), len(s.addrs), len(s.fetches)
	to["receipts"], to["lots"] = l.Receipts.Len(), len(l.Lots)
	for _, x := range l.Lots {
		to["lot_results"] += len(x.List)
	}
	for _, x := range l.Steps {
		to["results"] += len(x.List)
	}
}
