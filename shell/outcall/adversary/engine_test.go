package adversary

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// act is what an engine does at an offset of its answer, or at another moment.
type act string

// The acts. Those before the answer come with offset 0.
const (
	actNone        act = "none"        // a whole answer
	actClose       act = "close"       // ends the connection within the answer
	actReset       act = "reset"       // resets it there
	actHold        act = "hold"        // says nothing more
	actSpoil       act = "spoil"       // changes the byte there
	actSwap        act = "swap"        // gives the answer of another call instead
	actDoubleEarly act = "double"      // writes the answer twice at once
	actDoubleLate  act = "double late" // writes it again once the next request is there
	actForget      act = "forget"      // forgets the idle connection: what comes next is reset unread
	actRunForget   act = "run forget"  // runs what comes next on the connection, then resets it
	actAway        act = "turn away"   // says that it did not run the call
	actUnread      act = "unread"      // resets before it reads the request
	actHalfRead    act = "half read"   // resets amid the request
	actSilent      act = "silent"      // reads, runs and says nothing
	actRunReset    act = "run reset"   // reads, runs and resets
	actNameless    act = "nameless"    // answers without the name of the call
)

// momentActs are the acts that have no offset.
var momentActs = []act{actNone, actSwap, actDoubleEarly, actDoubleLate, actForget, actRunForget, actAway, actUnread, actHalfRead, actSilent, actRunReset, actNameless}

// offsetActs are those that come at a byte of the answer.
var offsetActs = []act{actClose, actReset, actHold, actSpoil}

// format is how an answer is framed.
type format string

// The formats of an answer.
const (
	formatLength  format = "length"
	formatChunked format = "chunked"
	formatStream  format = "stream"
)

var formats = []format{formatLength, formatChunked, formatStream}

// eventsEach is how many events a stream has.
const eventsEach = 3

// script is what an engine does with one send.
type script struct {
	act    act
	format format
	offset int
	flip   byte
}

// header writes the script into a request, and readScript reads it there.
func (s script) header() string {
	return fmt.Sprintf("%s|%s|%d|%d", s.act, s.format, s.offset, s.flip)
}

func readScript(text string) script {
	p := strings.Split(text, "|")
	if len(p) != 4 {
		return script{act: actNone, format: formatLength}
	}
	offset, _ := strconv.Atoi(p[2])
	flip, _ := strconv.Atoi(p[3])
	return script{act(p[0]), format(p[1]), offset, byte(flip)}
}

// body is the answer to a call; it names the call, so that the checker knows it.
func body(id string) string { return "answer to " + id + "." }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s", n, body(id)) }

// answer writes the whole answer to a call.
func answer(id string, f format) string {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nKeep-Alive: timeout=3\r\n"
	return frame(head, id, f)
}

func frame(head, id string, f format) string {
	switch f {
	case formatChunked:
		b := body(id)
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, 4, b[:4], len(b)-4, b[4:])
	case formatStream:
		text := head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for n := range eventsEach {
			e := event(id, n) + "\n\n"
			text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		return text + "0\r\n\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body(id)), body(id))
}

// engine is an adversary behind a real address. It counts the runs of each call.
type engine struct {
	listener net.Listener
	mu       sync.Mutex
	name     string
	instance string
	runs     map[string]int
	recent   []string // the newest calls, whose answers it may give to others
	open     map[net.Conn]bool
}

// startEngine listens until the test is over.
func startEngine(t *testing.T, instance string) *engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{listener: listener, name: instance, instance: instance, runs: map[string]int{}, open: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		e.handOver("")
	})
	go e.accept()
	return e
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.open[conn] = true
		e.mu.Unlock()
		go func() {
			e.serve(conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.open, conn)
			e.mu.Unlock()
		}()
	}
}

// handOver gives the address to another instance, and resets the connections of the
// one that had it.
func (e *engine) handOver(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance = instance
	for conn := range e.open {
		reset(conn)
	}
}

// first is the instance that callers know.
func (e *engine) first() string { return e.name }

// now is the instance that has the address.
func (e *engine) now() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// ran counts a run of a call.
func (e *engine) ran(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	if e.recent = append(e.recent, id); len(e.recent) > 16 {
		e.recent = e.recent[1:]
	}
}

func (e *engine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// other is a call that is not the one given.
func (e *engine) other(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.recent {
		if x != id {
			return x
		}
	}
	return "nobody"
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// hold waits until the other side ends the connection.
func hold(in io.Reader) { _, _ = io.Copy(io.Discard, in) }

// serve takes requests off a connection until an act ends it.
func (e *engine) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	before := "" // a surplus answer that stands before the next one
	for {
		// The script is needed before the request is read.
		head, err := reader.Peek(1)
		if err != nil || len(head) == 0 {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		script := readScript(request.Header.Get("Script"))
		id := request.Header.Get("Attempt-Id")
		if script.act == actUnread {
			reset(conn)
			return
		}
		if script.act == actHalfRead {
			_, _ = io.CopyN(io.Discard, request.Body, request.ContentLength/2)
			reset(conn)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if expect := request.Header.Get("Expect-Instance"); expect != e.now() {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		next, goOn := e.act(conn, reader, id, script, before)
		if !goOn {
			return
		}
		before = next
	}
}

// act answers one request; it gives a surplus answer that stands before the next one,
// and whether the connection goes on.
func (e *engine) act(conn net.Conn, reader *bufio.Reader, id string, s script, before string) (surplus string, goOn bool) {
	if s.act == actAway {
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", before, id)
		return "", true
	}
	e.ran(id)
	text := answer(id, s.format)
	switch s.act {
	case actSilent:
		hold(reader)
		return "", false
	case actRunReset:
		reset(conn)
		return "", false
	case actSwap:
		text = answer(e.other(id), s.format)
	case actNameless:
		text = frame("HTTP/1.1 200 OK\r\n", id, s.format)
	case actDoubleEarly:
		text += text
	case actSpoil:
		b := []byte(text)
		b[s.offset] ^= s.flip
		text = string(b)
	case actClose, actReset, actHold:
		_, _ = io.WriteString(conn, before+text[:s.offset])
		e.breakOff(conn, reader, s.act)
		return "", false
	}
	if _, err := io.WriteString(conn, before+text); err != nil {
		return "", false
	}
	switch s.act {
	case actDoubleLate:
		return text, true
	case actForget, actSpoil, actSwap:
		_, _ = reader.Peek(1)
		reset(conn)
		return "", false
	case actRunForget:
		if request, err := http.ReadRequest(reader); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Header.Get("Expect-Instance") == e.now() {
				e.ran(request.Header.Get("Attempt-Id"))
			}
			reset(conn)
		}
		return "", false
	}
	return "", true
}

// breakOff ends an answer that was begun.
func (e *engine) breakOff(conn net.Conn, in io.Reader, how act) {
	switch how {
	case actReset:
		reset(conn)
	case actHold:
		hold(in)
	}
}
