package ledger

import (
	"runtime"
	"testing"
)

// configurationsPerDay is the design size of the control side (docs/CAPACITY.md).
const configurationsPerDay = 53_000

// receiptBytesMost bounds what a receipt may take of memory, its share of the
// index and the tail of its page included.
const receiptBytesMost = 64

// Given a day of configurations at the design size, when each left its receipt, then
// memory has no more than a bounded row of each, and a snapshot only the last page.
func TestReceiptsOfADay(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	l := New()
	before := heap()
	for v := uint64(1); v <= configurationsPerDay; v++ {
		l.acknowledge(planVersionID(v, "document"), 1000, v)
	}
	row := float64(heap()-before) / configurationsPerDay
	pages := len(l.Receipts.File())
	state := len(raw(l.Receipts.Snapshot()))
	t.Logf("%.1f bytes of memory a receipt, %d pages on the blob store, %d bytes in a snapshot", row, pages, state)
	if row > receiptBytesMost {
		t.Errorf("a receipt takes %.1f bytes, %d were expected at most", row, receiptBytesMost)
	}
	if pages != configurationsPerDay/1024 || state > 64<<10 {
		t.Errorf("%d pages, a snapshot of %d bytes", pages, state)
	}
}
