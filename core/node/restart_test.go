package node

import (
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/gossip"
)

// firstAskOf starts a node and gives the id of its first ask.
func firstAskOf(t *testing.T, incarnation, seed int64) uint64 {
	t.Helper()
	n, err := New(0, Config{ID: "named by its address", Inc: incarnation, Addr: "127.0.0.1:2", Roles: []string{"dispatcher"},
		Seeds: []string{"127.0.0.1:1"}, BlocksMost: 64, Seed: seed,
		Known: gossip.Known{Cluster: "c", At: 1, Stores: []string{"127.0.0.1:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for now := flow.Time(0); now < 5*time.Second; now += 10 * time.Millisecond {
		out := n.Advance(now, 1, nil)
		for _, l := range out.Lines {
			var a ask.Ask
			if (l.Kind == ask.Line || l.Kind == ask.LeaseLine) && json.Unmarshal(l.Body, &a) == nil {
				return a.ID
			}
		}
	}
	t.Fatal("it asks nothing")
	return 0
}

// Given two starts at one address under one wall time, the clock having been set back,
// when both ask, then no answer to an ask of the first fits an ask of the second.
func TestAsksOfTwoStartsDiffer(t *testing.T) {
	const countedMost = 1 << 32 // asks that one start makes at the most
	first, second := firstAskOf(t, 100, 1), firstAskOf(t, 100, 2)
	if apart := max(first, second) - min(first, second); apart < countedMost {
		t.Errorf("%d and %d are %d apart", first, second, apart)
	}
}
