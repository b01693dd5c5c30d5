package web

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fernlink/shell/clock"
)

// BodyMost is the largest request in bytes, where nothing else is said.
const BodyMost = 8 << 20

// headerMost is the most that any limit lets a header have; prealloc how many
// bytes are allocated for a body by the length that its header names; drainMost how much of a body that
// is too large is read off, so that its sender hears why, and drainWait for how
// long. Sizes are in bytes.
const (
	headerMost = 1 << 20
	prealloc   = 64 << 10
	drainMost  = 16 << 20
	drainWait  = 2 * time.Second
)

// Limits bound what a client may send: bytes of a header and of a body, how long
// a header may take from its first byte (a new connection's from its start), and
// how long a client may say nothing between requests or within a body. What is
// zero or less stays as it was.
type Limits struct {
	HeaderBytes, BodyBytes int
	Header, Idle           time.Duration
}

// Usual are the limits where nothing is said. The administration API and listeners
// that pass nothing on always have them.
var Usual = Limits{HeaderBytes: 64 << 10, BodyBytes: BodyMost, Header: 10 * time.Second, Idle: 2 * time.Minute}

// Or gives the limits with others where they say nothing.
func (l Limits) Or(other Limits) Limits {
	return Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, other.HeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, other.BodyBytes),
		Header: cmp.Or(l.Header, other.Header), Idle: cmp.Or(l.Idle, other.Idle),
	}
}

// Limit changes the limits of listeners that pass requests on. They hold for what is
// read from now on. Operators' listeners keep the usual ones, so that no plan can
// shut out the next.
func (w *Web) Limit(limits Limits) {
	for {
		was := w.limits.Load()
		now := *was
		if limits.HeaderBytes > 0 {
			now.HeaderBytes = min(limits.HeaderBytes, headerMost)
		}
		if limits.BodyBytes > 0 {
			now.BodyBytes = limits.BodyBytes
		}
		if limits.Header > 0 {
			now.Header = limits.Header
		}
		if limits.Idle > 0 {
			now.Idle = limits.Idle
		}
		if w.limits.CompareAndSwap(was, &now) {
			return
		}
	}
}

// unlimited says that a listener's requests pass on by a plan's limits, and that no plan has
// named any yet: what is beyond the usual ones may be within those.
func (w *Web) unlimited(shared side) bool {
	return shared.limits == &w.limits && w.limits.Load() == &Usual
}

// waitForRest bounds how long the server reads on for the rest of a body that nobody
// wanted, once its request is answered.
func waitForRest(req *http.Request, l *limits) {
	c, ok := req.Context().Value(connKey{}).(*conn)
	if !ok || req.ContentLength == 0 || c.bodyRead {
		return
	}
	c.bound(l.Load().Header)
	c.move(receiving, busy)
}

// wasEvicted says that a request's connection was ended before the request had come whole.
func wasEvicted(req *http.Request) bool {
	c, ok := req.Context().Value(connKey{}).(*conn)
	return ok && c.at.Load() == evicted
}

// guard holds requests against the limit of headers, and says when the
// connection ends with the answer.
func (w *Web) guard(next http.Handler, l *limits) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if wasEvicted(req) {
			panic(http.ErrAbortHandler) // its connection is closed: nothing of it is passed on
		}
		defer waitForRest(req, l)
		head := rw.Header()
		head["Date"] = nil
		if w.ending.Load() || mayHide(req) {
			head["Connection"] = closing
		}
		if headerBytes(req) > l.Load().HeaderBytes {
			head["Connection"] = closing
			problem(rw, 431, "the header is larger than is taken here")
			return
		}
		next.ServeHTTP(rw, req)
	})
}

var closing = []string{"close"}

func headerBytes(req *http.Request) int {
	size := len(req.Method) + len(req.RequestURI) + len(req.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for k, vs := range req.Header {
		for _, v := range vs {
			size += len(k) + len(v) + 4
		}
	}
	return size
}

var errLarge = errors.New("web: larger than is taken")

// body reads a request's body whole, into memory that held counts. What is left of one that
// is not taken is not waited for.
func (w *Web) body(rw http.ResponseWriter, req *http.Request, l *Limits, held *heldBody) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(rw)
	c, ok := req.Context().Value(connKey{}).(*conn)
	if ok {
		c.bodyRead = true
		c.move(receiving, busy)
		defer c.move(busy, receiving)
	}
	body, err := held.read(&patient{req.Body, controller, l.Idle}, req.ContentLength, int64(l.BodyBytes))
	if err != nil {
		held.free()
	}
	if (err == errLarge || err == errNoRoom) && req.Header.Get("Expect") == "" { // one that waits for 100 Continue has not sent it
		_ = controller.SetReadDeadline(time.Now().Add(drainWait))
		_, _ = io.CopyN(io.Discard, req.Body, drainMost)
	}
	if err != nil {
		_ = controller.SetReadDeadline(time.Now())
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// patient waits a bounded time for each piece of a body.
type patient struct {
	in   io.Reader
	ctl  *http.ResponseController
	wait time.Duration
}

func (p *patient) Read(b []byte) (int, error) {
	_ = p.ctl.SetReadDeadline(time.Now().Add(p.wait))
	return p.in.Read(b)
}

// limitedListener gives connections that know the limits, and no more than there is
// room for.
type limitedListener struct {
	net.Listener
	limits *limits
	open   *connections
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		bounded := &conn{TCPConn: tcp, limits: l.limits, table: l.open}
		bounded.since.Store(int64(clock.Now()))
		if l.open.admit(bounded) {
			return bounded, nil
		}
		_ = tcp.Close()
	}
}

// The states of a connection: its next header is being read, a request is being
// answered, its body is being read, nothing was heard since the last answer, or it was
// ended for want of room.
const (
	reading int32 = iota
	busy
	receiving
	idle
	evicted
)

// conn bounds how long its client may be silent. The server's own limits of time
// are fixed once it serves; so it has none, and each time that it takes a
// deadline away, the one of the connection's state is set in its place.
type conn struct {
	*net.TCPConn
	limits   *limits
	table    *connections
	at       atomic.Int32
	since    atomic.Int64 // when its state changed, on the process's clock
	first    bool         // nothing of the next request was read
	bodyRead bool         // the newest request's body was read, to its end or a fault
	head     string       // of a request with chunks, where its first read brought it whole
}

// state follows what the server knows of a connection.
func state(nc net.Conn, s http.ConnState) {
	bounded, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		bounded.first = true
		bounded.bound(bounded.limits.Load().Header)
	case http.StateActive:
		bounded.move(busy, reading, idle)
		_ = bounded.TCPConn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		bounded.first, bounded.bodyRead, bounded.head = true, false, ""
		bounded.move(idle, busy, receiving) // the server takes its deadline away next
	case http.StateClosed, http.StateHijacked:
		bounded.table.remove(bounded)
	}
}

func (c *conn) bound(d time.Duration) { _ = c.TCPConn.SetReadDeadline(time.Now().Add(d)) }

// SetReadDeadline keeps the bound of the connection's state where the server
// wants none.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		switch c.at.Load() {
		case reading:
			return nil
		case idle:
			c.bound(c.limits.Load().Idle)
			return nil
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read begins the time of a header with its first byte.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.move(reading, idle) {
		c.bound(c.limits.Load().Header)
	}
	if n > 0 && c.at.Load() == reading && c.first {
		c.first, c.head = false, chunkedHead(b[:n])
	}
	return n, err
}

// hostOf is a request's host in lower case and without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.Trim(host, "[]"))
}
