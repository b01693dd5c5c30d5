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
	peer := serve(t, func(n int64, c *talk) {
		c.ask()
		c.say(ok2)
		if q, _ := c.ask(); q == nil {
			return
		}
		read <- true
		_, err := c.r.ReadByte()
		hold <- err != nil
	})
	client := caller(t)
	client.do(flow.Send{URL: peer.url, Keep: true})
	id := client.start(flow.Send{URL: peer.url, Keep: true})
	wait(t, read)
	client.c.Cut(id)
	if !wait(t, hold) {
		t.Error("the connection is open")
	}
	client.c.Close()
	if len(client.got) != 0 {
		t.Errorf("heard %+v", <-client.got)
	}
}

// Given a server that takes a request and says nothing, when the limit is over,
// then the send ends, and may have run.
func TestLimit(t *testing.T) {
	peer := serve(t, func(_ int64, c *talk) {
		c.ask()
		c.ask()
	})
	b, _ := caller(t).do(flow.Send{URL: peer.url, Keep: true, Limit: clock.Now() + 50*time.Millisecond})
	if b.Err == "" || b.Failure == flow.Unsent {
		t.Errorf("%+v", b)
	}
	wait(t, peer.ended)
}
