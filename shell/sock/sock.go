// Package sock sets up TCP connections for the shells: one behind a cut ends soon, and
// an idle one can be looked at without reading it (design 5.1, 7.3). It owns no
// connection; shell/link and shell/outcall call it.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fernlink/core/budget"
)

// Unheard is how long bytes may go unacknowledged; Connect how long making a
// connection may take.
const (
	Unheard = budget.FailureTimeout
	Connect = budget.FailureTimeout / 8
)

// Control sets the options of a socket before it is connected or listens;
// what a listener accepts has them too.
func Control(_, _ string, raw syscall.RawConn) error {
	var err error
	if fail := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Unheard/time.Millisecond))
	}); fail != nil {
		return fail
	}
	return err
}

// Dialer makes connections. Small writes leave at once, as Go has it.
func Dialer() net.Dialer { return net.Dialer{Timeout: Connect, Control: Control} }

// Quiet says that nothing came on a connection and that it is open as far as
// this machine knows. It never waits.
func Quiet(raw syscall.RawConn) bool {
	quiet := false
	err := raw.Control(func(fd uintptr) {
		p := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		for {
			n, err := unix.Poll(p[:], 0)
			if err == unix.EINTR {
				continue
			}
			quiet = err == nil && n == 0
			return
		}
	})
	return err == nil && quiet
}
