package serve

import (
	"testing"
	"time"

	"fernlink/core/flow"
)

// kept answers a send over a connection that is kept for a while.
func (w *world) kept(x flow.Send) {
	w.back(flow.Back{ID: x.ID, End: true, Code: 200, Body: []byte("ok"), KeptFor: time.Second})
}

// Given engines that are alike, when requests come one after the other, then they go where a
// connection is idle, though nothing is known of the others.
func TestAnEngineWithAnIdleConnectionComesFirst(t *testing.T) {
	w := given(t, seat("e1", "10.0.0.1:1", "app", 4), seat("e2", "10.0.0.2:1", "app", 4), seat("e3", "10.0.0.3:1", "app", 4))
	at := func() flow.Send {
		w.ask("h", "/a/x", 900)
		for _, addr := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
			if open := w.at(addr); len(open) > 0 {
				return open[len(open)-1]
			}
		}
		t.Fatal("nothing was sent")
		return flow.Send{}
	}
	first := at()
	w.pass(20 * time.Millisecond)
	w.kept(first)
	for range 20 {
		w.pass(40 * time.Millisecond)
		x := at()
		w.want(x.URL == first.URL, "sent to %s, and %s has an idle connection", x.URL, first.URL)
		w.pass(20 * time.Millisecond)
		w.kept(x)
	}
}
