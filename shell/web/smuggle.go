package web

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
)

// A request that gives both a length and chunks is read by its chunks. What another
// reader would take for the rest of its body is then read as the next request. So its
// connection ends with its answer, and nothing behind it is read (RFC 9112, 6.1). The
// server drops the length before anybody sees it; the connection looks for it.

var (
	headEnd   = []byte("\r\n\r\n")
	chunkWord = []byte("hunked")
)

// chunkedHead gives the header in what was read first of a request, where that may
// have chunks and is whole; else "".
func chunkedHead(read []byte) string {
	end := bytes.Index(read, headEnd)
	if end < 0 || !bytes.Contains(read[:end], chunkWord) {
		return ""
	}
	return string(read[:end])
}

// plainChunks says whether a request with chunks certainly named no length: all of its
// header came with one read that nothing was left over from before. The server itself
// may have read the first byte ahead. A read that begins within a header can't begin
// with the request's line, for no header has that form.
func plainChunks(head string, req *http.Request) bool {
	line := req.Method + " " + req.RequestURI + " " + req.Proto + "\r\n"
	rest, whole := strings.CutPrefix(head, line)
	if !whole {
		rest, whole = strings.CutPrefix(head, line[1:])
	}
	return whole && !strings.Contains(strings.ToLower("\n"+rest), "\ncontent-length")
}

// connKey is where a request's context has its connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// mayHide says whether another request may hide in a request's body.
func mayHide(req *http.Request) bool {
	if len(req.TransferEncoding) == 0 {
		return false
	}
	c, ok := req.Context().Value(connKey{}).(*conn)
	return !ok || !plainChunks(c.head, req)
}
