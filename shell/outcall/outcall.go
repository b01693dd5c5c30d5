// Package outcall makes this node's HTTP requests of engines, judges and the
// platform (design 7.3). Each request is written once. A kept connection carries
// one request at a time, is owned by one task at any time, and is never a
// reason to repeat a request that may have put out a byte. It owns the sockets and
// the pool of idle connections; shell/run starts and cuts sends, and gets the
// answers as events.
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
	"fernlink/shell/room"
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

// Caller runs sends, each in a goroutine of its own.
type Caller struct {
	In      func(flow.Event)
	Answers *room.Room // for large answers that are read, and those that wait for their callers
	mu      sync.Mutex
	open    map[uint64]*sendTask
	running sync.WaitGroup
	stopped bool
	pool    pool
	dial    net.Dialer
}

// sendTask is one send that is under way. Its conn and stopWait are under the
// caller's lock, so that a cut closes them only while the task owns them.
type sendTask struct {
	flow.Send
	held     int64 // bytes of its answer, of the room
	aborted  atomic.Bool
	conn     net.Conn
	stopWait context.CancelFunc // of what the task waits for: a dial, or room
}

// answersMost is the room for large answers, in bytes, where nobody gives another.
const answersMost = 16 << 20

// New gives a caller that hands what comes back to a function.
func New(in func(flow.Event)) *Caller {
	return &Caller{In: in, Answers: room.New(answersMost), open: map[uint64]*sendTask{}, dial: sock.Dialer()}
}

// Start begins a send.
func (c *Caller) Start(send flow.Send) {
	task := &sendTask{Send: send}
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return
	}
	c.open[send.ID] = task
	c.running.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.running.Done()
		back := c.run(task)
		back.End = true
		c.mu.Lock()
		if c.open[send.ID] == task {
			delete(c.open, send.ID)
		}
		c.mu.Unlock()
		c.report(task, back)
		c.Answers.Free(task.held)
	}()
}

// report passes news of a send on, unless it was cut.
func (c *Caller) report(task *sendTask, back flow.Back) {
	if !task.aborted.Load() {
		back.ID = task.ID
		c.In(flow.Event{Back: &back})
	}
}

// Cut aborts a send; nothing more is heard of it.
func (c *Caller) Cut(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if task := c.open[id]; task != nil {
		c.abort(task)
	}
}

// abort ends a task's waiting; mu is held.
func (c *Caller) abort(task *sendTask) {
	delete(c.open, task.ID)
	task.aborted.Store(true)
	if task.stopWait != nil {
		task.stopWait()
	}
	if task.conn != nil {
		_ = task.conn.Close()
	}
}

// Close aborts all and waits.
func (c *Caller) Close() {
	c.mu.Lock()
	c.stopped = true
	for _, task := range c.open {
		c.abort(task)
	}
	c.mu.Unlock()
	c.running.Wait()
	c.pool.close()
}

// run writes a task's request and reads its answer. It is written a second time only
// where no byte of it left, because the server had closed a kept connection.
func (c *Caller) run(task *sendTask) flow.Back {
	addr, target, err := splitURL(task.URL)
	if err != nil {
		return unsent(err)
	}
	head := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(head)
	if *head, err = appendRequest((*head)[:0], task, addr, target); err != nil {
		return unsent(err)
	}
	for kept := task.Keep && !task.Alone; ; kept = false {
		if clock.Now() >= task.Until {
			return unsent(ErrLate)
		}
		conn, err := c.connect(task, addr, kept)
		if err != nil {
			return unsent(err)
		}
		writer := &deadlineConn{Conn: conn.Conn, until: task.Until}
		err = send(writer, *head, task.Body)
		if err == nil {
			return c.answer(task, conn)
		}
		c.discard(task, conn)
		if writer.wrote {
			return broken(err, false)
		}
		if !conn.reused || err == ErrLate {
			return unsent(err)
		}
	}
}

// connect gives the task a connection: a kept one where it may be one and one is
// there, and otherwise a new one.
func (c *Caller) connect(task *sendTask, addr string, kept bool) (*pooledConn, error) {
	limit := time.Now().Add(task.Limit - clock.Now())
	var conn *pooledConn
	if kept {
		conn = c.pool.take(addr, task.Match)
	}
	if conn == nil {
		var err error
		if conn, err = c.dialFor(task, addr); err != nil {
			return nil, err
		}
	}
	if !c.assign(task, conn) {
		return nil, context.Canceled
	}
	conn.names.Add(task.Match)
	_ = conn.SetDeadline(limit)
	return conn, nil
}

// dialFor opens a connection; a cut of the task ends the wait.
func (c *Caller) dialFor(task *sendTask, addr string) (*pooledConn, error) {
	wait := min(task.Limit, task.Until) - clock.Now()
	ctx, stop := context.WithTimeout(context.Background(), min(wait, sock.Connect))
	defer stop()
	c.mu.Lock()
	task.stopWait = stop
	c.mu.Unlock()
	if task.aborted.Load() {
		return nil, context.Canceled
	}
	conn, err := c.dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	return &pooledConn{Conn: conn, addr: addr}, nil
}

// assign makes a connection the task's, unless the task was cut.
func (c *Caller) assign(task *sendTask, conn *pooledConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	task.stopWait = nil
	if task.aborted.Load() {
		_ = conn.Close()
		return false
	}
	task.conn = conn
	return true
}

// discard closes the task's connection.
func (c *Caller) discard(task *sendTask, conn *pooledConn) {
	c.mu.Lock()
	task.conn = nil
	c.mu.Unlock()
	_ = conn.Close()
}

// release hands the task's connection to the pool, which keeps it until a time.
func (c *Caller) release(task *sendTask, conn *pooledConn, until flow.Time) {
	c.mu.Lock()
	task.conn = nil
	cut := task.aborted.Load()
	c.mu.Unlock()
	if cut {
		_ = conn.Close()
		return
	}
	c.pool.put(conn, until)
}
