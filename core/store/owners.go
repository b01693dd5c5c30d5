package store

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/raft"
	"fernlink/core/sorted"
)

// owners gives each lot whose owner is lost, left or is being emptied another (design 8.7). A
// leader that is new may not have heard the owner yet, and waits for as long as a
// silent owner is waited for: whoever lives renews several times in it. An earlier start of a node that
// renews is over, whoever heard it.
func (s *Store) owners(now flow.Time) {
	if now < s.owned || s.raft.Role() != raft.Leader || !s.raft.Ready() || s.timed != s.raft.Term() {
		return
	}
	s.owned = now + budget.HeartbeatInterval
	led := now-s.raft.Since() >= budget.OwnerTimeout
	rows := s.ledger.LotRows()
	if len(s.lots) > len(rows) {
		for id := range s.lots {
			if now-s.lots[id].at >= budget.FailureTimeout {
				delete(s.lots, id)
			}
		}
	}
	starts, retired := s.starts(now), s.retired()
	for _, r := range rows {
		x, heard := s.seen[r.Owner]
		if over := starts.after(r.Owner) || heard && x.left || retired[r.Owner]; over || led && (!heard || now-x.at > budget.OwnerTimeout) {
			s.move(now, r, over)
		}
	}
}

// starts has the latest start of each node that renewed of late.
type starts map[string]int64

func (s *Store) starts(now flow.Time) starts {
	out := make(starts, len(s.seen))
	for id, x := range s.seen {
		if node, start, ok := ofNode(id); ok && now-x.at <= budget.LeaseDuration {
			out[node] = max(out[node], start)
		}
	}
	return out
}

// after says that a later start of the same node renews.
func (s starts) after(id string) bool {
	node, start, ok := ofNode(id)
	return ok && s[node] > start
}

// ofNode takes the name of a start apart: its node's identity, and its number.
func ofNode(id string) (node string, start int64, ok bool) {
	node, hex, ok := strings.Cut(id, ".")
	if !ok {
		return "", 0, false
	}
	start, err := strconv.ParseInt(hex, 16, 64)
	return node, start, err == nil
}

// able gives the starts of dispatchers on machines that are large enough to own
// lots, as they were last heard.
func (s *Store) able() map[string]gossip.Entry {
	able := map[string]gossip.Entry{}
	for _, e := range gossip.LotOwners(append(slices.Clip(s.live), s.self)) {
		able[e.Start()] = e
	}
	return able
}

// retired gives the starts of processes on machines that are being emptied.
func (s *Store) retired() map[string]bool {
	retired := map[string]bool{}
	for _, e := range append(slices.Clip(s.live), s.self) {
		if e.Retired {
			retired[e.Start()] = true
		}
	}
	return retired
}

// disown moves the lots of a dispatcher that is gone at once.
func (s *Store) disown(now flow.Time, id string) {
	for _, r := range s.ledger.LotRows() {
		if r.Owner == id {
			s.move(now, r, true)
		}
	}
}

// otherOwners gives the owners of open lots of another pool or model than a lot's.
func (s *Store) otherOwners(of ledger.LotRow) map[string]bool {
	busy := map[string]bool{}
	for _, r := range s.ledger.LotRows() {
		if r.Owner != of.Owner && (r.Pool != of.Pool || r.Model != of.Model) {
			busy[r.Owner] = true
		}
	}
	return busy
}

// heldLots gives how many bytes of requests of open lots each process owns.
func (s *Store) heldLots() map[string]int64 {
	held := map[string]int64{}
	for _, r := range s.ledger.LotRows() {
		held[r.Owner] += r.Bytes
	}
	return held
}

// given is when this leader took a lot from whom.
type given struct {
	at  flow.Time
	was string
}

// move proposes an owner by rendezvous over those that renewed of late. A lot is
// not moved again for a while, unless the one who got it says that it leaves.
func (s *Store) move(now flow.Time, r ledger.LotRow, left bool) {
	if g, moved := s.lots[r.ID]; moved && now-g.at < budget.FailureTimeout && (g.was == r.Owner || !left) {
		return
	}
	next, best := "", gossip.Fitness{}
	starts, able, busy, held := s.starts(now), s.able(), s.otherOwners(r), s.heldLots()
	for _, id := range sorted.Keys(s.seen) {
		x := s.seen[id]
		if id == r.Owner || x.left || now-x.at > budget.LeaseDuration || starts.after(id) || len(able) > 0 && able[id].ID == "" {
			continue
		}
		// The lots of a pool keep together, so that one place knows its engines.
		fitness := gossip.Fitness{Roomy: able[id].HoldsLots(held[id] + r.Bytes), Idle: !busy[id], Free: !able[id].Member, Weight: prefix.Weight(cmp.Or(r.Pool, r.ID), id)}
		if next == "" || fitness.Beats(best) {
			next, best = id, fitness
		}
	}
	if next == "" {
		return
	}
	s.lots[r.ID] = given{now, r.Owner}
	s.propose(ledger.OwnLot{Lot: r.ID, Was: r.Owner, Owner: next})
}
