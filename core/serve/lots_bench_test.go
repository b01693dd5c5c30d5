package serve

import (
	"fmt"
	"testing"
	"time"

	"fernlink/core/flow"
)

// Sizes of a large deployment's pool and of its largest lot.
const (
	benchEngines = 38
	benchSlots   = 6
	benchGroups  = 37
	benchGroup   = 16
)

// largeOwner is an owner of one lot whose engines are all full.
func largeOwner(t testing.TB) (*world, []flow.Send) {
	w := newWorld(t)
	for n := range benchEngines {
		w.seats = append(w.seats, seat(fmt.Sprintf("m%02d", n), fmt.Sprintf("10.0.1.%d:1", n), "llm", benchSlots, "m"))
	}
	w.pass(2 * time.Second)
	w.renew(plan(many, once, stream, samples))
	w.lot(benchGroups, benchGroup, 1)
	var open []flow.Send
	for _, id := range w.order {
		open = append(open, w.sends[id])
	}
	if len(open) != benchEngines*benchSlots {
		t.Fatalf("%d items run", len(open))
	}
	for _, x := range open {
		w.head(x, 1)
	}
	return w, open
}

// BenchmarkOwnerEvent is what one streamed event costs an owner whose engines are
// all full, with the turn that it brings on.
func BenchmarkOwnerEvent(b *testing.B) {
	w, open := largeOwner(b)
	next := make([]int, len(open))
	for n := 0; b.Loop(); n++ {
		k := n % len(open)
		w.now += 100 * time.Microsecond
		var out flow.Outbox
		w.s.Bind(w.now, &out)
		w.s.Back(w.now, flow.Back{ID: open[k].ID, Event: fmt.Appendf(nil, "id: %d\ndata: text", next[k])}, &out)
		next[k]++
		w.s.Advance(w.now, w.others, &out)
	}
}

// BenchmarkOwnerTurn is the turn alone.
func BenchmarkOwnerTurn(b *testing.B) {
	w, _ := largeOwner(b)
	for b.Loop() {
		var out flow.Outbox
		w.s.Advance(w.now, w.others, &out)
	}
}

// turnAllocations is more than a turn without news may take, whatever an owner has.
const turnAllocations = 32

// A turn without news does not look through all items: a process takes thousands of
// turns a second while events come in.
func TestATurnWithoutNewsDoesNotLookThroughAllItems(t *testing.T) {
	w, _ := largeOwner(t)
	got := testing.AllocsPerRun(100, func() {
		var out flow.Outbox
		w.s.Advance(w.now, w.others, &out)
	})
	w.want(got <= turnAllocations, "a turn takes %v allocations", got)
}
