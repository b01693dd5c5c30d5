package serve

import (
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// Given a node that starts and hears of many lots at once, those that are over owned by
// processes that are gone, when it takes a lot, then it goes to who owns the open ones.
func TestTheOwnerOfOpenLotsOutweighsThoseOfOldOnes(t *testing.T) {
	w := two(t)
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		w.others = append(w.others, gossip.Entry{ID: id, Addr: id, Roles: []string{"worker"}, Cpu: 1000})
	}
	w.turn(10 * time.Millisecond)
	for _, owner := range []string{"w1.0", "w2.0", "w3.0", "w4.0"} {
		var out flow.Outbox
		w.s.Bind(w.now, &out)
		w.s.Heard(w.now, ledger.Delta{Lots: []ledger.LotRow{
			{ID: "a", Owner: "gone.1", Pool: "llm", Model: "m", Ended: true},
			{ID: "b of " + owner, Owner: owner, Pool: "llm", Model: "m"},
			{ID: "c", Owner: "gone.2", Pool: "llm", Model: "m", Ended: true},
		}}, w.version, nil)
		w.take(&out)
		w.lines = nil
		w.handIn("lot for "+owner, "m", 1, 1, 1)
		var to string
		for _, l := range w.lines {
			if l.Kind == "lot.hand" {
				to = l.To + ".0"
			}
		}
		w.want(to == owner, "handed to %q, and %s owns what is open", to, owner)
		w.s.Heard(w.now, ledger.Delta{Lots: []ledger.LotRow{{ID: "b of " + owner, Owner: owner, Pool: "llm", Model: "m", Ended: true}}}, w.version, nil)
	}
}

// Lots of a pool with more slots than one machine can serve are shared out by
// model, and no process runs two models while another has none.
func TestEachModelOfALargePoolHasAnOwnerOfItsOwn(t *testing.T) {
	w := two(t)
	w.cpu = 10
	for _, id := range []string{"w1", "w2", "w3"} {
		w.others = append(w.others, gossip.Entry{ID: id, Addr: id, Roles: []string{"worker"}, Cpu: 10})
	}
	w.turn(10 * time.Millisecond)
	owners := map[string]bool{}
	for _, model := range []string{"m", "n", "o"} {
		w.lines = nil
		_, r := w.handIn("lot of "+model, model, 1, 1, 1)
		w.want(r.Code == 202, "accepted: %+v", r)
		for _, l := range w.lines {
			if l.Kind == "lot.hand" {
				owners[l.To] = true
			}
		}
		w.renew(nil)
	}
	w.want(len(owners) == 3, "an owner each: %v", owners)
}
