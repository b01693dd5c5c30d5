package sim

import (
	"time"

	"fernlink/core/flow"
	"fernlink/core/keepalive"
)

// connection is one connection of a process to an engine. Which requests a kept one may carry
// is decided by the code that decides it for real ones.
type connection struct {
	host   *Host
	life   int
	addr   string
	names  keepalive.Names
	send   flow.Send // the one that is under way
	busy   bool
	closed bool
}

// connections are those of one world's processes: busy ones by send, and idle ones by process
// and address, the newest last.
type connections struct {
	busy map[sendKey]*connection
	idle map[idleKey][]*connection
}

type idleKey struct {
	host *Host
	life int
	addr string
}

// sendKey names a send among those of all processes.
type sendKey struct {
	host *Host
	life int
	id   uint64
}

func newConnections() *connections {
	return &connections{busy: map[sendKey]*connection{}, idle: map[idleKey][]*connection{}}
}

// carry gives a send its connection: the newest idle one that may carry it, or a new one.
func (c *connections) carry(h *Host, life int, addr string, s flow.Send) {
	key := idleKey{h, life, addr}
	conn := &connection{host: h, life: life, addr: addr}
	idle := c.idle[key]
	for at := len(idle) - 1; at >= 0 && s.Keep && !s.Alone; at-- {
		if !idle[at].names.Has(s.Match) {
			conn = idle[at]
			c.idle[key] = append(idle[:at:at], idle[at+1:]...)
			break
		}
	}
	conn.names.Add(s.Match)
	conn.send, conn.busy = s, true
	c.busy[sendKey{h, life, s.ID}] = conn
}

// ended takes a send off its connection, which is kept where the answer was whole.
func (c *connections) ended(h *Host, life int, id uint64, whole bool) {
	key := sendKey{h, life, id}
	conn := c.busy[key]
	if conn == nil {
		return
	}
	delete(c.busy, key)
	conn.busy = false
	if conn.closed = !whole || !conn.send.Keep || conn.names.Full(); conn.closed {
		return
	}
	idle := idleKey{h, life, conn.addr}
	c.idle[idle] = append(c.idle[idle], conn)
}

// repeat has an engine's whole answer come again on its connection after a while. An idle
// connection on which something came is closed when it is looked at.
func (o *Outside) repeat(from string, h *Host, life int, answer flow.Back, after time.Duration) {
	conn := o.conns.busy[sendKey{h, life, answer.ID}]
	if conn == nil {
		return
	}
	name := conn.send.Match
	o.w.After(after, func() {
		o.w.Net.Flow(from, h.Name, func() {
			switch {
			case conn.closed || h.life != life:
			case !conn.busy:
				o.conns.close(conn)
			case conn.send.Name == "" || conn.send.Match == name: // it can't be told from the send's own
				answer.ID = conn.send.ID
				o.took(h, life, answer)
			}
		})
	})
}

// close closes an idle connection.
func (c *connections) close(conn *connection) {
	conn.closed = true
	key := idleKey{conn.host, conn.life, conn.addr}
	var left []*connection
	for _, x := range c.idle[key] {
		if x != conn {
			left = append(left, x)
		}
	}
	c.idle[key] = left
}
