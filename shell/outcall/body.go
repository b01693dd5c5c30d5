package outcall

import (
	"bufio"
	"io"
	"net/http/httputil"

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
	if size < 0 {
		return &chunked{reader, httputil.NewChunkedReader(reader)}
	}
	return &sized{reader, size}
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

// readBody reads a whole body; a size below zero means chunks.
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
