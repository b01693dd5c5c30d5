package ledger

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fernlink/core/flow"
)

func lotDoc(id string, n int) LotDoc {
	d := LotDoc{ID: id, Host: "h", Path: "/lots/", Owner: "d1", KeepMS: 60_000, WaitMS: 30_000}
	for i := 0; i < n; i++ {
		d.Items = append(d.Items, LotItem{ID: fmt.Sprint("i", i), Group: fmt.Sprint("g", i/4), Path: "/x", Body: []byte(fmt.Sprint("body", i))})
	}
	return d
}

// whole makes a result whole with what lies on a blob store.
func whole(t *testing.T, r Result, blobs map[flow.Ref][]byte) Result {
	t.Helper()
	for len(r.Need) > 0 {
		var items [][]byte
		for _, ref := range r.Need {
			if blobs[ref] == nil {
				t.Fatalf("the blob store lacks %v", ref)
			}
			items = append(items, blobs[ref])
		}
		r = r.With(items)
	}
	return r
}

func into[T any](t *testing.T, r Result) (x T) {
	t.Helper()
	if r.Code != 200 || json.Unmarshal(r.Body, &x) != nil {
		t.Fatalf("%d %s", r.Code, r.Body)
	}
	return x
}

func done(id string, versions ...int) LotResult {
	return LotResult{Item: id, State: LotComplete, Text: "text of " + id, Versions: versions}
}

// Given a lot that was handed in, when it is handed in again, then the same
// content is a repeat whoever owns it, and other content is refused.
func TestLotPutTwice(t *testing.T) {
	l := New()
	do(l, "lot.put", lotDoc("a", 5))
	for _, c := range []struct {
		what string
		f    func(*LotDoc)
		code Outcome
	}{
		{"the same", func(*LotDoc) {}, 200},
		{"by another dispatcher", func(d *LotDoc) { d.Owner = "d2" }, 200},
		{"another body", func(d *LotDoc) { d.Items[3].Body = []byte("x") }, 409},
		{"another id", func(d *LotDoc) { d.Items[3].ID = "x" }, 409},
		{"one less", func(d *LotDoc) { d.Items = d.Items[:4] }, 409},
		{"another order", func(d *LotDoc) { d.Items[0], d.Items[1] = d.Items[1], d.Items[0] }, 409},
		{"bytes moved from body to id", func(d *LotDoc) { d.Items[4].ID, d.Items[4].Body = "i4b", []byte("ody4") }, 409},
	} {
		d := lotDoc("a", 5)
		c.f(&d)
		r := do(l, "lot.put", d)
		if r.Code != c.code {
			t.Errorf("%s: %d %s", c.what, r.Code, r.Body)
		}
		if c.code == 200 {
			if x := into[LotPut](t, r); x != (LotPut{"a", 5, false}) {
				t.Errorf("%s: %+v", c.what, x)
			}
		}
	}
	if o := l.Lots["a"].Doc.Owner; o != "d1" {
		t.Errorf("a repeat made %s the owner", o)
	}
}

// Given lots that no ledger should take, when they come, then each is refused
// and leaves nothing.
func TestLotBounds(t *testing.T) {
	l := New()
	twice := lotDoc("a", 3)
	twice.Items[2].ID = "i0"
	nameless := lotDoc("a", 3)
	nameless.Items[1].ID = ""
	for what, d := range map[string]LotDoc{"too many": lotDoc("a", LotItemsMost+1), "twice": twice, "nameless": nameless, "no id": lotDoc("", 1)} {
		if r := do(l, "lot.put", d); r.Code != 400 {
			t.Errorf("%s: %d %.99s", what, r.Code, r.Body)
		}
	}
	if b, any := l.Box(); any || len(l.Lots) != 0 {
		t.Errorf("something was left: %d lots, %d items", len(l.Lots), len(b.Put))
	}
	if r := do(l, "lot.put", lotDoc("full", LotItemsMost)); r.Code != 200 {
		t.Errorf("a full lot: %d %s", r.Code, r.Body)
	}
	if x := into[LotCount](t, do(l, "lot.list", ListLot{Lot: "full", Results: []LotResult{done("i65535")}})); x.Listed != 1 {
		t.Errorf("its last item: %+v", x)
	}
	for i := 1; i < OpenLots; i++ {
		if r := do(l, "lot.put", lotDoc(fmt.Sprint("l", i), 1)); r.Code != 200 {
			t.Fatalf("lot %d: %d %s", i, r.Code, r.Body)
		}
	}
	if r := do(l, "lot.put", lotDoc("more", 1)); r.Code != 429 {
		t.Errorf("one more open lot: %d", r.Code)
	}
	if r := do(l, "lot.put", lotDoc("l7", 1)); r.Code != 200 {
		t.Errorf("a repeat when all are taken: %d", r.Code)
	}
	do(l, "lot.end", "l7")
	if r := do(l, "lot.put", lotDoc("more", 1)); r.Code != 200 {
		t.Errorf("after one ended: %d %s", r.Code, r.Body)
	}
}

// Given a lot with wishes about weights, when results come, then those that break
// them are not listed, and what is right beside them is.
func TestLotVersions(t *testing.T) {
	bad := done("i0")
	bad.State = "half"
	for _, c := range []struct {
		least   int
		single  bool
		r       LotResult
		refused int
	}{
		{0, false, done("i0", 1, 2), 0},
		{2, false, done("i0", 1, 2), 1},
		{2, false, done("i0", 2, 3), 0},
		{0, true, done("i0", 2, 3), 1},
		{0, true, done("i0", 2, 2), 0},
		{2, true, done("i0", 1), 1},
		{0, false, bad, 1},
		{2, true, LotResult{Item: "i0", State: LotAbandoned}, 0},
	} {
		l := New()
		d := lotDoc("a", 3)
		d.Least, d.Single = c.least, c.single
		do(l, "lot.put", d)
		x := into[LotCount](t, do(l, "lot.list", ListLot{Lot: "a", Results: []LotResult{done("i2", 5), c.r, done("none", 5), done("i2", 5)}}))
		if x.Refused != c.refused || x.Listed != 2-c.refused {
			t.Errorf("%+v: %+v", c, x)
		}
	}
	if r := do(New(), "lot.list", ListLot{Lot: "a", Results: nil}); r.Code != 404 {
		t.Errorf("a lot that is not there: %d", r.Code)
	}
}

// Given any batches of results, repeats and strangers among them, when they are
// listed, then no position moves, none stands twice, and readers from anywhere
// read the same, from memory and from a blob store after any snapshot.
func TestLotPositionsNeverMove(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(41)
	p.MinSuccessfulTests = 80
	config := gopter.NewProperties(p)
	config.Property("the list only grows", prop.ForAll(func(items []int, cut, size int) bool {
		l, blobs := New(), map[flow.Ref][]byte{}
		do(l, "lot.put", lotDoc("a", 16))
		var before []LotResult
		for at := 0; at < len(items); at += cut {
			var batch []LotResult
			for j, n := range items[at:min(len(items), at+cut)] {
				r := done(fmt.Sprint("i", n), at)
				r.Text = strings.Repeat("x", 10*(at+j))
				batch = append(batch, r)
			}
			x := into[LotCount](t, do(l, "lot.list", ListLot{Lot: "a", Results: batch}))
			stow(l, blobs)
			if at/cut%3 == 2 {
				var err error
				if l, err = again(l, blobs); err != nil {
					return false
				}
			}
			var now []LotResult
			seen := map[string]bool{}
			for from := 0; ; {
				r := into[LotRead](t, whole(t, l.Query("lot.read", raw(ReadLot{"a", from, size})), blobs))
				if r.Total != 16 || r.Listed != x.Listed || r.Next != from+len(r.Results) || len(r.Results) == 0 && from != x.Listed {
					return false
				}
				if len(r.Results) == 0 {
					break
				}
				now, from = append(now, r.Results...), r.Next
			}
			for _, r := range now {
				if seen[r.Item] {
					return false
				}
				seen[r.Item] = true
			}
			if len(now) != x.Listed || len(now) < len(before) || len(before) > 0 && !reflect.DeepEqual(before, now[:len(before)]) {
				return false
			}
			left := into[LotItems](t, whole(t, l.Query("lot.items", raw("a")), blobs))
			if len(left.Doc.Items)+len(now) != 16 || left.Listed != len(now) {
				return false
			}
			for _, x := range left.Doc.Items {
				if seen[x.ID] || string(x.Body) != "body"+x.ID[1:] {
					return false
				}
			}
			before = now
		}
		return true
	}, gen.SliceOfN(24, gen.IntRange(0, 19)), gen.IntRange(1, 7), gen.IntRange(1, 600)))
	config.TestingRun(t)
}

// Given readers at any place, when they read, then a place beyond the list is its
// end, one result comes whatever its size, and what was listed last needs no disk.
func TestLotReads(t *testing.T) {
	l, blobs := New(), map[flow.Ref][]byte{}
	do(l, "lot.put", lotDoc("a", 4))
	big := done("i0")
	big.Text = strings.Repeat("x", 5000)
	do(l, "lot.list", ListLot{Lot: "a", Results: []LotResult{big, done("i1"), done("i2")}})
	stow(l, blobs)
	for _, c := range []struct{ from, bytes, next, n int }{
		{0, 100, 1, 1}, {0, 1 << 20, 3, 3}, {1, 1, 2, 1}, {1, 1 << 20, 3, 2}, {3, 100, 3, 0}, {99, 100, 3, 0}, {-1, 100, 1, 1}, {0, 0, 3, 3},
	} {
		r := l.Query("lot.read", raw(ReadLot{"a", c.from, c.bytes}))
		if len(r.Need) != 0 {
			t.Errorf("%+v waits for the disk", c)
		}
		if x := into[LotRead](t, r); x.Next != c.next || len(x.Results) != c.n || x.Listed != 3 || x.Total != 4 || x.Ended {
			t.Errorf("%+v: %+v", c, x)
		}
	}
	if r := l.Query("lot.read", raw(ReadLot{"b", 0, 1})); r.Code != 404 {
		t.Errorf("a lot that is not there: %d", r.Code)
	}
	if !strings.Contains(string(l.Query("lot.read", raw(ReadLot{"a", 9, 1})).Body), `"results":[]`) {
		t.Error("an empty page is not a list")
	}
	// More texts than are kept in memory: the first are read from the blob store.
	do(l, "lot.put", lotDoc("b", 9))
	for i := 0; i < 9; i++ {
		r := done(fmt.Sprint("i", i))
		r.Text = strings.Repeat("y", 1<<20)
		do(l, "lot.list", ListLot{Lot: "b", Results: []LotResult{r}})
	}
	stow(l, blobs)
	if r := l.Query("lot.read", raw(ReadLot{"b", 8, 1})); len(r.Need) != 0 {
		t.Error("the newest waits for the disk")
	}
	r := l.Query("lot.read", raw(ReadLot{"b", 5, 8 << 20}))
	if x := into[LotRead](t, whole(t, r, blobs)); len(r.Need) != 1 || len(x.Results) != 4 || x.Results[0].Item != "i5" {
		t.Errorf("half from memory: %d from the blob store, %d results", len(r.Need), len(x.Results))
	}
	if l.recent.bytes > recentBytes || len(l.recent.by) != len(l.recent.ids) {
		t.Errorf("memory has %d bytes, %d and %d texts", l.recent.bytes, len(l.recent.by), len(l.recent.ids))
	}
}

// Given a lot, when bodies are asked for, then those of open items are told until
// the lot ends, and an owner gets what is left with the lot's age.
func TestLotBodies(t *testing.T) {
	l, blobs := New(), map[flow.Ref][]byte{}
	d := lotDoc("a", 8)
	for i := range d.Items { // several stretches
		d.Items[i].Body = bytes.Repeat([]byte{byte(i)}, LotPartBytes/3)
	}
	at(l, 10, "lot.put", d)
	at(l, 12, "lot.list", ListLot{Lot: "a", Results: []LotResult{done("i0"), done("i1"), done("i2"), done("i4")}})
	stow(l, blobs)
	if n := len(l.Lots["a"].Parts); n < 3 {
		t.Fatalf("%d stretches", n)
	}
	ask := func(id string) Result { return l.Query("lot.item", raw(FindItem{"a", id})) }
	for _, id := range []string{"i0", "i4", "none"} {
		if r := ask(id); r.Code != 404 {
			t.Errorf("%s: %d", id, r.Code)
		}
	}
	for _, n := range []int{3, 5, 7} {
		if x := into[LotBody](t, whole(t, ask(fmt.Sprint("i", n)), blobs)); !bytes.Equal(x.Body, d.Items[n].Body) {
			t.Errorf("item %d has another body", n)
		}
	}
	left := into[LotItems](t, whole(t, l.Query("lot.items", raw("a")), blobs))
	if left.Doc.AgeMS != 2000 || left.Doc.Opened != 10_000 || left.Doc.Owner != "d1" || left.Listed != 4 || !reflect.DeepEqual(left.Doc.Items, append(append([]LotItem{}, d.Items[3]), d.Items[5:]...)) {
		t.Errorf("what is left: %+v", left.Doc.ID)
	}
	at(l, 13, "lot.end", "a")
	if r := ask("i3"); r.Code != 404 {
		t.Errorf("after the end: %d", r.Code)
	}
	if x := into[LotItems](t, whole(t, l.Query("lot.items", raw("a")), blobs)); !x.Ended {
		t.Error("an owner is not told of the end")
	}
	if r := l.Query("lot.items", raw("b")); r.Code != 404 {
		t.Errorf("a lot that is not there: %d", r.Code)
	}
}

// Given lots that have ended and lots that have not, when their time is over,
// then they go with all that lies on the blob store, and not before.
func TestLotsRetire(t *testing.T) {
	l, blobs := New(), map[flow.Ref][]byte{}
	at(l, 100, "lot.put", lotDoc("ended", 3))
	at(l, 100, "lot.put", lotDoc("open", 3))
	at(l, 101, "lot.list", ListLot{Lot: "ended", Results: []LotResult{done("i0")}})
	at(l, 102, "lot.end", "ended")
	if x := into[LotCount](t, at(l, 103, "lot.list", ListLot{Lot: "ended", Results: []LotResult{done("i1")}})); x.Listed != 2 {
		t.Errorf("after the end: %+v", x)
	}
	for _, c := range []struct {
		at   int64
		code [2]Outcome
	}{{160, [2]Outcome{200, 200}}, {161, [2]Outcome{404, 200}}, {369, [2]Outcome{404, 200}}, {371, [2]Outcome{404, 404}}} {
		if c.at == 369 {
			var err error
			if l, err = again(l, blobs); err != nil {
				t.Fatal(err)
			}
		}
		at(l, c.at, "lot.end", "nobody")
		for i, id := range []string{"ended", "open"} {
			if r := l.Query("lot.read", raw(ReadLot{id, 0, 1})); r.Code != c.code[i] {
				t.Errorf("at %d %s: %d", c.at, id, r.Code)
			}
		}
	}
	stow(l, blobs)
	if len(blobs) != 0 || len(l.Lots) != 0 {
		t.Errorf("the blob store still has %d items", len(blobs))
	}
	at(l, 400, "lot.put", lotDoc("late", 1))
	if r := at(l, 461, "lot.list", ListLot{Lot: "late", Results: []LotResult{done("i0")}}); r.Code != 200 {
		t.Errorf("a lot that has not ended, past its results' time: %d", r.Code)
	}
	if r := at(l, 462, "lot.end", "late"); r.Code != 200 {
		t.Errorf("its end: %d", r.Code)
	}
	if r := at(l, 462, "lot.list", ListLot{Lot: "late", Results: nil}); r.Code != 404 {
		t.Errorf("and then: %d", r.Code)
	}
}

// Given an owner that is lost, when the leader names another, then the lot moves
// once, if it still was that owner's, and dispatchers hear of it.
func TestLotOwners(t *testing.T) {
	l := New()
	do(l, "lot.put", lotDoc("a", 1))
	do(l, "lot.put", lotDoc("b", 1))
	have := l.Index
	for _, c := range []struct {
		o    OwnLot
		code Outcome
	}{{OwnLot{"a", "d2", "d3"}, 409}, {OwnLot{"a", "d1", ""}, 409}, {OwnLot{"a", "d1", "d2"}, 200}, {OwnLot{"a", "d1", "d3"}, 409}, {OwnLot{"x", "d1", "d2"}, 404}} {
		if r := do(l, "lot.own", c.o); r.Code != c.code {
			t.Errorf("%+v: %d", c.o, r.Code)
		}
	}
	if d := l.Since(have); !reflect.DeepEqual(d.Lots, []LotRow{{ID: "a", Owner: "d2", Ended: false, Bytes: 70}}) {
		t.Errorf("told: %+v", d.Lots)
	}
	have = l.Index
	do(l, "lot.list", ListLot{Lot: "a", Results: []LotResult{done("i0")}})
	if d := l.Since(have); len(d.Lots) != 0 {
		t.Errorf("a listing was told: %+v", d.Lots)
	}
	do(l, "lot.end", "b")
	if d := l.Since(have); !reflect.DeepEqual(d.Lots, []LotRow{{ID: "b", Owner: "d1", Ended: true}}) {
		t.Errorf("an end: %+v", d.Lots)
	}
	have = l.Index
	if r := do(l, "lot.end", "b"); r.Code != 200 || len(l.Since(have).Lots) != 0 {
		t.Errorf("the same end again: %d", r.Code)
	}
	if r := do(l, "lot.own", OwnLot{"b", "d1", "d2"}); r.Code != 409 {
		t.Errorf("an ended lot moved: %d", r.Code)
	}
	if d := l.Since(0); !reflect.DeepEqual(d.Lots, []LotRow{{ID: "a", Owner: "d2", Ended: false, Bytes: 70}, {ID: "b", Owner: "d1", Ended: true}}) || !reflect.DeepEqual(l.LotRows(), []LotRow{{ID: "a", Owner: "d2", Ended: false, Bytes: 70}}) {
		t.Errorf("all: %+v", d.Lots)
	}
}

// Given any history of lots, steps and plans, when a snapshot is made and loaded at
// any time, then the state goes on as if none had been, and the blob store holds
// exactly what the state names.
func TestSnapshotRoundTrip(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(77)
	p.MinSuccessfulTests = 60
	config := gopter.NewProperties(p)
	config.Property("a snapshot changes nothing", prop.ForAll(func(moves []int) bool {
		a, b, blobs, other := New(), New(), map[flow.Ref][]byte{}, map[flow.Ref][]byte{}
		sec := int64(0)
		for i, m := range moves {
			sec += int64(m % 17)
			id := fmt.Sprint("l", m/8%5)
			kinds := []func() (Kind, any){
				func() (Kind, any) { return "lot.put", lotDoc(id, 1+m%40) },
				func() (Kind, any) {
					return "lot.list", ListLot{Lot: id, Results: []LotResult{done(fmt.Sprint("i", m%7)), done(fmt.Sprint("i", m%11))}}
				},
				func() (Kind, any) {
					return "lot.list", ListLot{Lot: id, Results: []LotResult{done(fmt.Sprint("i", m%5))}}
				},
				func() (Kind, any) { return "lot.end", id },
				func() (Kind, any) { return "lot.own", OwnLot{id, "d1", "d2"} },
				func() (Kind, any) { return "step.open", stepDoc(id, 1, 0, true) },
				func() (Kind, any) { return "result.add", AddEntry{id, entry(m%4, "abcd", Span{0, 4, 1})} },
				func() (Kind, any) {
					return "plan.put", PutPlan{Read: uint64(m % 3), Version: uint64(m % 9), Doc: raw(m)}
				},
			}
			kind, body := kinds[m%len(kinds)]()
			x, y := at(a, sec, kind, body), at(b, sec, kind, body)
			stow(a, blobs)
			stow(b, other)
			if x.Code != y.Code || !bytes.Equal(x.Body, y.Body) {
				return false
			}
			if i%4 == 3 {
				var err error
				if b, err = again(b, other); err != nil {
					return false
				}
			}
		}
		if !bytes.Equal(a.Snapshot(), b.Snapshot()) || !reflect.DeepEqual(a.Items(), b.Items()) || !bytes.Equal(raw(a.Since(0)), raw(b.Since(0))) {
			return false
		}
		stow(a, blobs)
		n := 0
		for kind, ids := range a.Items() {
			for _, id := range ids {
				n++
				if blobs[flow.Ref{Kind: kind, ID: id}] == nil {
					return false
				}
			}
		}
		return n == len(blobs)
	}, gen.SliceOfN(60, gen.IntRange(0, 10_000))))
	config.TestingRun(t)
}

// Given plans with their callers' own versions, when they are put, then versions
// only go up, a repeat is a repeat whoever carries it, and nothing else passes.
func TestPlanVersions(t *testing.T) {
	l := New()
	for _, c := range []struct {
		what          string
		read, version uint64
		request, doc  string
		code          Outcome
		now           uint64
	}{
		{"the first", 0, 5, "a", `"A"`, 200, 5},
		{"said again", 0, 5, "b", `"A"`, 200, 5},
		{"another of that version", 0, 5, "c", `"B"`, 409, 5},
		{"another of that version, read since", 5, 5, "c", `"B"`, 422, 5},
		{"an older one", 5, 4, "d", `"B"`, 422, 5},
		{"from an older one", 4, 6, "e", `"B"`, 409, 5},
		{"a far one", 5, 1000, "f", `"B"`, 200, 1000},
		{"the first once more", 0, 5, "a", `"A"`, 200, 1000},
		{"the same text at a new version", 1000, 1001, "f", `"B"`, 200, 1001},
		{"one without", 1001, 0, "g", `"C"`, 200, 1002},
		{"that again", 1001, 0, "g", `"C"`, 200, 1002},
		{"and its id for another", 1002, 0, "g", `"D"`, 422, 1002},
		{"behind", 1001, 0, "h", `"D"`, 409, 1002},
	} {
		r := do(l, "plan.put", PutPlan{Version: c.version, Read: c.read, Request: c.request, Doc: json.RawMessage(c.doc)})
		if r.Code != c.code || l.Plan().Version != c.now {
			t.Errorf("%s: %d %s, in force %d", c.what, r.Code, r.Body, l.Plan().Version)
		}
	}
	if r := l.Query("plan.get", raw(1000)); r.Code != 200 {
		t.Errorf("an older version reads as %d", r.Code)
	}
}
