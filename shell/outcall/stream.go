package outcall

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// eventBuffers gather the lines of one event.
var eventBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// lineTaker gets one line of a stream with what was gathered of its event so far, and
// gives what is gathered now.
type lineTaker func(task *sendTask, block, line []byte) []byte

// stream reads server-sent events up to the clean end of the body. Each line
// goes to take; at the end a nil line does.
func (c *Caller) stream(task *sendTask, reader *bufio.Reader, size int, take lineTaker) error {
	lines := readers.Get().(*bufio.Reader)
	lines.Reset(bodyOf(reader, size))
	buffer := eventBuffers.Get().(*[]byte)
	defer func() {
		lines.Reset(nil)
		readers.Put(lines)
		if cap(*buffer) <= prealloc {
			eventBuffers.Put(buffer)
		}
	}()
	block := (*buffer)[:0]
	for {
		line, err := eventLine(lines)
		if err == io.EOF {
			if len(line) > 0 {
				block = take(task, block, line)
			}
			take(task, block, nil)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "outcall")
		}
		if block = take(task, block, line); len(block) > EventMost {
			return malformed("an event is too long")
		}
		*buffer = block
	}
}

// eventLine reads a line without its end; what comes with io.EOF had none.
func eventLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), line...)
		for err == bufio.ErrBufferFull {
			if len(long) > EventMost {
				return nil, malformed("an event is too long")
			}
			line, err = reader.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return line, err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	if line == nil {
		line = []byte{}
	}
	return line, nil
}

// reportData reports the data of each line by itself.
func (c *Caller) reportData(task *sendTask, block, line []byte) []byte {
	if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
		c.report(task, flow.Back{Event: bytes.Clone(bytes.TrimSpace(data))})
	}
	return block
}

// reportBlock reports all lines of an event as they were written, once an empty line or
// the body's end closes it.
func (c *Caller) reportBlock(task *sendTask, block, line []byte) []byte {
	if len(line) > 0 {
		if len(block) > 0 {
			block = append(block, '\n')
		}
		return append(block, line...)
	}
	if len(block) > 0 {
		c.report(task, flow.Back{Event: bytes.Clone(block)})
	}
	return block[:0]
}
