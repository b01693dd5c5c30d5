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

// headBuffers are buffers that requests are written into.
var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// joinedBodyMost is the largest body, in bytes, that is copied behind its head; a larger
// one goes out beside it, in the same call.
const joinedBodyMost = 16 << 10

// splitURL takes a URL apart: where to connect, and path and query as they
// are to be written.
func splitURL(address string) (addr, target string, err error) {
	rest, ok := strings.CutPrefix(address, "http://")
	if !ok {
		return "", "", errAddr
	}
	at := strings.IndexAny(rest, "/?#")
	if at < 0 {
		at = len(rest)
	}
	addr, target = rest[:at], rest[at:]
	if addr == "" || strings.ContainsAny(addr, "@ ") || strings.Contains(target, "#") || !clean(address, false) {
		return "", "", errAddr
	}
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		addr += ":80"
	}
	return addr, target, nil
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

// ownHeaders are the headers that this layer writes itself.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// appendRequest writes a request's head, and a small body behind it.
func appendRequest(buffer []byte, task *sendTask, addr, target string) ([]byte, error) {
	host := task.Host
	if host == "" {
		host = strings.TrimSuffix(addr, ":80")
	}
	if !token(task.Verb) || !clean(host, false) {
		return buffer, errField
	}
	buffer = append(append(append(buffer, task.Verb...), ' '), target...)
	buffer = append(append(buffer, " HTTP/1.1\r\nHost: "...), host...)
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(task.Body)), 10)
	buffer = append(buffer, "\r\n"...)
	if !task.Keep {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	var err error
	for name, value := range task.Head {
		if buffer, err = appendHeader(buffer, flow.Field{Name: name, Value: value}); err != nil {
			return buffer, err
		}
	}
	for _, f := range task.Fields {
		if buffer, err = appendHeader(buffer, f); err != nil {
			return buffer, err
		}
	}
	buffer = append(buffer, "\r\n"...)
	if len(task.Body) <= joinedBodyMost {
		buffer = append(buffer, task.Body...)
	}
	return buffer, nil
}

// appendHeader writes one header, unless it is one that this layer writes itself.
func appendHeader(buffer []byte, field flow.Field) ([]byte, error) {
	if !token(field.Name) || !clean(field.Value, true) {
		return buffer, errField
	}
	if ownHeaders[textproto.CanonicalMIMEHeaderKey(field.Name)] {
		return buffer, nil
	}
	buffer = append(append(buffer, field.Name...), ": "...)
	return append(append(buffer, field.Value...), "\r\n"...), nil
}

// deadlineConn lets nothing out after its time, and knows whether anything went out.
type deadlineConn struct {
	net.Conn
	until flow.Time
	wrote bool
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	if !c.wrote && clock.Now() >= c.until {
		return 0, ErrLate
	}
	n, err := c.Conn.Write(b)
	c.wrote = c.wrote || n > 0
	return n, err
}

// send writes a request in one call.
func send(conn *deadlineConn, head, body []byte) error {
	if len(body) <= joinedBodyMost {
		_, err := conn.Write(head)
		return err
	}
	if clock.Now() >= conn.until {
		return ErrLate
	}
	parts := net.Buffers{head, body}
	n, err := parts.WriteTo(conn.Conn)
	conn.wrote = n > 0
	return err
}
