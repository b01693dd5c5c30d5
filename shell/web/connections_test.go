package web

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
)

// fewFiles leaves each listener its least: answerLeast connections.
const fewFiles = 16

// narrow is a server with room for few connections, whose calls are answered by the test.
func narrow(t *testing.T) *testServer {
	t.Helper()
	return openedWith(t, Options{Files: fewFiles}, Listener{Rest: "rest"}, nil)
}

const whole = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// untilAt waits until the server waits for something of so many clients.
func (h *testServer) untilAt(t *testing.T, at int32, count int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		open, waits := h.connections[1], 0
		open.mu.Lock()
		for c := range open.open {
			if c.at.Load() == at {
				waits++
			}
		}
		open.mu.Unlock()
		if waits == count {
			return
		}
	}
	t.Fatalf("the server does not wait for %d clients", count)
}

// Given a listener that is full of clients that keep it waiting, each in another way, and
// of one whose request is being answered, when another comes, then the one that has kept
// it waiting the longest goes, and the request is answered to its end.
func TestTheLongestWaitingMakesRoom(t *testing.T) {
	for name, c := range map[string]struct {
		half string
		at   int32 // what the server waits for then
	}{
		"nothing":       {"", reading},
		"half a header": {"GET / HT", reading},
		"half a body":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf", receiving},
	} {
		t.Run(name, func(t *testing.T) {
			server := narrow(t)
			served := server.dial()
			_, _ = io.WriteString(served, whole)
			first := <-server.calls
			var waiting []*line
			for range answerLeast - 1 {
				line := server.dial()
				_, _ = io.WriteString(line, c.half)
				waiting = append(waiting, line)
				server.until(t, len(waiting)+1)
				server.untilAt(t, c.at, len(waiting)) // else the next may be waited for sooner
			}
			late := server.dial()
			_, _ = io.WriteString(late, whole)
			ok(server.Web, <-server.calls)
			if response, _, err := late.answer(); err != nil || response.StatusCode != 200 {
				t.Errorf("the late one got %v, %v", response, err)
			}
			ended(t, waiting[0])
			ok(server.Web, first)
			if response, _, err := served.answer(); err != nil || response.StatusCode != 200 {
				t.Errorf("the one that was being answered got %v, %v", response, err)
			}
		})
	}
}

// Given a listener whose connections are all being answered, when another comes, then
// that is turned away, and nothing of it is passed on.
func TestNobodyMakesRoomWhileAnswered(t *testing.T) {
	server := narrow(t)
	var calls []flow.Call
	for range answerLeast {
		_, _ = io.WriteString(server.dial(), whole)
		calls = append(calls, <-server.calls)
	}
	late := server.dial()
	_, _ = io.WriteString(late, whole)
	ended(t, late)
	for _, call := range calls {
		ok(server.Web, call)
	}
	select {
	case call := <-server.calls:
		t.Errorf("passed on: %+v", call)
	default:
	}
}

// ended waits until the server has ended a connection.
func ended(t *testing.T, c *line) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	text, err := io.ReadAll(c)
	if err != nil && strings.Contains(err.Error(), "timeout") {
		t.Errorf("it stays open")
	}
	if bytes.Contains(text, []byte("200 OK")) {
		t.Errorf("it was answered: %q", text)
	}
}

// until waits until so many connections are known to the listener.
func (h *testServer) until(t *testing.T, connections int) {
	t.Helper()
	end := time.After(5 * time.Second)
	table := h.connections[1]
	for known := 0; known < connections; {
		select {
		case <-end:
			t.Fatalf("%d of %d connections", known, connections)
		default:
		}
		table.mu.Lock()
		known = len(table.open)
		table.mu.Unlock()
	}
}

// Given a node whose one listener serves operators, callers and trainers, when its room is
// reckoned, then it is that of a listener that passes requests on.
func TestTheOnlyListenerHasRoomForCallers(t *testing.T) {
	const files = 4096
	alone, err := OpenListeners(Options{Addr: "127.0.0.1:0", Files: files})
	if err != nil {
		t.Fatal(err)
	}
	defer alone.Close(t.Context())
	if most := alone.connections[0].most; most != files*3/8 {
		t.Errorf("the only listener has room for %d", most)
	}
	beside, err := OpenListeners(Options{Addr: "127.0.0.1:0", Files: files, Listeners: []Listener{{Addr: "127.0.0.1:0", Rest: "rest"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer beside.Close(t.Context())
	if most := beside.connections[0].most; most != files/32 {
		t.Errorf("operators' listener has room for %d", most)
	}
	if most := beside.connections[1].most; most != files*3/8 {
		t.Errorf("callers' listener has room for %d", most)
	}
}

// Given a client that sends its header byte by byte, when another byte comes, then it has
// kept the server waiting since its header began, and not since that byte.
func TestAByteNowAndThenIsNoHeader(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	client, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	const began = 1
	c := &conn{TCPConn: accepted.(*net.TCPConn)}
	c.since.Store(began)
	_, _ = io.WriteString(client, "G")
	if n, err := c.Read(make([]byte, 9)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if since := c.since.Load(); since != began || c.at.Load() != reading {
		t.Errorf("it waits since %d in state %d", since, c.at.Load())
	}
}
