package outcall

import (
	"net"
	"sync"
	"syscall"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/clock"
	"fernlink/shell/sock"
)

// Bounds of idle connections: how many are kept for one address and in all, how
// long at most, how much sooner than the server said, and how often they are
// looked at.
const (
	keepEach = 8
	keepAll  = 256
	keepFor  = 4 * time.Second
	margin   = time.Second / 2
	look     = time.Second / 2
)

// line is one connection to an engine. Who took it from the pool owns it alone.
type line struct {
	conn net.Conn
	raw  syscall.RawConn
	to   string
	till flow.Time
	used bool // it has carried a request before
}

// pool holds idle connections. It has no task of its own for them: they are
// looked at when one is taken, and by a timer that runs while there are any.
type pool struct {
	mu    sync.Mutex
	idle  map[string][]*line // newest last
	n     int
	timer *time.Timer
	at    flow.Time // when the timer runs out; zero when it does not run
	shut  bool
}

// take gives the newest idle connection of an address that is still good.
func (p *pool) take(to string) *line {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		ls := p.idle[to]
		if len(ls) == 0 {
			return nil
		}
		l := ls[len(ls)-1]
		p.set(to, ls[:len(ls)-1])
		p.n--
		if clock.Now() < l.till && sock.Quiet(l.raw) {
			return l
		}
		_ = l.conn.Close()
	}
}

// put keeps a connection until the time given, if there is room.
func (p *pool) put(l *line, till flow.Time) {
	if l.raw == nil {
		tcp, ok := l.conn.(syscall.Conn)
		if !ok {
			_ = l.conn.Close()
			return
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			_ = l.conn.Close()
			return
		}
		l.raw = raw
	}
	l.till, l.used = till, true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || p.n >= keepAll || clock.Now() >= till {
		_ = l.conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*line{}
	}
	ls := p.idle[l.to]
	if len(ls) >= keepEach { // the oldest goes
		_ = ls[0].conn.Close()
		ls = append(ls[:0], ls[1:]...)
		p.n--
	}
	p.idle[l.to] = append(ls, l)
	p.n++
	p.wake(till)
}

func (p *pool) set(to string, ls []*line) {
	if len(ls) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = ls
}

// wake sees to it that idle connections are looked at in time; mu is held.
func (p *pool) wake(till flow.Time) {
	now := clock.Now()
	at := max(min(now+look, till), now+time.Millisecond)
	if p.n == 0 || p.shut || p.at != 0 && p.at <= at {
		return
	}
	p.at = at
	if p.timer == nil {
		p.timer = time.AfterFunc(at-now, p.sweep)
		return
	}
	p.timer.Reset(at - now)
}

// sweep closes idle connections that are over or that the server closed.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = 0
	now := clock.Now()
	next := now + look
	for to, ls := range p.idle {
		keep := ls[:0]
		for _, l := range ls {
			if now >= l.till || !sock.Quiet(l.raw) {
				_ = l.conn.Close()
				p.n--
				continue
			}
			keep = append(keep, l)
			next = min(next, l.till)
		}
		clear(ls[len(keep):])
		p.set(to, keep)
	}
	p.wake(next)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	if p.timer != nil {
		p.timer.Stop()
	}
	for _, ls := range p.idle {
		for _, l := range ls {
			_ = l.conn.Close()
		}
	}
	p.idle, p.n = nil, 0
}
