// Package link carries JSON lines between peers over TCP (design 5.1). A
// task owns each connection; lines to a peer wait in a bounded queue, and
// the oldest is dropped when it is full, since every core sends again what
// matters. What waits goes out in one write.
package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
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

// queueSize is how many lines wait for a peer; batch the bytes after which no
// more are gathered for one write; pauseLeast and pauseMost are the waits before
// a peer that could not be reached is tried again; pace is how many bytes a
// second a write may count on beyond its first moments.
const (
	queueSize  = 512
	batch      = 64 << 10
	pauseLeast = budget.HeartbeatInterval / 2
	pauseMost  = budget.AskRetryInterval
	pace       = 4 << 20
)

// Link is the set of connections.
type Link struct {
	Logger  log.Logger
	In      func(flow.Event) bool
	Cluster atomic.Pointer[string]
	Strays  atomic.Int64

	stop   context.Context
	quit   context.CancelFunc
	socket net.Listener
	mu     sync.Mutex
	out    map[string]*wire
	wg     sync.WaitGroup
	last   atomic.Int64
}

type wire struct {
	lines chan flow.Line
	bytes atomic.Int64 // of the bodies that wait
	used  time.Time
	quit  context.CancelFunc
}

// Open listens.
func Open(addr string, logger log.Logger, in func(flow.Event) bool) (*Link, error) {
	conf := net.ListenConfig{Control: sock.Control}
	socket, err := conf.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	l := &Link{Logger: log.With(logger, "part", "link"), In: in, socket: socket, out: map[string]*wire{}}
	l.stop, l.quit = context.WithCancel(context.Background())
	none := ""
	l.Cluster.Store(&none)
	l.wg.Add(1)
	go l.accept()
	return l, nil
}

// Close ends all tasks and waits for them.
func (l *Link) Close() {
	l.quit()
	_ = l.socket.Close()
	l.wg.Wait()
}

func (l *Link) accept() {
	defer l.wg.Done()
	for {
		conn, err := l.socket.Accept()
		if err != nil {
			if l.stop.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors, most likely
			continue
		}
		l.wg.Add(1)
		go l.hear(conn)
	}
}

func (l *Link) hear(conn net.Conn) {
	defer l.wg.Done()
	defer conn.Close()
	free := context.AfterFunc(l.stop, func() { _ = conn.Close() })
	defer free()
	in := reader{in: bufio.NewReaderSize(conn, 16<<10)}
	var last names
	for {
		b, err := in.next()
		if err == errLong {
			l.stray(conn, "line too long")
		}
		if err != nil {
			return
		}
		line, err := unpack(b, &last)
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

// stray counts a connection that is closed for what it said, and logs once
// a burst.
func (l *Link) stray(c net.Conn, why string) {
	l.Strays.Add(1)
	l.In(flow.Event{Stray: why})
	now := time.Now().Unix()
	if was := l.last.Load(); now-was > int64(budget.Heal/time.Second) && l.last.CompareAndSwap(was, now) {
		_ = level.Warn(l.Logger).Log("msg", "closed a connection", "why", why, "from", c.RemoteAddr().String())
	}
}

// bulk is the size from which a line goes by a connection of its own, as entries
// of the log do, so that heartbeats and votes don't wait behind it; few may wait.
const (
	bulk     = 16 << 10
	bulkMost = 64
)

// laneBytes is how many bytes may wait for a connection; one line may wait whatever
// its size.
const laneBytes = 4 << 20

// put makes room for a line and puts it in; only one task does so at a time.
func (w *wire) put(line flow.Line) {
	size := int64(len(line.Body))
	for w.bytes.Load() > 0 && w.bytes.Load()+size > laneBytes {
		if _, ok := w.take(); !ok {
			break
		}
	}
	w.bytes.Add(size)
	for {
		select {
		case w.lines <- line:
			return
		default:
			w.take() // the oldest says least
		}
	}
}

// take gives the oldest line that waits, if there is one.
func (w *wire) take() (flow.Line, bool) {
	select {
	case x := <-w.lines:
		w.bytes.Add(-int64(len(x.Body)))
		return x, true
	default:
		return flow.Line{}, false
	}
}

// lane tells the connection that a line goes by, and how many may wait for it.
func lane(x flow.Line) (key string, room int) {
	if x.Kind == flow.Entries || len(x.Body) > bulk {
		return x.To + "#", bulkMost
	}
	return x.To, queueSize
}

// Send puts a line into its peer's queue.
func (l *Link) Send(line flow.Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stop.Err() != nil {
		return
	}
	key, room := lane(line)
	w := l.out[key]
	if w == nil {
		ctx, quit := context.WithCancel(l.stop)
		w = &wire{lines: make(chan flow.Line, room), quit: quit}
		l.out[key] = w
		l.wg.Add(1)
		go l.speak(ctx, line.To, w)
		l.forget()
	}
	w.used = time.Now()
	w.put(line)
}

// forget ends wires that nothing was sent on for long; mu is held.
func (l *Link) forget() {
	for to, w := range l.out {
		if !w.used.IsZero() && time.Since(w.used) > 10*budget.Heal {
			w.quit()
			delete(l.out, to)
		}
	}
}

// speak owns the connection to one peer.
func (l *Link) speak(ctx context.Context, to string, w *wire) {
	defer l.wg.Done()
	s := speaker{to: to, dial: sock.Dialer(), pause: pauseLeast}
	defer s.close()
	free := context.AfterFunc(ctx, s.abort)
	defer free()
	var buf []byte
	for {
		if cap(buf) > 2*batch {
			buf = nil
		}
		buf = buf[:0]
		select {
		case <-ctx.Done():
			return
		case x := <-w.lines:
			w.bytes.Add(-int64(len(x.Body)))
			buf = add(buf, x)
		}
		for len(buf) < batch {
			x, ok := w.take()
			if !ok {
				break
			}
			buf = add(buf, x)
		}
		if len(buf) == 0 || s.say(ctx, buf) {
			continue
		}
		// Nobody there: what waits is old by the time somebody is.
		s.rest(ctx)
		for len(w.lines) > cap(w.lines)/8 {
			w.take()
		}
	}
}

// add packs a line behind others, unless it is too long to be taken.
func add(buf []byte, x flow.Line) []byte {
	b, err := pack(buf, x)
	if err != nil || len(b)-len(buf) > LineMost {
		return buf
	}
	return b
}

// speaker is a connection to a peer, made anew when it breaks.
type speaker struct {
	to    string
	dial  net.Dialer
	pause time.Duration
	made  time.Time
	raw   syscall.RawConn
	mu    sync.Mutex
	conn  net.Conn
	over  bool
}

// say writes lines in one go. A broken connection is replaced once; a peer
// may hear lines twice.
func (s *speaker) say(ctx context.Context, b []byte) bool {
	if s.conn != nil && !sock.Quiet(s.raw) { // a peer says nothing here: it closed
		s.close()
		if time.Since(s.made) < pauseMost { // and soon, so it may not want what it hears
			s.rest(ctx)
		}
	}
	for try := 0; try < 2; try++ {
		fresh := s.conn == nil
		if fresh && !s.open(ctx) {
			return false
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(sock.Unheard + time.Duration(len(b))*time.Second/pace))
		if _, err := s.conn.Write(b); err == nil {
			if !fresh {
				s.pause = pauseLeast
			}
			return true
		}
		s.close()
		if fresh {
			return false
		}
	}
	return false
}

// rest waits before a connection is tried again, longer each time.
func (s *speaker) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.pause):
	}
	s.pause = min(2*s.pause, pauseMost)
}

func (s *speaker) open(ctx context.Context) bool {
	conn, err := s.dial.DialContext(ctx, "tcp", s.to)
	if err != nil {
		return false
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.over {
		_ = conn.Close()
		return false
	}
	s.conn, s.raw, s.made = conn, raw, time.Now()
	return true
}

func (s *speaker) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// abort ends a write that is under way, and lets no connection be made.
func (s *speaker) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	if s.conn != nil {
		_ = s.conn.Close()
	}
}
