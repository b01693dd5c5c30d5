package store

import (
	"cmp"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/raft"
	"fernlink/core/sorted"
)

// owners gives each lot whose owner is lost, or left, another (design 8.7). A
// leader that is new may not have heard the owner yet, and waits; whoever lost
// its place has no tenure any more by then (design 5.2).
func (s *Store) owners(now flow.Time, live []gossip.Entry) {
	s.able = map[string]bool{}
	for _, e := range gossip.Able(live) {
		s.able[e.Start()] = true
	}
	if now < s.owned || s.raft.Role() != raft.Leader || !s.raft.Ready() || s.timed != s.raft.Term() {
		return
	}
	s.owned = now + budget.Beat
	led := now-s.raft.Since() >= budget.Lost
	rows := s.ledger.LotRows()
	if len(s.lots) > len(rows) {
		for id := range s.lots {
			if now-s.lots[id].at >= budget.Lost {
				delete(s.lots, id)
			}
		}
	}
	for _, r := range rows {
		x, heard := s.seen[r.Owner]
		if heard && x.left || led && (!heard || now-x.at > budget.Lost) {
			s.move(now, r, heard && x.left)
		}
	}
}

// disown moves the lots of a dispatcher that is gone at once.
func (s *Store) disown(now flow.Time, id string) {
	for _, r := range s.ledger.LotRows() {
		if r.Owner == id {
			s.move(now, r, true)
		}
	}
}

// given is when this leader took a lot from whom.
type given struct {
	at  flow.Time
	was string
}

// move proposes an owner by rendezvous over those that renewed of late. A lot is
// not moved again for a while, unless the one who got it says that it leaves.
func (s *Store) move(now flow.Time, r ledger.LotRow, left bool) {
	if g, moved := s.lots[r.ID]; moved && now-g.at < budget.Lost && (g.was == r.Owner || !left) {
		return
	}
	next, most := "", uint64(0)
	for _, id := range sorted.Keys(s.seen) {
		x := s.seen[id]
		if id == r.Owner || x.left || now-x.at > budget.Tenure || len(s.able) > 0 && !s.able[id] {
			continue
		}
		// The lots of a pool keep together, so that one place knows its engines.
		if w := prefix.Weight(cmp.Or(r.Pool, r.ID), id); next == "" || w > most {
			next, most = id, w
		}
	}
	if next == "" {
		return
	}
	s.lots[r.ID] = given{now, r.Owner}
	s.propose("lot.own", ledger.OwnLot{Lot: r.ID, Was: r.Owner, Owner: next})
}
