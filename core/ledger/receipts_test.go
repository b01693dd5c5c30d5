package ledger

import (
	"fmt"
	"os"
	"testing"

	"github.com/go-json-experiment/json/v1"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
)

// namedPlan is a put of a plan that carries its own version, as the platform's do.
func namedPlan(version, read uint64) PutPlan {
	return PutPlan{Version: version, Read: read, Request: fmt.Sprint("v", version), Doc: json.RawMessage(fmt.Sprintf(`{"routes":[],"n":%d}`, version))}
}

// Given plans that were taken, when hundreds of versions came after them and they
// are put again, then each is acknowledged again under its own version, whoever
// names it, and nothing moves.
func TestPlanIsKnownAgain(t *testing.T) {
	l := New()
	const versions = 300
	for v := uint64(1); v <= versions; v++ {
		if r := do(l, "plan.put", namedPlan(3*v, 3*(v-1))); r.Code != 200 {
			t.Fatalf("version %d: %d %s", 3*v, r.Code, r.Body)
		}
	}
	before := l.Plan()
	for v := uint64(1); v <= versions; v++ {
		var p Plan
		r := do(l, "plan.put", namedPlan(3*v, 3*(v-1)))
		if r.Code != 200 || json.Unmarshal(r.Body, &p) != nil || p.Version != 3*v {
			t.Fatalf("version %d put again: %d %s", 3*v, r.Code, r.Body)
		}
	}
	if now := l.Plan(); now.Version != before.Version || now.Mod != before.Mod {
		t.Errorf("a repeat moved the plan from %+v to %+v", before, now)
	}
}

// Given weights that were named, when newer ones were named and the older are
// named again, then they are acknowledged again and the target stays.
func TestNamedWeightsAreKnownAgain(t *testing.T) {
	l := New()
	for v := 2; v <= 300; v++ {
		if r := do(l, "target.put", Target{Pool: "m", Revision: v}); r.Code != 200 {
			t.Fatalf("version %d: %d %s", v, r.Code, r.Body)
		}
	}
	before := *l.Targets["m"]
	for v := 2; v <= 300; v++ {
		if r := do(l, "target.put", Target{Pool: "m", Revision: v}); r.Code != 200 {
			t.Fatalf("version %d named again: %d %s", v, r.Code, r.Body)
		}
	}
	if now := *l.Targets["m"]; now != before {
		t.Errorf("a repeat moved the target from %+v to %+v", before, now)
	}
}

// Given a roll-out that was paused and goes on, when the pause comes once more,
// late, then the roll-out goes on.
func TestLatePauseChangesNothing(t *testing.T) {
	l := New()
	pause := map[string]any{"pool": "m", "revision": 5, "paused": true, "request": "stop-1"}
	goOn := map[string]any{"pool": "m", "revision": 5, "paused": false, "request": "go-1"}
	do(l, "target.put", map[string]any{"pool": "m", "revision": 5})
	do(l, "target.put", pause)
	if !l.Targets["m"].Paused {
		t.Fatal("not paused")
	}
	do(l, "target.put", goOn)
	before := *l.Targets["m"]
	if r := do(l, "target.put", pause); r.Code != 200 {
		t.Errorf("the pause once more: %d %s", r.Code, r.Body)
	}
	if now := *l.Targets["m"]; now != before || now.Paused {
		t.Errorf("a late pause moved the target from %+v to %+v", before, now)
	}
}

// Given an engine that was drained and is back, when the drain comes once more,
// late, then the engine stays.
func TestLateDrainChangesNothing(t *testing.T) {
	l := New()
	drain := map[string]any{"engine": "e", "drained": true, "request": "drain-1"}
	do(l, "drain.put", drain)
	do(l, "drain.put", map[string]any{"engine": "e", "drained": false, "request": "back-1"})
	before := *l.Drains["e"]
	if r := do(l, "drain.put", drain); r.Code != 200 {
		t.Errorf("the drain once more: %d %s", r.Code, r.Body)
	}
	if now := *l.Drains["e"]; now != before {
		t.Errorf("a late drain moved the engine from %+v to %+v", before, now)
	}
}

// Given a lot whose time is over, when its hand-in and its end come once more,
// then both are acknowledged again and nothing is run a second time.
func TestLateLotIsNotTakenAnew(t *testing.T) {
	l := New()
	lot := LotDoc{ID: "a", Owner: "n/1", KeepMS: 1000, Items: []LotItem{{ID: "i", Path: "/p", Body: []byte("x")}}}
	at := func(ms int64, kind Kind, body any) Result { return applyAt(l, ms, kind, body) }
	at(1000, "lot.put", lot)
	at(1000, "lot.end", "a")
	at(5000, "lot.put", LotDoc{ID: "b", Owner: "n/1", KeepMS: 1000, Items: lot.Items})
	if l.Lots["a"] != nil {
		t.Fatal("the lot is still kept")
	}
	r := at(5001, "lot.put", lot)
	var put LotPut
	if r.Code != 200 || json.Unmarshal(r.Body, &put) != nil || put.Fresh || put.Total != 1 || l.Lots["a"] != nil {
		t.Errorf("the hand-in once more: %d %s, kept anew: %v", r.Code, r.Body, l.Lots["a"] != nil)
	}
	if r := at(5002, "lot.end", "a"); r.Code != 200 {
		t.Errorf("the end once more: %d %s", r.Code, r.Body)
	}
	lot.Items = []LotItem{{ID: "i", Path: "/p", Body: []byte("other")}}
	if r := at(5003, "lot.put", lot); r.Code != 409 {
		t.Errorf("other content under a known id: %d %s", r.Code, r.Body)
	}
	if r := at(5004, "lot.end", "never"); r.Code != 404 {
		t.Errorf("the end of a lot that never was: %d %s", r.Code, r.Body)
	}
}

// applyAt gives one command at a moment of the ledger's time.
func applyAt(l *Ledger, at int64, kind Kind, body any) Result {
	c, _ := json.Marshal(Command{Kind: kind, At: at, Body: raw(body)})
	return l.Apply(l.Index+1, c)
}

// Given a put that lost its number to another, when the number and hundreds more
// have passed, then the loser is still refused, counted, and leaves no trace.
func TestLostRaceIsNeverConfirmed(t *testing.T) {
	l := New()
	do(l, "plan.put", namedPlan(1, 0))
	winner, loser := namedPlan(4, 1), namedPlan(4, 1)
	loser.Doc = json.RawMessage(`{"routes":["other"]}`)
	do(l, "plan.put", winner)
	for v := uint64(4); v < 400; v++ {
		if r := do(l, "plan.put", loser); r.Code != 409 {
			t.Fatalf("the loser at version %d: %d %s", v, r.Code, r.Body)
		}
		if r := do(l, "plan.put", winner); r.Code != 200 {
			t.Fatalf("the winner at version %d: %d %s", v, r.Code, r.Body)
		}
		do(l, "plan.put", namedPlan(v+1, v))
	}
	if l.OrderCounts.Changed < 396 || l.Plan().Version != 400 {
		t.Errorf("%+v, version %d", l.OrderCounts, l.Plan().Version)
	}
}

// Given weights whose versions jumped, when one that was skipped comes, then it is
// refused: nobody named it.
func TestSkippedWeightsAreRefused(t *testing.T) {
	l := New()
	do(l, "target.put", PutTarget{Pool: "m", Revision: 2})
	do(l, "target.put", PutTarget{Pool: "m", Revision: 4})
	if r := do(l, "target.put", PutTarget{Pool: "m", Revision: 3}); r.Code != 409 {
		t.Errorf("a version that was never named: %d", r.Code)
	}
	if r := do(l, "target.put", PutTarget{Pool: "other", Revision: 2}); r.Code != 200 {
		t.Errorf("another pool's: %d", r.Code)
	}
	if l.Targets["m"].Revision != 4 {
		t.Errorf("the target went to %d", l.Targets["m"].Revision)
	}
}

// Given request ids that were used, when they come with another order, then that
// is refused, counted, and leaves no trace.
func TestRequestStandsForOneOrder(t *testing.T) {
	l := New()
	pause := true
	do(l, "target.put", PutTarget{Pool: "m", Revision: 5, Request: "one"})
	do(l, "drain.put", PutDrain{Engine: "e", On: true, Request: "two"})
	do(l, "plan.put", PutPlan{Request: "three", Doc: json.RawMessage(`{}`)})
	before := string(l.Snapshot())
	for _, order := range []struct {
		kind Kind
		body any
	}{
		{"target.put", PutTarget{Pool: "m", Revision: 6, Request: "one"}},
		{"target.put", PutTarget{Pool: "m", Revision: 5, Paused: &pause, Request: "one"}},
		{"target.put", PutTarget{Pool: "m", Revision: 6, Request: "two"}},
		{"drain.put", PutDrain{Engine: "e", Request: "two"}},
		{"drain.put", PutDrain{Engine: "f", On: true, Request: "two"}},
		{"drain.put", PutDrain{Engine: "e", On: true, Request: "one"}},
		{"plan.put", PutPlan{Read: 1, Request: "three", Doc: json.RawMessage(`{"n":1}`)}},
	} {
		index, counted := l.Index, l.OrderCounts.Changed
		if r := do(l, order.kind, order.body); r.Code != 422 || l.OrderCounts.Changed != counted+1 {
			t.Errorf("%s %s: %d, counted %d times", order.kind, raw(order.body), r.Code, l.OrderCounts.Changed-counted)
		}
		l.Index = index
	}
	if after := string(l.Snapshot()); after != before {
		t.Errorf("a refused order left a trace:\n%s\n%s", before, after)
	}
}

// Given receipts that fill their bound, when one more order comes, then it is
// refused with the reason and no receipt goes early; once the oldest are past
// their time it is taken.
func TestReceiptsAreBounded(t *testing.T) {
	l := New()
	l.Bounds.Keys = 2 * keys.PageRows
	for v := 2; v < 2+l.Bounds.Keys; v++ {
		if r := applyAt(l, 1000, "target.put", PutTarget{Pool: "m", Revision: v}); r.Code != 200 {
			t.Fatalf("version %d: %d", v, r.Code)
		}
	}
	next := 2 + l.Bounds.Keys
	for kind, body := range map[Kind]any{
		"target.put": PutTarget{Pool: "m", Revision: next}, "plan.put": namedPlan(1, 0), "drain.put": PutDrain{Engine: "e", On: true, Request: "r"},
		"lot.put": LotDoc{ID: "a", Owner: "n/1", Items: []LotItem{{ID: "i", Path: "/p"}}},
	} {
		if r := applyAt(l, 1000+l.Bounds.KeyAge, kind, body); r.Code != 503 {
			t.Errorf("%s beyond the bound: %d %s", kind, r.Code, r.Body)
		}
	}
	if r := applyAt(l, 1000+l.Bounds.KeyAge, "target.put", PutTarget{Pool: "m", Revision: 2}); r.Code != 200 {
		t.Errorf("the oldest is known to its last second: %d", r.Code)
	}
	if r := applyAt(l, 3000+l.Bounds.KeyAge, "target.put", PutTarget{Pool: "m", Revision: next}); r.Code != 200 || l.Receipts.Len() > l.Bounds.Keys {
		t.Errorf("past their time: %d, %d receipts", r.Code, l.Receipts.Len())
	}
}

// Given a ledger full of orders, when it is loaded from its snapshot again and
// again, then every order is known and the state is the same to the byte.
func TestReceiptsInSnapshots(t *testing.T) {
	l, blobs := New(), map[flow.Ref][]byte{}
	const orders = 1500 // more than a page
	for v := 1; v <= orders; v++ {
		do(l, "plan.put", namedPlan(uint64(v), uint64(v-1)))
		do(l, "target.put", PutTarget{Pool: "m", Revision: v + 1})
		do(l, "drain.put", PutDrain{Engine: "e", On: v%2 == 0, Request: fmt.Sprint("d", v)})
		if v%500 == 0 {
			var err error
			if l, err = again(l, blobs); err != nil {
				t.Fatal(err)
			}
		}
	}
	state := l.Snapshot()
	stow(l, blobs)
	needs, err := Needs(state)
	if err != nil {
		t.Fatal(err)
	}
	items, pages := map[flow.Ref][]byte{}, 0
	for _, ref := range needs {
		items[ref] = blobs[ref]
		if ref.Kind == ReceiptItem {
			pages++
		}
	}
	if l, err = Load(state, items); err != nil || pages == 0 {
		t.Fatalf("loaded with what it needs, %d pages: %v", pages, err)
	}
	if second := l.Snapshot(); string(second) != string(state) {
		t.Error("a snapshot of what was loaded is another one")
	}
	for v := 1; v <= orders; v++ {
		for kind, body := range map[Kind]any{"plan.put": namedPlan(uint64(v), uint64(v-1)), "target.put": PutTarget{Pool: "m", Revision: v + 1},
			"drain.put": PutDrain{Engine: "e", On: v%2 == 0, Request: fmt.Sprint("d", v)}} {
			if r := do(l, kind, body); r.Code != 200 {
				t.Fatalf("%s %d: %d %s", kind, v, r.Code, r.Body)
			}
		}
	}
	if l.Plan().Version != orders || l.Targets["m"].Revision != orders+1 || !l.Drains["e"].On || l.Receipts.Len() != 3*orders {
		t.Errorf("repeats moved something: version %d, %+v, %+v, %d receipts", l.Plan().Version, *l.Targets["m"], *l.Drains["e"], l.Receipts.Len())
	}
	delete(items, flow.Ref{Kind: ReceiptItem, ID: 0})
	if _, err := Load(state, items); err == nil {
		t.Error("a snapshot whose receipts are missing was loaded")
	}
}

// Given a snapshot of a build that kept no receipts, when it is loaded, then all
// that it still holds is known, and goes on being so.
func TestSnapshotWithoutReceipts(t *testing.T) {
	b, err := os.ReadFile("testdata/snapshot-without-receipts.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		State json.RawMessage
		Items []flow.Item
	}
	if err := json.Unmarshal(b, &file); err != nil {
		t.Fatal(err)
	}
	items := map[flow.Ref][]byte{}
	for _, x := range file.Items {
		items[x.Ref] = x.Body
	}
	l, err := Load(file.State, items)
	if err != nil {
		t.Fatal(err)
	}
	lot := LotDoc{ID: "a", Owner: "n/1", KeepMS: 1000, Items: []LotItem{{ID: "i", Path: "/p", Body: []byte("x")}}}
	for v := uint64(61); v < 100; v++ {
		if r := do(l, "plan.put", namedPlan(v+1, v)); r.Code != 200 {
			t.Fatalf("version %d: %d %s", v+1, r.Code, r.Body)
		}
	}
	for v := uint64(6); v <= 20; v++ {
		if r := do(l, "plan.put", namedPlan(3*v, 3*(v-1))); r.Code != 200 {
			t.Errorf("version %d, put before the snapshot: %d %s", 3*v, r.Code, r.Body)
		}
	}
	own := PutPlan{Read: 60, Request: "own", Doc: json.RawMessage(`{"pools":[],"routes":[]}`)}
	for kind, body := range map[Kind]any{"plan.put": own, "lot.put": lot, "target.put": PutTarget{Pool: "m", Revision: 7}} {
		if r := do(l, kind, body); r.Code != 200 {
			t.Errorf("%s from before the snapshot: %d %s", kind, r.Code, r.Body)
		}
	}
	if l.Plan().Version != 100 || !l.Drains["e"].On || len(l.Steps) != 3 || l.Keys.Len() != 4 {
		t.Errorf("version %d, %d steps, %d keys", l.Plan().Version, len(l.Steps), l.Keys.Len())
	}
}

// Given any orders in any order, repeated at any moment and with snapshots in
// between, when each answer is held against what was acknowledged before, then a
// repeat is acknowledged and leaves the state as it was.
func TestRepeatsChangeNothing(t *testing.T) {
	type order struct {
		kind Kind
		body any
	}
	build := func(n int, l *Ledger) order {
		request, at := fmt.Sprint("r", n), l.Plan().Version
		on := n%2 == 0
		switch n % 5 {
		case 0:
			return order{"plan.put", namedPlan(at+1+uint64(n%3), at)}
		case 1:
			return order{"plan.put", PutPlan{Read: at, Request: request, Doc: raw(n)}}
		case 2:
			return order{"target.put", PutTarget{Pool: fmt.Sprint("m", n%2), Revision: n}}
		case 3:
			return order{"target.put", PutTarget{Pool: fmt.Sprint("m", n%2), Revision: n, Paused: &on, Request: request}}
		}
		return order{"drain.put", PutDrain{Engine: fmt.Sprint("e", n%3), On: on, Request: request}}
	}
	standing := func(l *Ledger) string { return string(raw([]any{l.Plan(), l.Targets, l.Drains, l.Receipts.Len()})) }
	properties := gopter.NewProperties(nil)
	properties.Property("repeats change nothing", prop.ForAll(func(picks []int) bool {
		l, blobs := New(), map[flow.Ref][]byte{}
		var taken []order
		for n, pick := range picks {
			if pick%7 == 0 {
				l, _ = again(l, blobs)
			}
			if pick%2 == 0 || len(taken) == 0 {
				o := build(n+2, l)
				if do(l, o.kind, o.body).Code == 200 {
					taken = append(taken, o)
				}
				continue
			}
			before, o := standing(l), taken[pick%len(taken)]
			if do(l, o.kind, o.body).Code != 200 || standing(l) != before {
				return false
			}
		}
		return true
	}, gen.SliceOfN(80, gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}
