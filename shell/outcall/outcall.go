// Package outcall makes this node's requests of engines, judges and the
// platform (design 7.3). Each request has its own connection and is written
// once: there is no pool, and so nothing that could replay it.
package outcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

// Mishaps of this layer.
var (
	ErrLate   = errors.New("outcall: too late to start")
	ErrBroken = errors.New("outcall: the answer is not whole")
)

// BodyMost is the largest whole answer; EventMost the longest streamed event.
const (
	BodyMost  = 8 << 20
	EventMost = 1 << 20
)

// Caller runs sends, each in a task of its own.
type Caller struct {
	In   func(flow.Event)
	mu   sync.Mutex
	open map[uint64]context.CancelFunc
	wg   sync.WaitGroup
	stop bool
}

// New is a caller that tells In what came back.
func New(in func(flow.Event)) *Caller { return &Caller{In: in, open: map[uint64]context.CancelFunc{}} }

// Start begins a send.
func (c *Caller) Start(s flow.Send) {
	ctx, quit := context.WithTimeout(context.Background(), s.Limit-clock.Now())
	c.mu.Lock()
	if c.stop {
		c.mu.Unlock()
		quit()
		return
	}
	c.open[s.ID] = quit
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		b := c.run(ctx, s)
		b.ID, b.End = s.ID, true
		c.mu.Lock()
		_, live := c.open[s.ID]
		delete(c.open, s.ID)
		c.mu.Unlock()
		quit()
		if live {
			c.In(flow.Event{Back: &b})
		}
	}()
}

// Cut aborts a send; nothing more is heard of it.
func (c *Caller) Cut(id uint64) {
	c.mu.Lock()
	quit := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if quit != nil {
		quit()
	}
}

// Close aborts all and waits.
func (c *Caller) Close() {
	c.mu.Lock()
	c.stop = true
	for id, quit := range c.open {
		quit()
		delete(c.open, id)
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// gate lets nothing out after its time, and knows whether anything went.
type gate struct {
	net.Conn
	until flow.Time
	sent  bool
}

func (g *gate) Write(b []byte) (int, error) {
	if !g.sent && clock.Now() >= g.until {
		return 0, ErrLate
	}
	g.sent = true
	return g.Conn.Write(b)
}

func (c *Caller) run(ctx context.Context, s flow.Send) flow.Back {
	fail := func(err error, unsent bool) flow.Back { return flow.Back{Err: err.Error(), Unsent: unsent} }
	u, err := url.Parse(s.URL)
	if err != nil || u.Host == "" {
		return fail(errors.New("outcall: bad address"), true)
	}
	if clock.Now() >= s.Until {
		return fail(ErrLate, true)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return fail(err, true)
	}
	defer conn.Close()
	free := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer free()
	req, err := http.NewRequest(s.Verb, s.URL, bytes.NewReader(s.Body))
	if err != nil {
		return fail(err, true)
	}
	for k, v := range s.Head {
		req.Header.Set(k, v)
	}
	req.Close = true
	g := &gate{Conn: conn, until: s.Until}
	if err := req.Write(g); err != nil {
		return fail(err, !g.sent)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return fail(err, false)
	}
	defer res.Body.Close()
	b := flow.Back{Code: res.StatusCode, Head: map[string]string{}}
	for _, k := range []string{"Content-Type", "Retry-After", "Location"} {
		if v := res.Header.Get(k); v != "" {
			b.Head[k] = v
		}
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fail(ErrBroken, false) // no length and no end mark: never known whole
	}
	if s.Stream && res.StatusCode == 200 {
		if err := c.events(s.ID, res.Body); err != nil {
			b.Err = err.Error()
		}
		return b
	}
	b.Body, err = io.ReadAll(io.LimitReader(res.Body, BodyMost+1))
	if err == nil && len(b.Body) > BodyMost {
		err = errors.Wrap(ErrBroken, "larger than is allowed")
	}
	if err != nil {
		return fail(err, false)
	}
	return b
}

// events reads server-sent events up to the clean end of the body.
func (c *Caller) events(id uint64, body io.Reader) error {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), EventMost)
	for s.Scan() {
		line := s.Text()
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		c.In(flow.Event{Back: &flow.Back{ID: id, Event: []byte(strings.TrimSpace(data))}})
	}
	return s.Err()
}
