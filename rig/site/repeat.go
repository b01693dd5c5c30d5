package site

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// repeatConn is an engine's end of a connection, on which whole answers may come again where the
// next one is expected: never inside of another.
type repeatConn struct {
	net.Conn
	mu        sync.Mutex
	answering bool // an answer was begun and is not over
}

// Write writes a part of an answer.
func (c *repeatConn) Write(part []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = true
	return c.Conn.Write(part)
}

// over hears that the answer is whole.
func (c *repeatConn) over() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = false
}

// put writes an answer, unless another is under way.
func (c *repeatConn) put(answer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering {
		return false
	}
	_, _ = c.Conn.Write([]byte(answer))
	return true
}

// repeatListener gives connections on which answers may come again.
type repeatListener struct{ net.Listener }

// Accept waits for the next connection.
func (l repeatListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatConn{Conn: conn}, nil
}

type connKey struct{}

// withConn has handlers know the connection of their request.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// noteState hears that an answer of a connection is over.
func noteState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*repeatConn); ok && state == http.StateIdle {
		c.over()
	}
}

// longestRepeat is how long after an answer it comes again at most.
const longestRepeat = 60 * time.Millisecond

// repeatLater has a whole answer come again on its connection after a drawn time.
func repeatLater(r *http.Request, id, seal string, code int, body string) {
	conn, ok := r.Context().Value(connKey{}).(*repeatConn)
	if !ok {
		return
	}
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nEngine-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), id, seal, len(body), body)
	go func() {
		time.Sleep(time.Millisecond + time.Duration(rand.Int63n(int64(longestRepeat))))
		for range 50 {
			if conn.put(answer) {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
}
