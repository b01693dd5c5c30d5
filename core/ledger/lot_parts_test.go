package ledger

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"fernlink/core/flow"
)

// inParts makes the parts of a lot, and the lot.put that names them.
func inParts(d LotDoc) ([]LotPart, PackedLot) {
	name := PartsName{d.ID, Hash(raw(d))}
	var bytes int64
	for _, item := range d.Items {
		bytes += int64(len(raw(item)))
	}
	packer, hash := NewLotPacker(name, len(d.Items), bytes), NewLotHash()
	var parts []LotPart
	for _, item := range d.Items {
		packer.Add(item)
		hash.Add(item)
	}
	packer.End()
	for part, ok := packer.Take(); ok; part, ok = packer.Take() {
		parts = append(parts, part)
	}
	return parts, LotOfParts(d, hash.String(), name.Text, packer.Made())
}

// putInParts hands a lot in in parts, which come in the order that is given.
func putInParts(t *testing.T, l *Ledger, d LotDoc, order func([]LotPart)) Result {
	t.Helper()
	parts, put := inParts(d)
	if order != nil {
		order(parts)
	}
	for _, part := range parts {
		if r := applyAt(l, 5, KindLotPart, part); r.Code != Accepted {
			t.Fatalf("part %d: %d %s", part.Part, r.Code, r.Body)
		}
	}
	return l.Apply(l.Index+1, Command{Kind: KindLotPut, At: 5, Body: put.Encode()}.Encode())
}

// giantLot has requests of all sizes, one of which is far larger than a piece.
func giantLot(id string) LotDoc {
	d := largeLot(id)
	d.Items[7].Body = bytes.Repeat([]byte("giant "), 200<<10)
	d.Items[8].Fields = nil
	for n := range 3000 {
		d.Items[8].Fields = append(d.Items[8].Fields, flow.Field{Name: fmt.Sprint("X-", n), Value: strings.Repeat("v", 100)})
	}
	return d
}

// pages reads all requests of a lot as its owner does, but for items that are listed.
func pages(t *testing.T, l *Ledger, blobs map[flow.Ref][]byte, lot string) (items []LotItem) {
	t.Helper()
	var text []byte
	first, listed := -1, []int{}
	end := func() {
		if text == nil {
			return
		}
		stretch, err := ItemsOf(LotPiece{First: first, Fragment: text}, listed)
		if err != nil {
			t.Fatal(err)
		}
		items, text = append(items, stretch...), nil
	}
	for from := 0; ; {
		page := into[RequestPage](t, asked(t, l, blobs, KindLotPage, ReadRequests{lot, from, 200 << 10}))
		size := 0
		listed = append(listed, page.Listed...)
		for _, piece := range page.Pieces {
			if piece.First != first {
				end()
			}
			first, text = piece.First, append(text, piece.text()...)
			size += len(piece.text())
		}
		if size > 3*stretchMost {
			t.Errorf("a page has %d bytes", size)
		}
		if from = page.Next; from >= page.Total {
			end()
			return items
		}
	}
}

// Guards against a lot that was accepted and that a link, the log or a reader can't carry.
//
// Given a lot with requests of all sizes, when it is handed in in parts, in any order and some
// of them twice, then what is kept and told of it is what a packed lot is, each command and
// each page is small, and a snapshot keeps it.
func TestALotInPartsIsKeptAsAPackedOne(t *testing.T) {
	doc := giantLot("a")
	orders := map[string]func([]LotPart){
		"in order": nil,
		"backward": slices.Reverse[[]LotPart],
		"one first": func(parts []LotPart) {
			parts[0], parts[len(parts)-1] = parts[len(parts)-1], parts[0]
		},
	}
	for name, order := range orders {
		l, blobs := New(), map[flow.Ref][]byte{}
		if r := into[LotPut](t, putInParts(t, l, doc, order)); r != (LotPut{"a", 40, true}) {
			t.Fatalf("%s: %+v", name, r)
		}
		packed := New()
		putPacked(packed, doc)
		loaded, err := again(l, blobs)
		if err != nil {
			t.Fatal(err)
		}
		for state, l := range map[string]*Ledger{"as it is": l, "after a snapshot": loaded} {
			lot, other := l.Lots["a"], packed.Lots["a"]
			if lot.Hash != other.Hash || !slices.Equal(lot.IDs, other.IDs) || len(l.Staged) != 0 || lot.requestBytes < other.requestBytes/2 {
				t.Errorf("%s, %s: %d ids, hash %s, not %s", name, state, len(lot.IDs), lot.Hash, other.Hash)
			}
			if got := pages(t, l, blobs, "a"); !reflect.DeepEqual(got, doc.Items) {
				t.Errorf("%s, %s: %d items are told, or others", name, state, len(got))
			}
			whole := into[LotItems](t, asked(t, l, blobs, KindLotItems, GetLotItems("a")))
			if !reflect.DeepEqual(whole.Doc.Items, doc.Items) {
				t.Errorf("%s, %s: %d items are told at once, or others", name, state, len(whole.Doc.Items))
			}
			for _, n := range []int{0, 6, 9, 39} {
				body := into[LotBody](t, asked(t, l, blobs, KindLotItem, FindItem{"a", fmt.Sprint("i", n)}))
				if !bytes.Equal(body.Body, doc.Items[n].Body) {
					t.Errorf("%s, %s: the body of item %d differs", name, state, n)
				}
			}
			if got := fragments(t, l, blobs, "a", "i7"); !reflect.DeepEqual(got, doc.Items[7]) {
				t.Errorf("%s, %s: the giant item differs", name, state)
			}
		}
	}
}

// fragments reads an item that is told in fragments.
func fragments(t *testing.T, l *Ledger, blobs map[flow.Ref][]byte, lot, item string) LotItem {
	t.Helper()
	if r := l.Query(KindLotItem, raw(FindItem{lot, item})); r.Code != Oversized {
		t.Fatalf("it is told in one: %d", r.Code)
	}
	var text []byte
	for n, total := 0, 1; n < total; n++ {
		fragment := into[LotFragment](t, asked(t, l, blobs, KindLotFragment, FindFragment{lot, item, n}))
		text, total = append(text, fragment.Text...), fragment.Total
	}
	got, err := ItemOfFragments(text)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Given any lot, when parts are made of it, then none is larger than a peer's line by far.
func TestPartsAreSmall(t *testing.T) {
	parts, put := inParts(giantLot("a"))
	for _, part := range parts {
		if size := len(raw(part)); size > 4*PartBytes {
			t.Errorf("part %d has %d bytes", part.Part, size)
		}
	}
	if size := len(put.Encode()); size > 2000 || len(parts) != put.PartCount || len(parts) < 8 {
		t.Errorf("%d parts of %d; the lot.put has %d bytes", len(parts), put.PartCount, size)
	}
}

// Given parts that come again, and a lot that does, when they are applied, then nothing
// changes, and parts of a lot that is known are not kept.
func TestPartsThatComeAgain(t *testing.T) {
	l, doc := New(), giantLot("a")
	parts, put := inParts(doc)
	for range 2 {
		for _, part := range parts {
			do(l, KindLotPart, part)
		}
	}
	change, _ := l.Box()
	pieces := 0
	for _, part := range parts {
		pieces += len(part.Pieces)
	}
	if len(change.Put) != pieces {
		t.Errorf("%d pieces are kept of %d", len(change.Put), pieces)
	}
	if there := into[PartsThere](t, l.Query(KindLotParts, raw(KnownParts{put.partsName()}))); there.Known || len(there.Parts) != len(parts) {
		t.Errorf("%+v", there)
	}
	for _, fresh := range []bool{true, false} {
		r := into[LotPut](t, l.Apply(l.Index+1, Command{Kind: KindLotPut, At: 5, Body: put.Encode()}.Encode()))
		if r.Fresh != fresh || r.Total != 40 {
			t.Errorf("%+v", r)
		}
	}
	l.Box()
	if taken := into[LotPartTaken](t, do(l, KindLotPart, parts[3])); !taken.Known {
		t.Error("a part of a known lot is kept")
	}
	if change, any := l.Box(); any {
		t.Errorf("%d items for a lot that is known", len(change.Put))
	}
	if r := putPacked(l, doc); into[LotPut](t, r).Fresh {
		t.Error("the same lot in one is no repeat")
	}
	if there := into[PartsThere](t, l.Query(KindLotParts, raw(KnownParts{put.partsName()}))); !there.Known {
		t.Error("the lot is not known")
	}
}

// Given lots of which a part is missing, wrong or of another document, when they are put,
// then they are refused, nothing of them runs, and what was kept goes in time.
func TestPartsThatMakeNoLot(t *testing.T) {
	parts, put := inParts(giantLot("a"))
	for name, c := range map[string]struct {
		change func([]LotPart) []LotPart
		code   Outcome
	}{
		"the first missing":   {func(p []LotPart) []LotPart { return p[1:] }, Unavailable},
		"the last missing":    {func(p []LotPart) []LotPart { return p[:len(p)-1] }, Unavailable},
		"none":                {func(p []LotPart) []LotPart { return nil }, Unavailable},
		"of another document": {func(p []LotPart) []LotPart { p[2].Text = "other"; return p }, Unavailable},
		"of another lot":      {func(p []LotPart) []LotPart { p[2].Lot = "b"; return p }, Unavailable},
		"an id twice":         {func(p []LotPart) []LotPart { p[0].IDs = slices.Clone(p[0].IDs); p[0].IDs[1] = p[0].IDs[0]; return p }, Invalid},
		"an item without id":  {func(p []LotPart) []LotPart { p[0].IDs = slices.Clone(p[0].IDs); p[0].IDs[1] = ""; return p }, Invalid},
	} {
		l := New()
		for _, part := range c.change(slices.Clone(parts)) {
			do(l, KindLotPart, part)
		}
		r := l.Apply(l.Index+1, Command{Kind: KindLotPut, At: 1000, Body: put.Encode()}.Encode())
		if r.Code != c.code || len(l.Lots) != 0 || l.Receipts.Len() != 0 {
			t.Errorf("%s: %d %s", name, r.Code, r.Body)
		}
		applyAt(l, 1000+partsKeep+1, KindLotEnd, "nothing")
		applyAt(l, 1000+partsKeep+2, KindLotEnd, "nothing")
		change, _ := l.Box()
		if len(l.Staged) != 0 || len(change.Put) != len(change.Drop) {
			t.Errorf("%s: %d items of %d are left", name, len(change.Put)-len(change.Drop), len(change.Put))
		}
	}
	for name, part := range map[string]LotPart{
		"no lot":          {PartsName: PartsName{"", "t"}, Pieces: parts[0].Pieces},
		"no document":     {PartsName: PartsName{"a", ""}, Pieces: parts[0].Pieces},
		"no piece":        {PartsName: PartsName{"a", "t"}},
		"an empty piece":  {PartsName: PartsName{"a", "t"}, Pieces: []LotPiece{{}}},
		"below the first": {PartsName: PartsName{"a", "t"}, Part: -1, Pieces: parts[0].Pieces},
		"beyond the last": {PartsName: PartsName{"a", "t"}, Part: partsMost, Pieces: parts[0].Pieces},
		"too many items":  {PartsName: PartsName{"a", "t"}, Items: LotItemsMost + 1, Pieces: parts[0].Pieces},
	} {
		l := New()
		if r := do(l, KindLotPart, part); r.Code != Invalid || len(l.Staged) != 0 {
			t.Errorf("%s: %d %s", name, r.Code, r.Body)
		}
	}
}

// Given lots in parts and a bound on what lots may hold, when they come, then one for which
// there is no room is refused with its first part, and the room is the same after a snapshot.
func TestRoomForLotsInParts(t *testing.T) {
	l, blobs := New(), map[flow.Ref][]byte{}
	l.Bounds.LotBytes = 4 << 20
	first, _ := inParts(giantLot("a"))
	second, put := inParts(giantLot("b"))
	if r := do(l, KindLotPart, first[0]); r.Code != Accepted {
		t.Fatalf("%d %s", r.Code, r.Body)
	}
	loaded, err := again(l, blobs)
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range []*Ledger{l, loaded} {
		if r := do(l, KindLotPart, second[0]); r.Code != Full {
			t.Errorf("beside a lot that needs the room: %d %s", r.Code, r.Body)
		}
		applyAt(l, 1000+partsKeep+1, KindLotEnd, "nothing")
		for _, part := range second {
			if r := applyAt(l, 1000+partsKeep+2, KindLotPart, part); r.Code != Accepted {
				t.Fatalf("once the other is gone: %d %s", r.Code, r.Body)
			}
		}
		if r := l.Apply(l.Index+1, Command{Kind: KindLotPut, At: 5, Body: put.Encode()}.Encode()); r.Code != Accepted {
			t.Errorf("%d %s", r.Code, r.Body)
		}
	}
}

// Given texts that wait for their scores, when an owner asks for them page by page, then it
// is told each once, and no page is larger than asked for by more than a text.
func TestWaitingTextsAreToldInPages(t *testing.T) {
	l := New()
	putPacked(l, lotDoc("a", 40))
	var texts []LotResult
	for i := range 30 {
		texts = append(texts, LotResult{Item: fmt.Sprint("i", 39-i), State: LotUnscored, Text: strings.Repeat("t", 1000+i), Versions: []int{1}})
	}
	do(l, KindLotList, ListLot{Lot: "a", Whole: texts})
	blobs, seen := blobsOf(l), map[string]int{}
	for from, more := 0, true; more; {
		page := into[TextPage](t, asked(t, l, blobs, KindLotTexts, ReadTexts{"a", from, 5000}))
		if len(page.Texts) > 5 || len(page.Texts) == 0 {
			t.Errorf("a page of %d texts", len(page.Texts))
		}
		for _, text := range page.Texts {
			seen[text.Item] += len(text.Text)
		}
		from, more = page.Next, page.More
	}
	for _, text := range texts {
		if seen[text.Item] != len(text.Text) {
			t.Errorf("%s: %d bytes of %d", text.Item, seen[text.Item], len(text.Text))
		}
	}
	if empty := into[TextPage](t, asked(t, l, blobs, KindLotTexts, ReadTexts{"a", 40, 5000})); len(empty.Texts) != 0 || empty.More {
		t.Errorf("%+v", empty)
	}
}
