package outcall

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

// server takes connections and hands each to f, counting requests read.
func server(t *testing.T, f func(net.Conn, *http.Request)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var n atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				n.Add(1)
				f(conn, r)
				// The answer is over; a request that still comes on this
				// connection is counted too.
				if out, ok := conn.(*net.TCPConn); ok {
					_ = out.CloseWrite()
				}
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					n.Add(1)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), &n
}

func call(t *testing.T, send flow.Send) (flow.Back, []string) {
	t.Helper()
	got := make(chan flow.Back, 64)
	c := New(func(e flow.Event) { got <- *e.Back })
	send.ID = 1
	if send.Until == 0 {
		send.Until = clock.Now() + 5*time.Second
	}
	if send.Limit == 0 {
		send.Limit = clock.Now() + 5*time.Second
	}
	c.Start(send)
	var events []string
	for {
		select {
		case b := <-got:
			if b.End {
				return b, events
			}
			events = append(events, string(b.Event))
		case <-time.After(30 * time.Second):
			t.Fatal("hangs")
		}
	}
}

// Given a server that breaks off after reading, when a request that clients
// deem safe to repeat is sent (a GET, or one with an Idempotency-Key), then
// it reaches the server once, and the caller is told it may have run.
func TestNeverReplayed(t *testing.T) {
	for _, verb := range []string{"GET", "POST", "PUT"} {
		url, n := server(t, func(net.Conn, *http.Request) {})
		b, _ := call(t, flow.Send{Verb: verb, URL: url + "/x", Head: map[string]string{"Idempotency-Key": "k"}, Body: []byte("{}"), Once: true})
		if n.Load() != 1 || b.Err == "" || b.Failure == flow.Unsent {
			t.Errorf("%s: read %d times, %+v", verb, n.Load(), b)
		}
	}
}

// Given answers that are cut at each byte, when they are read, then only the
// whole one passes as an answer.
func TestCutAnswers(t *testing.T) {
	for name, whole := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for cut := 0; cut <= len(whole); cut++ {
			part := whole[:cut]
			url, _ := server(t, func(c net.Conn, _ *http.Request) { _, _ = c.Write([]byte(part)) })
			b, _ := call(t, flow.Send{Verb: "GET", URL: url})
			if ok := b.Err == ""; ok != (cut == len(whole)) {
				t.Errorf("%s cut at %d of %d: %+v", name, cut, len(whole), b)
			}
		}
	}
	url, _ := server(t, func(c net.Conn, _ *http.Request) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\nhello")) })
	if b, _ := call(t, flow.Send{Verb: "GET", URL: url}); b.Err == "" {
		t.Errorf("an answer without length or end mark passed: %+v", b)
	}
}

// Given a send whose time is over, or nobody who listens, when it is started,
// then no byte leaves, and that is told.
func TestUnsent(t *testing.T) {
	url, n := server(t, func(net.Conn, *http.Request) {})
	back, _ := call(t, flow.Send{Verb: "POST", URL: url, Until: clock.Now() - 1})
	if back.Failure != flow.Unsent || back.Err == "" {
		t.Errorf("too late: %+v", back)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := "http://" + listener.Addr().String()
	_ = listener.Close()
	if back, _ = call(t, flow.Send{Verb: "POST", URL: nobody}); back.Failure != flow.Unsent || back.Err == "" {
		t.Errorf("nobody there: %+v", back)
	}
	if n.Load() != 0 {
		t.Errorf("%d requests were read", n.Load())
	}
}

// Given a connection that is made before the time is over but written after,
// when the first byte is due, then the gate stops it.
func TestGateAtTheFirstByte(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	g := &deadlineConn{Conn: a, until: clock.Now()}
	if _, err := g.Write([]byte("x")); err != ErrLate || g.wrote {
		t.Errorf("a late byte left: %v", err)
	}
}

// Given a stream of events, when it ends cleanly or breaks, then events come
// in order and only a clean end is one.
func TestStream(t *testing.T) {
	for _, end := range []string{"0\r\n\r\n", ""} {
		url, _ := server(t, func(c net.Conn, _ *http.Request) {
			body := "data: one\n\ndata: two\n\n"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", len(body), body, end)
		})
		b, events := call(t, flow.Send{Verb: "POST", URL: url, Stream: true})
		if strings.Join(events, ",") != "one,two" || (b.Err == "") != (end != "") {
			t.Errorf("end %q: %v %+v", end, events, b)
		}
	}
}
