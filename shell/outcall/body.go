package outcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/pkg/errors"

	"fernlink/shell/clock"
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

// readBody reads a whole body. A large one takes room before it is read, and waits for it
// until the task's time is over: its engine is held up meanwhile, and nothing else.
func (c *Caller) readBody(task *sendTask, reader *bufio.Reader, size int) ([]byte, error) {
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
	if size > prealloc {
		if err := c.holdRoom(task, size); err != nil {
			return nil, err
		}
		body := make([]byte, size)
		_, err := io.ReadFull(bodyOf(reader, size), body)
		return body, errors.Wrap(err, "outcall")
	}
	return c.readUnknown(task, bodyOf(reader, size))
}

// readUnknown reads a body of unknown length. A large one takes room for the largest at once:
// several that grew piece by piece could fill the room with halves of each.
func (c *Caller) readUnknown(task *sendTask, input io.Reader) ([]byte, error) {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, input, prealloc); err == io.EOF {
		return body.Bytes(), nil
	} else if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	if err := c.holdRoom(task, BodyMost); err != nil {
		return nil, err
	}
	if _, err := body.ReadFrom(io.LimitReader(input, BodyMost+1)); err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	if body.Len() > BodyMost {
		return nil, malformed("larger than is allowed")
	}
	c.freeRoom(task, BodyMost-body.Len())
	return body.Bytes(), nil
}

// holdRoom takes room for bytes of a task's answer, which is given back once the answer was
// handed on.
func (c *Caller) holdRoom(task *sendTask, bytes int) error {
	ctx, stop := context.WithTimeout(context.Background(), task.Limit-clock.Now())
	defer stop()
	c.mu.Lock()
	task.stopWait = stop
	c.mu.Unlock()
	if task.aborted.Load() {
		return context.Canceled
	}
	if err := c.Answers.Wait(ctx, int64(bytes)); err != nil {
		return errors.Wrap(err, "outcall: no room for the answer")
	}
	task.held += int64(bytes)
	return nil
}

// freeRoom gives back what a task's answer does not need.
func (c *Caller) freeRoom(task *sendTask, bytes int) {
	task.held -= int64(bytes)
	c.Answers.Free(int64(bytes))
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
