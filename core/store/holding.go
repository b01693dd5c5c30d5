package store

import (
	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// GetHolding asks what the machine of this identity holds (design 12.8).
type GetHolding string

// Kind names the ask.
func (GetHolding) Kind() ledger.Kind { return ask.KindHolding }

// holding answers what the machine of an identity holds, after a proved read.
func (s *Store) holding(_ flow.Time, machine GetHolding) ledger.Result {
	id := string(machine)
	if id == "" {
		return machineWithoutID.Result()
	}
	held := ledger.Holding{Member: s.raft.Conf().Find(id) >= 0}
	for _, lot := range s.ledger.LotRows() {
		if owner, _, ok := ofNode(lot.Owner); ok && owner == id {
			held.Lots++
		}
	}
	return ledger.Result{Code: ledger.Accepted, Body: body(held)}
}
