package serve

import (
	"testing"
	"time"
)

// Given requests of each kind at engines, when their callers go away, then what may run
// again and what streams is ended at the engines, also where a second engine was asked,
// and what may run once is seen to its end; nothing is sent any more.
func TestCallersThatLeaveEndTheirRequests(t *testing.T) {
	w := two(t)
	call := w.ask("h", "/a/x", 900)
	w.pass(100 * time.Millisecond) // a second engine is asked by now
	sent := w.app()
	w.want(len(sent) == 2, "%d engines are at work", len(sent))
	w.gone(call)
	for _, x := range sent {
		w.want(w.cuts[x.ID], "a repeatable request is ended at %s", x.URL)
	}
	call = w.ask("h", "/s/x", 900)
	opened := w.llm()[0]
	w.head(opened, 1)
	w.gone(call)
	w.want(w.cuts[opened.ID], "a stream is ended")
	call = w.ask("h", "/o/x", 900)
	once := w.app()[0]
	w.gone(call)
	w.want(!w.cuts[once.ID], "one that runs once goes on")
	w.pass(500 * time.Millisecond)
	w.want(len(w.app()) == 1 && len(w.llm()) == 0, "nothing more is sent: %v %v", w.app(), w.llm())
}

// Given a request that waits for an engine, when its caller goes away and an engine
// comes free, then it is not sent.
func TestCallersThatLeaveBeforeASend(t *testing.T) {
	w := newWorld(t)
	w.renew(plan(many))
	call := w.ask("h", "/a/x", 900)
	w.gone(call)
	w.list(seat("e1", "10.0.0.1:1", "app", 4))
	w.pass(100 * time.Millisecond)
	w.want(len(w.at("10.0.0.1:1")) == 0, "nothing is sent")
}
