package main

import (
	"io"
	"net"
	"strconv"
	"testing"
	"time"
)

// Descriptors of a process, and clients that each hold one.
const (
	filesOfProcess = 160
	slowClients    = 400
)

// Given clients that hold more connections than a process has descriptors, each with half
// a header, half a body or nothing sent, when operators and clients ask, then they are
// answered within a second or two, and the process goes on.
func TestSlowClientsLeaveRoom(t *testing.T) {
	for name, half := range map[string]string{
		"nothing":       "",
		"half a header": "POST /a/x HTTP/1.1\r\nHost: h\r\n",
		"half a body":   "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(fewFiles, strconv.Itoa(filesOfProcess))
			running := serve(t, nil)
			running.answers(running.health())
			for _, address := range []string{running.where.Front, running.where.Control, running.where.Web} {
				hold(t, address, half)
			}
			for range 10 {
				running.refused("http://" + running.where.Web + "/status")
				running.refused("http://" + running.where.Control + "/config")
				running.refused("http://" + running.where.Front + "/nothing")
			}
			running.end()
		})
	}
}

// hold opens connections that send half of something, and keeps them until the test ends.
func hold(t *testing.T, address, half string) {
	t.Helper()
	dialer := net.Dialer{Timeout: time.Second}
	for range slowClients {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			continue // turned away: that is the process's right
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, half)
	}
}
