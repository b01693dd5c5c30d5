package outcall

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"fernlink/core/flow"
	"fernlink/core/keepalive"
	"fernlink/shell/clock"
	"fernlink/shell/sock"
)

// Bounds of idle connections: how many are kept for one address and in all, how
// long at most, how much sooner than the server said, and how often they are
// looked at.
const (
	keepEach      = 8
	keepAll       = 256
	keepFor       = 4 * time.Second
	keepMargin    = time.Second / 2
	sweepInterval = time.Second / 2
)

// pooledConn is one connection to an engine. Who took it from the pool owns it alone.
type pooledConn struct {
	net.Conn
	raw       syscall.RawConn
	addr      string
	expiresAt flow.Time
	reused    bool            // it has carried a request before
	names     keepalive.Names // what it has carried
}

// pool holds idle connections. It has no task of its own for them: they are
// looked at when one is taken, and by a timer that runs while there are any.
type pool struct {
	mu      sync.Mutex
	idle    map[string][]*pooledConn // newest last
	count   int
	timer   *time.Timer
	timerAt flow.Time // when the timer runs out; zero when it does not run
	closed  bool
}

// take gives the newest idle connection of an address that is still good and has not carried
// a name.
func (p *pool) take(to, name string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at := len(p.idle[to]) - 1; at >= 0; at-- {
		conns := p.idle[to]
		conn := conns[at]
		if conn.names.Has(name) {
			continue
		}
		p.setIdle(to, slices.Delete(conns, at, at+1))
		p.count--
		if clock.Now() < conn.expiresAt && sock.Quiet(conn.raw) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// put keeps a connection until the time given, if there is room.
func (p *pool) put(conn *pooledConn, expiresAt flow.Time) {
	if conn.raw == nil {
		tcp, ok := conn.Conn.(syscall.Conn)
		if !ok {
			_ = conn.Close()
			return
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			_ = conn.Close()
			return
		}
		conn.raw = raw
	}
	conn.expiresAt, conn.reused = expiresAt, true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.count >= keepAll || clock.Now() >= expiresAt {
		_ = conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*pooledConn{}
	}
	conns := p.idle[conn.addr]
	if len(conns) >= keepEach { // the oldest goes
		_ = conns[0].Close()
		conns = append(conns[:0], conns[1:]...)
		p.count--
	}
	p.idle[conn.addr] = append(conns, conn)
	p.count++
	p.schedule(expiresAt)
}

func (p *pool) setIdle(to string, conns []*pooledConn) {
	if len(conns) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = conns
}

// schedule has idle connections looked at in time; mu is held.
func (p *pool) schedule(expiresAt flow.Time) {
	now := clock.Now()
	at := max(min(now+sweepInterval, expiresAt), now+time.Millisecond)
	if p.count == 0 || p.closed || p.timerAt != 0 && p.timerAt <= at {
		return
	}
	p.timerAt = at
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
	p.timerAt = 0
	now := clock.Now()
	next := now + sweepInterval
	for to, conns := range p.idle {
		keep := conns[:0]
		for _, conn := range conns {
			if now >= conn.expiresAt || !sock.Quiet(conn.raw) {
				_ = conn.Close()
				p.count--
				continue
			}
			keep = append(keep, conn)
			next = min(next, conn.expiresAt)
		}
		clear(conns[len(keep):])
		p.setIdle(to, keep)
	}
	p.schedule(next)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
	for _, conns := range p.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	p.idle, p.count = nil, 0
}
