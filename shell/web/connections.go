package web

import (
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fernlink/shell/clock"
)

// Shares of a process's descriptors (design 10.7). Each client connection of a listener
// that passes requests on may need a second one to an engine; what is left over, a
// sixteenth and more, is for peers, files and the list.
const (
	passingPart = 3.0 / 8  // of a listener that passes requests on
	answerPart  = 1.0 / 32 // of each other listener
	answerLeast = 8
)

// filesOf gives the descriptors that the process may have, or those it was told where
// these are fewer.
func filesOf(told int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "web: descriptors")
	}
	files := int(min(limit.Cur, 1<<20))
	if told > 0 {
		files = min(files, told)
	}
	return files, nil
}

// connectionsMost is how many connections a listener may have open.
func connectionsMost(files int, passes bool) int {
	if passes {
		return max(int(float64(files)*passingPart), answerLeast)
	}
	return max(int(float64(files)*answerPart), answerLeast)
}

// connections are those of one listener. Where there is no room for another, the one
// that has kept the server waiting the longest goes: for a header, for a body, or for
// its next request. One whose request is being answered stays.
type connections struct {
	mu   sync.Mutex
	most int
	open map[*conn]struct{}
}

// admit takes a connection in, and says whether there was room.
func (t *connections) admit(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= t.most && !t.evict() {
		return false
	}
	t.open[c] = struct{}{}
	return true
}

// evict ends the connection that waits for its client the longest; mu is held.
func (t *connections) evict() bool {
	var longest *conn
	for c := range t.open {
		if c.waits() && (longest == nil || c.since.Load() < longest.since.Load()) {
			longest = c
		}
	}
	if longest == nil || !longest.give() {
		return false
	}
	delete(t.open, longest)
	return true
}

// endWaiting ends all connections that wait for their clients.
func (t *connections) endWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c.waits() {
			c.give()
		}
	}
}

func (t *connections) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// waits says that the server waits for this connection's client.
func (c *conn) waits() bool {
	at := c.at.Load()
	return at == reading || at == receiving || at == idle
}

// give ends a connection unless a request of it has come whole meanwhile.
func (c *conn) give() bool {
	for _, at := range []int32{reading, receiving, idle} {
		if c.at.CompareAndSwap(at, evicted) {
			_ = c.TCPConn.Close()
			return true
		}
	}
	return false
}

// move changes a connection's state and notes when. It fails, and changes nothing, for one
// that is in another state than those named, or was ended meanwhile.
func (c *conn) move(to int32, from ...int32) bool {
	for {
		at := c.at.Load()
		if !slices.Contains(from, at) {
			return false
		}
		c.since.Store(int64(clock.Now())) // before the state, by which evict reads it
		if c.at.CompareAndSwap(at, to) {
			return true
		}
	}
}
