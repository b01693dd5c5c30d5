package link

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/go-kit/log"

	"fernlink/core/flow"
)

func opened(t *testing.T, addr string, in func(flow.Event) bool) *Link {
	t.Helper()
	l, err := Open(addr, log.NewNopLogger(), in)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func lines(got chan flow.Line) func(flow.Event) bool {
	return func(e flow.Event) bool {
		if e.Line != nil {
			got <- *e.Line
		}
		return true
	}
}

func line(to string, i int, more string) flow.Line {
	return flow.Line{Ver: flow.Version, Cluster: "c", Kind: "k", From: "f", Addr: "a:1", To: to, Body: json.RawMessage(fmt.Sprintf(`{"i":%d,"x":"%s"}`, i, more))}
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

func number(t *testing.T, x flow.Line) int {
	t.Helper()
	var b struct{ I int }
	if err := json.Unmarshal(x.Body, &b); err != nil {
		t.Fatal(err)
	}
	return b.I
}

// Given two peers, when many short and some long lines are sent, then they
// come in order and unchanged.
func TestInOrder(t *testing.T) {
	got := make(chan flow.Line, 1024)
	there := opened(t, "127.0.0.1:0", lines(got))
	here := opened(t, "127.0.0.1:0", lines(nil))
	to := there.socket.Addr().String()
	for i := range queueSize / 2 {
		x := line(to, i, strings.Repeat("x", i%50*1000))
		here.Send(x)
		if i%10 == 0 {
			x.To = ""
			if y := wait(t, got); number(t, y) != i || !reflect.DeepEqual(x, y) {
				t.Fatalf("%d: %+v", i, y)
			}
			continue
		}
		if y := wait(t, got); number(t, y) != i {
			t.Fatalf("%d: %+v", i, y)
		}
	}
}

// Given many lines that wait, when they are sent at once, then they come in
// order, over one connection.
func TestOneConnection(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	here := opened(t, "127.0.0.1:0", lines(nil))
	to := socket.Addr().String()
	const many = queueSize / 2
	for i := range many {
		here.Send(line(to, i, "x"))
	}
	c, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second)) // a hang guard
	r := bufio.NewReader(c)
	for i := range many {
		b, err := r.ReadBytes('\n')
		var x flow.Line
		if err != nil || json.Unmarshal(b, &x) != nil || number(t, x) != i {
			t.Fatalf("%d: %q %v", i, b, err)
		}
	}
}

// Given a peer that closes each connection after a line, when more is sent,
// then each line finds its way over the next connection, and none is lost.
func TestClosedIsSeen(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	got := make(chan string, 8)
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			s, _ := bufio.NewReader(c).ReadString('\n')
			_ = c.Close()
			got <- s
		}
	}()
	here := opened(t, "127.0.0.1:0", lines(nil))
	for i := range 4 {
		here.Send(line(socket.Addr().String(), i, ""))
		if s := wait(t, got); !strings.Contains(s, fmt.Sprintf(`"i":%d,`, i)) {
			t.Fatalf("%d: %q", i, s)
		}
	}
}

// Given a peer that is away, when lines are sent to it, then sending never
// waits, and those that still wait reach it once it is there.
func TestComesBack(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := socket.Addr().String()
	_ = socket.Close()
	here := opened(t, "127.0.0.1:0", lines(nil))
	for i := range 2 * queueSize {
		here.Send(line(to, i, strings.Repeat("x", batchBytes)))
	}
	got := make(chan flow.Line, 1024)
	opened(t, to, lines(got))
	if i := number(t, wait(t, got)); i < queueSize {
		t.Errorf("line %d is older than the queue", i)
	}
}

// Given a peer that reads nothing, when lines are sent until nothing more
// goes out, then sending never waits, and neither does closing.
func TestStuckPeer(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	here := opened(t, "127.0.0.1:0", lines(nil))
	for i := range 2 * queueSize {
		here.Send(line(socket.Addr().String(), i, strings.Repeat("x", batchBytes)))
	}
	c, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	done := make(chan bool)
	go func() {
		here.Close()
		close(done)
	}()
	wait(t, done)
}

// Given a line that was cut off, when its connection ends, then it is neither
// taken nor held against anybody.
func TestCutLine(t *testing.T) {
	got := make(chan flow.Line, 8)
	here := opened(t, "127.0.0.1:0", lines(got))
	b, err := pack(nil, line("", 1, ""))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", here.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write(append(b, b[:len(b)-1]...))
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if number(t, wait(t, got)) != 1 || len(got) != 0 || here.Strays.Load() != 0 {
		t.Errorf("%d more, %d strays", len(got), here.Strays.Load())
	}
}

// Given lines of all kinds, when they are packed, then they read the same with
// and without the general decoder, on one line.
func TestEnvelope(t *testing.T) {
	body := json.RawMessage(`{"a":"}\",\"b\":","n":[1,2.5e3,null]}`)
	var last lastNames
	for _, line := range []flow.Line{
		{Ver: 2, Cluster: "c", Kind: "k", From: "f", Addr: "a:1", Body: body},
		{Ver: 2, Kind: "k", Body: json.RawMessage("1")},
		{Ver: 0, Kind: "k", Body: body},
		{Ver: -1, Kind: "k", Body: body},
		{Ver: 123456, Kind: "k", Body: body},
		{Ver: 2, Cluster: `"`, Kind: "k\n", From: `\`, Addr: "ü", Body: body},
		{Ver: 2, Kind: "k", Body: json.RawMessage("{\n}")},
	} {
		b, err := pack(nil, line)
		if err != nil || bytes.Count(b, []byte("\n")) != 1 || b[len(b)-1] != '\n' {
			t.Fatalf("%+v: %q %v", line, b, err)
		}
		b = b[:len(b)-1]
		var slow flow.Line
		if err := json.Unmarshal(b, &slow); err != nil {
			t.Fatal(err)
		}
		got, err := unpack(b, &last)
		if err != nil || !reflect.DeepEqual(got, slow) {
			t.Errorf("%q: %+v, want %+v, %v", b, got, slow, err)
		}
		if string(line.Body) != "{\n}" && !reflect.DeepEqual(got, line) {
			t.Errorf("%+v came as %+v", line, got)
		}
	}
	for _, bad := range []string{`{"v":2,"k":"k","f":"","a":"","b":{}`, `{"v":2,"k":"k","f":"","a":"","b":}`, `{"v":2,"k":"k","f":"","a":"","b":{}}}`, `{"v":2,`, `{"v":}`, ``} {
		if x, err := unpack([]byte(bad), &last); err == nil {
			t.Errorf("%q passed: %+v", bad, x)
		}
	}
}

// FuzzEnvelope holds the quick way of reading a line against the general one.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte(`{"v":2,"c":"c","k":"k","f":"f","a":"a","b":{"x":1}}`))
	f.Add([]byte(`{"v":2,"k":"k","f":"f","a":"a","b":[1],"b":2}`))
	f.Add([]byte(`{"v":02,"k":"k","f":"f","a":"a","b":1 }`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var last lastNames
		got, ok := unpackFast(b, &last)
		if !ok {
			return
		}
		var want flow.Line
		if err := json.Unmarshal(b, &want); err != nil {
			t.Fatalf("%q: %v", b, err)
		}
		var a, c any
		if json.Unmarshal(got.Body, &a) != nil || json.Unmarshal(want.Body, &c) != nil || !reflect.DeepEqual(a, c) {
			t.Fatalf("%q: %q, want %q", b, got.Body, want.Body)
		}
		got.Body, want.Body = nil, nil
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: %+v, want %+v", b, got, want)
		}
	})
}

func BenchmarkRead(b *testing.B) {
	x := line("", 1, strings.Repeat("x", 1000))
	raw, err := pack(nil, x)
	if err != nil {
		b.Fatal(err)
	}
	raw = raw[:len(raw)-1]
	b.Run("quick", func(b *testing.B) {
		b.ReportAllocs()
		var last lastNames
		for b.Loop() {
			if _, err := unpack(raw, &last); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("general", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var x flow.Line
			if err := json.Unmarshal(raw, &x); err != nil {
				b.Fatal(err)
			}
		}
	})
}
