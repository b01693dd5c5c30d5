package serve

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// machineCall says what an operator hears of a machine.
func (w *world) machineCall(name, id string) flow.Reply {
	call := w.call(name, flow.Call{Vars: map[string]string{"id": id}})
	w.turn(0)
	w.pass(budgetOfAnAsk)
	return w.reply(call)
}

// budgetOfAnAsk is longer than any ask is tried.
const budgetOfAnAsk = 4 * flow.Time(1e9)

// Given a reserve machine that holds part of the store or owns lots, when an
// operator wants it emptied, then it is moved first, refused where too few would
// remain, and emptied only once the store says that it holds nothing (design 12.8).
func TestMachineIsEmptiedOnlyWhenItHoldsNothing(t *testing.T) {
	result := func(code ledger.Outcome, body any) ledger.Result {
		raw, _ := json.Marshal(body)
		return ledger.Result{Code: code, Body: raw}
	}
	member, lots, nothing := ledger.Holding{Member: true}, ledger.Holding{Lots: 2}, ledger.Holding{}
	for _, c := range []struct {
		call, id      string
		held, removed ledger.Result
		silent        bool
		code          int
		says          string
	}{
		{"machine.empty", "nobody", result(200, nothing), result(200, nil), false, 404, "no such machine"},
		{"machine.empty", "plain", result(500, nil), result(500, nil), true, 200, `"emptied"`},
		{"machine.state", "plain", result(500, nil), result(500, nil), true, 200, `"emptied"`},
		{"machine.empty", "data", result(200, nothing), result(500, nil), false, 200, `"emptied"`},
		{"machine.empty", "data", result(200, lots), result(500, nil), false, 200, `"emptying"`},
		{"machine.empty", "data", result(200, member), result(200, nil), false, 200, `"emptying"`},
		{"machine.empty", "data", result(200, member), result(409, map[string]string{"error": "too few"}), false, 409, "too few"},
		{"machine.state", "data", result(200, member), result(500, nil), false, 200, `"emptying"`},
		{"machine.state", "data", result(200, lots), result(500, nil), false, 200, `"emptying"`},
		{"machine.state", "data", result(200, nothing), result(500, nil), false, 200, `"emptied"`},
		{"machine.empty", "takes lots", result(200, nothing), result(500, nil), false, 200, `"emptying"`},
		{"machine.state", "takes lots", result(200, nothing), result(500, nil), false, 200, `"emptying"`},
		{"machine.state", "took lots", result(200, lots), result(500, nil), false, 200, `"emptying"`},
		{"machine.state", "took lots", result(200, nothing), result(500, nil), false, 200, `"emptied"`},
		{"machine.state", "took lots", result(200, nothing), result(500, nil), true, 503, "did not say"},
		{"machine.empty", "data", result(200, nothing), result(200, nil), true, 503, "did not say"},
		{"machine.state", "data", result(409, nil), result(200, nil), false, 503, "did not say"},
	} {
		w := newWorld(t)
		w.others = []gossip.Entry{
			{ID: "p", Addr: "p", Name: "plain", Roles: []string{"reserve"}},
			{ID: "d", Addr: "d", Name: "data", Roles: []string{"reserve", "store", "dispatcher"}, Retired: true},
			{ID: "w", Addr: "w", Name: "takes lots", Roles: []string{"reserve", "worker"}},
			{ID: "r", Addr: "r", Name: "took lots", Roles: []string{"reserve", "worker"}, Retired: true},
		}
		w.told = map[ledger.Kind]ledger.Result{"store.holding": c.held, "store.remove": c.removed}
		w.pass(acquaintance)
		w.silent = c.silent
		r := w.machineCall(c.call, c.id)
		w.want(r.Code == c.code && strings.Contains(string(r.Body), c.says), "%s %s, holding %s: %d %s", c.call, c.id, c.held.Body, r.Code, r.Body)
	}
}

// Given a process that has just started and may not have heard of all machines, when an operator
// names one that it does not know, then it says when to come back, and only later that there is
// none.
func TestAMachineIsNotUnknownRightAfterAStart(t *testing.T) {
	w := newWorld(t)
	early := w.machineCall("machine.empty", "new")
	w.want(early.Code == 503 && early.Head["Retry-After"] != "", "right after its start: %d %s", early.Code, early.Body)
	w.pass(acquaintance)
	late := w.machineCall("machine.empty", "new")
	w.want(late.Code == 404, "later: %d %s", late.Code, late.Body)
}
