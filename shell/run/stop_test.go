package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"fernlink/core/node"
	"fernlink/shell/clock"
	"fernlink/shell/link"
	"fernlink/shell/outcall"
	"fernlink/shell/web"
)

// running is a loop with all its shells, around a node that keeps nothing.
func running(t *testing.T) *Loop {
	t.Helper()
	loop := New(log.NewNopLogger())
	var err error
	if loop.Node, err = node.New(clock.Now(), node.Config{ID: "d", Addr: "127.0.0.1:1", Roles: []string{"dispatcher"}, Stop: 200 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	if loop.Link, err = link.Open("127.0.0.1:0", loop.Logger, loop.Offer); err != nil {
		t.Fatal(err)
	}
	if loop.Web, err = web.OpenListeners(web.Options{Addr: "127.0.0.1:0", In: loop.Offer}); err != nil {
		t.Fatal(err)
	}
	loop.Caller = outcall.New(loop.Put)
	loop.Start()
	return loop
}

// outcome is what became of one request.
type outcome struct {
	err  error
	took time.Duration
}

// exchange sends a request on a connection, and waits for its answer.
func exchange(conn net.Conn, in *bufio.Reader) outcome {
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		return outcome{err: err}
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(5 * time.Second))
	answer, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	return outcome{err, time.Since(sent)}
}

// unansweredMost is how long after its last byte a request's connection may end without an
// answer: then it crossed the end.
const unansweredMost = 200 * time.Millisecond

// Guards against requests that come as the core's loop ends: they were read whole, and their
// connections were held for two seconds and closed.
//
// Given clients that send one request after the other, on new connections and on kept ones,
// when the process stops, then each request that was read is answered, and none is held.
func TestRequestsThatComeAsTheLoopEndsAreAnswered(t *testing.T) {
	const stops, clients = 30, 12
	for range stops {
		loop := running(t)
		addr := loop.Web.Addr(0).String()
		var all sync.WaitGroup
		held := make(chan string, 4*clients)
		for n := range clients {
			all.Add(1)
			go func() {
				defer all.Done()
				for {
					conn, err := net.DialTimeout("tcp", addr, time.Second)
					if err != nil {
						return // the listener is gone
					}
					in := bufio.NewReader(conn)
					for range 1 + n%3*20 {
						o := exchange(conn, in)
						if o.took > unansweredMost {
							held <- fmt.Sprintf("a request was held for %v: %v", o.took, o.err)
						}
						if o.err != nil {
							break
						}
					}
					_ = conn.Close()
				}
			}()
		}
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		loop.Stop(context.Background())
		took := time.Since(began)
		all.Wait()
		close(held)
		for text := range held {
			t.Error(text)
		}
		if took > time.Second {
			t.Errorf("the stop took %v", took)
		}
	}
}

// Given a loop that has failed, when requests come until its process is gone, then each is
// answered at once.
func TestRequestsAfterALoopThatFailedAreAnswered(t *testing.T) {
	loop := running(t)
	close(loop.quit)
	<-loop.done
	loop.quit = make(chan struct{}) // it has ended by itself
	conn, err := net.Dial("tcp", loop.Web.Addr(0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answered := make(chan outcome, 1)
	go func() { answered <- exchange(conn, bufio.NewReader(conn)) }()
	time.Sleep(50 * time.Millisecond)
	loop.Stop(context.Background())
	if o := <-answered; o.err != nil {
		t.Errorf("a request that nobody looked at: %v after %v", o.err, o.took)
	}
}
