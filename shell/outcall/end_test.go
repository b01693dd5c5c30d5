package outcall

import (
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

// Given a send that is cut while it waits, when its connection closes, then
// nothing more is heard of it, and the connection serves nobody else.
func TestCutCloses(t *testing.T) {
	read, hold := make(chan bool), make(chan bool)
	p := serve(t, func(n int64, c *talk) {
		c.ask()
		c.say(ok2)
		if q, _ := c.ask(); q == nil {
			return
		}
		read <- true
		_, err := c.r.ReadByte()
		hold <- err != nil
	})
	k := caller(t)
	k.do(flow.Send{URL: p.url, Keep: true})
	id := k.start(flow.Send{URL: p.url, Keep: true})
	wait(t, read)
	k.c.Cut(id)
	if !wait(t, hold) {
		t.Error("the connection is open")
	}
	k.c.Close()
	if len(k.got) != 0 {
		t.Errorf("heard %+v", <-k.got)
	}
}

// Given a server that takes a request and says nothing, when the limit is over,
// then the send ends, and may have run.
func TestLimit(t *testing.T) {
	p := serve(t, func(_ int64, c *talk) {
		c.ask()
		c.ask()
	})
	b, _ := caller(t).do(flow.Send{URL: p.url, Keep: true, Limit: clock.Now() + 50*time.Millisecond})
	if b.Err == "" || b.Failure == flow.Unsent {
		t.Errorf("%+v", b)
	}
	wait(t, p.ended)
}
