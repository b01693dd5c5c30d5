package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

func aPlan(version, read uint64) ledger.PutPlan {
	return ledger.PutPlan{Version: version, Read: read, Doc: json.RawMessage(fmt.Sprintf(`{"pools":[],"routes":[],"n":%d}`, version))}
}

func (l *lone) turns(n int) {
	for range n {
		l.advance(10 * time.Millisecond)
	}
}

// commands counts the entries that the store was asked to write.
func (l *lone) commands() int { return l.store.counts["writes"] }

func TestAnOrderUnderWayIsInTheLogOnce(t *testing.T) {
	for kind, order := range map[ledger.Kind]any{ledger.KindPlanPut: aPlan(7, 0), ledger.KindTargetPut: ledger.PutTarget{Pool: "p", Revision: 2}} {
		// Given a leader whose commits take long.
		l := newLone(t)
		l.stall = true
		before := l.commands()
		// When an order comes again by other nodes before it is committed.
		for i := range 5 {
			l.ask(fmt.Sprint("d:", i), 1, kind, order)
			l.turns(60)
		}
		// Then it has one entry, and nobody is answered.
		if n := l.commands() - before; n != 1 {
			t.Errorf("%s: %d entries", kind, n)
		}
		if answers := l.told(t); len(answers) > 0 {
			t.Errorf("%s: answered before the commit: %v", kind, answers)
		}
		// And when it is committed, all are answered.
		l.stall = false
		l.turns(5)
		answers := l.told(t)
		for i := range 5 {
			if a := answers[fmt.Sprint("d:", i)]; a.Code != 200 {
				t.Errorf("%s: node %d: %+v", kind, i, a)
			}
		}
	}
}

func TestAnAcknowledgedOrderIsProvedAndNotWritten(t *testing.T) {
	for kind, order := range map[ledger.Kind]any{ledger.KindPlanPut: aPlan(7, 0), ledger.KindTargetPut: ledger.PutTarget{Pool: "p", Revision: 2}} {
		// Given an order that was acknowledged.
		l := newLone(t)
		l.ask("d:0", 1, kind, order)
		l.turns(5)
		if a := l.told(t)["d:0"]; a.Code != 200 {
			t.Fatalf("%s: %+v", kind, a)
		}
		before := l.commands()
		// When it comes again.
		l.ask("d:1", 1, kind, order)
		// Then nothing is said before a read is proved.
		if answers := l.told(t); len(answers) > 0 {
			t.Errorf("%s: answered without a proof", kind)
		}
		// And then it is acknowledged, without another entry.
		l.turns(10)
		if a := l.told(t)["d:1"]; a.Code != 200 {
			t.Errorf("%s: %+v", kind, a)
		}
		if n := l.commands() - before; n != 0 {
			t.Errorf("%s: %d entries more", kind, n)
		}
	}
}

func TestARefusedOrderIsJudgedAgain(t *testing.T) {
	// Given a plan that was refused, as it names a version that is not in force.
	l := newLone(t)
	second := aPlan(9, 7)
	l.ask("d:0", 1, ledger.KindPlanPut, second)
	l.ask("d:1", 1, ledger.KindPlanPut, second)
	l.turns(5)
	for node, a := range l.told(t) {
		if a.Code != 409 {
			t.Fatalf("%s: %+v", node, a)
		}
	}
	// When that version is in force, and it comes again.
	l.ask("d:0", 2, ledger.KindPlanPut, aPlan(7, 0))
	l.turns(5)
	l.told(t)
	l.ask("d:1", 2, ledger.KindPlanPut, second)
	l.turns(10)
	// Then it is taken.
	if a := l.told(t)["d:1"]; a.Code != 200 {
		t.Errorf("%+v", a)
	}
}

func TestRepeatsAreVoidWithTheLead(t *testing.T) {
	// Given an order under way, its repeat, and a repeat of one that was acknowledged.
	l := newLone(t)
	l.ask("d:0", 1, ledger.KindPlanPut, aPlan(7, 0))
	l.turns(5)
	l.told(t)
	l.stall = true
	l.ask("d:1", 1, ledger.KindPlanPut, aPlan(9, 7))
	l.ask("d:2", 1, ledger.KindPlanPut, aPlan(9, 7))
	l.ask("d:3", 1, ledger.KindPlanPut, aPlan(7, 0))
	// When the lead is lost.
	var out flow.Outbox
	l.store.void(&out)
	l.lines = append(l.lines, out.Lines...)
	// Then all are sent elsewhere, and nothing is remembered.
	answers := l.told(t)
	for _, node := range []string{"d:1", "d:2", "d:3"} {
		if !answers[node].Retry {
			t.Errorf("%s: %+v", node, answers[node])
		}
	}
	if r := l.store.repeats; len(r.index)+len(r.joined)+len(r.proved)+len(r.oldest) > 0 {
		t.Errorf("%+v", r)
	}
}

func TestRememberedOrdersAreBounded(t *testing.T) {
	// Given a leader.
	l := newLone(t)
	// When more orders come than it remembers.
	for v := range uint64(repeatsMost + 50) {
		l.ask("d:0", v, ledger.KindPlanPut, aPlan(v+1, v))
		l.turns(1)
	}
	// Then the oldest are forgotten.
	if n := len(l.store.repeats.index); n > repeatsMost || n != len(l.store.repeats.oldest) {
		t.Errorf("%d are remembered, %d in order", n, len(l.store.repeats.oldest))
	}
}
