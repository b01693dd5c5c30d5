package serve

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// itemReader reads a lot of the test's own dialect item by item.
type itemReader struct {
	doc  ledger.LotDoc
	body []byte
	at   int
	err  error
}

func openItems(id string, body []byte) dialect.LotReader {
	r := &itemReader{body: body}
	if err := json.Unmarshal(body, &r.doc); err != nil {
		r.err = err
	}
	r.doc.ID = id
	return r
}

func (r *itemReader) Next() (ledger.LotItem, bool, error) {
	if r.err != nil || r.at == len(r.doc.Items) {
		return ledger.LotItem{}, false, r.err
	}
	item := r.doc.Items[r.at]
	if r.at++; item.Path == "" {
		r.err = errors.New("an item without a path")
		return ledger.LotItem{}, false, r.err
	}
	return item, true, nil
}

func (r *itemReader) Head() ledger.LotDoc {
	head := r.doc
	head.Items = nil
	return head
}

func (r *itemReader) Offset() int {
	if len(r.doc.Items) == 0 {
		return len(r.body)
	}
	return len(r.body) * r.at / len(r.doc.Items)
}

// inParts is a world whose large lots are handed in in parts.
func inParts(t *testing.T) *world {
	w := two(t)
	w.s.env.Codec.OpenLot = openItems
	return w
}

// bulky is a lot of so many items of 40 kB.
func bulky(items int) ledger.LotDoc {
	doc := ledger.LotDoc{Model: "m", Least: 1, Wanted: items}
	for n := range items {
		doc.Items = append(doc.Items, ledger.LotItem{ID: fmt.Sprint("i", n), Group: fmt.Sprint("g", n/4), Path: "/l/i", Body: bytes.Repeat([]byte{byte('a' + n%26)}, 40<<10), Tokens: 10})
	}
	return doc
}

// handInDoc hands a lot in and gives the call.
func (w *world) handInDoc(lot string, doc ledger.LotDoc) uint64 {
	body, _ := json.Marshal(doc)
	return w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: body, Fields: []flow.Field{{Name: "Try", Value: lot}}})
}

// mostCommand gives the largest line to the store, in bytes, and how many there were.
func (w *world) mostCommand() (most, lines int) {
	for _, l := range w.lines {
		if l.Kind == "ask" {
			most, lines = max(most, len(l.Body)), lines+1
		}
	}
	return most, lines
}

// Guards against a lot within the limits of a body that no peer's line can carry.
//
// Given a lot of 10 MB, when it is handed in, then it is accepted, no line to the store or
// from it is large, and its owner runs each item with its own body.
func TestALargeLotIsHandedInInParts(t *testing.T) {
	w := inParts(t)
	doc := bulky(200)
	call := w.handInDoc("large", doc)
	for n := 0; n < 300 && w.reply(call).Code == 0; n++ {
		w.turn(10 * time.Millisecond)
	}
	w.want(w.reply(call).Code == 202, "it is accepted: %d %s", w.reply(call).Code, w.reply(call).Body)
	if most, lines := w.mostCommand(); most > 1<<20 || lines < 40 {
		t.Errorf("%d lines of up to %d bytes", lines, most)
	}
	w.renew(nil)
	w.pass(500 * time.Millisecond)
	held, running, _ := w.s.lots.Items()
	w.want(held+running == 200, "its owner has %d items", held+running)
	for _, send := range w.llm() {
		n := 0
		_, _ = fmt.Sscanf(send.Match, "i%d", &n)
		w.want(bytes.Equal(send.Body, doc.Items[n].Body), "item %s runs with another body", send.Match)
	}
	again := w.handInDoc("large", doc)
	_, before := w.mostCommand()
	for n := 0; n < 300 && w.reply(again).Code == 0; n++ {
		w.turn(10 * time.Millisecond)
	}
	_, after := w.mostCommand()
	w.want(w.reply(again).Code == 202 && after-before < 10, "a repeat: %d after %d lines", w.reply(again).Code, after-before)
	other := bulky(200)
	other.Items[3].Body[0] = 'z'
	call = w.handInDoc("large", other)
	w.pass(time.Second)
	w.want(w.reply(call).Code == 409, "other content under its id: %d", w.reply(call).Code)
}

// Given a large lot whose item can't be read, or that no process can run, when it is handed
// in, then it is refused and nothing of it is kept.
func TestALargeLotThatCannotBeTakenIsRefusedAtOnce(t *testing.T) {
	w := inParts(t)
	bad := bulky(100)
	bad.Items[99].Path = ""
	call := w.handInDoc("bad", bad)
	w.pass(500 * time.Millisecond)
	w.want(w.reply(call).Code == 400, "one that can't be read: %d", w.reply(call).Code)
	w.others = []gossip.Entry{{ID: "me", Addr: "me", Roles: []string{"dispatcher"}, Memory: 12}}
	w.s.env.Me = "me.0"
	call = w.handInDoc("roomless", bulky(100))
	w.pass(500 * time.Millisecond)
	w.want(w.reply(call).Code == 202, "where one has a memory that is not known: %d", w.reply(call).Code)
	w.want(len(w.led.Staged) == 0, "parts are left: %d", len(w.led.Staged))
	w.led.Bounds.LotBytes = 6 << 20
	call = w.handInDoc("full", bulky(200))
	w.pass(500 * time.Millisecond)
	w.want(w.reply(call).Code == 503 && w.reply(call).Head["Retry-After"] != "", "where the disk has no room: %d", w.reply(call).Code)
	w.want(w.led.Lots["full"] == nil && w.s.lots.HandIns() == 0, "something of it is left")
}

// Given a large lot whose trainer leaves, or whose store falls silent, when it is handed in
// again, then the store is sent only what it lacks, and the lot is taken once.
func TestAHandInThatBrokeOffGoesOn(t *testing.T) {
	w := inParts(t)
	doc := bulky(200)
	call := w.handInDoc("large", doc)
	w.pass(400 * time.Millisecond)
	var out flow.Outbox
	w.s.Gone(w.now, call, &out)
	w.pass(100 * time.Millisecond)
	there := 0
	for _, staged := range w.led.Staged {
		there = len(staged.Parts)
	}
	w.want(there > 5 && w.s.lots.HandIns() == 0, "%d parts are there", there)
	w.silent = true
	call = w.handInDoc("large", doc)
	w.pass(2 * time.Second)
	w.want(w.reply(call).Code == 0, "answered without the store: %d", w.reply(call).Code)
	w.silent = false
	_, before := w.mostCommand()
	for n := 0; n < 1000 && w.reply(call).Code == 0; n++ {
		w.turn(10 * time.Millisecond)
	}
	_, after := w.mostCommand()
	parts := 0
	for _, lot := range w.led.Lots {
		parts = len(lot.Parts)
	}
	w.want(w.reply(call).Code == 202 && after-before < parts, "%d after %d lines for %d pieces", w.reply(call).Code, after-before, parts)
	w.want(reflect.DeepEqual(w.led.Lots["large"].IDs[:2], []string{"i0", "i1"}), "its items")
}

// Given a store whose leader is of an earlier build, when a large lot is handed in, then it
// goes there as a whole, as it did.
func TestALargeLotGoesWholeToAnEarlierBuild(t *testing.T) {
	w := inParts(t)
	w.told = map[ledger.Kind]ledger.Result{ledger.KindLotParts: {Code: ledger.Invalid, Body: []byte(`{"error":"no such ask"}`)}, ledger.KindLotPage: {Code: ledger.Invalid}}
	call := w.handInDoc("large", bulky(100))
	for n := 0; n < 300 && w.reply(call).Code == 0; n++ {
		w.turn(10 * time.Millisecond)
	}
	w.want(w.reply(call).Code == 202, "it is accepted: %d", w.reply(call).Code)
	w.renew(nil)
	w.pass(500 * time.Millisecond)
	held, running, _ := w.s.lots.Items()
	w.want(held+running == 100, "its owner has %d items", held+running)
}
