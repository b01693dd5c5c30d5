// Leases of dispatchers and of the acting coordinator (design 5.2, 9.2).

package store

import (
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/sorted"
)

// leaseHolder is a dispatcher's last renewal and how much of the ledger it had.
type leaseHolder struct {
	at      flow.Time
	have    uint64
	addr    string
	left    bool
	contact contact
}

// contact tells whether somebody who asks hears the answers, too. One who does not
// is answered no more, so that the time of the last answer bounds what it may
// still hold, and its place can be taken (design 5.2).
type contact struct {
	heard uint64
	moved flow.Time // when that grew
}

func (e *contact) lost(now flow.Time, heard uint64, first bool) bool {
	if first || heard != e.heard {
		e.heard, e.moved = heard, now
	}
	return now-e.moved > budget.LeaseDuration
}

// Renew asks for a dispatcher's lease (design 5.2).
type Renew struct {
	ID    string `json:"id"`
	Have  uint64 `json:"have"`
	Left  bool   `json:"left,omitempty"` // it stops: its work falls to others
	Heard uint64 `json:"heard"`          // how many answers it got
}

// Kind names the ask.
func (Renew) Kind() ledger.Kind { return ask.KindRenew }

// CoordRenew asks to keep the coordinator's lease.
type CoordRenew struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Term  uint64 `json:"term"`
	Plan  uint64 `json:"plan"` // the version that it has
	Heard uint64 `json:"heard"`
}

// Kind names the ask.
func (CoordRenew) Kind() ledger.Kind { return ask.KindCoordRenew }

func (s *Store) renewCoord(now flow.Time, w wait, c CoordRenew, out *flow.Outbox) {
	if c.Term == 0 || c.Term != s.ledger.Coord.Term || c.ID != s.ledger.Coord.ID || s.grant == c.Term {
		s.tell(w, ledger.Conflict, s.ledger.Coord, out)
		return
	}
	if s.contact.lost(now, c.Heard, s.contactTerm != c.Term) {
		s.contactTerm = c.Term
		s.refuse(w, answersUnheard, out)
		return
	}
	s.contactTerm = c.Term
	s.coord = now // counted from its coming in, before any proof: the safe side
	s.read(w, out)
}

// TakeCoord asks for the coordinator's lease (design 9.2).
type TakeCoord CoordRenew

// Kind names the ask.
func (TakeCoord) Kind() ledger.Kind { return ask.KindCoordTake }

// takeCoord grants the lease once the holder was silent for long enough on
// this leader's own clock (design 9.2).
func (s *Store) takeCoord(now flow.Time, w wait, c TakeCoord, out *flow.Outbox) {
	have := s.ledger.Coord
	quiet := now-max(s.coord, s.raft.Since()) >= budget.LeaseTakeoverTimeout || s.freed == have.Term
	if have.Term != 0 && !quiet || s.grant == have.Term && have.Term != 0 {
		s.tell(w, ledger.Conflict, have, out)
		return
	}
	s.grant = have.Term
	s.coord = now
	s.write(w, ledger.NewCommand(s.time(), ledger.GrantCoord{Term: have.Term, ID: c.ID, Addr: c.Addr}), out)
}

// LeaveCoord gives the coordinator's lease up (design 5.5).
type LeaveCoord CoordRenew

// Kind names the ask.
func (LeaveCoord) Kind() ledger.Kind { return ask.KindCoordLeave }

// leaveCoord frees the lease of a coordinator that stops. It orders nothing any
// more, and nothing of it is under way, so its successor need not wait.
func (s *Store) leaveCoord(_ flow.Time, w wait, c LeaveCoord, out *flow.Outbox) {
	if c.Term == s.ledger.Coord.Term && c.ID == s.ledger.Coord.ID {
		s.freed = c.Term
	}
	s.tell(w, ledger.Accepted, struct{}{}, out)
}

// Gone says that the dispatcher of this id has stopped (design 5.5).
type Gone string

// Kind names the ask.
func (Gone) Kind() ledger.Kind { return ask.KindGone }

// goneDisp forgets a dispatcher that stopped: it has cut all that it sent.
func (s *Store) goneDisp(now flow.Time, w wait, gone Gone, out *flow.Outbox) {
	id := string(gone)
	delete(s.seen, id)
	s.heardMore = true
	s.disown(now, id)
	s.tell(w, ledger.Accepted, struct{}{}, out)
}

func (s *Store) renewed(now flow.Time, w wait) ledger.Result {
	r := bodyOf[Renew](w)
	was, known := s.seen[r.ID]
	if was.contact.lost(now, r.Heard, !known) {
		s.counts["unheard_answers"]++
		return answersUnheard.Result()
	}
	s.seen[r.ID] = leaseHolder{now, max(was.have, r.Have), w.addr, was.left || r.Left, was.contact}
	if r.Have > was.have {
		s.heardMore = true // an order may be known to all by now
	}
	return ledger.Result{Code: ledger.Accepted, Body: s.since(now, r.Have)}
}

// nudges are the commands that others should hear of soon. They renew at once
// then; what is promised rests on the renewals alone (design 5.2).
var nudges = map[ledger.Kind]bool{
	ledger.KindPlanPut: true, ledger.KindPlanPatch: true, ledger.KindStepOpen: true, ledger.KindStepEnd: true, ledger.KindOrderPut: true, ledger.KindOrderState: true,
	ledger.KindTargetPut: true, ledger.KindDrainPut: true, ledger.KindLotPut: true, ledger.KindLotEnd: true, ledger.KindLotOwn: true,
}

func (s *Store) nudge(now flow.Time, out *flow.Outbox) {
	if s.raft.Role() != raft.Leader {
		s.news, s.heardMore = false, false
		return
	}
	if s.news {
		var to []string
		for _, id := range sorted.Keys(s.seen) {
			if x := s.seen[id]; now-x.at <= budget.LeaseDuration {
				to = append(to, x.addr)
			}
		}
		out.LineToAll(to, "nudge", struct{}{})
	}
	if s.ledger.Coord.Addr != "" && (s.news || s.heardMore && s.ledger.Ordered()) {
		out.Line(s.ledger.Coord.Addr, "nudge", struct{}{})
	}
	s.news, s.heardMore = false, false
}

// known is how far every dispatcher that may hold a lease has read. A leader
// that is new may not have heard them all yet.
func (s *Store) known(now flow.Time) uint64 {
	if now-s.raft.Since() <= 2*budget.LeaseDuration {
		return 0
	}
	least := s.ledger.Index
	for _, x := range s.seen {
		if now-x.at <= 2*budget.LeaseDuration {
			least = min(least, x.have)
		}
	}
	return least
}

func (s *Store) renewedCoord(now flow.Time, c CoordRenew) ledger.Result {
	if c.Term != s.ledger.Coord.Term || c.ID != s.ledger.Coord.ID {
		return ledger.Result{Code: ledger.Conflict, Body: body(s.ledger.Coord)}
	}
	d := s.ledger.Since(0)
	d.Wall, d.Known = s.time(), s.known(now)
	for i := range d.Steps {
		d.Steps[i].Groups = nil // policies need no prompts
	}
	d.Listed, d.Lots = nil, nil
	if d.Plan != nil && d.Plan.Version == c.Plan {
		d.Plan = nil
	}
	return ledger.Result{Code: ledger.Accepted, Body: body(d)}
}
