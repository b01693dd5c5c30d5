package sock

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func raw(t *testing.T, c net.Conn) syscall.RawConn {
	t.Helper()
	r, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Given a dialled and an accepted connection, when their options are read, then
// both end when bytes go unacknowledged, and small writes don't wait.
func TestOptions(t *testing.T) {
	conf := net.ListenConfig{Control: Control}
	socket, err := conf.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	d := Dialer()
	conn, err := d.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	b, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	for name, c := range map[string]net.Conn{"dialled": conn, "accepted": b} {
		for opt, want := range map[int]int{unix.TCP_USER_TIMEOUT: int(Unheard / time.Millisecond), unix.TCP_NODELAY: 1} {
			var got int
			if fail := raw(t, c).Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt) }); fail != nil || err != nil {
				t.Fatal(fail, err)
			}
			if got != want {
				t.Errorf("%s: option %d is %d, want %d", name, opt, got, want)
			}
		}
	}
}

// Given a connection, when nothing came, bytes came, the other side shut it or
// this side closed it, then only the first is quiet.
func TestQuiet(t *testing.T) {
	for name, x := range map[string]struct {
		do   func(here, there *net.TCPConn)
		want bool
	}{
		"nothing": {func(_, _ *net.TCPConn) {}, true},
		"bytes":   {func(_, there *net.TCPConn) { _, _ = there.Write([]byte("x")) }, false},
		"shut":    {func(_, there *net.TCPConn) { _ = there.CloseWrite() }, false},
		"reset":   {func(_, there *net.TCPConn) { _ = there.SetLinger(0); _ = there.Close() }, false},
		"closed":  {func(here, _ *net.TCPConn) { _ = here.Close() }, false},
	} {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b, err := socket.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r := raw(t, conn)
		x.do(conn.(*net.TCPConn), b.(*net.TCPConn))
		if got := Quiet(r); got != x.want {
			t.Errorf("%s: %v", name, got)
		}
		_, _, _ = conn.Close(), b.Close(), socket.Close()
	}
}
