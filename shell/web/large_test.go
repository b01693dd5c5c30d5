package web

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernlink/core/flow"
)

// Guards against review/10 where several come at once: a large configuration takes many times its
// size while it is read.
//
// Given a route that rewrites its calls, when several large ones come at once, then one is under
// way at a time, small ones pass meanwhile, and those that have waited for long are told to come
// again.
func TestLargeCallsAreRewrittenOneAtATime(t *testing.T) {
	var rewritten atomic.Int64
	into := func(c *flow.Call) *flow.Reply {
		if len(c.Body) >= largeCall {
			rewritten.Add(1)
		}
		return nil
	}
	h := opened(t, Listener{Routes: []Route{{Verb: "PUT", Path: "/config", Name: "in", Into: into}}}, nil)
	put := func(size int) *line {
		l := h.dial()
		_, _ = io.WriteString(l, fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		return l
	}
	first := put(largeCall)
	firstID := wait(t, h.calls).ID
	second := put(largeCall)
	put(100)
	if c := wait(t, h.calls); len(c.Body) != 100 {
		t.Fatalf("%d bytes", len(c.Body))
	}
	time.Sleep(largeCallWait / 4)
	if n := rewritten.Load(); n != 1 {
		t.Fatalf("%d large calls are under way", n)
	}
	h.Reply(flow.Reply{ID: firstID, Code: 200})
	if r, _, err := first.answer(); err != nil || r.StatusCode != 200 {
		t.Fatalf("%v %v", r, err)
	}
	secondID := wait(t, h.calls).ID
	third := put(largeCall)
	if r, _, err := third.answer(); err != nil || r.StatusCode != 503 || r.Header.Get("Retry-After") != "1" {
		t.Errorf("one that waited for long: %v %v", r, err)
	}
	h.Reply(flow.Reply{ID: secondID, Code: 200})
	if r, _, err := second.answer(); err != nil || r.StatusCode != 200 {
		t.Errorf("%v %v", r, err)
	}
	if n := rewritten.Load(); n != 2 {
		t.Errorf("%d were rewritten", n)
	}
}
