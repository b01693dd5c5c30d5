package outcall

import (
	"fmt"
	"strings"
	"testing"

	"fernlink/core/flow"
)

// Given raw streams that end cleanly or break, when they are read, then each
// event comes as it was written, and only a clean end is one.
func TestRawStreams(t *testing.T) {
	const kind = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\nX-A: 1\r\n"
	chunk := func(parts ...string) string {
		out := kind + "Transfer-Encoding: chunked\r\n\r\n"
		for _, p := range parts {
			out += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		return out
	}
	const end = "0\r\n\r\n"
	long := "data: " + strings.Repeat("x", 3*4096)
	for name, x := range map[string]struct {
		answer string
		events []string
		clean  bool
	}{
		"clean":        {chunk("data: one\n\ndata: two\n\n") + end, []string{"data: one", "data: two"}, true},
		"odd pieces":   {chunk("da", "ta: one\r", "\n\r\nid: 4\nda", "ta:two\ndata\n: note\n", "\n") + end, []string{"data: one", "id: 4\ndata:two\ndata\n: note"}, true},
		"comment only": {chunk(": ping\n\n\n\nevent: x\n\n") + end, []string{": ping", "event: x"}, true},
		"long":         {chunk(long+"\n\n") + end, []string{long}, true},
		"left open":    {chunk("data: one\n\ndata: [DONE]") + end, []string{"data: one", "data: [DONE]"}, true},
		"empty":        {chunk() + end, nil, true},
		"length":       {kind + "Content-Length: 11\r\n\r\ndata: one\n\n", []string{"data: one"}, true},
		"no end mark":  {chunk("data: one\n\ndata: tw"), []string{"data: one"}, false},
		"half an end":  {chunk("data: one\n\n") + "0\r\n", []string{"data: one"}, false},
		"short":        {kind + "Content-Length: 12\r\n\r\ndata: one\n\n", []string{"data: one"}, false},
		"garbled":      {chunk("data: one\n\n") + "zz\r\n", []string{"data: one"}, false},
		"too long":     {chunk("data: one\n\n", strings.Repeat("data: x\n", EventMost/8+1)) + end, []string{"data: one"}, false},
		"long line":    {chunk("data: one\n\n", strings.Repeat("x", EventMost+5000)) + end, []string{"data: one"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			peer := serve(t, func(n int64, c *talk) {
				if q, _ := c.ask(); q == nil {
					return
				}
				c.say(x.answer)
				if x.clean {
					echo(n, c)
				}
			})
			client := caller(t)
			back, before := client.do(flow.Send{URL: peer.url, Raw: true, Keep: true})
			if len(before) == 0 || !before[0].Open || before[0].Code != 200 || flow.Get(before[0].Fields, "X-A") != "1" {
				t.Fatalf("no head: %+v %+v", before, back)
			}
			var events []string
			for _, e := range before[1:] {
				events = append(events, string(e.Event))
			}
			if fmt.Sprintf("%q", events) != fmt.Sprintf("%q", x.events) || (back.Err == "") != x.clean || back.Failure == flow.Unsent {
				t.Errorf("%.200q, end %+v", events, back)
			}
			if x.clean {
				if client.do(flow.Send{URL: peer.url, Keep: true}); peer.conns.Load() != 1 {
					t.Error("the connection was not kept")
				}
			}
		})
	}
}

// Given a stream whose server waits for its reader, when an event is written,
// then it is told before the next one is there.
func TestRawAsTheyCome(t *testing.T) {
	more := make(chan bool)
	peer := serve(t, func(_ int64, c *talk) {
		c.ask()
		c.say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range 3 {
			<-more
			e := fmt.Sprintf("data: %d\n\n", i)
			c.say(fmt.Sprintf("%x\r\n%s\r\n", len(e), e))
		}
		<-more
		c.say("0\r\n\r\n")
	})
	client := caller(t)
	client.start(flow.Send{URL: peer.url, Raw: true})
	if b := client.next(); !b.Open {
		t.Fatalf("%+v", b)
	}
	for i := range 3 {
		more <- true
		if b := client.next(); string(b.Event) != fmt.Sprintf("data: %d", i) {
			t.Fatalf("%+v", b)
		}
	}
	more <- true
	if b := client.next(); !b.End || b.Err != "" {
		t.Errorf("%+v", b)
	}
}
