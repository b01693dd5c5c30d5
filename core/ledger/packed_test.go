package ledger

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// largeLot has several stretches of requests.
func largeLot(id string) LotDoc {
	d := lotDoc(id, 40)
	for i := range d.Items {
		d.Items[i].Body = []byte(strings.Repeat(fmt.Sprint("<body ", i, ">"), 1000))
		d.Items[i].Fields = []flow.Field{{Name: "A", Value: "<b>"}}
	}
	return d
}

// putPacked hands a lot in as nodes do.
func putPacked(l *Ledger, d LotDoc) Result {
	return l.Apply(l.Index+1, Command{Kind: "lot.put", At: 5, Body: PackLot(d).Encode()}.Encode())
}

// putWhole hands a lot in as builds did before lots were packed.
func putWhole(l *Ledger, d LotDoc) Result {
	return l.Apply(l.Index+1, raw(Command{Kind: "lot.put", At: 5, Body: raw(d)}))
}

func blobsOf(l *Ledger) map[flow.Ref][]byte {
	change, _ := l.Box()
	blobs := map[flow.Ref][]byte{}
	for _, x := range change.Put {
		blobs[x.Ref] = x.Body
	}
	return blobs
}

// Given a lot in both forms, when each is folded, then what is kept, what lies on the
// blob store and what owners are told is the same to the byte.
func TestAPackedLotIsKeptAsAWholeOne(t *testing.T) {
	packed, whole := New(), New()
	a, b := putPacked(packed, largeLot("a")), putWhole(whole, largeLot("a"))
	if a.Code != 200 || string(a.Body) != string(b.Body) {
		t.Fatalf("%d %s, not %d %s", a.Code, a.Body, b.Code, b.Body)
	}
	x, y := *packed.Lots["a"], *whole.Lots["a"]
	x.requestBytes, y.requestBytes = 0, 0
	if len(x.Parts) < 2 || !reflect.DeepEqual(x, y) {
		t.Errorf("%+v, not %+v", x, y)
	}
	blobs, others := blobsOf(packed), blobsOf(whole)
	if len(blobs) < 3 || !reflect.DeepEqual(blobs, others) {
		t.Errorf("%d items, not %d, or others", len(blobs), len(others))
	}
	for _, listed := range [][]LotResult{nil, {done("i3"), done("i39")}} {
		for _, l := range []*Ledger{packed, whole} {
			do(l, "lot.list", ListLot{Lot: "a", Results: listed})
		}
		items := into[LotItems](t, asked(t, packed, blobs, "lot.items", "a"))
		want := largeLot("a").Items
		if listed != nil {
			want = append(append([]LotItem{}, want[:3]...), want[4:39]...)
		}
		if !reflect.DeepEqual(items.Doc.Items, want) || items.Listed != len(listed) {
			t.Errorf("%d items, %d listed", len(items.Doc.Items), items.Listed)
		}
		if other := into[LotItems](t, asked(t, whole, blobs, "lot.items", "a")); !reflect.DeepEqual(items, other) {
			t.Errorf("%+v, not %+v", items, other)
		}
	}
	if body := into[LotBody](t, asked(t, packed, blobs, "lot.item", FindItem{"a", "i5"})); string(body.Body) != string(largeLot("a").Items[5].Body) {
		t.Errorf("%.99s", body.Body)
	}
}

func asked(t *testing.T, l *Ledger, blobs map[flow.Ref][]byte, kind Kind, question any) Result {
	t.Helper()
	return whole(t, l.Query(kind, raw(question)), blobs)
}

// Given a lot in one form, when it comes again in the other, then it is a repeat, and
// one of other content is refused.
func TestARepeatIsKnownInEitherForm(t *testing.T) {
	for name, puts := range map[string][2]func(*Ledger, LotDoc) Result{
		"packed first": {putPacked, putWhole},
		"whole first":  {putWhole, putPacked},
	} {
		l := New()
		puts[0](l, largeLot("a"))
		if x := into[LotPut](t, puts[1](l, largeLot("a"))); x != (LotPut{"a", 40, false}) {
			t.Errorf("%s: %+v", name, x)
		}
		other := largeLot("a")
		other.Items[7].Body = []byte("x")
		if r := puts[1](l, other); r.Code != 409 {
			t.Errorf("%s: other content: %d %s", name, r.Code, r.Body)
		}
	}
}

// Given packed lots that are not whole, when they come, then each is refused and leaves
// nothing.
func TestPackedLotsThatAreNotWholeAreRefused(t *testing.T) {
	for name, change := range map[string]func(*PackedLot){
		"no id":               func(p *PackedLot) { p.Doc.ID = "" },
		"an item without id":  func(p *PackedLot) { p.IDs[1] = "" },
		"an id twice":         func(p *PackedLot) { p.IDs[1] = p.IDs[0] },
		"no requests":         func(p *PackedLot) { p.Parts, p.Requests = nil, nil },
		"a stretch less":      func(p *PackedLot) { p.Requests = p.Requests[1:] },
		"a start less":        func(p *PackedLot) { p.Parts = p.Parts[1:] },
		"not from the first":  func(p *PackedLot) { p.Parts[0] = 1 },
		"an empty stretch":    func(p *PackedLot) { p.Parts[1] = 0 },
		"starts that go back": func(p *PackedLot) { p.Parts[1] = -3 },
		"beyond the items":    func(p *PackedLot) { p.Parts[len(p.Parts)-1] = len(p.IDs) },
		"no list":             func(p *PackedLot) { p.Requests[1] = json.RawMessage(`{}`) },
		"too many":            func(p *PackedLot) { *p = PackLot(lotDoc("a", LotItemsMost+1)) },
	} {
		l, p := New(), PackLot(largeLot("a"))
		change(&p)
		r := l.Apply(1, Command{Kind: "lot.put", At: 5, Body: p.Encode()}.Encode())
		if _, any := l.Box(); r.Code != 400 || len(l.Lots) != 0 || any || l.Receipts.Len() != 0 {
			t.Errorf("%s: %d %s", name, r.Code, r.Body)
		}
	}
}

// Given a packed lot, when it is encoded, then it reads as what it was, and as a whole
// lot it has its items and its age.
func TestAPackedLotIsEncodedAsItsFieldsSay(t *testing.T) {
	for _, d := range []LotDoc{largeLot("a<"), lotDoc("b", 1), {ID: "none"}} {
		p := PackLot(d)
		var got PutLot
		if err := json.Unmarshal(p.Encode(), &got); err != nil || got.Packed == nil || !reflect.DeepEqual(*got.Packed, withoutNil(p)) {
			t.Errorf("%v: %+v, not %+v", err, got.Packed, p)
		}
		if general := raw(PutLot{Packed: &p}); json.Unmarshal(general, &got) != nil || !reflect.DeepEqual(withoutNil(*got.Packed), withoutNil(p)) {
			t.Errorf("%.200s", general)
		}
		var whole LotDoc
		want := d
		want.AgeMS = 7
		if err := json.Unmarshal(p.EncodeWhole(7), &whole); err != nil || len(whole.Items) != len(d.Items) || len(d.Items) > 0 && !reflect.DeepEqual(whole, want) {
			t.Errorf("%v: %+v, not %+v", err, whole, want)
		}
	}
}

// withoutNil is a packed lot as it reads: no requests are an empty list.
func withoutNil(p PackedLot) PackedLot {
	if p.Requests == nil {
		p.Requests = []json.RawMessage{}
	}
	return p
}
