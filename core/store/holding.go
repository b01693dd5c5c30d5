package store

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// holding answers what the machine of an identity holds, after a proved read.
func (s *Store) holding(_ flow.Time, w wait) ledger.Result {
	id := ""
	if json.Unmarshal(w.ask.Body, &id) != nil || id == "" {
		return ledger.Result{Code: 400, Body: body(map[string]string{"error": "a machine needs an id"})}
	}
	held := ledger.Holding{Member: s.raft.Conf().Find(id) >= 0}
	for _, lot := range s.ledger.LotRows() {
		if owner, _, ok := ofNode(lot.Owner); ok && owner == id {
			held.Lots++
		}
	}
	return ledger.Result{Code: 200, Body: body(held)}
}
