package link

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"fernlink/shell/sock"
)

// sender is a connection to a peer, opened anew when it breaks.
type sender struct {
	to       string
	dial     net.Dialer
	pause    time.Duration
	openedAt time.Time
	raw      syscall.RawConn
	mu       sync.Mutex
	conn     net.Conn
	aborted  bool
}

// write writes lines, in parts, in one go and says whether it could. A broken connection is
// replaced once, so a peer may get lines twice.
func (s *sender) write(ctx context.Context, parts ...[]byte) bool {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if s.conn != nil && !sock.Quiet(s.raw) { // a peer never writes here: it closed
		s.close()
		if time.Since(s.openedAt) < pauseMost { // and soon, so it may not want what it gets
			s.backOff(ctx)
		}
	}
	for try := 0; try < 2; try++ {
		fresh := s.conn == nil
		if fresh && !s.open(ctx) {
			return false
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(sock.Unheard + time.Duration(size)*time.Second/bytesPerSecond))
		whole := net.Buffers(slices.Clone(parts))
		if _, err := whole.WriteTo(s.conn); err == nil {
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

// backOff waits before a connection is tried again, longer each time.
func (s *sender) backOff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.pause):
	}
	s.pause = min(2*s.pause, pauseMost)
}

func (s *sender) open(ctx context.Context) bool {
	conn, err := s.dial.DialContext(ctx, "tcp", s.to)
	if err != nil {
		return false
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.aborted {
		_ = conn.Close()
		return false
	}
	s.conn, s.raw, s.openedAt = conn, raw, time.Now()
	return true
}

func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// abort ends a write that is under way, and lets no connection be made.
func (s *sender) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	if s.conn != nil {
		_ = s.conn.Close()
	}
}
