package web

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlink/core/flow"
)

// oddCore answers calls out of order, some twice, some in parts and some cut short.
// It keeps the names of the calls that reached it.
type oddCore struct {
	mu    sync.Mutex
	rand  *rand.Rand
	seen  map[string]int
	calls chan flow.Call
}

func newOddCore() *oddCore {
	return &oddCore{rand: rand.New(rand.NewSource(1)), seen: map[string]int{}, calls: make(chan flow.Call, 4096)}
}

func (o *oddCore) take(_ *Web, c flow.Call) {
	o.mu.Lock()
	o.seen[flow.Get(c.Fields, "Attempt-Id")]++
	o.mu.Unlock()
	o.calls <- c
}

// times is how often a call reached the core.
func (o *oddCore) times(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen[id]
}

// run answers what waits, shuffled, until the calls end.
func (o *oddCore) run(web *Web) {
	for c := range o.calls {
		batch := []flow.Call{c}
		for len(o.calls) > 0 && len(batch) < 16 {
			batch = append(batch, <-o.calls)
		}
		o.rand.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for _, x := range batch {
			o.answer(web, x)
		}
	}
}

// answerTo is the true answer to a call.
func answerTo(id string) string { return strings.Repeat("answer to "+id+".", 40) }

func (o *oddCore) answer(web *Web, call flow.Call) {
	id := flow.Get(call.Fields, "Attempt-Id")
	body := []byte(answerTo(id))
	fields := []flow.Field{{Name: "Attempt-Id", Value: id}}
	half := len(body) / 2
	switch o.rand.Intn(4) {
	case 0:
		web.Reply(flow.Reply{ID: call.ID, Code: 200, Fields: fields, Body: body[:half], More: true})
		web.Reply(flow.Reply{ID: call.ID, Body: body[half:]})
	case 1:
		web.Reply(flow.Reply{ID: call.ID, Code: 200, Fields: fields, Body: body[:half], More: true})
		web.Reply(flow.Reply{ID: call.ID, Cut: true})
	default:
		web.Reply(flow.Reply{ID: call.ID, Code: 200, Fields: fields, Body: body})
	}
	web.Reply(flow.Reply{ID: call.ID, Code: 200, Fields: fields, Body: []byte("surplus")})
}

// request writes a request with a body of its own.
func request(id string, chunks bool) string {
	head := "POST /" + id + " HTTP/1.1\r\nHost: x\r\nAttempt-Id: " + id + "\r\n"
	if chunks {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(id), id)
	}
	return head + "Content-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id
}

// resetConn ends a connection with a reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Given requests that end at each of their bytes, with a length and in chunks, when their
// connections are shut or reset there, then none reaches the core unless it is whole.
func TestHalfRequestsReachNobody(t *testing.T) {
	core := newOddCore()
	h := opened(t, Listener{Rest: "rest"}, core.take)
	for _, chunks := range []bool{false, true} {
		for offset := range request("half-0000", chunks) {
			id := fmt.Sprintf("half-%04d", offset)
			shut, broken := h.dial(), h.dial()
			_, _ = io.WriteString(shut, request(id, chunks)[:offset])
			_, _ = io.WriteString(broken, request(id, chunks)[:offset])
			resetConn(broken.Conn)
			_ = shut.Conn.(*net.TCPConn).CloseWrite()
			_, _ = io.ReadAll(shut.r) // the server ends it once it has read all
			_ = shut.Close()
		}
	}
	core.mu.Lock()
	defer core.mu.Unlock()
	if len(core.seen) > 0 {
		t.Errorf("reached the core: %v", core.seen)
	}
}

// client is one caller that goes wrong in its own ways.
type client struct {
	t    *testing.T
	h    *testServer
	core *oddCore
	rand *rand.Rand
	name string
}

// run makes connections, each with requests one after another or all at once, and leaves
// some amid an answer.
func (c *client) run() {
	for n := range 12 {
		conn, err := net.Dial("tcp", c.h.Addr(1).String())
		if err != nil {
			c.t.Error(err)
			return
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second)) // a hang guard
		c.talk(conn, fmt.Sprintf("%s-%02d", c.name, n))
		resetConn(conn)
	}
}

func (c *client) talk(conn net.Conn, name string) {
	reader := bufio.NewReader(conn)
	var ids []string
	for n := range 1 + c.rand.Intn(4) {
		ids = append(ids, fmt.Sprintf("%s-%d", name, n))
	}
	together := c.rand.Intn(2) == 0
	if together {
		var all string
		for _, id := range ids {
			all += request(id, c.rand.Intn(2) == 0)
		}
		_, _ = io.WriteString(conn, all)
	}
	leave := c.rand.Intn(2 * len(ids))
	for n, id := range ids {
		if !together {
			_, _ = io.WriteString(conn, request(id, c.rand.Intn(2) == 0))
		}
		if n == leave {
			_, _ = io.CopyN(io.Discard, reader, int64(c.rand.Intn(400)))
			return
		}
		if !c.read(reader, id) {
			return
		}
	}
}

// read reads the answer to a call, and says whether the connection goes on.
func (c *client) read(in *bufio.Reader, id string) bool {
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(answer.Body)
	if got := answer.Header.Get("Attempt-Id"); got != id {
		c.t.Errorf("%s got the answer to %q", id, got)
	}
	if want := answerTo(id); err == nil && string(body) != want || !strings.HasPrefix(want, string(body)) {
		c.t.Errorf("%s got %q, %v", id, body, err)
	}
	if n := c.core.times(id); n != 1 {
		c.t.Errorf("%s reached the core %d times", id, n)
	}
	return err == nil && !answer.Close
}

// Given clients that send several requests at once, leave amid an answer and reset, and
// a core that answers out of order, in parts, cut short and twice, when their connections
// come and go, then each answer reaches its own caller, and none that was cut looks whole.
func TestAnswersReachTheirOwnCallers(t *testing.T) {
	core := newOddCore()
	h := &testServer{t: t}
	var web *Web
	ready := make(chan bool)
	web, err := OpenListeners(Options{Addr: "127.0.0.1:0", Listeners: []Listener{{Addr: "127.0.0.1:0", Rest: "rest"}}, In: func(e flow.Event) bool {
		<-ready
		if e.Call != nil {
			core.take(web, *e.Call)
		}
		return true
	}})
	if err != nil {
		t.Fatal(err)
	}
	h.Web = web
	close(ready)
	go core.run(web)
	var running sync.WaitGroup
	for n := range 64 {
		running.Add(1)
		go func() {
			defer running.Done()
			c := client{t, h, core, rand.New(rand.NewSource(int64(n))), fmt.Sprintf("client-%02d", n)}
			c.run()
		}()
	}
	running.Wait()
	for _, s := range web.servers {
		_ = s.Close()
	}
	core.mu.Lock()
	defer core.mu.Unlock()
	if len(core.seen) < 500 {
		t.Errorf("only %d calls", len(core.seen))
	}
}
