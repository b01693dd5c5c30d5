// Package link carries JSON lines between siblings over TCP (design 5.1). A
// task owns each connection; lines to a sibling wait in a bounded holding and
// are dropped when it is full, since every core sends again what matters.
package link

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/node"
)

// LineMost is the longest line that is read.
const LineMost = 32 << 20

const holding = 512

// Link is the set of connections.
type Link struct {
	Logger  log.Logger
	In      func(flow.Event) bool
	Cluster atomic.Pointer[string]
	Strays  atomic.Int64

	stop context.Context
	quit context.CancelFunc
	ear  net.Listener
	mu   sync.Mutex
	out  map[string]*wire
	wg   sync.WaitGroup
	last atomic.Int64
}

type wire struct {
	lines chan flow.Line
	used  time.Time
	quit  context.CancelFunc
}

// Open listens.
func Open(addr string, logger log.Logger, in func(flow.Event) bool) (*Link, error) {
	ear, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	l := &Link{Logger: log.With(logger, "part", "link"), In: in, ear: ear, out: map[string]*wire{}}
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
	_ = l.ear.Close()
	l.wg.Wait()
}

func (l *Link) accept() {
	defer l.wg.Done()
	for {
		c, err := l.ear.Accept()
		if err != nil {
			if l.stop.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors, most likely
			continue
		}
		l.wg.Add(1)
		go l.hear(c)
	}
}

func (l *Link) hear(c net.Conn) {
	defer l.wg.Done()
	defer c.Close()
	free := context.AfterFunc(l.stop, func() { _ = c.Close() })
	defer free()
	s := bufio.NewScanner(c)
	s.Buffer(make([]byte, 0, 4096), LineMost)
	for s.Scan() {
		var x flow.Line
		if err := json.Unmarshal(s.Bytes(), &x); err != nil {
			l.stray(c, "malformed line")
			return
		}
		if why := node.Foreign(x, *l.Cluster.Load()); why != "" {
			l.stray(c, "a sibling "+why)
			return
		}
		l.In(flow.Event{Line: &x}) // a full holding drops the line
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		l.stray(c, "line too long")
	}
}

// stray counts a connection that is closed for what it said, and logs once
// a burst.
func (l *Link) stray(c net.Conn, why string) {
	l.Strays.Add(1)
	l.In(flow.Event{Stray: why})
	now := time.Now().Unix()
	if was := l.last.Load(); now-was > int64(budget.Heal/time.Second) && l.last.CompareAndSwap(was, now) {
		_ = l.Logger.Log("msg", "closed a connection", "why", why, "from", c.RemoteAddr().String())
	}
}

// Send puts a line into its sibling's holding.
func (l *Link) Send(x flow.Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stop.Err() != nil {
		return
	}
	w := l.out[x.To]
	if w == nil {
		ctx, quit := context.WithCancel(l.stop)
		w = &wire{lines: make(chan flow.Line, holding), quit: quit}
		l.out[x.To] = w
		l.wg.Add(1)
		go l.speak(ctx, x.To, w)
		l.forget()
	}
	w.used = time.Now()
	select {
	case w.lines <- x:
	default:
	}
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

func (l *Link) speak(ctx context.Context, to string, w *wire) {
	defer l.wg.Done()
	var c net.Conn
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	d := net.Dialer{Timeout: budget.Ask}
	for {
		var x flow.Line
		select {
		case <-ctx.Done():
			return
		case x = <-w.lines:
		}
		b, err := json.Marshal(x)
		if err != nil {
			continue
		}
		b = append(b, '\n')
		for try := 0; try < 2; try++ {
			if c == nil {
				if c, err = d.DialContext(ctx, "tcp", to); err != nil {
					c = nil
					break
				}
			}
			_ = c.SetWriteDeadline(time.Now().Add(budget.Lost))
			if _, err = c.Write(b); err == nil {
				break
			}
			_ = c.Close()
			c = nil
		}
		if c == nil {
			// Nobody there: what waits is old by the time somebody is.
			select {
			case <-ctx.Done():
				return
			case <-time.After(budget.Beat):
			}
			for len(w.lines) > holding/8 {
				<-w.lines
			}
		}
	}
}
