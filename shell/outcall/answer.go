package outcall

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/shell/clock"
	"fernlink/shell/field"
)

// Bounds of an answer: bytes of its head, headers, and heads that are passed
// over before the one that is waited for.
const (
	headMost   = 64 << 10
	fieldsMost = 256
	skipMost   = 64
	trustMost  = 64 << 10 // bytes taken for a body on its word of its length
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }}

// errSurplus says that only answers to other requests came, errUnnamed that one came
// that does not say whose it is.
var (
	errSurplus = &failure{flow.Surplus, "an answer belongs to another request"}
	errUnnamed = &failure{flow.Unnamed, "an answer does not name its request"}
)

// counter counts what is read of a connection.
type counter struct {
	net.Conn
	n int
}

func (c *counter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n += n
	return n, err
}

// head is what an answer says before its body.
type head struct {
	code   int
	fields []flow.Field
	old    bool // HTTP/1.0
	size   int  // of the body in bytes; below zero when it is in chunks
	shut   bool // the server closes after it
	idle   time.Duration
	coded  bool
	ids    []string // the values of the header that names the answer
}

// answer reads what came back for a task, and keeps or closes its connection.
func (c *Caller) answer(t *task, l *line) flow.Back {
	r := readers.Get().(*bufio.Reader)
	in := &counter{Conn: l.conn}
	r.Reset(in)
	b, h, err := c.read(t, r)
	good := err == nil && t.Keep && !h.shut && h.idle > 0 && t.Verb != "HEAD" && r.Buffered() == 0
	r.Reset(nil)
	readers.Put(r)
	if good {
		c.keep(t, l, clock.Now()+h.idle)
	} else {
		c.drop(t, l)
	}
	if err != nil && h.code == 0 {
		return broken(err, in.n > 0)
	}
	if err != nil {
		b.Err, b.Failure = err.Error(), kindOf(err, true)
	}
	return b
}

// read takes the answer that belongs to a task. Its head is zero unless a stream
// was begun or the answer is whole.
func (c *Caller) read(t *task, r *bufio.Reader) (flow.Back, head, error) {
	var none head
	for skipped := 0; skipped < skipMost; skipped++ {
		h, err := readHead(r, t.Verb, t.Name)
		if err != nil {
			return flow.Back{}, none, err
		}
		if h.code < 200 {
			if h.code == 101 {
				return flow.Back{}, none, malformed("it changes the protocol")
			}
			continue
		}
		if t.Name != "" {
			if len(h.ids) != 1 {
				return flow.Back{}, none, errUnnamed
			}
			if h.ids[0] != t.Match {
				// A surplus one. Whether one that came for a HEAD has a body can't be known.
				if t.Verb == "HEAD" || h.shut {
					return flow.Back{}, none, errSurplus
				}
				if err := pass(r, h.size); err != nil {
					return flow.Back{}, none, err
				}
				continue
			}
		}
		if h.coded {
			return flow.Back{}, none, malformed("it is compressed")
		}
		b := flow.Back{Code: h.code, Fields: h.fields, Head: map[string]string{}}
		for _, k := range []string{"Content-Type", "Retry-After", "Location"} {
			if v := flow.Get(h.fields, k); v != "" {
				b.Head[k] = v
			}
		}
		if h.code == 200 && t.Raw && isStream(b.Head["Content-Type"]) {
			c.tell(t, flow.Back{Open: true, Code: b.Code, Fields: b.Fields, Head: b.Head})
			return b, h, c.stream(t, r, h.size, c.block)
		}
		if h.code == 200 && t.Stream && !t.Raw {
			return b, h, c.stream(t, r, h.size, c.data)
		}
		if b.Body, err = readBody(r, h.size); err != nil {
			return flow.Back{}, none, err
		}
		return b, h, nil
	}
	return flow.Back{}, none, errSurplus
}

func isStream(kind string) bool {
	kind, _, _ = strings.Cut(kind, ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// readLine reads a line without its end; most is what is left for it in bytes,
// and the text is good until the next read.
func readLine(r *bufio.Reader, most int) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), b...)
		for err == bufio.ErrBufferFull && len(long) <= most {
			b, err = r.ReadSlice('\n')
			long = append(long, b...)
		}
		b = long
	}
	if len(b) > most {
		return nil, malformed("a line is too long")
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	return bytes.TrimSuffix(b[:len(b)-1], []byte("\r")), nil
}

// readHead reads status line and headers. It fails for each answer whose end
// could not be known.
func readHead(r *bufio.Reader, verb, name string) (head, error) {
	h := head{idle: keepFor}
	left := headMost
	b, err := readLine(r, left)
	if err != nil {
		return h, err
	}
	left -= len(b)
	if len(b) < 12 || string(b[:7]) != "HTTP/1." || b[7] != '0' && b[7] != '1' || b[8] != ' ' || len(b) > 12 && b[12] != ' ' {
		return h, malformed("no status line")
	}
	if h.code, err = strconv.Atoi(string(b[9:12])); err != nil || h.code < 100 {
		return h, malformed("no status")
	}
	h.old = b[7] == '0'
	h.shut = h.old
	length, chunks, skip := -1, false, []string(nil)
	h.fields = make([]flow.Field, 0, 8)
	for n := 0; ; n++ {
		if b, err = readLine(r, left); err != nil {
			return h, err
		}
		if len(b) == 0 {
			break
		}
		left -= len(b)
		key, value, ok := bytes.Cut(b, []byte(":"))
		if !ok || n == fieldsMost || !token(key) {
			return h, malformed("a garbled header")
		}
		value = bytes.Trim(value, " \t")
		f := flow.Field{Name: textproto.CanonicalMIMEHeaderKey(string(key)), Value: string(value)}
		if !clean(f.Value, true) {
			return h, malformed("a garbled header")
		}
		if name != "" && strings.EqualFold(f.Name, name) {
			h.ids = append(h.ids, f.Value)
		}
		switch f.Name {
		case "Content-Length":
			size, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || length >= 0 && length != int(size) {
				return h, malformed("a garbled length")
			}
			length = int(size)
		case "Transfer-Encoding":
			if chunks || h.old || !strings.EqualFold(f.Value, "chunked") {
				return h, malformed("an unknown coding")
			}
			chunks = true
		case "Connection":
			for _, w := range strings.Split(f.Value, ",") {
				h.shut = h.shut || strings.EqualFold(strings.TrimSpace(w), "close")
			}
			skip = append(skip, field.Named(f.Value)...)
		case "Keep-Alive":
			h.idle = min(h.idle, promised(f.Value))
		case "Content-Encoding":
			h.coded = true
		}
		if !field.Hop(f.Name) {
			h.fields = append(h.fields, f)
		}
	}
	for _, k := range skip {
		kept := h.fields[:0]
		for _, f := range h.fields {
			if f.Name != k {
				kept = append(kept, f)
			}
		}
		h.fields = kept
	}
	switch {
	case chunks && length >= 0:
		return h, malformed("two lengths")
	case h.code < 200 || h.code == 204 || h.code == 304 || verb == "HEAD":
		h.shut = h.shut || chunks || length > 0
	case chunks:
		h.size = -1
	case length < 0:
		return h, malformed("neither length nor end mark") // never known whole
	default:
		h.size = length
	}
	return h, nil
}

// promised is how long a server keeps an idle connection, less a margin; zero
// when it takes no further request.
func promised(value string) time.Duration {
	idle := keepFor
	for _, w := range strings.Split(value, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(w), "=")
		n, err := strconv.Atoi(strings.Trim(v, `" `))
		if err != nil {
			continue
		}
		if strings.EqualFold(k, "timeout") {
			idle = min(idle, time.Duration(min(n, 3600))*time.Second-margin)
		}
		if strings.EqualFold(k, "max") && n <= 0 {
			idle = 0
		}
	}
	return max(idle, 0)
}

// chunked reads a body in chunks up to and with its end mark.
type chunked struct {
	from *bufio.Reader
	in   io.Reader
}

func (c *chunked) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	if err != io.EOF {
		return n, err
	}
	for left := headMost; ; {
		line, err := readLine(c.from, left)
		if err != nil {
			return n, err
		}
		if len(line) == 0 {
			return n, io.EOF
		}
		left -= len(line)
	}
}

// bodyOf reads a body to its known end, and gives io.EOF only there.
func bodyOf(r *bufio.Reader, size int) io.Reader {
	if size < 0 {
		return &chunked{r, httputil.NewChunkedReader(r)}
	}
	return &sized{r, size}
}

// sized reads a body of a known length.
type sized struct {
	in   *bufio.Reader
	left int
}

func (s *sized) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if len(b) > s.left {
		b = b[:s.left]
	}
	n, err := s.in.Read(b)
	s.left -= n
	if err == io.EOF && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func readBody(r *bufio.Reader, size int) ([]byte, error) {
	if size > BodyMost {
		return nil, malformed("larger than is allowed")
	}
	if size >= 0 && size <= trustMost {
		b := make([]byte, size)
		_, err := io.ReadFull(r, b)
		if err != nil {
			return nil, errors.Wrap(err, "outcall")
		}
		return b, nil
	}
	b, err := io.ReadAll(io.LimitReader(bodyOf(r, size), BodyMost+1))
	if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	if len(b) > BodyMost {
		return nil, malformed("larger than is allowed")
	}
	return b, nil
}

// pass reads the body of a surplus answer off.
func pass(r *bufio.Reader, size int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(bodyOf(r, size), BodyMost+1))
	if err != nil {
		return errors.Wrap(err, "outcall")
	}
	if n > BodyMost {
		return malformed("larger than is allowed")
	}
	return nil
}
