package ledger

import (
	"fmt"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// partsOf counts references to requests of lots.
func partsOf(refs []flow.Ref) (count int) {
	for _, ref := range refs {
		if ref.Kind == LotPartItem {
			count++
		}
	}
	return count
}

// Given a lot with requests on the blob store, when it ends, then its requests are
// let go, once, while what is listed stays and results still come (design 8.7).
func TestRequestsOfAnEndedLotAreLetGo(t *testing.T) {
	l := New()
	items := make([]LotItem, 40)
	for i := range items {
		items[i] = LotItem{ID: fmt.Sprint("i", i), Path: "/p", Body: make([]byte, 8<<10)}
	}
	do(l, "lot.put", LotDoc{ID: "a", Owner: "n/1", Items: items})
	put, _ := l.Box()
	stretches := len(put.Put) - 1 // and the lot's head
	if stretches < 2 {
		t.Fatalf("%d stretches of requests", stretches)
	}
	open := do(l, "lot.items", "a")
	if r := do(l, "lot.end", "a"); r.Code != 200 {
		t.Fatalf("the end: %d %s", r.Code, r.Body)
	}
	if box, _ := l.Box(); partsOf(box.Drop) != stretches {
		t.Errorf("%d of %d stretches are let go", partsOf(box.Drop), stretches)
	}
	if kept := l.Items()[LotPartItem]; len(kept) != 0 {
		t.Errorf("a snapshot still names %d stretches", len(kept))
	}
	do(l, "lot.end", "a")
	if box, _ := l.Box(); partsOf(box.Drop) != 0 {
		t.Errorf("a second end lets %d stretches go", partsOf(box.Drop))
	}
	var left LotItems
	if r := l.Query("lot.items", raw("a")); r.Code != 200 || len(r.Need) != 0 || json.Unmarshal(r.Body, &left) != nil || !left.Ended || len(left.Doc.Items) != 0 {
		t.Errorf("what is left of it: %d, needs %d, %+v", r.Code, len(r.Need), left)
	}
	_ = open
	result := LotResult{Item: "i7", State: "complete", Text: "x", Versions: []int{1}}
	if r := do(l, "lot.list", ListLot{Lot: "a", Results: []LotResult{result}}); r.Code != 200 || len(l.Lots["a"].List) != 1 {
		t.Errorf("a result after the end: %d %s", r.Code, r.Body)
	}
}

// Given a question for a lot's requests that waits for the disk, when the lot ends
// meanwhile, then its answer is made of what was read.
func TestRequestsThatWereReadBeforeTheEnd(t *testing.T) {
	l := New()
	do(l, "lot.put", LotDoc{ID: "a", Owner: "n/1", Items: []LotItem{{ID: "i", Path: "/p", Body: []byte("x")}}})
	box, _ := l.Box()
	all := l.Query("lot.items", raw("a"))
	one := l.Query("lot.item", raw(FindItem{Lot: "a", Item: "i"}))
	do(l, "lot.end", "a")
	var part []byte
	for _, item := range box.Put {
		if item.Ref.Kind == LotPartItem {
			part = item.Body
		}
	}
	if r := all.With([][]byte{part}); r.Code != 200 {
		t.Errorf("all: %d", r.Code)
	}
	if r := one.With([][]byte{part}); r.Code != 200 {
		t.Errorf("one: %d", r.Code)
	}
}
