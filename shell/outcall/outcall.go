// Package outcall makes this node's requests of engines, judges and the
// platform (design 7.3). Each request is written once. A kept connection carries
// one request at a time, is owned by one task at any time, and is never a
// reason to repeat a request that may have put out a byte.
package outcall

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/shell/clock"
	"fernlink/shell/sock"
)

// Failures of this layer.
var (
	ErrLate  = errors.New("outcall: too late to start")
	errAddr  = errors.New("outcall: bad address")
	errField = errors.New("outcall: a header can't be written")
)

// BodyMost is the largest whole answer; EventMost the longest streamed event;
// both in bytes.
const (
	BodyMost  = 8 << 20
	EventMost = 1 << 20
)

// Caller runs sends, each in a task of its own.
type Caller struct {
	In   func(flow.Event)
	mu   sync.Mutex
	open map[uint64]*task
	wg   sync.WaitGroup
	stop bool
	pool pool
	dial net.Dialer
}

// task is one send that is under way. Its connection and quit are under the
// caller's lock, so that a cut closes them only while the task owns them.
type task struct {
	flow.Send
	cut  atomic.Bool
	conn net.Conn
	quit context.CancelFunc
}

// New is a caller that tells In what came back.
func New(in func(flow.Event)) *Caller {
	return &Caller{In: in, open: map[uint64]*task{}, dial: sock.Dialer()}
}

// Start begins a send.
func (c *Caller) Start(s flow.Send) {
	t := &task{Send: s}
	c.mu.Lock()
	if c.stop {
		c.mu.Unlock()
		return
	}
	c.open[s.ID] = t
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		b := c.run(t)
		b.End = true
		c.mu.Lock()
		if c.open[s.ID] == t {
			delete(c.open, s.ID)
		}
		c.mu.Unlock()
		c.tell(t, b)
	}()
}

// tell passes news of a send on, unless it was cut.
func (c *Caller) tell(t *task, b flow.Back) {
	if !t.cut.Load() {
		b.ID = t.ID
		c.In(flow.Event{Back: &b})
	}
}

// Cut aborts a send; nothing more is heard of it.
func (c *Caller) Cut(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.open[id]; t != nil {
		c.abort(t)
	}
}

// abort ends a task's waiting; mu is held.
func (c *Caller) abort(t *task) {
	delete(c.open, t.ID)
	t.cut.Store(true)
	if t.quit != nil {
		t.quit()
	}
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// Close aborts all and waits.
func (c *Caller) Close() {
	c.mu.Lock()
	c.stop = true
	for _, t := range c.open {
		c.abort(t)
	}
	c.mu.Unlock()
	c.wg.Wait()
	c.pool.close()
}

func (c *Caller) run(t *task) flow.Back {
	to, target, err := split(t.URL)
	if err != nil {
		return unsent(err)
	}
	head := heads.Get().(*[]byte)
	defer heads.Put(head)
	if *head, err = request((*head)[:0], t, to, target); err != nil {
		return unsent(err)
	}
	for kept := t.Keep; ; kept = false {
		if clock.Now() >= t.Until {
			return unsent(ErrLate)
		}
		l, err := c.line(t, to, kept)
		if err != nil {
			return unsent(err)
		}
		g := &gate{Conn: l.conn, until: t.Until}
		err = send(g, *head, t.Body)
		if err != nil && !g.sent && l.used && err != ErrLate {
			c.drop(t, l)
			continue // over a new connection: nothing left on this one
		}
		if err != nil {
			c.drop(t, l)
			if !g.sent {
				return unsent(err)
			}
			return broken(err, false)
		}
		return c.answer(t, l)
	}
}

// line gives the task a connection: a kept one where it may be one and one is
// there, and otherwise a new one.
func (c *Caller) line(t *task, to string, kept bool) (*line, error) {
	limit := time.Now().Add(t.Limit - clock.Now())
	if kept {
		if l := c.pool.take(to); l != nil {
			if !c.own(t, l) {
				return nil, context.Canceled
			}
			_ = l.conn.SetDeadline(limit)
			return l, nil
		}
	}
	wait := min(t.Limit, t.Until) - clock.Now()
	ctx, quit := context.WithTimeout(context.Background(), min(wait, sock.Connect))
	defer quit()
	c.mu.Lock()
	t.quit = quit
	c.mu.Unlock()
	if t.cut.Load() {
		return nil, context.Canceled
	}
	conn, err := c.dial.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	l := &line{conn: conn, to: to}
	if !c.own(t, l) {
		return nil, context.Canceled
	}
	_ = conn.SetDeadline(limit)
	return l, nil
}

// own makes a connection the task's, unless the task was cut.
func (c *Caller) own(t *task, l *line) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.quit = nil
	if t.cut.Load() {
		_ = l.conn.Close()
		return false
	}
	t.conn = l.conn
	return true
}

// drop closes the task's connection.
func (c *Caller) drop(t *task, l *line) {
	c.mu.Lock()
	t.conn = nil
	c.mu.Unlock()
	_ = l.conn.Close()
}

// keep hands the task's connection back for others, until the time given.
func (c *Caller) keep(t *task, l *line, till flow.Time) {
	c.mu.Lock()
	t.conn = nil
	cut := t.cut.Load()
	c.mu.Unlock()
	if cut {
		_ = l.conn.Close()
		return
	}
	c.pool.put(l, till)
}
