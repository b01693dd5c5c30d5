package sim

import (
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/ledger"
	"fernlink/shell/disk"
)

// Given a growing number of changes, then what a member costs stays bounded: the
// time and bytes to catch up, the log in memory, the folder and what a start reads.
func TestCostOverChanges(t *testing.T) {
	t.Parallel()
	s := given(t, 640)
	fetched := 0
	s.w.Net.Count = func(kind string, bytes int) {
		if kind == "piece" {
			fetched += bytes
		}
	}
	o := s.operator()
	made := 0
	for _, n := range []int{50, 100, 200, manyChanges} {
		o.through(n-made, time.Minute)
		made = n
		o.left = manyChanges // they go on while a member catches up
		fetched = 0
		h := o.replaced()
		from := s.w.Now
		s.then(s.w.Until(catchUpMost, func() bool { return s.near(h, few) }), "it catches up after %d changes", n)
		took := s.w.Now - from
		s.then(s.w.Until(catchUpMost, s.w.Repaired), "three voters stand again")
		o.left = 0
		s.w.Until(5*time.Second, func() bool { return !o.busy })
		c := o.cost()
		t.Logf("%d changes: caught up after %v with %d bytes of pieces; at most %d log entries in memory, %d bytes a folder; a start reads %d entries in %v",
			n, took, fetched, c.entries, c.folder, c.replayed, c.start)
		s.then(fetched < 4*ledger.KeepPlans*configBytes, "the bytes fetched are bounded: %d", fetched)
		s.then(c.folder < 32<<20, "the folder is bounded: %d", c.folder)
		s.then(c.entries < 4*s.w.Host("store-1").Config.Keep, "the log in memory is bounded: %d", c.entries)
	}
	o.end()
}

// configBytes is more than a configuration takes on a line.
const configBytes = 40 << 10

// memberCost is the most that any member keeps.
type memberCost struct {
	entries, folder, replayed int
	start                     time.Duration // in real time, for the log of the test only
}

func (o *operator) cost() memberCost {
	o.Helper()
	var c memberCost
	for _, h := range o.w.By("store") {
		c.entries = max(c.entries, o.stats(h).Log)
		c.folder = max(c.folder, h.Disk.bytes())
		h.Kill()
		began := time.Now()
		_, d, err := disk.Open(h.Disk)
		c.start = max(c.start, time.Since(began))
		o.then(err == nil, "the folder opens: %v", err)
		c.replayed = max(c.replayed, len(d.Entries))
		h.Start()
		o.then(o.w.Until(budget.Heal, func() bool { return o.w.Repaired() && o.near(h, few) }), "it is back")
	}
	return c
}
