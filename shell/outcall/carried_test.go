package outcall

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"fernlink/core/flow"
)

// named is an engine's whole answer that bears a name.
func named(code int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", code, id, len(body), body)
}

// copyPause is how long after an answer its copy comes.
const copyPause = 30 * time.Millisecond

// Guards against review/9: an item's answer of 500 that came a second time on its connection
// was taken for the answer to the item's next try.
//
// Given an engine whose answer, of any status, comes again after a while on its kept
// connection, when the same name is sent once more at once, then it goes on another connection
// and gets its own answer.
func TestANameIsNotSentTwiceOnOneConnection(t *testing.T) {
	for _, code := range []int{200, 422, 429, 500, 503} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			peer := serve(t, func(n int64, c *talk) {
				if q, _ := c.ask(); q == nil {
					return
				}
				first := named(code, "me", fmt.Sprint("answer on connection ", n))
				c.say(first)
				time.Sleep(copyPause)
				c.say(first)
				for q, _ := c.ask(); q != nil; q, _ = c.ask() {
					c.say(named(200, "me", "a try that came on a connection that had carried it"))
				}
			})
			k := caller(t)
			for try := 1; try <= 3; try++ {
				b, _ := k.do(flow.Send{URL: peer.url, Keep: true, Name: "X-Request", Match: "me"})
				if want := fmt.Sprint("answer on connection ", try); b.Code != code || string(b.Body) != want {
					t.Fatalf("try %d: %d %q %s, want %d %q", try, b.Code, b.Body, b.Err, code, want)
				}
			}
		})
	}
}

// Given a connection that has carried a name, when other names are sent, then they go on it,
// and an answer to the first that comes again is passed over.
func TestOtherNamesUseTheConnection(t *testing.T) {
	peer := serve(t, func(_ int64, c *talk) {
		for n := 0; ; n++ {
			if q, _ := c.ask(); q == nil {
				return
			}
			if n > 0 {
				c.say(named(500, fmt.Sprint(n-1), "again"))
			}
			c.say(named(500, fmt.Sprint(n), fmt.Sprint("answer ", n)))
		}
	})
	k := caller(t)
	for n := range 5 {
		b, _ := k.do(flow.Send{URL: peer.url, Keep: true, Name: "X-Request", Match: fmt.Sprint(n)})
		if string(b.Body) != fmt.Sprint("answer ", n) {
			t.Fatalf("%d: %d %q %s", n, b.Code, b.Body, b.Err)
		}
	}
	if peer.conns.Load() != 1 {
		t.Errorf("%d connections", peer.conns.Load())
	}
}

// Given a send whose answer bears no name and is acted on, when kept connections are there on
// which answers to earlier ones may come again, then it goes on a connection of its own.
func TestASendThatIsAloneHasANewConnection(t *testing.T) {
	peer := serve(t, func(n int64, c *talk) {
		for q, _ := c.ask(); q != nil; q, _ = c.ask() {
			c.say(named(200, "any", fmt.Sprint("connection ", n)))
		}
	})
	k := caller(t)
	k.do(flow.Send{URL: peer.url, Keep: true})
	for try := 2; try <= 3; try++ {
		b, _ := k.do(flow.Send{URL: peer.url, Keep: true, Alone: true})
		if want := fmt.Sprint("connection ", try); string(b.Body) != want {
			t.Errorf("%q, want %q", b.Body, want)
		}
	}
	if b, _ := k.do(flow.Send{URL: peer.url, Keep: true}); b.Err != "" || peer.conns.Load() != 3 {
		t.Errorf("its connection is not kept for others: %+v, %d connections", b, peer.conns.Load())
	}
}

// namesOfOne is how many names one connection carries.
const namesOfOne = 1024

// Given a connection that carries one name after the other, when it has carried as many as are
// kept of it, then the next goes on another.
func TestNamesOfAConnectionAreBounded(t *testing.T) {
	peer := serve(t, func(_ int64, c *talk) {
		for q, _ := c.ask(); q != nil; q, _ = c.ask() {
			c.say(named(200, q.Header.Get("X-Request"), ""))
		}
	})
	k := caller(t)
	for n := range namesOfOne + 1 {
		name := fmt.Sprint(n)
		if b, _ := k.do(flow.Send{URL: peer.url, Keep: true, Name: "X-Request", Match: name, Head: map[string]string{"X-Request": name}}); b.Err != "" {
			t.Fatalf("%d: %+v", n, b)
		}
	}
	if n := peer.conns.Load(); n != 2 {
		t.Errorf("%d connections for %d names", n, namesOfOne+1)
	}
}

// Given many names sent again and again at once to engines that repeat each answer after drawn
// times, when all have ended, then no send got the answer of another try.
func TestTriesAreNeverMixedUp(t *testing.T) {
	var mu sync.Mutex
	tries := map[string]int{}
	peer := serve(t, func(n int64, c *talk) {
		for q, _ := c.ask(); q != nil; q, _ = c.ask() {
			name := q.Header.Get("X-Request")
			mu.Lock()
			tries[name]++
			answer := named(500, name, fmt.Sprint(name, " try ", tries[name]))
			mu.Unlock()
			c.say(answer)
			if n%3 != 0 {
				time.Sleep(time.Duration(n%5) * time.Millisecond)
				c.say(answer)
			}
		}
	})
	k := caller(t)
	for try := 1; try <= 6; try++ {
		for n := range 8 {
			name := fmt.Sprint("item-", n)
			b, _ := k.do(flow.Send{URL: peer.url, Keep: true, Name: "X-Request", Match: name, Head: map[string]string{"X-Request": name}})
			if want := fmt.Sprint(name, " try ", try); b.Err != "" || string(b.Body) != want {
				t.Fatalf("%q %s, want %q", b.Body, b.Err, want)
			}
		}
	}
}
