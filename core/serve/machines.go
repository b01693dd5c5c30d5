package serve

import (
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/httpstatus"
	"fernlink/core/ledger"
	"fernlink/core/serve/env"
	"fernlink/core/store"
)

// States of a machine that an operator wants emptied (design 12.8).
const (
	machineEmptying = "emptying"
	machineEmptied  = "emptied"
)

// machineState is what an operator is told of such a machine.
type machineState struct {
	State string `json:"state"`
}

// RetireLine is the kind of the line that tells a machine to take no more lots.
const RetireLine = "machine.retire"

// storeBackIn is when an operator may ask again where the store did not answer.
const storeBackIn = time.Second

// storeAnswerLimit is how long each of the two questions of a call waits for the
// store, so that the operator is answered before it goes elsewhere (design 5.2).
const storeAnswerLimit = budget.OperatorReplyTimeout / 2

// underLease answers a call only where the view is under a lease, when the call
// comes and when the store's answer does; else 503 (design 5.2).
func (s *Serve) underLease(c flow.Call) bool {
	if !s.p.Fresh() {
		s.env.Refuse(c.ID, env.StoreUnheard, budget.RenewInterval)
		return false
	}
	return true
}

// emptyMachine takes an operator's wish that a reserve machine be emptied. What the
// machine holds for others is moved first; the store refuses where too few would
// remain.
func (s *Serve) emptyMachine(c flow.Call) {
	s.reserve(c, func(machine gossip.Entry) {
		s.holding(c, machine, func(held ledger.Holding) {
			if !held.Member {
				s.retire(machine)
				s.tellState(c, machine, held)
				return
			}
			s.env.Ask(storeAnswerLimit, store.RemoveMember(machine.ID), func(a ask.Answer) {
				if a.Code == ledger.Accepted {
					s.retire(machine)
				}
				s.removed(c, a)
			})
		})
	})
}

// Bounds of telling a machine that it is retired, by the node that an operator
// asked, until its gossip entry says so.
const (
	retireEvery = budget.ListInterval
	retireLimit = 2 * budget.Heal
)

// retirement is a machine that is to say that it takes no more lots.
type retirement struct {
	next, limit flow.Time
}

// retire has a machine that runs lots take no more.
func (s *Serve) retire(machine gossip.Entry) {
	if machine.RunsLots() && !machine.Retired {
		s.retiring[machine.ID] = retirement{next: s.env.Now, limit: s.env.Now + retireLimit}
		s.tellRetired()
	}
}

// tellRetired tells the machines whose entries do not say yet that they are retired.
func (s *Serve) tellRetired() {
	for _, machine := range s.live {
		r, open := s.retiring[machine.ID]
		switch {
		case !open:
		case machine.Retired:
			delete(s.retiring, machine.ID)
		case s.env.Now >= r.next:
			s.env.Out.Line(machine.Addr, RetireLine, struct{}{})
			s.retiring[machine.ID] = retirement{next: s.env.Now + retireEvery, limit: r.limit}
		}
	}
	for id, r := range s.retiring {
		if s.env.Now >= r.limit {
			delete(s.retiring, id)
		}
	}
}

// machineState answers how far that is.
func (s *Serve) machineState(c flow.Call) {
	s.reserve(c, func(machine gossip.Entry) {
		s.holding(c, machine, func(held ledger.Holding) { s.tellState(c, machine, held) })
	})
}

// reserve finds the reserve machine that a call names.
func (s *Serve) reserve(c flow.Call, then func(gossip.Entry)) {
	if !s.underLease(c) {
		return
	}
	for _, machine := range s.live {
		if machine.Name == c.Vars["id"] && machine.Has("reserve") {
			then(machine)
			return
		}
	}
	if s.env.Now-s.started < acquaintance {
		s.env.Refuse(c.ID, env.MayBeBehind, budget.RenewInterval)
		return
	}
	s.env.Answer(c.ID, env.NoSuchMachine)
}

// acquaintance is how long after its start a process may not have heard of all machines yet.
const acquaintance = budget.FailureTimeout

// holding asks the store what a machine holds. A process without a role that keeps
// anything for others holds nothing, and nobody has to be asked.
func (s *Serve) holding(c flow.Call, machine gossip.Entry, then func(ledger.Holding)) {
	if !machine.Has("store") && !machine.RunsLots() {
		then(ledger.Holding{})
		return
	}
	s.env.Ask(storeAnswerLimit, store.GetHolding(machine.ID), func(a ask.Answer) {
		if !s.underLease(c) {
			return
		}
		var held ledger.Holding
		if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &held) != nil {
			s.env.Refuse(c.ID, env.MachineUnknown, storeBackIn)
			return
		}
		then(held)
	})
}

// removed passes the store's answer on: emptying has begun, or why it is refused.
func (s *Serve) removed(c flow.Call, a ask.Answer) {
	if !s.underLease(c) {
		return
	}
	switch a.Code {
	case ledger.Unanswered:
		s.env.Refuse(c.ID, env.StoreSilentSame, storeBackIn)
	case ledger.Accepted:
		s.env.Out.Answer(c.ID, env.StatusDone, machineState{machineEmptying}, nil)
	default:
		s.env.Out.Answer(c.ID, httpstatus.Of(a.Code), a.Body, nil)
	}
}

// tellState answers with a machine's state. One that still takes lots is not empty,
// whatever it holds just now.
func (s *Serve) tellState(c flow.Call, machine gossip.Entry, held ledger.Holding) {
	state := machineEmptying
	if held.Empty() && (machine.Retired || !machine.RunsLots()) {
		state = machineEmptied
	}
	s.env.Out.Answer(c.ID, env.StatusDone, machineState{state}, nil)
}
