package store

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// lone is a cluster of one store, whose disk syncs at once unless it stalls.
type lone struct {
	store *Store
	stall bool
	now   flow.Time
	wall  int64 // date, in milliseconds
	batch uint64
	lines []flow.Line
	notes []flow.Note
	disk  Disk // what it has saved; no snapshot is made
}

func loneConfig(disk Disk) Config {
	return Config{ID: "s", Addr: "s:1", Form: []string{"s:1"}, First: true, Keep: 1000, Bounds: ledger.Usual, Rand: rand.New(rand.NewSource(1)), Disk: disk}
}

func newLone(t *testing.T) *lone {
	t.Helper()
	s, err := New(time.Hour, loneConfig(Disk{}))
	if err != nil {
		t.Fatal(err)
	}
	l := &lone{store: s, now: time.Hour, wall: 1_700_000_000_000}
	for range 300 {
		l.advance(10 * time.Millisecond)
	}
	if !s.raft.Ready() {
		t.Fatal("it does not lead")
	}
	return l
}

func (l *lone) advance(d flow.Time) {
	l.now += d
	var out flow.Outbox
	self := gossip.Entry{ID: "s", Addr: "s:1", Roles: []string{"store"}, Blank: l.store.Blank(), Member: true, Cluster: l.store.Known().Cluster}
	l.store.Advance(l.now, l.wall, nil, self, &out)
	l.disk.keep(out.Save)
	if len(out.Save) > 0 {
		l.batch++
		l.store.Mark(l.batch)
	}
	if !l.stall {
		l.store.Synced(l.batch)
	}
	l.lines = append(l.lines, out.Lines...)
	l.notes = append(l.notes, out.Notes...)
}

// keep applies saves to what a disk holds.
func (d *Disk) keep(saves []flow.Save) {
	for _, save := range saves {
		if save.Hard != nil {
			d.Hard = *save.Hard
		}
		if save.Cut > 0 {
			d.Entries = slices.DeleteFunc(d.Entries, func(e flow.Entry) bool { return e.Index >= save.Cut })
		}
		d.Entries = append(d.Entries, save.Add...)
	}
}

func (l *lone) ask(from string, id uint64, kind ledger.Kind, question any) {
	raw, _ := json.Marshal(question)
	line, _ := json.Marshal(ask.Ask{ID: id, Kind: kind, Body: raw})
	var out flow.Outbox
	l.store.Ask(l.now, flow.Line{Addr: from, Body: line}, &out)
	l.lines = append(l.lines, out.Lines...)
}

// told gives the answers to those who asked, and forgets them.
func (l *lone) told(t *testing.T) map[string]ask.Told {
	t.Helper()
	answers := map[string]ask.Told{}
	for _, line := range l.lines {
		if line.Kind != "told" {
			continue
		}
		var a ask.Told
		if err := json.Unmarshal(line.Body, &a); err != nil {
			t.Fatal(err)
		}
		answers[line.To] = a
	}
	l.lines = nil
	return answers
}

const holders = 78

func (l *lone) renewAll(have func(i int) uint64) {
	for i := range holders {
		l.ask(fmt.Sprint("d:", i), 1, "renew", Renew{ID: fmt.Sprintf("d%d.1", i), Have: have(i)})
	}
}

func TestRenewalsOfAShortWhileAreProvedTogether(t *testing.T) {
	// Given a leader.
	l := newLone(t)
	tokens := l.store.token
	// When all dispatchers renew within one round.
	l.renewAll(func(int) uint64 { return 0 })
	for range 5 {
		l.advance(10 * time.Millisecond)
	}
	// Then one read proves them, all are answered and all hold a lease.
	if n := l.store.token - tokens; n != 1 {
		t.Errorf("%d reads", n)
	}
	answers := l.told(t)
	for i := range holders {
		if a := answers[fmt.Sprint("d:", i)]; a.Code != 200 {
			t.Fatalf("dispatcher %d: %+v", i, a)
		}
	}
	if len(l.store.seen) != holders {
		t.Errorf("%d holders", len(l.store.seen))
	}
}

func TestARenewalIsAnsweredWithinItsBatch(t *testing.T) {
	// Given a leader that has proved renewals a moment ago.
	l := newLone(t)
	l.ask("d:1", 1, "renew", Renew{ID: "d1.1"})
	l.advance(10 * time.Millisecond)
	// When another comes.
	l.ask("d:2", 1, "renew", Renew{ID: "d2.1"})
	for range int((budget.RenewBatchInterval + 20*time.Millisecond) / (10 * time.Millisecond)) {
		l.advance(10 * time.Millisecond)
	}
	// Then it waits no longer than a batch and a tick.
	if a := l.told(t)["d:2"]; a.Code != 200 {
		t.Errorf("%+v", a)
	}
}

func TestAnswersToRenewalsAreEncodedOnceAnIndex(t *testing.T) {
	// Given dispatchers of which half have the newest state, and half have none.
	l := newLone(t)
	index := l.store.ledger.Index
	l.renewAll(func(i int) uint64 { return uint64(i%2) * index })
	// When they are answered.
	for range 5 {
		l.advance(10 * time.Millisecond)
	}
	// Then each of the two answers was encoded once, and is that of the ledger.
	if n := len(l.store.renewals.encoded.bodies); n != 2 {
		t.Errorf("%d answers were encoded", n)
	}
	answers := l.told(t)
	for i := range holders {
		want := string(body(l.store.ledger.Since(uint64(i%2) * index)))
		if got := string(answers[fmt.Sprint("d:", i)].Body); got != want {
			t.Fatalf("dispatcher %d: %s, not %s", i, got, want)
		}
	}
	// And a change of the ledger is told from the next renewal on.
	l.ask("o:1", 1, "target.put", ledger.Target{Pool: "m", Revision: 7})
	l.advance(10 * time.Millisecond)
	l.advance(10 * time.Millisecond)
	l.ask("d:0", 2, "renew", Renew{ID: "d0.1", Have: index, Heard: 1})
	for range 5 {
		l.advance(10 * time.Millisecond)
	}
	var d ledger.Delta
	if err := json.Unmarshal(l.told(t)["d:0"].Body, &d); err != nil || len(d.Targets) != 1 || d.Targets[0].Revision != 7 {
		t.Errorf("%+v, %v", d, err)
	}
}

func TestRenewalsThatWaitAreSentElsewhereByALostLeader(t *testing.T) {
	// Given a leader with renewals that wait for a proof.
	l := newLone(t)
	l.renewAll(func(int) uint64 { return 0 })
	// When it loses its place.
	var out flow.Outbox
	l.store.void(&out)
	l.lines = out.Lines
	// Then all are told to ask again, and none waits.
	if n := len(l.told(t)); n != holders || len(l.store.renewals.waiting) != 0 {
		t.Errorf("%d were told, %d wait", n, len(l.store.renewals.waiting))
	}
}

func TestWaitingRenewalsAreBounded(t *testing.T) {
	// Given a leader that proves nothing meanwhile.
	l := newLone(t)
	// When more renewals come than may wait.
	for i := range renewalsMost + 10 {
		l.store.renew(l.now, wait{addr: "d:1", ask: ask.Ask{ID: uint64(i)}}, nil)
	}
	// Then the rest is dropped and counted.
	if n := len(l.store.renewals.waiting); n != renewalsMost || l.store.counts["renewals_dropped"] != 10 {
		t.Errorf("%d wait, %d dropped", n, l.store.counts["renewals_dropped"])
	}
}
