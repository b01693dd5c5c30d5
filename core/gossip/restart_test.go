package gossip

import (
	"math/rand"
	"testing"
	"time"
)

// process starts a process that keeps nothing, so that its address names it.
func process(incarnation int64) *Gossip {
	self := Entry{ID: "named by its address", Addr: "10.0.0.1:1", Inc: incarnation}
	return New(Config{Self: self, Rand: rand.New(rand.NewSource(1))})
}

// Given a process that keeps nothing, and whose clock stands before that of an earlier
// start of it, when it hears of that start, then it is newer to all, under the name
// that its parts were given.
func TestAStartOfTheSameNameUnderAnEarlierClock(t *testing.T) {
	earlier := Entry{ID: "named by its address", Addr: "10.0.0.1:1", Inc: 200, Beat: 9}
	for what, heard := range map[string]struct {
		own  int64
		body Body
	}{
		"an entry":                       {100, Body{Entries: []Entry{earlier}}},
		"an entry of the same wall time": {200, Body{Entries: []Entry{earlier}}},
		"a heartbeat":                    {100, Body{Beats: Heartbeats{{Addr: earlier.Addr, Inc: earlier.Inc, Beat: earlier.Beat}}}},
	} {
		g := process(heard.own)
		name := g.Self().Start()
		g.Take(time.Second, "10.0.0.2:1", heard.body)
		if g.Self().Inc <= earlier.Inc {
			t.Errorf("%s: %d stays older than %d", what, g.Self().Inc, earlier.Inc)
		}
		if g.Self().Start() != name {
			t.Errorf("%s is now %s", name, g.Self().Start())
		}
	}
}

// Given a process that hears its own entry back, when that is not from another start,
// then it stays who it is.
func TestAnEchoIsNoOtherStart(t *testing.T) {
	g := process(100)
	g.Take(time.Second, "10.0.0.2:1", Body{Entries: []Entry{g.Self()}})
	if g.Self().Inc != 100 {
		t.Errorf("it is %d now", g.Self().Inc)
	}
}
