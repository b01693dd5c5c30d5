// Package link carries JSON lines between peers over TCP (design 5.1). It owns the
// listening socket and one goroutine for each connection. Lines to a peer wait in a
// bounded queue, and the oldest is dropped when it is full, since every core sends
// again what matters. What waits goes out in one write. shell/run opens it, sends
// with Send and gets what comes through In.
package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/node"
	"fernlink/shell/sock"
)

// LineMost is the longest line that is read.
const LineMost = 32 << 20

// queueSize is how many lines wait for a peer; batchBytes the bytes after which no
// more are gathered for one write; pauseLeast and pauseMost are the waits before
// a peer that could not be reached is tried again; bytesPerSecond is what a write
// may count on beyond its first moments.
const (
	queueSize      = 512
	batchBytes     = 64 << 10
	pauseLeast     = budget.HeartbeatInterval / 2
	pauseMost      = budget.AskRetryInterval
	bytesPerSecond = 4 << 20
)

// Link is the set of connections.
type Link struct {
	Logger  log.Logger
	In      func(flow.Event) bool  // gets each line; false when it is dropped
	Cluster atomic.Pointer[string] // lines of another cluster close their connection
	Strays  atomic.Int64           // connections closed for what they sent

	closed      context.Context
	cancel      context.CancelFunc
	socket      net.Listener
	mu          sync.Mutex
	queues      map[string]*peerQueue // by queueOf
	running     sync.WaitGroup
	strayLogged atomic.Int64
}

// Open listens.
func Open(addr string, logger log.Logger, in func(flow.Event) bool) (*Link, error) {
	conf := net.ListenConfig{Control: sock.Control}
	socket, err := conf.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	l := &Link{Logger: log.With(logger, "part", "link"), In: in, socket: socket, queues: map[string]*peerQueue{}}
	l.closed, l.cancel = context.WithCancel(context.Background())
	none := ""
	l.Cluster.Store(&none)
	l.running.Add(1)
	go l.accept()
	return l, nil
}

// Close ends all connections and waits for their goroutines.
func (l *Link) Close() {
	l.cancel()
	_ = l.socket.Close()
	l.running.Wait()
}

func (l *Link) accept() {
	defer l.running.Done()
	for {
		conn, err := l.socket.Accept()
		if err != nil {
			if l.closed.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors, most likely
			continue
		}
		l.running.Add(1)
		go l.receive(conn)
	}
}

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 16 << 10

// receive owns a connection that a peer opened.
func (l *Link) receive(conn net.Conn) {
	defer l.running.Done()
	defer conn.Close()
	release := context.AfterFunc(l.closed, func() { _ = conn.Close() })
	defer release()
	lines := reader{in: bufio.NewReaderSize(conn, readBuffer)}
	var last lastNames
	for {
		raw, err := lines.next()
		if err == errLong {
			l.stray(conn, "line too long")
		}
		if err != nil {
			return
		}
		line, err := unpack(raw, &last)
		if err != nil {
			l.stray(conn, "malformed line")
			return
		}
		if why := node.Foreign(line, *l.Cluster.Load()); why != "" {
			l.stray(conn, "a peer "+why)
			return
		}
		l.In(flow.Event{Line: &line}) // a full queue drops the line
	}
}

// stray counts a connection that is closed for what it sent, and logs once a burst.
func (l *Link) stray(conn net.Conn, why string) {
	l.Strays.Add(1)
	l.In(flow.Event{Stray: why})
	now := time.Now().Unix()
	last := l.strayLogged.Load()
	if now-last > int64(budget.Heal/time.Second) && l.strayLogged.CompareAndSwap(last, now) {
		_ = level.Warn(l.Logger).Log("msg", "closed a connection", "why", why, "from", conn.RemoteAddr().String())
	}
}

// Send puts a line into its peer's queue.
func (l *Link) Send(line flow.Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Err() != nil {
		return
	}
	key, size := queueOf(line)
	queue := l.queues[key]
	if queue == nil {
		ctx, stop := context.WithCancel(l.closed)
		queue = &peerQueue{lines: make(chan flow.Line, size), stop: stop}
		l.queues[key] = queue
		l.running.Add(1)
		go l.sendTo(ctx, line.To, queue)
		l.dropIdle()
	}
	queue.usedAt = time.Now()
	queue.put(line)
}

// idleMost is how long a connection to a peer stays without a line to send.
const idleMost = 10 * budget.Heal

// dropIdle ends connections that nothing was sent on for long; mu is held.
func (l *Link) dropIdle() {
	for key, queue := range l.queues {
		if !queue.usedAt.IsZero() && time.Since(queue.usedAt) > idleMost {
			queue.stop()
			delete(l.queues, key)
		}
	}
}

// sendTo owns the connection to one peer.
func (l *Link) sendTo(ctx context.Context, addr string, queue *peerQueue) {
	defer l.running.Done()
	peer := sender{to: addr, dial: sock.Dialer(), pause: pauseLeast}
	defer peer.close()
	release := context.AfterFunc(ctx, peer.abort)
	defer release()
	var buffer []byte
	for {
		if cap(buffer) > 2*batchBytes {
			buffer = nil
		}
		var line flow.Line
		select {
		case <-ctx.Done():
			return
		case line = <-queue.lines:
			queue.bytes.Add(-int64(line.Size()))
		}
		shared := &line
		written := true
		if line.Shared == nil {
			buffer, shared = queue.gather(buffer[:0], line)
			written = len(buffer) == 0 || peer.write(ctx, buffer)
		}
		if written && shared != nil {
			parts := partsOf(*shared)
			written = len(parts) == 0 || peer.write(ctx, parts...)
		}
		if written {
			continue
		}
		// Nobody is there: what waits is old by the time somebody is.
		peer.backOff(ctx)
		queue.dropOld()
	}
}

// appendLine packs a line behind others, unless it is too long to be taken.
func appendLine(buffer []byte, line flow.Line) []byte {
	longer, err := pack(buffer, line)
	if err != nil || len(longer)-len(buffer) > LineMost {
		return buffer
	}
	return longer
}
