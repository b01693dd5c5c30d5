package outcall

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/pkg/errors"
)

// chunked reads a body in chunks up to and with its end mark.
type chunked struct {
	from *bufio.Reader
	in   io.Reader
}

func (c *chunked) Read(b []byte) (int, error) {
	count, err := c.in.Read(b)
	if err != io.EOF {
		return count, err
	}
	for left := headMost; ; {
		line, err := readLine(c.from, left)
		if err != nil {
			return count, err
		}
		if len(line) == 0 {
			return count, io.EOF
		}
		left -= len(line)
	}
}

// bodyOf reads a body to its known end, and gives io.EOF only there.
func bodyOf(reader *bufio.Reader, size int) io.Reader {
	switch size {
	case inChunks:
		return &chunked{reader, httputil.NewChunkedReader(reader)}
	case untilClose:
		return &closing{in: reader}
	}
	return &sized{reader, size}
}

// closing reads a body that ends with its connection: a reset is no end. One that begins as
// chunks do has lost the header that says so, and is none.
type closing struct {
	in      *bufio.Reader
	checked bool
	end     error // what ended it, where that was seen while it was checked: it is told once
}

// chunkHeadMost is how many bytes tell whether a body begins as chunks do.
const chunkHeadMost = 18

func (c *closing) Read(b []byte) (int, error) {
	if !c.checked {
		c.checked = true
		begin, err := c.in.Peek(chunkHeadMost)
		if beginsAsChunk(begin) {
			return 0, malformed("chunks without the header that says so")
		}
		c.end = err
	}
	if c.end != nil && c.in.Buffered() == 0 {
		return 0, c.end
	}
	return c.in.Read(b)
}

// beginsAsChunk says whether a body begins with a chunk's size on a line.
func beginsAsChunk(body []byte) bool {
	line, _, isLine := bytes.Cut(body, []byte("\r\n"))
	if !isLine || len(line) == 0 {
		return false
	}
	_, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 16, 64)
	return err == nil
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

// readBody reads a whole body.
func readBody(reader *bufio.Reader, size int) ([]byte, error) {
	if size > BodyMost {
		return nil, malformed("larger than is allowed")
	}
	if size >= 0 && size <= prealloc {
		body := make([]byte, size)
		_, err := io.ReadFull(reader, body)
		if err != nil {
			return nil, errors.Wrap(err, "outcall")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(bodyOf(reader, size), BodyMost+1))
	if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	if len(body) > BodyMost {
		return nil, malformed("larger than is allowed")
	}
	return body, nil
}

// discardBody reads a body off.
func discardBody(reader *bufio.Reader, size int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(bodyOf(reader, size), BodyMost+1))
	if err != nil {
		return errors.Wrap(err, "outcall")
	}
	if n > BodyMost {
		return malformed("larger than is allowed")
	}
	return nil
}
