package link

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// spareBytes is the largest buffer, in bytes, that outlives its line or batch.
const spareBytes = 64 << 10

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

// fast says that a line is sent as its parts stand.
func fast(line flow.Line) bool {
	oneLine := len(line.Body) > 0 && bytes.IndexByte(line.Body, '\n') < 0
	return oneLine && plain(line.Cluster) && plain(line.Kind) && plain(line.From) && plain(line.Addr)
}

// pack adds a line as it is sent. The body was marshalled once already; only
// what is out of the ordinary is marshalled again.
func pack(buffer []byte, line flow.Line) ([]byte, error) {
	if !fast(line) {
		raw, err := json.Marshal(line)
		if err != nil {
			return buffer, errors.Wrap(err, "link")
		}
		return append(append(buffer, raw...), '\n'), nil
	}
	buffer = strconv.AppendInt(append(buffer, `{"v":`...), int64(line.Ver), 10)
	if line.Cluster != "" {
		buffer = append(append(append(buffer, `,"c":"`...), line.Cluster...), '"')
	}
	buffer = append(append(buffer, `,"k":"`...), line.Kind...)
	buffer = append(append(buffer, `","f":"`...), line.From...)
	buffer = append(append(buffer, `","a":"`...), line.Addr...)
	buffer = append(append(buffer, `","b":`...), line.Body...)
	return append(buffer, "}\n"...), nil
}

// lastNames remembers the texts of the line before, which are mostly those of the
// next too.
type lastNames struct{ cluster, kind, from, addr string }

// intern gives the text of the line before where it is the same.
func intern(was *string, b []byte) string {
	if *was != string(b) {
		*was = string(b)
	}
	return *was
}

// unpack reads a line. One that is written as pack does is taken apart without
// a general decoder.
func unpack(raw []byte, last *lastNames) (flow.Line, error) {
	if line, ok := unpackFast(raw, last); ok {
		return line, nil
	}
	var line flow.Line
	return line, json.Unmarshal(raw, &line)
}

// unpackFast reads a line that is written as pack does, and says whether it is one.
func unpackFast(raw []byte, last *lastNames) (flow.Line, bool) {
	var line flow.Line
	version, rest, ok := versionOf(raw)
	if !ok {
		return line, false
	}
	line.Ver = version
	fields := fieldReader{rest: rest, ok: true}
	line.Cluster = fields.text(`,"c":"`, &last.cluster, true)
	line.Kind = fields.text(`,"k":"`, &last.kind, false)
	line.From = fields.text(`,"f":"`, &last.from, false)
	line.Addr = fields.text(`,"a":"`, &last.addr, false)
	if !fields.ok {
		return line, false
	}
	body, ok := bytes.CutPrefix(fields.rest, []byte(`,"b":`))
	if !ok || len(body) < 2 || body[len(body)-1] != '}' || !json.Valid(body[:len(body)-1]) {
		return line, false
	}
	line.Body = bytes.Clone(body[:len(body)-1])
	return line, true
}

// versionOf reads the version that a line begins with: one to four digits.
func versionOf(raw []byte) (version int, rest []byte, ok bool) {
	rest, ok = bytes.CutPrefix(raw, []byte(`{"v":`))
	comma := bytes.IndexByte(rest, ',')
	if !ok || comma < 1 || comma > 4 || rest[0] == '0' {
		return 0, nil, false
	}
	for _, digit := range rest[:comma] {
		if digit < '0' || digit > '9' {
			return 0, nil, false
		}
		version = version*10 + int(digit-'0')
	}
	return version, rest[comma:], true
}

// fieldReader takes the texts of a line apart, one after the other.
type fieldReader struct {
	rest []byte
	ok   bool // all was well so far
}

// text reads a text behind its key. Only one that is optional may be missing.
func (f *fieldReader) text(key string, last *string, optional bool) string {
	if !f.ok {
		return ""
	}
	value, found := bytes.CutPrefix(f.rest, []byte(key))
	if !found {
		f.ok = optional
		return ""
	}
	end := bytes.IndexByte(value, '"')
	if end < 0 || !plain(value[:end]) {
		f.ok = false
		return ""
	}
	f.rest = value[end+1:]
	return intern(last, value[:end])
}

// reader reads lines without keeping the buffer of a long one.
type reader struct {
	in   *bufio.Reader
	long []byte
}

// next gives a line that is good until the next call.
func (r *reader) next() ([]byte, error) {
	if cap(r.long) > spareBytes {
		r.long = nil
	}
	line, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.long = append(r.long[:0], line...)
		for err == bufio.ErrBufferFull {
			if len(r.long) > LineMost {
				return nil, errLong
			}
			line, err = r.in.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	if err != nil {
		return nil, err // what came without its end is no line
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
