package outcall

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

// Bounds of an answer: bytes of its head, headers, and heads that are passed
// over before the one that is waited for.
const (
	headMost   = 64 << 10
	fieldsMost = 256
	skipMost   = 64
	prealloc   = 64 << 10 // bytes allocated for a body by the length that its head names
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

// answer reads what came back for a task, and keeps or closes its connection.
func (c *Caller) answer(task *sendTask, conn *pooledConn) flow.Back {
	reader := readers.Get().(*bufio.Reader)
	received := &counter{Conn: conn.Conn}
	reader.Reset(received)
	back, head, err := c.read(task, reader)
	reusable := err == nil && task.Keep && !conn.names.Full() && !head.closes && head.keepAlive > 0 && task.Verb != "HEAD" && reader.Buffered() == 0
	reader.Reset(nil)
	readers.Put(reader)
	if reusable {
		back.KeptFor = head.keepAlive
		c.release(task, conn, clock.Now()+head.keepAlive)
	} else {
		c.discard(task, conn)
	}
	if err != nil && head.code == 0 {
		return broken(err, received.n > 0)
	}
	if err != nil {
		back.Err, back.Failure = err.Error(), kindOf(err, true)
	}
	return back
}

// read takes the answer that belongs to a task. Its head is zero unless a stream
// was begun or the answer is whole.
func (c *Caller) read(task *sendTask, reader *bufio.Reader) (flow.Back, answerHead, error) {
	for skipped := 0; skipped < skipMost; skipped++ {
		head, err := readHead(reader, task.Verb, task.Name)
		if err != nil {
			return flow.Back{}, answerHead{}, err
		}
		if head.code == 101 {
			return flow.Back{}, answerHead{}, malformed("it changes the protocol")
		}
		if head.code < 200 {
			continue
		}
		surplus, err := surplus(task, reader, head)
		if err != nil {
			return flow.Back{}, answerHead{}, err
		}
		if !surplus {
			return c.readOwn(task, reader, head)
		}
	}
	return flow.Back{}, answerHead{}, errSurplus
}

// surplus says whether an answer names another request; its body is then read off.
func surplus(task *sendTask, reader *bufio.Reader, head answerHead) (bool, error) {
	if task.Name == "" {
		return false, nil
	}
	if len(head.names) != 1 {
		return false, errUnnamed
	}
	if head.names[0] == task.Match {
		return false, nil
	}
	// Whether a surplus answer that came for a HEAD has a body can't be known.
	if task.Verb == "HEAD" || head.closes {
		return true, errSurplus
	}
	return true, discardBody(reader, head.size)
}

// passedOn are the headers of an answer that the core reads by name.
var passedOn = []string{"Content-Type", "Retry-After", "Location"}

// readOwn reads the body of the task's own answer.
func (c *Caller) readOwn(task *sendTask, reader *bufio.Reader, head answerHead) (flow.Back, answerHead, error) {
	if head.compressed {
		return flow.Back{}, answerHead{}, malformed("it is compressed")
	}
	back := flow.Back{Code: head.code, Fields: head.fields, Head: map[string]string{}}
	for _, name := range passedOn {
		if value := flow.Get(head.fields, name); value != "" {
			back.Head[name] = value
		}
	}
	if head.code == 200 && task.Raw && isStream(back.Head["Content-Type"]) {
		c.report(task, flow.Back{Open: true, Code: back.Code, Fields: back.Fields, Head: back.Head})
		return back, head, c.stream(task, reader, head.size, c.reportBlock)
	}
	if head.code == 200 && task.Stream && !task.Raw {
		return back, head, c.stream(task, reader, head.size, c.reportData)
	}
	body, err := c.readBody(task, reader, head.size)
	if err != nil {
		return flow.Back{}, answerHead{}, err
	}
	back.Body = body
	return back, head, nil
}

func isStream(kind string) bool {
	kind, _, _ = strings.Cut(kind, ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// readLine reads a line without its end; most is what is left for it in bytes,
// and the text is good until the next read.
func readLine(reader *bufio.Reader, most int) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), line...)
		for err == bufio.ErrBufferFull && len(long) <= most {
			line, err = reader.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if len(line) > most {
		return nil, malformed("a line is too long")
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, errors.Wrap(err, "outcall")
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
