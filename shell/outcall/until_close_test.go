package outcall

import (
	"net"
	"strings"
	"testing"

	"fernlink/core/flow"
)

// Guards against answers that have no length and end with their connection, which engines may
// give and which were never passed on.
//
// Given such answers, when they end with their connection, then they are whole; when that is
// reset, when nothing says that it closes, or when the header that tells of chunks was lost, then they are not.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for name, x := range map[string]struct {
		head, body string
		reset      bool
		want       string // "" where it is not whole
	}{
		"it closes":           {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body: "the whole body", want: "the whole body"},
		"an old one":          {head: "HTTP/1.0 200 OK\r\n\r\n", body: "the whole body", want: "the whole body"},
		"a large one":         {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body: strings.Repeat("large ", 50_000), want: strings.Repeat("large ", 50_000)},
		"a number as text":    {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body: "12 monkeys\r\n", want: "12 monkeys\r\n"},
		"a reset":             {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body: "half of the", reset: true},
		"it may stay":         {head: "HTTP/1.1 200 OK\r\n\r\n", body: "the whole body"},
		"chunks, header lost": {head: "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encodinh: chunked\r\n\r\n", body: "e\r\nthe whole body\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			peer := serve(t, func(_ int64, c *talk) {
				if q, _ := c.ask(); q == nil {
					return
				}
				c.say(x.head + x.body)
				if x.reset {
					_ = c.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Conn.Close()
			})
			back, _ := caller(t).do(flow.Send{Verb: "POST", URL: peer.url, Keep: true})
			if whole := back.Err == ""; whole != (x.want != "") || string(back.Body) != x.want {
				t.Errorf("%q, %d bytes", back.Err, len(back.Body))
			}
		})
	}
}
