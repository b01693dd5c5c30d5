package web

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// testServer is a web with one listener and a core that is a function.
type testServer struct {
	*Web
	t     *testing.T
	calls chan flow.Call
	gone  chan uint64
}

func opened(t *testing.T, d Listener, core func(*Web, flow.Call)) *testServer {
	t.Helper()
	return openedWith(t, Options{}, d, core)
}

func openedWith(t *testing.T, options Options, d Listener, core func(*Web, flow.Call)) *testServer {
	t.Helper()
	h := &testServer{t: t, calls: make(chan flow.Call, 64), gone: make(chan uint64, 64)}
	ready := make(chan bool)
	d.Addr = "127.0.0.1:0"
	options.Addr, options.Listeners = "127.0.0.1:0", []Listener{d}
	options.In = func(event flow.Event) bool {
		<-ready
		if event.Call != nil {
			h.calls <- *event.Call
			if core != nil {
				core(h.Web, *event.Call)
			}
		}
		if event.Gone != 0 {
			h.gone <- event.Gone
		}
		return true
	}
	web, err := OpenListeners(options)
	if err != nil {
		t.Fatal(err)
	}
	h.Web = web
	close(ready)
	t.Cleanup(func() {
		ctx, quit := context.WithCancel(context.Background())
		quit()
		web.Close(ctx)
	})
	return h
}

func ok(w *Web, c flow.Call) { w.Reply(flow.Reply{ID: c.ID, Code: 200, Body: []byte(c.Name)}) }

// line is a connection to the listener.
type line struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (h *testServer) dial() *line {
	h.t.Helper()
	c, err := net.Dial("tcp", h.Addr(1).String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // a hang guard
	return &line{c, h.t, bufio.NewReader(c)}
}

// ask writes a request and reads its answer as it stands: the lines of its head
// and its body.
func (l *line) ask(request string) ([]string, string) {
	l.t.Helper()
	_, _ = io.WriteString(l, request)
	res, raw, err := l.answer()
	if err != nil {
		l.t.Fatalf("%.80q: %v", request, err)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		l.t.Fatalf("%.80q: %v", request, err)
	}
	return raw, string(b)
}

func (l *line) answer() (*http.Response, []string, error) {
	var head bytes.Buffer
	var raw []string
	for {
		s, err := l.r.ReadString('\n')
		head.WriteString(s)
		if err != nil {
			return nil, nil, err
		}
		if s == "\r\n" {
			break
		}
		raw = append(raw, strings.TrimSuffix(s, "\r\n"))
	}
	res, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, l.r)), nil)
	return res, raw, err
}

func (l *line) closed() bool {
	_, err := l.r.ReadByte()
	var ne net.Error
	return err != nil && !(errors.As(err, &ne) && ne.Timeout())
}

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(30 * time.Second): // a hang guard
		t.Fatal("hangs")
	}
	panic("unreachable")
}

// Given a listener with routes, when requests come, then each finds its route by
// verb and exact path, and the rest has one name or none.
func TestListenerRoutes(t *testing.T) {
	routes := []Route{
		{Verb: "POST", Path: "/v1/{thing}", Name: "thing"},
		{Verb: "POST", Path: "/v1/text", Name: "text"},
		{Path: "/any", Name: "any"},
		{Verb: "GET", Path: "/lot/{id}/{rest:.*}", Name: "lot"},
	}
	for _, rest := range []string{"rest", ""} {
		h := opened(t, Listener{Routes: routes, Rest: rest}, ok)
		l := h.dial()
		for ask, want := range map[string]string{
			"POST /v1/text": "text", "POST /v1/chat": "thing", "GET /v1/text": rest, "DELETE /any": "any", "POST /any": "any", "POST /any/": rest,
			"GET /lot/a%2Fb/c/d": "lot", "GET //any": rest, "GET /x/../any": rest, "GET /status": rest, "POST /v1/a/b": rest,
		} {
			head, body := l.ask(ask + " HTTP/1.1\r\nHost: x\r\n\r\n")
			if want == "" {
				if !strings.Contains(head[0], "404") {
					t.Errorf("%s: %q", ask, head[0])
				}
				continue
			}
			if body != want {
				t.Errorf("%s: %q %q, want %q", ask, head, body, want)
			}
		}
	}
}

// Given a request with all sorts of headers and an odd path, when it comes at a
// listener, then the call has what was written but what concerns the connection.
func TestListenerCall(t *testing.T) {
	testServer := opened(t, Listener{Routes: []Route{{Verb: "PUT", Path: "/a/{id}", Name: "a"}}, Rest: "rest"}, ok)
	line := testServer.dial()
	line.ask("PUT /a/%41%2f|x?q=1&q=2&r=%20+&;z HTTP/1.1\r\nHOST: App.Example:8080\r\nx-b: 2\r\nX-A: 1\r\nx-b:  3 \r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTe: x\r\n" +
		"Upgrade: h2c\r\nProxy-Authorization: z\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n")
	c := wait(t, testServer.calls)
	fields := "[{Content-Type a/b} {X-A 1} {X-B 2} {X-B 3}]"
	if c.Name != "a" || c.Host != "app.example" || c.Verb != "PUT" || c.Path != "/a/%41%2f|x" || c.Query["?"] != "q=1&q=2&r=%20+&;z" || c.Query["q"] != "1" || c.Query["r"] != "  " ||
		string(c.Body) != "abcde" || fmt.Sprint(c.Fields) != fields || c.Head["Content-Type"] != "a/b" {
		t.Errorf("%+v\n%s", c, c.Body)
	}
	for host, want := range map[string]string{"[::1]:80": "::1", "[FE80::1]": "fe80::1", "10.0.0.1": "10.0.0.1", "X": "x"} {
		line.ask("GET / HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
		if c := wait(t, testServer.calls); c.Host != want || c.Name != "rest" {
			t.Errorf("%s: %q", host, c.Host)
		}
	}
}

// Given routes that rewrite, when calls and answers pass, then the core sees the
// rewritten call, or none, and the client the rewritten answer.
func TestListenerRewrites(t *testing.T) {
	testServer := opened(t, Listener{Routes: []Route{
		{Verb: "GET", Path: "/in", Name: "in", Into: func(c *flow.Call) *flow.Reply { c.Name, c.ID = "other", 99; return nil }},
		{Verb: "GET", Path: "/no", Name: "no", Into: func(*flow.Call) *flow.Reply { return &flow.Reply{Code: 422, Body: []byte("no")} }},
		{Verb: "GET", Path: "/back", Name: "back", Back: func(p flow.Reply) flow.Reply { p.Body = append(p.Body, '!'); return p }},
		{Verb: "GET", Path: "/more", Name: "more", Back: func(p flow.Reply) flow.Reply { p.Body = append(p.Body, '!'); return p }},
	}}, func(w *Web, c flow.Call) {
		if c.Name == "more" {
			w.Reply(flow.Reply{ID: c.ID, Code: 200, Body: []byte("1"), More: true})
		}
		ok(w, c)
	})
	l := testServer.dial()
	for path, want := range map[string]string{"/in": "200 other", "/no": "422 no", "/back": "200 back!", "/more": "200 1more"} {
		head, body := l.ask("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
		if got := strings.Fields(head[0])[1] + " " + body; got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	if len(testServer.calls) != 3 {
		t.Errorf("%d calls", len(testServer.calls))
	}
}

// Given answers with headers as a core gives them, when they are written, then
// nothing is added but the length, and nothing of the connection passes.
func TestListenerAnswers(t *testing.T) {
	var give flow.Reply
	h := opened(t, Listener{Rest: "rest"}, func(w *Web, c flow.Call) {
		give.ID = c.ID
		w.Reply(give)
	})
	line := h.dial()
	f := func(s ...string) (out []flow.Field) {
		for i := 0; i < len(s); i += 2 {
			out = append(out, flow.Field{Name: s[i], Value: s[i+1]})
		}
		return out
	}
	big := bytes.Repeat([]byte("<html>"), 20000)
	for _, x := range []struct {
		verb string
		p    flow.Reply
		want string
	}{
		{"GET", flow.Reply{Code: 200, Body: []byte("<html>")}, "HTTP/1.1 200 OK|Content-Length: 6"},
		{"GET", flow.Reply{Code: 200, Body: big}, "HTTP/1.1 200 OK|Content-Length: 120000"},
		{"GET", flow.Reply{Code: 500}, "HTTP/1.1 500 Internal Server Error|Content-Length: 0"},
		{"GET", flow.Reply{Code: 204}, "HTTP/1.1 204 No Content"},
		{"GET", flow.Reply{Code: 304, Fields: f("ETag", "1")}, "HTTP/1.1 304 Not Modified|ETag: 1"},
		{"HEAD", flow.Reply{Code: 200}, "HTTP/1.1 200 OK"},
		{"GET", flow.Reply{Code: 7}, "HTTP/1.1 500 Internal Server Error|Content-Length: 0"},
		{"GET", flow.Reply{Code: 200, Fields: f("x-a", "1", "x-a", "2", "Connection", "close", "transfer-encoding", "chunked", "Content-Length", "9"), Head: map[string]string{"Content-Type": "a/b"}, Body: []byte("x")},
			"HTTP/1.1 200 OK|Content-Length: 1|Content-Type: a/b|x-a: 1|x-a: 2"},
	} {
		give = x.p
		_, _ = io.WriteString(line, x.verb+" / HTTP/1.1\r\nHost: x\r\n\r\n")
		var raw []string
		for {
			s, err := line.r.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if s == "\r\n" {
				break
			}
			raw = append(raw, strings.TrimSuffix(s, "\r\n"))
		}
		if got := strings.Join(raw, "|"); got != x.want {
			t.Errorf("got  %s\nwant %s", got, x.want)
		}
		_, _ = io.CopyN(io.Discard, line.r, int64(len(x.p.Body)))
	}
}

// Given a streamed answer, when its parts come one by one, then each is there
// before the next, and only an end shows a whole body; a cut shows none.
func TestListenerStreams(t *testing.T) {
	testServer := opened(t, Listener{Rest: "rest"}, nil)
	for _, cut := range []bool{false, true} {
		line := testServer.dial()
		_, _ = io.WriteString(line, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		id := wait(t, testServer.calls).ID
		testServer.Reply(flow.Reply{ID: id, Code: 200, Fields: []flow.Field{{Name: "Content-Type", Value: "text/event-stream"}}, More: true})
		res, raw, err := line.answer()
		if err != nil || strings.Join(raw, "|") != "HTTP/1.1 200 OK|Content-Type: text/event-stream|Transfer-Encoding: chunked" {
			t.Fatalf("%q %v", raw, err)
		}
		b := make([]byte, 3)
		for i := range 3 {
			testServer.Reply(flow.Reply{ID: id, Body: fmt.Appendf(nil, "e%d\n", i), More: true})
			if _, err := io.ReadFull(res.Body, b); err != nil || string(b) != fmt.Sprintf("e%d\n", i) {
				t.Fatalf("%q %v", b, err)
			}
		}
		testServer.Reply(flow.Reply{ID: id, Cut: cut})
		rest, err := io.ReadAll(res.Body)
		if (err != nil) != cut || len(rest) != 0 {
			t.Errorf("cut %v: %q %v", cut, rest, err)
		}
		if cut && !line.closed() {
			t.Error("the connection is open")
		}
	}
	// A cut before anything was said.
	l := testServer.dial()
	_, _ = io.WriteString(l, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	testServer.Reply(flow.Reply{ID: wait(t, testServer.calls).ID, Cut: true})
	if !l.closed() {
		t.Error("an answer after a cut")
	}
}

// Given a reader of a stream that reads nothing, when it falls too far behind,
// then it is cut, the core is told, and nothing was dropped before.
func TestListenerSlowReader(t *testing.T) {
	testServer := opened(t, Listener{Rest: "rest"}, nil)
	l := testServer.dial()
	_, _ = io.WriteString(l, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	id := wait(t, testServer.calls).ID
	for i := range 20 * StreamMost { // far more than the connection's own buffers take
		testServer.Reply(flow.Reply{ID: id, Code: 200, Body: fmt.Appendf(nil, "%08d %s\n", i, strings.Repeat("x", 4<<10)), More: true})
	}
	res, _, err := l.answer()
	if err != nil {
		t.Fatal(err)
	}
	got := bufio.NewReader(res.Body)
	for i := 0; ; i++ {
		s, err := got.ReadString('\n')
		if err == io.EOF {
			t.Fatal("the stream looks whole")
		}
		if err != nil {
			break
		}
		if !strings.HasPrefix(s, fmt.Sprintf("%08d ", i)) {
			t.Fatalf("part %d is missing: %.20q", i, s)
		}
	}
	if wait(t, testServer.gone) != id {
		t.Error("somebody else is gone")
	}
}

// Given a caller at a listener who goes away, when the core has not answered, then
// it is told.
func TestListenerGone(t *testing.T) {
	h := opened(t, Listener{Rest: "rest"}, nil)
	for _, request := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"} {
		l := h.dial()
		_, _ = io.WriteString(l, request)
		id := wait(t, h.calls).ID
		_ = l.Close()
		if wait(t, h.gone) != id {
			t.Error("somebody else is gone")
		}
	}
}

// Given limits that change while requests come, when a header or a body is
// larger, then it is refused with what is wrong, and one at the limit passes.
func TestLimitsOfSize(t *testing.T) {
	testServer := opened(t, Listener{Rest: "rest"}, ok)
	want := func(request, code string) {
		t.Helper()
		line := testServer.dial()
		head, body := line.ask(request)
		if !strings.Contains(head[0], " "+code+" ") {
			t.Errorf("%.40q: %q, want %s", request, head[0], code)
		}
		if code == "200" {
			return
		}
		var v map[string]string
		if json.Unmarshal([]byte(body), &v) != nil || v["error"] == "" || !line.closed() {
			t.Errorf("%.40q: %q", request, body)
		}
	}
	header := func(n int) string { return "GET / HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", n) + "\r\n\r\n" }
	sized := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("b", n))
	}
	chunked := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("b", n))
	}
	want(header(8000), "200")
	want(header(70<<10), "431")
	want(sized(100000), "200")
	testServer.Limit(Limits{HeaderBytes: 4000, BodyBytes: 5000})
	want(header(3900), "200")
	want(header(4000), "431")
	want(sized(5000), "200")
	want(sized(5001), "413")
	want(sized(1<<20), "413")
	want(chunked(5000), "200")
	want(chunked(5001), "413")
	want("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5001\r\nExpect: 100-continue\r\n\r\n", "413")
	testServer.Limit(Limits{HeaderBytes: 100 << 10})
	want(header(70<<10), "200")
	want(sized(5001), "413") // what was not named stays
	if l := testServer.dial(); true {
		if head, _ := l.ask(header(2 << 20)); !strings.Contains(head[0], " 431 ") {
			t.Errorf("above every limit: %q", head[0])
		}
	}
}

// Given clients that are slow with a header or a body, or idle, when their time
// is over, then they are closed; one that is waiting for its answer is not.
func TestLimitsOfTime(t *testing.T) {
	testServer := opened(t, Listener{Rest: "rest"}, nil)
	testServer.Limit(Limits{Header: 30 * time.Millisecond, Idle: 30 * time.Millisecond})
	for name, start := range map[string]string{"silent": "", "half a header": "GET / HTTP/1.1\r\nHo", "half a body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nok"} {
		l := testServer.dial()
		_, _ = io.WriteString(l, start)
		said, err := io.ReadAll(l.r)
		if err != nil || len(said) > 0 && !strings.HasPrefix(string(said), "HTTP/1.1 400 ") {
			t.Errorf("%s: %q %v", name, said, err)
		}
	}
	line := testServer.dial()
	for _, request := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"} {
		_, _ = io.WriteString(line, request)
		call := wait(t, testServer.calls)
		for range 3 {
			if !testServer.dial().closed() {
				t.Error("a silent one is open")
			}
		}
		if len(testServer.gone) > 0 {
			t.Fatal("a caller who waits is closed")
		}
		ok(testServer.Web, call)
		if _, body := line.ask(""); body != "rest" {
			t.Errorf("%q", body)
		}
	}
	if !line.closed() {
		t.Error("an idle one is open")
	}
	testServer.Limit(Limits{Header: time.Hour, Idle: time.Hour})
	line = testServer.dial()
	_, _ = io.WriteString(line, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /half HT")
	ok(testServer.Web, wait(t, testServer.calls))
	line.ask("")
	testServer.Limit(Limits{Header: 30 * time.Millisecond})
	_, _ = io.WriteString(line, "TP/1.1\r\nHost: x\r\n\r\n")
	if c := wait(t, testServer.calls); c.Path != "/half" {
		t.Errorf("%+v", c)
	} else {
		ok(testServer.Web, c)
	}
	line.ask("")
}

// Given a web that drains, when requests come on old and new connections, then
// they are served, and each answer closes its connection.
func TestDrain(t *testing.T) {
	testServer := opened(t, Listener{Rest: "rest"}, ok)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	old := testServer.dial()
	if head, _ := old.ask(request); len(head) != 2 {
		t.Errorf("before: %q", head)
	}
	testServer.Drain()
	for _, l := range []*line{old, testServer.dial()} {
		head, body := l.ask(request)
		if body != "rest" || !strings.Contains(strings.Join(head, "|"), "|Connection: close") || !l.closed() {
			t.Errorf("%q %q", head, body)
		}
	}
	if head, _ := testServer.dial().ask("GET / HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 70<<10) + "\r\n\r\n"); strings.Count(strings.Join(head, "|"), "Connection: close") != 1 {
		t.Errorf("%q", head)
	}
}

func BenchmarkDoor(b *testing.B) {
	var web *Web
	ready := make(chan bool)
	web, err := OpenListeners(Options{Addr: "127.0.0.1:0", Listeners: []Listener{{Addr: "127.0.0.1:0", Rest: "rest"}}, In: func(e flow.Event) bool {
		<-ready
		web.Reply(flow.Reply{ID: e.Call.ID, Code: 200, Body: []byte("ok")})
		return true
	}})
	if err != nil {
		b.Fatal(err)
	}
	close(ready)
	defer web.Close(context.Background())
	conn, err := net.Dial("tcp", web.Addr(1).String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(conn, "POST /v1/text HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nok")
		if _, err := conn.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
