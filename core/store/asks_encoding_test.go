package store

import (
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Given every ask that nodes put, when it is sent, then its line has the bytes that
// stores of earlier builds read (those of commit b3c6411).
func TestAsksAreEncodedAsByEarlierBuilds(t *testing.T) {
	lease := CoordRenew{ID: "c", Addr: "c:1", Term: 2, Plan: 3, Heard: 4}
	order := ledger.Order{Engine: "e", Inc: "1", Pool: "p", Revision: 2, Term: 1, State: "done", Mod: 5}
	claim := ledger.Claim{Key: "k", Hash: "h", Owner: "o", State: "done", Code: 201, Type: "t", Body: []byte("b")}
	step := ledger.StepDoc{ID: "s", Trainer: "t", Pool: "p", Revision: 1, Groups: []ledger.Group{{ID: "g", Prompt: "p", Samples: 1, Tokens: 2}}}
	const orderText = `{"engine":"e","inc":"1","pool":"p","revision":2,"term":1,"state":"done","mod":5}`
	const claimText = `{"key":"k","hash":"h","owner":"o","state":"done","code":201,"type":"t","body":"Yg==","at":0}`
	const leaseText = `{"id":"c","addr":"c:1","term":2,"plan":3,"heard":4}`
	const stepText = `{"id":"s","trainer":"t","pool":"p","revision":1,"allowed_lag":0,"one_version":false,"judge":"","deadline_ms":0,"groups":[{"id":"g","prompt":"p","samples":1,"max_tokens":2}]}`
	// Lots are packed since b372248.
	const lotText = `{"id":"l","host":"","path":"","route":"","owner":"d","step":0,"tries":0,"wait_ms":0,"due_ms":0,"keep_ms":0}`
	const lotHash = "ba2532ec2b158823e8b8b329ddac1237"
	for _, c := range []struct {
		question ledger.Body
		line     string
		kind     string
		body     string
	}{
		{Renew{ID: "d", Have: 7, Heard: 1}, "lease", "renew", `{"id":"d","have":7,"heard":1}`},
		{lease, "lease", "coord.renew", leaseText},
		{TakeCoord(lease), "lease", "coord.take", leaseText},
		{LeaveCoord(lease), "ask", "coord.leave", leaseText},
		{Gone("d"), "ask", "gone", `"d"`},
		{ListMembers{}, "ask", "store.list", `null`},
		{AddMember{ID: "m", Addr: "m:1", Zone: "a"}, "ask", "store.add", `{"id":"m","addr":"m:1","area":"a","voter":false}`},
		{PromoteMember("m"), "ask", "store.promote", `"m"`},
		{RemoveMember("m"), "ask", "store.remove", `"m"`},
		{StopNotice{Member: "m"}, "ask", "store.stop", `{"member":"m"}`},
		{GetHolding("m"), "ask", "store.holding", `"m"`},
		{ledger.PutPlan{Version: 2, Read: 1, Doc: json.RawMessage(`{}`)}, "ask", "plan.put", `{"version":2,"read":1,"request":"","doc":{}}`},
		{ledger.OpenStep(step), "ask", "step.open", stepText},
		{ledger.IsKnown(ledger.OpenStep(step)), "ask", "order.known", `{"kind":"step.open","body":` + stepText + `}`},
		{ledger.EndStep("s"), "ask", "step.end", `"s"`},
		{ledger.TakeClaim(claim), "ask", "claim.take", claimText},
		{ledger.DoneClaim(claim), "ask", "claim.done", claimText},
		{ledger.PutOrder(order), "ask", "order.put", orderText},
		{ledger.StateOrder(order), "ask", "order.state", orderText},
		{ledger.PutTarget{Pool: "p", Revision: 3}, "ask", "target.put", `{"pool":"p","revision":3}`},
		{ledger.PutDrain{Engine: "e", On: true}, "ask", "drain.put", `{"engine":"e","drained":true}`},
		{ledger.PackLot(ledger.LotDoc{ID: "l", Owner: "d", Items: []ledger.LotItem{{ID: "i", Path: "/p"}}}), "ask", "lot.put", `{"packed":{"doc":` + lotText + `,"ids":["i"],"hash":"` + lotHash + `","parts":[0],"requests":[[{"id":"i","p":"/p"}]]}}`},
		{ledger.ListLot{Lot: "l", Results: []ledger.LotResult{{Item: "i", State: "complete", Text: "t", Versions: []int{1}}}}, "ask", "lot.list", `{"lot":"l","results":[{"i":"i","s":"complete","t":"t","v":[1]}]}`},
		{ledger.EndLot("l"), "ask", "lot.end", `"l"`},
		{ledger.GetPlan(0), "ask", "plan.get", `0`},
		{ledger.ListPlans{}, "ask", "plan.list", `null`},
		{ledger.GetStep("s"), "ask", "step.get", `"s"`},
		{ledger.ListSteps{}, "ask", "step.list", `null`},
		{ledger.Page{Step: "s", After: 1, Limit: 2}, "ask", "result.page", `{"step":"s","after":1,"limit":2}`},
		{ledger.GetRoll{}, "ask", "roll.get", `null`},
		{ledger.ReadLot{Lot: "l", From: 1, Bytes: 2}, "ask", "lot.read", `{"lot":"l","from":1,"bytes":2}`},
		{ledger.GetLotItems("l"), "ask", "lot.items", `"l"`},
		{ledger.FindItem{Lot: "l", Item: "i"}, "ask", "lot.item", `{"lot":"l","item":"i"}`},
	} {
		var out flow.Outbox
		asker := ask.New(0)
		asker.Ask(0, budget.AskTimeout, c.question, func(flow.Time, ask.Answer) {})
		asker.Advance(0, []string{"s:1"}, &out)
		want := `{"id":1,"kind":"` + c.kind + `","body":` + c.body + `}`
		if got := out.Lines[0]; got.Kind != c.line || string(got.Body) != want {
			t.Errorf("%s %s\nwas\n%s %s", got.Kind, got.Body, c.line, want)
		}
	}
}
