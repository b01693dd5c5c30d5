package gossip

import (
	"encoding/json"
	"math/rand"
	"testing"
	"time"

	"fernlink/core/flow"
)

// Given a machine that said that it is retired, when its process starts again and
// knows nothing of that, then its peers go on counting it as retired, and tell it.
func TestARetiredMachineStaysRetiredAfterARestart(t *testing.T) {
	entry := Entry{ID: "w", Addr: "w", Inc: 1, Beat: 3, Roles: []string{RoleWorker}, Retired: true}
	peer := New(Config{Self: Entry{ID: "p", Addr: "p"}, Rand: rand.New(rand.NewSource(1))})
	peer.Take(time.Second, "w", Body{Entries: []Entry{entry}})

	restarted := New(Config{Self: Entry{ID: "w", Addr: "w", Inc: 2, Roles: []string{RoleWorker}}, Seeds: []string{"p"}, Rand: rand.New(rand.NewSource(2))})
	peer.Take(2*time.Second, "w", Body{Entries: []Entry{restarted.Self()}})
	if live := peer.Live(2 * time.Second); len(live) != 1 || !live[0].Retired {
		t.Fatalf("its peer has %+v", live)
	}
	var out flow.Outbox
	peer.Advance(2*time.Second, &out)
	for _, l := range out.Lines {
		var b Body
		if l.To == "w" && json.Unmarshal(l.Body, &b) == nil {
			restarted.Take(2*time.Second, "p", b)
		}
	}
	if !restarted.Self().Retired {
		t.Fatal("the new process was not told")
	}
}
