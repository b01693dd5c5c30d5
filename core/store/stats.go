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
	Snapshot int           `json:"snapshot_bytes"`
}

// Stats gives the snapshot.
func (s *Store) Stats() Stats {
	return Stats{s.p.ID, s.raft.Role(), s.raft.Term(), s.raft.Commit(), s.raft.Applied(), s.raft.LogLen(),
		s.raft.LeaderAddr(), s.raft.Conf().Members, s.raft.Busy(), s.counts["writes"], s.counts["reads"], len(s.ledger.Steps), s.ledger.Keys.Len(), s.keysFull(), s.raft.Unsure(),
		s.pull != nil, s.counts["pieces"], s.counts["stray_pieces"] + s.counts["stray_pulls"], s.snapshotSize()}
}

// Rows counts what each table keeps.
func (s *Store) Rows(to map[string]int) {
	l := s.ledger
	to["log"], to["waiting_writes"], to["waiting_reads"], to["dispatchers"] = s.raft.LogLen(), len(s.writes), len(s.reads), len(s.seen)
	to["waiting_renewals"] = len(s.renewals.waiting)
	to["plans"], to["steps"], to["keys"], to["orders"], to["drains"] = len(l.Plans), len(l.Steps), l.Keys.Len(), len(l.Orders), len(l.Drains)
	to["claims_open"], to["member_addresses"], to["fetches"] = len(l.Owners), len(s.addrs), len(s.fetches)
	to["lots"] = len(l.Lots)
	for _, x := range l.Lots {
		to["lot_results"] += len(x.List)
	}
	for _, x := range l.Steps {
		to["results"] += len(x.List)
	}
}
