package link

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/go-kit/log"

	"fernlink/core/flow"
)

func closed(t *testing.T, c net.Conn) bool {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second)) // a hang guard
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF || err != nil && !err.(net.Error).Timeout()
}

// Given a link, when malformed, foreign, other-version or oversize lines come,
// then the connection is closed and counted, and good ones still pass.
func TestStraysAreClosed(t *testing.T) {
	got := make(chan flow.Event, 8)
	link, err := Open("127.0.0.1:0", log.NewNopLogger(), func(e flow.Event) bool { got <- e; return true })
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	mine := "mine"
	link.Cluster.Store(&mine)
	line := func(v int, c string) []byte {
		b, _ := json.Marshal(flow.Line{Ver: v, Cluster: c, Kind: "gossip", Body: json.RawMessage(`{}`)})
		return append(b, '\n')
	}
	bad := map[string][]byte{
		"malformed": []byte("hello\n"),
		"foreign":   line(flow.Version, "theirs"),
		"version":   line(flow.Version+1, "mine"),
		"oversize":  append(bytes.Repeat([]byte("x"), LineMost+10), '\n'),
	}
	n := int64(0)
	for name, b := range bad {
		conn, err := net.Dial("tcp", link.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = conn.Write(b) }()
		if !closed(t, conn) {
			t.Errorf("%s: the connection stays open", name)
		}
		n++
		if link.Strays.Load() != n {
			t.Errorf("%s: %d strays counted", name, link.Strays.Load())
		}
		_ = conn.Close()
	}
	c, err := net.Dial("tcp", link.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write(line(flow.Version, "mine"))
	for {
		select {
		case e := <-got:
			if e.Stray != "" {
				continue
			}
			if e.Line == nil || e.Line.Kind != "gossip" {
				t.Errorf("got %+v", e)
			}
		case <-time.After(30 * time.Second):
			t.Error("a good line did not pass")
		}
		return
	}
}
