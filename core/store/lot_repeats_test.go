package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

func handedIn(id, text string) ledger.PackedLot {
	return ledger.PackLot(ledger.LotDoc{ID: id, Host: "h", Path: "/l", Owner: "o", KeepMS: 60_000, Items: []ledger.LotItem{{ID: "i", Path: "/l/i", Body: []byte(text)}}})
}

// handIn asks as a node does, whose bodies are encoded already.
func (l *lone) handIn(from string, id uint64, p ledger.PackedLot) {
	line, _ := ask.Ask{ID: id, Kind: ledger.KindLotPut, Body: p.Encode()}.Encode()
	var out flow.Outbox
	l.store.Ask(l.now, flow.Line{Addr: from, Body: line}, &out)
	l.lines = append(l.lines, out.Lines...)
}

func wantPut(t *testing.T, a ask.Told, fresh bool) {
	t.Helper()
	var put ledger.LotPut
	if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &put) != nil || put.Fresh != fresh || put.Total != 1 {
		t.Errorf("%+v %s, want fresh %v", a, a.Body, fresh)
	}
}

// Given a lot on its way into the log, when it is handed in again through other nodes,
// then one entry serves all, and one node hears that it is fresh; once it is committed,
// it is answered without an entry.
func TestALotThatIsHandedInAgainIsWrittenOnce(t *testing.T) {
	l := newLone(t)
	writes := l.store.counts["writes"]
	for i := range 5 {
		l.handIn(fmt.Sprint("n:", i), 1, handedIn("a", "x"))
		l.handIn(fmt.Sprint("n:", i), 1, handedIn("a", "x")) // the same try, said again
	}
	if answers := l.told(t); len(answers) != 0 {
		t.Errorf("answered before it is committed: %v", answers)
	}
	for range 5 {
		l.advance(10 * time.Millisecond)
	}
	answers := l.told(t)
	if len(answers) != 5 {
		t.Fatalf("%d answers", len(answers))
	}
	for i := range 5 {
		wantPut(t, answers[fmt.Sprint("n:", i)], i == 0)
	}
	l.handIn("late:1", 7, handedIn("a", "x"))
	wantPut(t, l.told(t)["late:1"], false)
	if n := l.store.counts["writes"] - writes; n != 1 {
		t.Errorf("%d entries", n)
	}
	if r := l.store.lotRepeats; len(r.underWay)+len(r.waiting) != 0 {
		t.Errorf("left: %+v", r)
	}
}

// Given a lot under way, when others come under its id with other content or with its
// content under another id, then each is an entry of its own.
func TestAnotherLotIsNoRepeat(t *testing.T) {
	l := newLone(t)
	l.handIn("n:1", 1, handedIn("a", "x"))
	l.handIn("n:2", 1, handedIn("a", "y"))
	l.handIn("n:3", 1, handedIn("b", "x"))
	for range 5 {
		l.advance(10 * time.Millisecond)
	}
	answers := l.told(t)
	wantPut(t, answers["n:1"], true)
	wantPut(t, answers["n:3"], true)
	if a := answers["n:2"]; a.Code != ledger.Conflict {
		t.Errorf("%+v", a)
	}
	// And the same once the lot is committed.
	l.handIn("n:4", 1, handedIn("a", "z"))
	for range 5 {
		l.advance(10 * time.Millisecond)
	}
	if a := l.told(t)["n:4"]; a.Code != ledger.Conflict {
		t.Errorf("after the commit: %+v", a)
	}
}

// Given a lot whose id does not stand where it is looked for, as builds wrote it that
// did not pack lots, when it is handed in twice, then the ledger sorts it out.
func TestALotThatIsNotPackedIsWritten(t *testing.T) {
	l := newLone(t)
	doc := ledger.LotDoc{ID: "a", Host: "h", Owner: "o", Items: []ledger.LotItem{{ID: "i", Path: "/l/i"}}}
	raw, _ := json.Marshal(doc)
	for i := range 2 {
		line, _ := ask.Ask{ID: 1, Kind: ledger.KindLotPut, Body: raw}.Encode()
		var out flow.Outbox
		l.store.Ask(l.now, flow.Line{Addr: fmt.Sprint("n:", i), Body: line}, &out)
		for range 5 {
			l.advance(10 * time.Millisecond)
		}
	}
	answers := l.told(t)
	wantPut(t, answers["n:0"], true)
	wantPut(t, answers["n:1"], false)
}

// Given a lot that others handed in again, when the leadership is lost before it is
// committed, then all are sent elsewhere.
func TestRepeatsOfALostLeaderAreSentElsewhere(t *testing.T) {
	l := newLone(t)
	for i := range 3 {
		l.handIn(fmt.Sprint("n:", i), 1, handedIn("a", "x"))
	}
	var out flow.Outbox
	l.store.void(&out)
	l.lines = append(l.lines, out.Lines...)
	answers := l.told(t)
	for i := range 3 {
		if a := answers[fmt.Sprint("n:", i)]; !a.Retry {
			t.Errorf("%d: %+v", i, a)
		}
	}
	if r := l.store.lotRepeats; len(r.underWay)+len(r.waiting) != 0 {
		t.Errorf("left: %+v", r)
	}
}
