package ledger

import (
	"fmt"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// change is a patch that puts a route of a name and removes others.
func change(read, version uint64, name string, remove ...string) PatchPlan {
	gone, _ := json.Marshal(remove)
	return PatchPlan{Version: version, Read: read, Request: fmt.Sprint("c", version), Patch: json.RawMessage(fmt.Sprintf(
		`{"lists":[{"path":["routes"],"name":"name","upsert":[{"name":%q,"v":%d}],"remove":%s}]}`, name, version, gone))}
}

// planAfter is what changedPlan comes to, each change applied to the whole before it.
func planAfter(changes int) json.RawMessage {
	doc := json.RawMessage(firstPlan)
	for n := range uint64(changes) {
		doc = patched(doc, []json.RawMessage{change(n+1, n+2, fmt.Sprint("r", n%3), "old").Patch})
	}
	return doc
}

const firstPlan = `{"routes":[{"name":"r1"},{"name":"old"}],"pins":[]}`

// changedPlan is a ledger whose plan was put whole and changed so many times.
func changedPlan(changes int) (*Ledger, keptBlobs) {
	l, blobs := New(), keptBlobs{}
	blobs.settle(l, do(l, KindPlanPut, PutPlan{Version: 1, Request: "p", Doc: json.RawMessage(firstPlan)}))
	for n := range uint64(changes) {
		blobs.settle(l, do(l, KindPlanPatch, change(n+1, n+2, fmt.Sprint("r", n%3), "old")))
	}
	return l, blobs
}

// Given a plan and changes of it, however many, when it is asked for, by its version, in a
// delta or after a snapshot was loaded, then it is the plan with all changes in their order.
func TestAChangedPlanIsTheSameAsAWholeOne(t *testing.T) {
	for changes := range 3 * KeepPlans {
		l, blobs := changedPlan(changes)
		want := string(planAfter(changes))
		if got := string(l.PlanDoc()); got != want {
			t.Errorf("%d changes: the plan is %s, wanted %s", changes, got, want)
		}
		if changes == 2 && want != `{"routes":[{"name":"r1","v":3},{"name":"r0","v":2}],"pins":[]}` {
			t.Errorf("after two changes: %s", want)
		}
		if got := into[Plan](t, l.Query(KindPlanGet, raw(GetPlan(0)))); string(got.Doc) != want || got.Version != uint64(changes+1) || got.Patch != nil {
			t.Errorf("%d changes: the newest is %d %s, wanted %s", changes, got.Version, got.Doc, want)
		}
		for _, kept := range l.Plans {
			want := string(planAfter(int(kept.Version) - 1))
			if got := into[Plan](t, blobs.settle(l, l.Query(KindPlanGet, raw(GetPlan(kept.Version))))); string(got.Doc) != want {
				t.Errorf("%d changes: version %d is %s, wanted %s", changes, kept.Version, got.Doc, want)
			}
		}
		if d := l.Since(0); d.Plan == nil || string(d.Plan.Doc) != want || len(d.Changes) > 0 {
			t.Errorf("%d changes: a node that knows nothing hears %+v", changes, d.Plan)
		}
		state := l.Snapshot()
		blobs.settle(l, Result{})
		loaded, err := Load(state, blobs)
		if err != nil {
			t.Fatal(err)
		}
		if got := string(loaded.PlanDoc()); got != want {
			t.Errorf("%d changes: after a snapshot %s, wanted %s", changes, got, want)
		}
		if len(l.Plans) > KeepPlans+patchesMost {
			t.Errorf("%d plans are kept", len(l.Plans))
		}
		for _, ref := range l.Items()[DocItem] {
			if _, kept := blobs[flow.Ref{Kind: DocItem, ID: ref}]; !kept {
				t.Errorf("%d changes: item %d is not on the blob store", changes, ref)
			}
		}
	}
}

// Given a node that knows a plan, when it is changed, then it hears of what changed and no
// more; one that knows none of the plans that are kept hears of the whole.
func TestADeltaTellsWhatChanged(t *testing.T) {
	l, _ := changedPlan(3)
	have := l.Index
	do(l, KindPlanPatch, change(4, 9, "r7"))
	do(l, KindPlanPatch, change(9, 10, "r8"))
	d := l.Since(have)
	if d.Plan != nil || len(d.Changes) != 2 || d.Changes[0].Version != 9 || d.Changes[0].Read != 4 || d.Changes[1].Read != 9 || d.Changes[0].Doc != nil {
		t.Errorf("%+v %+v", d.Plan, d.Changes)
	}
	do(l, KindPlanPut, PutPlan{Version: 11, Read: 10, Request: "w", Doc: json.RawMessage(`{"routes":[]}`)})
	if d := l.Since(have); d.Plan == nil || len(d.Changes) > 0 {
		t.Errorf("after a whole plan: %+v", d.Changes)
	}
}

// Given changes that are said again, made from another version, or named like another, when
// they come, then repeats are known and the others refused, and nothing changes.
func TestChangesAreKnownAgain(t *testing.T) {
	l, _ := changedPlan(2)
	doc := string(l.PlanDoc())
	for name, c := range map[string]struct {
		order PatchPlan
		code  Outcome
	}{
		"a repeat":           {change(2, 3, "r1", "old"), Accepted},
		"an older repeat":    {change(1, 2, "r0", "old"), Accepted},
		"a stale base":       {change(2, 7, "r1"), Conflict},
		"a number below":     {change(3, 2, "r9"), Rejected},
		"a number used":      {change(2, 3, "r9"), Conflict},
		"of no plan":         {change(0, 8, "r1"), Conflict},
		"a patch of a type":  {PatchPlan{Version: 8, Read: 3, Patch: json.RawMessage(`7`)}, Invalid},
		"a name in both":     {change(3, 8, "r1", "r1"), Invalid},
		"an item of no name": {PatchPlan{Version: 8, Read: 3, Patch: json.RawMessage(`{"lists":[{"path":["routes"],"name":"name","upsert":[{}]}]}`)}, Invalid},
	} {
		if got := do(l, KindPlanPatch, c.order); got.Code != c.code {
			t.Errorf("%s: %d %s", name, got.Code, got.Body)
		}
	}
	if got := string(l.PlanDoc()); got != doc || l.Plan().Version != 3 {
		t.Errorf("the plan is %s now, was %s", got, doc)
	}
}

// Given a text that waits for its score, when it is kept, then a new owner gets it with what is
// left of the lot, a snapshot has it, and it goes once its item is listed or the lot ends.
func TestAWholeTextIsKeptUntilItIsListed(t *testing.T) {
	l, blobs := New(), keptBlobs{}
	lot := lotDoc("a", 5)
	lot.Least = 5
	blobs.settle(l, do(l, KindLotPut, lot))
	waits := func(id string, versions ...int) LotResult {
		r := done(id, versions...)
		r.State = LotUnscored
		return r
	}
	blobs.settle(l, do(l, KindLotList, ListLot{Lot: "a", Results: []LotResult{done("i0", 5)}, Whole: []LotResult{waits("i1", 5), waits("i2", 5), waits("i1", 6), waits("i0", 5), done("i3", 5), waits("i3", 0)}}))
	items := func(l *Ledger) []LotResult {
		return into[LotItems](t, blobs.settle(l, l.Query(KindLotItems, raw(GetLotItems("a"))))).Texts
	}
	if got := items(l); len(got) != 2 || got[0].Item != "i1" || got[0].Text != "text of i1" || got[0].Versions[0] != 5 || got[1].Item != "i2" {
		t.Fatalf("kept: %+v", got)
	}
	state := l.Snapshot()
	blobs.settle(l, Result{})
	loaded, err := Load(state, blobs)
	if err != nil || len(items(loaded)) != 2 {
		t.Fatalf("after a snapshot: %v %+v", err, items(loaded))
	}
	scored := done("i1", 5)
	scored.Score = "s"
	do(l, KindLotList, ListLot{Lot: "a", Results: []LotResult{scored}})
	if change, _ := l.Box(); len(change.Drop) != 1 {
		t.Errorf("listed, and %v goes", change.Drop)
	}
	if got := items(l); len(got) != 1 || got[0].Item != "i2" {
		t.Errorf("left: %+v", got)
	}
	do(l, KindLotEnd, EndLot("a"))
	if len(l.Lots["a"].Whole) != 0 {
		t.Errorf("ended, and %v is kept", l.Lots["a"].Whole)
	}
}
