package outcall

import (
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

// heads are buffers that requests are written into.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// joined is the largest body, in bytes, that is copied behind its head; a larger
// one goes out beside it, in the same call.
const joined = 16 << 10

// split takes an address apart: where to connect, and path and query as they
// are to be written.
func split(address string) (to, target string, err error) {
	rest, ok := strings.CutPrefix(address, "http://")
	if !ok {
		return "", "", errAddr
	}
	at := strings.IndexAny(rest, "/?#")
	if at < 0 {
		at = len(rest)
	}
	to, target = rest[:at], rest[at:]
	if to == "" || strings.ContainsAny(to, "@ ") || strings.Contains(target, "#") || !clean(address, false) {
		return "", "", errAddr
	}
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	if _, _, err := net.SplitHostPort(to); err != nil {
		to += ":80"
	}
	return to, target, nil
}

// clean says that nothing in a text ends a line or is a control character.
func clean(s string, space bool) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && !(space && c == '\t') || c == 0x7f || c == ' ' && !space {
			return false
		}
	}
	return true
}

// token says that a text may be a verb or the name of a header.
func token[T string | []byte](s T) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return len(s) > 0
}

// own are the headers that this layer writes itself.
var own = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// request writes a request's head, and a small body behind it.
func request(b []byte, t *task, to, target string) ([]byte, error) {
	host := t.Host
	if host == "" {
		host = strings.TrimSuffix(to, ":80")
	}
	if !token(t.Verb) || !clean(host, false) {
		return b, errField
	}
	b = append(append(append(b, t.Verb...), ' '), target...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), host...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(t.Body)), 10)
	b = append(b, "\r\n"...)
	if !t.Keep {
		b = append(b, "Connection: close\r\n"...)
	}
	var err error
	for name, value := range t.Head {
		if b, err = header(b, flow.Field{Name: name, Value: value}); err != nil {
			return b, err
		}
	}
	for _, f := range t.Fields {
		if b, err = header(b, f); err != nil {
			return b, err
		}
	}
	b = append(b, "\r\n"...)
	if len(t.Body) <= joined {
		b = append(b, t.Body...)
	}
	return b, nil
}

func header(b []byte, f flow.Field) ([]byte, error) {
	if !token(f.Name) || !clean(f.Value, true) {
		return b, errField
	}
	if own[textproto.CanonicalMIMEHeaderKey(f.Name)] {
		return b, nil
	}
	b = append(append(b, f.Name...), ": "...)
	return append(append(b, f.Value...), "\r\n"...), nil
}

// gate lets nothing out after its time, and knows whether anything went.
type gate struct {
	net.Conn
	until flow.Time
	sent  bool
}

func (g *gate) Write(b []byte) (int, error) {
	if !g.sent && clock.Now() >= g.until {
		return 0, ErrLate
	}
	n, err := g.Conn.Write(b)
	g.sent = g.sent || n > 0
	return n, err
}

// send writes a request in one call.
func send(g *gate, head, body []byte) error {
	if len(body) <= joined {
		_, err := g.Write(head)
		return err
	}
	if clock.Now() >= g.until {
		return ErrLate
	}
	parts := net.Buffers{head, body}
	n, err := parts.WriteTo(g.Conn)
	g.sent = n > 0
	return err
}
