package ledger

import (
	"fmt"
	"testing"

	"fernlink/core/flow"
)

// roomyLot is a lot of so many requests of 3 KiB each.
func roomyLot(id string, items int) LotDoc {
	lot := LotDoc{ID: id, Owner: "n/1", KeepMS: 60_000}
	for i := range items {
		lot.Items = append(lot.Items, LotItem{ID: fmt.Sprint("i", i), Path: "/p", Body: make([]byte, 3<<10)})
	}
	return lot
}

// Given a bound on what lots may hold, when they come one after the other and their
// texts are listed, then those that would pass it are refused before any of them
// runs, a repeat is still acknowledged, and there is room again once some are over.
func TestLotsStayWithinTheDisk(t *testing.T) {
	l := New()
	l.Bounds.LotBytes = 1 << 20
	text := string(make([]byte, 6<<10))
	taken, refused := 0, ""
	for n := 0; n < 30 && refused == ""; n++ {
		id := fmt.Sprint("lot", n)
		r := applyAt(l, 1000, "lot.put", roomyLot(id, 10))
		if r.Code == 429 {
			refused = id
			break
		}
		if r.Code != 200 {
			t.Fatalf("%s: %d %s", id, r.Code, r.Body)
		}
		taken++
		for i := range 10 {
			applyAt(l, 1000, "lot.list", ListLot{Lot: id, Results: []LotResult{{Item: fmt.Sprint("i", i), State: LotComplete, Text: text, Versions: []int{1}}}})
		}
		applyAt(l, 1000, "lot.end", id)
	}
	held := int64(0)
	for _, lot := range l.Lots {
		held += lot.requestBytes + lot.textBytes
	}
	if refused == "" || taken < 2 || held > l.Bounds.LotBytes {
		t.Fatalf("%d lots are taken and hold %d bytes of %d, refused: %q", taken, held, l.Bounds.LotBytes, refused)
	}
	if l.Lots[refused] != nil {
		t.Error("a refused lot is kept")
	}
	if r := applyAt(l, 1000, "lot.put", roomyLot("lot0", 10)); r.Code != 200 {
		t.Errorf("a repeat where there is no room: %d", r.Code)
	}
	if r := applyAt(l, 70_000, "lot.put", roomyLot(refused, 10)); r.Code != 200 {
		t.Errorf("once the others are over: %d %s", r.Code, r.Body)
	}
}

// Given lots that are open and ended, when they are loaded from a snapshot, then the
// same room is left, so that every member decides alike.
func TestRoomForLotsIsTheSameAfterASnapshot(t *testing.T) {
	l, blobs := New(), map[flow.Ref][]byte{}
	l.Bounds.LotBytes = 1 << 30
	do(l, "lot.put", roomyLot("open", 20))
	do(l, "lot.put", roomyLot("ended", 20))
	for _, id := range []string{"open", "ended"} {
		do(l, "lot.list", ListLot{Lot: id, Results: []LotResult{{Item: "i3", State: LotComplete, Text: "abc", Versions: []int{1}}}})
	}
	do(l, "lot.end", "ended")
	loaded, err := again(l, blobs)
	if err != nil {
		t.Fatal(err)
	}
	for id, lot := range l.Lots {
		if other := loaded.Lots[id]; other == nil || other.requestBytes != lot.requestBytes || other.textBytes != lot.textBytes {
			t.Errorf("%s: %+v, loaded %+v", id, lot, other)
		}
	}
	if l.Lots["open"].requestBytes == 0 || l.Lots["ended"].requestBytes != 0 {
		t.Errorf("open %d, ended %d", l.Lots["open"].requestBytes, l.Lots["ended"].requestBytes)
	}
}
