package link

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// spare is the largest buffer, in bytes, that outlives its line or batch.
const spare = 64 << 10

var errLong = errors.New("link: line too long")

// plain says that a text stands in JSON as it is.
func plain[T string | []byte](s T) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// pack adds a line as it is sent. The body was marshalled once already; only
// what is out of the ordinary is marshalled again.
func pack(b []byte, line flow.Line) ([]byte, error) {
	if len(line.Body) == 0 || bytes.IndexByte(line.Body, '\n') >= 0 || !plain(line.Cluster) || !plain(line.Kind) || !plain(line.From) || !plain(line.Addr) {
		raw, err := json.Marshal(line)
		if err != nil {
			return b, errors.Wrap(err, "link")
		}
		return append(append(b, raw...), '\n'), nil
	}
	b = strconv.AppendInt(append(b, `{"v":`...), int64(line.Ver), 10)
	if line.Cluster != "" {
		b = append(append(append(b, `,"c":"`...), line.Cluster...), '"')
	}
	b = append(append(b, `,"k":"`...), line.Kind...)
	b = append(append(b, `","f":"`...), line.From...)
	b = append(append(b, `","a":"`...), line.Addr...)
	b = append(append(b, `","b":`...), line.Body...)
	return append(b, "}\n"...), nil
}

// names remembers the texts of the line before, which are mostly those of the
// next too.
type names struct{ cluster, kind, from, addr string }

func same(was *string, b []byte) string {
	if *was != string(b) {
		*was = string(b)
	}
	return *was
}

// unpack reads a line. One that is written as pack does is taken apart without
// a general decoder.
func unpack(b []byte, n *names) (flow.Line, error) {
	if x, ok := quick(b, n); ok {
		return x, nil
	}
	var x flow.Line
	return x, json.Unmarshal(b, &x)
}

func quick(b []byte, n *names) (flow.Line, bool) {
	var line flow.Line
	rest, ok := bytes.CutPrefix(b, []byte(`{"v":`))
	comma := bytes.IndexByte(rest, ',')
	if !ok || comma < 1 || comma > 4 || rest[0] == '0' {
		return line, false
	}
	for _, c := range rest[:comma] {
		if c < '0' || c > '9' {
			return line, false
		}
		line.Ver = line.Ver*10 + int(c-'0')
	}
	rest = rest[comma:]
	text := func(key string, was *string, may bool) (string, bool) {
		if len(rest) < len(key) || string(rest[:len(key)]) != key {
			return "", may
		}
		end := bytes.IndexByte(rest[len(key):], '"')
		if end < 0 || !plain(rest[len(key):len(key)+end]) {
			return "", false
		}
		s := same(was, rest[len(key):len(key)+end])
		rest = rest[len(key)+end+1:]
		return s, true
	}
	if line.Cluster, ok = text(`,"c":"`, &n.cluster, true); !ok {
		return line, false
	}
	if line.Kind, ok = text(`,"k":"`, &n.kind, false); !ok {
		return line, false
	}
	if line.From, ok = text(`,"f":"`, &n.from, false); !ok {
		return line, false
	}
	if line.Addr, ok = text(`,"a":"`, &n.addr, false); !ok {
		return line, false
	}
	rest, ok = bytes.CutPrefix(rest, []byte(`,"b":`))
	if !ok || len(rest) < 2 || rest[len(rest)-1] != '}' || !json.Valid(rest[:len(rest)-1]) {
		return line, false
	}
	line.Body = bytes.Clone(rest[:len(rest)-1])
	return line, true
}

// reader reads lines without holding on to the room of a long one.
type reader struct {
	in   *bufio.Reader
	long []byte
}

// next gives a line that is good until the next call.
func (r *reader) next() ([]byte, error) {
	if cap(r.long) > spare {
		r.long = nil
	}
	b, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.long = append(r.long[:0], b...)
		for err == bufio.ErrBufferFull {
			if len(r.long) > LineMost {
				return nil, errLong
			}
			b, err = r.in.ReadSlice('\n')
			r.long = append(r.long, b...)
		}
		b = r.long
	}
	if err != nil {
		return nil, err // what came without its end is no line
	}
	return bytes.TrimSuffix(b[:len(b)-1], []byte("\r")), nil
}
