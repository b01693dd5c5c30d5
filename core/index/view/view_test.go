package view

import (
	"fmt"
	"testing"

	"github.com/go-json-experiment/json/v1"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/index/journal"
)

func record(n int, offset uint64) journal.Record {
	kinds := []string{"store", "store", "read", "drop", "sign"}
	event := disp.Event{Kind: kinds[n%len(kinds)], Rev: 1 + n/7%3, Trainer: fmt.Sprint("t", n/3%2), Blocks: []string{fmt.Sprint("b", n/5%6), fmt.Sprint("b", n/11%6)}}
	if event.Kind == "sign" {
		event.Load, event.Seat = &dialect.Load{Inc: "1", Revision: event.Rev, Slots: 1}, &disp.Seat{Kind: "model", Ready: true}
	}
	id := fmt.Sprint("e", n/13%2)
	if n%17 == 0 {
		return journal.Record{Offset: offset, Kind: journal.Fence, Engine: id}
	}
	return journal.Record{Offset: offset, Kind: journal.Batch, Engine: id,
		Batch: &disp.Batch{Engine: id, Inc: "1", Writer: fmt.Sprint("w", n%2), Full: n%19 == 0, Events: []disp.Event{event}}}
}

// Given any stream of records, when each is folded twice, then the views hold
// the same blocks as when it is folded once, and usage is what the directory
// adds up to.
func TestFoldingTwiceChangesNothing(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(31)
	p.MinSuccessfulTests = 200
	config := gopter.NewProperties(p)
	config.Property("idempotent, and usage adds up", prop.ForAll(func(ns []int) bool {
		once, twice := New(), New()
		for i, n := range ns {
			r := record(n, uint64(i+1))
			once.Fold(r)
			twice.Fold(r)
			twice.Fold(r)
		}
		for _, views := range []*Views{once, twice} {
			sum := map[string]int64{}
			for id, dir := range views.Directory {
				for _, b := range dir {
					sum[id] += int64(b.Size)
					b.Count = 0 // reads are counted each time
				}
			}
			for id, n := range views.Engines {
				if sum[id] != n {
					return false
				}
			}
		}
		a, _ := json.Marshal([]any{once.Directory, once.Engines, once.Trainers})
		b, _ := json.Marshal([]any{twice.Directory, twice.Engines, twice.Trainers})
		return string(a) == string(b)
	}, gen.SliceOfN(40, gen.IntRange(0, 1<<20))))
	config.TestingRun(t)
}

// Given blocks under older weights than the engine serves, when a prefix is
// looked up, then they are no hit.
func TestOtherWeightsAreNoHit(t *testing.T) {
	views := New()
	put := func(rev int, blocks ...string) {
		views.Fold(journal.Record{Kind: journal.Batch, Engine: "e", Batch: &disp.Batch{Engine: "e", Inc: "1", Writer: "w", Events: []disp.Event{
			{Kind: "sign", Load: &dialect.Load{Inc: "1", Revision: rev}, Seat: &disp.Seat{Kind: "model", Ready: true}},
			{Kind: "store", Rev: rev, Blocks: blocks}}}})
	}
	put(1, "a", "b")
	if h := views.Hits([]string{"a", "b", "c"}); h["e"] != 2 {
		t.Fatalf("hits: %v", h)
	}
	put(2, "a")
	if h := views.Hits([]string{"a", "b", "c"}); h["e"] != 1 {
		t.Fatalf("hits under new weights: %v", h)
	}
}
