package outcall

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// blocks gather the lines of one event.
var blocks = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// stream reads server-sent events up to the clean end of the body. Each line
// goes to take, with what was gathered before it; nil at the end.
func (c *Caller) stream(t *task, r *bufio.Reader, size int, take func(*task, []byte, []byte) []byte) error {
	lines := readers.Get().(*bufio.Reader)
	lines.Reset(bodyOf(r, size))
	held := blocks.Get().(*[]byte)
	defer func() {
		lines.Reset(nil)
		readers.Put(lines)
		if cap(*held) <= trustMost {
			blocks.Put(held)
		}
	}()
	block := (*held)[:0]
	for {
		line, err := eventLine(lines)
		if err == io.EOF {
			if len(line) > 0 {
				block = take(t, block, line)
			}
			take(t, block, nil)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "outcall")
		}
		if block = take(t, block, line); len(block) > EventMost {
			return malformed("an event is too long")
		}
		*held = block
	}
}

// eventLine reads a line without its end; what comes with io.EOF had none.
func eventLine(r *bufio.Reader) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), b...)
		for err == bufio.ErrBufferFull {
			if len(long) > EventMost {
				return nil, malformed("an event is too long")
			}
			b, err = r.ReadSlice('\n')
			long = append(long, b...)
		}
		b = long
	}
	if err != nil {
		return b, err
	}
	b = bytes.TrimSuffix(b[:len(b)-1], []byte("\r"))
	if b == nil {
		b = []byte{}
	}
	return b, nil
}

// data tells the data of each line by itself.
func (c *Caller) data(t *task, block, line []byte) []byte {
	if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
		c.tell(t, flow.Back{Event: bytes.Clone(bytes.TrimSpace(data))})
	}
	return block
}

// block tells all lines of an event as they were written, once an empty line or
// the body's end closes it.
func (c *Caller) block(t *task, block, line []byte) []byte {
	if len(line) > 0 {
		if len(block) > 0 {
			block = append(block, '\n')
		}
		return append(block, line...)
	}
	if len(block) > 0 {
		c.tell(t, flow.Back{Event: bytes.Clone(block)})
	}
	return block[:0]
}
