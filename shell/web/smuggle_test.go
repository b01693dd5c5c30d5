package web

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"fernlink/core/flow"
)

// inner is a request that hides in another's body.
const inner = "POST /smuggled HTTP/1.1\r\nHost: x\r\nAttempt-Id: inner\r\nContent-Length: 0\r\n\r\n"

// Given requests whose length can be read in two ways, when they carry another request
// within, then that one never reaches the core, and nothing is read behind them.
func TestNoRequestWithinARequest(t *testing.T) {
	const hidden = "0\r\n\r\n" + inner
	length := func(s string) string { return "Content-Length: " + strconv.Itoa(len(s)) + "\r\n" }
	for name, head := range map[string]string{
		"length, then chunks":     length(hidden) + "Transfer-Encoding: chunked\r\n",
		"chunks, then length":     "Transfer-Encoding: chunked\r\n" + length(hidden),
		"chunks in other letters": length(hidden) + "tRANSFER-eNCODING: Chunked\r\n",
		"space before the colon":  length(hidden) + "Transfer-Encoding : chunked\r\n",
		"a folded header":         length(hidden) + "X-A: 1\r\n Transfer-Encoding: chunked\r\n",
		"two codings":             length(hidden) + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"chunks last of two":      length(hidden) + "Transfer-Encoding: gzip, chunked\r\n",
		"an unknown coding":       length(hidden) + "Transfer-Encoding: xchunked\r\n",
		"a tab before the coding": length(hidden) + "Transfer-Encoding:\tchunked\r\n",
		"a byte before the name":  length(hidden) + "\x0bTransfer-Encoding: chunked\r\n",
		"two lengths":             length(hidden) + "Content-Length: 5\r\n",
		"two lengths in one":      "Content-Length: 5, " + strconv.Itoa(len(hidden)) + "\r\n",
		"a signed length":         "Content-Length: +" + strconv.Itoa(len(hidden)) + "\r\n",
		"only a length":           length(hidden),
	} {
		t.Run(name, func(t *testing.T) {
			h := opened(t, Listener{Rest: "rest"}, ok)
			c := h.dial()
			_, _ = io.WriteString(c, "POST /outer HTTP/1.1\r\nHost: x\r\nAttempt-Id: outer\r\n"+head+"\r\n"+hidden)
			_ = c.Conn.(interface{ CloseWrite() error }).CloseWrite()
			_, _ = io.ReadAll(c.r) // the server closes once it has read all
			for len(h.calls) > 0 {
				x := <-h.calls
				if x.Path != "/outer" || flow.Get(x.Fields, "Attempt-Id") != "outer" {
					t.Errorf("the core got %s", x.Path)
				}
				if len(x.Body) > 0 && !strings.HasSuffix(string(x.Body), inner) {
					t.Errorf("the body is %q", x.Body)
				}
			}
		})
	}
}

// Given requests in chunks that name no length, when they follow one another on a
// connection, then it is kept; when one follows on a read of another request's, then its
// header was not seen whole, and the connection ends with it.
func TestPlainChunksAreKept(t *testing.T) {
	h := opened(t, Listener{Rest: "rest"}, ok)
	const chunks = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	line := h.dial()
	for range 3 {
		if head, body := line.ask(chunks); strings.Contains(strings.Join(head, "|"), "Connection: close") || body != "rest" {
			t.Fatalf("%q %q", head, body)
		}
	}
	_, _ = io.WriteString(line, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"+chunks)
	for _, closes := range []bool{false, true} {
		answer, err := http.ReadResponse(line.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(answer.Body); err != nil || answer.StatusCode != 200 || answer.Close != closes {
			t.Errorf("%+v, %v", answer, err)
		}
	}
}
