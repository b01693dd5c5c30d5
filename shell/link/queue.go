package link

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"fernlink/core/flow"
)

// peerQueue holds the lines that wait for one connection to a peer.
type peerQueue struct {
	lines  chan flow.Line
	bytes  atomic.Int64 // of the bodies that wait
	usedAt time.Time
	stop   context.CancelFunc
}

// bulkBytes is the size from which a line goes by a connection of its own, as entries
// of the log do, so that heartbeats and votes don't wait behind it; few may wait.
const (
	bulkBytes     = 16 << 10
	bulkQueueSize = 64
)

// queueBytesMost is how many bytes may wait for a connection; one line may wait whatever
// its size.
const queueBytesMost = 4 << 20

// put makes room for a line and puts it in; only one goroutine does so at a time.
func (q *peerQueue) put(line flow.Line) {
	size := int64(line.Size())
	for q.bytes.Load() > 0 && q.bytes.Load()+size > queueBytesMost {
		if _, ok := q.take(); !ok {
			break
		}
	}
	q.bytes.Add(size)
	for {
		select {
		case q.lines <- line:
			return
		default:
			q.take() // the oldest matters least
		}
	}
}

// take gives the oldest line that waits, if there is one.
func (q *peerQueue) take() (flow.Line, bool) {
	select {
	case line := <-q.lines:
		q.bytes.Add(-int64(line.Size()))
		return line, true
	default:
		return flow.Line{}, false
	}
}

// gather packs a line that was taken from the queue, and then what waits, up to about
// batchBytes. A line with a shared value is not packed: where one comes next it is given back.
func (q *peerQueue) gather(buffer []byte, first flow.Line) (packed []byte, shared *flow.Line) {
	buffer = appendLine(buffer, first)
	for len(buffer) < batchBytes {
		line, ok := q.take()
		if !ok {
			break
		}
		if line.Shared != nil {
			return buffer, &line
		}
		buffer = appendLine(buffer, line)
	}
	return buffer, nil
}

// partsOf gives a line with a shared value in the pieces that are written one after the other,
// none where it is too long to be taken.
func partsOf(line flow.Line) [][]byte {
	shared := line.Shared
	if !fast(line) || bytes.IndexByte(shared, '\n') >= 0 {
		return [][]byte{appendLine(nil, line.Joined())}
	}
	before, after := line.AroundShared()
	line.Body, line.Shared = append(before, after...), nil
	head, err := pack(nil, line)
	if err != nil || len(head)+len(shared) > LineMost {
		return nil
	}
	end := len(after) + len("}\n")
	return [][]byte{head[:len(head)-end], shared, head[len(head)-end:]}
}

// dropOld drops the oldest lines until an eighth of what may wait is left.
func (q *peerQueue) dropOld() {
	for len(q.lines) > cap(q.lines)/8 {
		q.take()
	}
}

// queueOf gives the key of the connection that a line goes by, and how many lines may
// wait for it.
func queueOf(line flow.Line) (key string, size int) {
	if line.Kind == flow.Entries || line.Size() > bulkBytes {
		return line.To + "#", bulkQueueSize
	}
	return line.To, queueSize
}
