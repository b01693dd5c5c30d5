package outcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

const ok2 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// peer is a server whose connections are each run by f, which is told the
// connection's number from 1 on. Ended gets each number when f is done.
type peer struct {
	url   string
	conns atomic.Int64
	asked atomic.Int64
	ended chan int64
}

type talk struct {
	net.Conn
	r *bufio.Reader
	p *peer
}

// ask reads one request with its body.
func (t *talk) ask() (*http.Request, string) {
	q, err := http.ReadRequest(t.r)
	if err != nil {
		return nil, ""
	}
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, ""
	}
	t.p.asked.Add(1)
	return q, string(b)
}

func (t *talk) say(s string) { _, _ = io.WriteString(t.Conn, s) }

func serve(t *testing.T, f func(n int64, c *talk)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{url: "http://" + listener.Addr().String(), ended: make(chan int64, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			n := p.conns.Add(1)
			go func() {
				f(n, &talk{c, bufio.NewReader(c), p})
				_ = c.Close()
				p.ended <- n
			}()
		}
	}()
	return p
}

// echo answers each request with ok, until the connection ends.
func echo(_ int64, c *talk) {
	for {
		if q, _ := c.ask(); q == nil {
			return
		}
		c.say(ok2)
	}
}

type client struct {
	t   *testing.T
	c   *Caller
	got chan flow.Back
	id  uint64
}

func caller(t *testing.T) *client {
	x := &client{t: t, got: make(chan flow.Back, 256)}
	x.c = New(func(e flow.Event) { x.got <- *e.Back })
	t.Cleanup(x.c.Close)
	return x
}

func (x *client) start(send flow.Send) uint64 {
	x.id++
	send.ID = x.id
	if send.Until == 0 {
		send.Until = clock.Now() + 20*time.Second
	}
	if send.Limit == 0 {
		send.Limit = clock.Now() + 20*time.Second
	}
	if send.Verb == "" {
		send.Verb = "GET"
	}
	x.c.Start(send)
	return send.ID
}

func (x *client) next() flow.Back {
	x.t.Helper()
	select {
	case b := <-x.got:
		return b
	case <-time.After(30 * time.Second): // a hang guard
		x.t.Fatal("hangs")
	}
	return flow.Back{}
}

// do runs a send to its end and gives what came before it as well.
func (x *client) do(s flow.Send) (flow.Back, []flow.Back) {
	x.t.Helper()
	x.start(s)
	var before []flow.Back
	for {
		b := x.next()
		if b.End {
			return b, before
		}
		before = append(before, b)
	}
}

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(30 * time.Second): // a hang guard
		t.Fatal("hangs")
	}
	panic("unreachable")
}
