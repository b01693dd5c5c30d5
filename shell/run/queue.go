package run

import (
	"sync/atomic"
	"time"

	"fernlink/core/flow"
	"fernlink/core/node"
)

// QueueSize is how many events may wait for the loop, of each sort; turnMost is how
// many that are not urgent one turn takes, which bounds what an urgent one waits for;
// queueBytes is how many bytes of lines may wait.
const (
	QueueSize  = 4096
	turnMost   = 256
	queueBytes = 16 << 20
)

// queue is what waits for the loop. Events that elections and leases rest on are
// taken before all others (design 3.1).
type queue struct {
	urgent, rest chan flow.Event
	bytes        atomic.Int64 // of lines that wait
}

func newQueue() *queue {
	return &queue{urgent: make(chan flow.Event, QueueSize), rest: make(chan flow.Event, QueueSize)}
}

func (q *queue) of(e flow.Event) chan flow.Event {
	if node.Urgent(e) {
		return q.urgent
	}
	return q.rest
}

func size(e flow.Event) int64 {
	if e.Line == nil {
		return 0
	}
	return int64(len(e.Line.Body))
}

// offer puts an event in, unless there is no room. One line is taken whatever its
// size where none waits.
func (q *queue) offer(e flow.Event) bool {
	n := size(e)
	if after := q.bytes.Add(n); n > 0 && after > queueBytes && after > n {
		q.bytes.Add(-n)
		return false
	}
	select {
	case q.of(e) <- e:
		return true
	default:
		q.bytes.Add(-n)
		return false
	}
}

// put waits for room, until one of the channels is closed.
func (q *queue) put(e flow.Event, quit, done <-chan struct{}) {
	q.bytes.Add(size(e))
	select {
	case q.of(e) <- e:
	case <-quit:
	case <-done:
	}
}

// wake brings a turn about without an event.
func (q *queue) wake(quit, done <-chan struct{}) {
	select {
	case q.urgent <- flow.Event{}:
	case <-quit:
	case <-done:
	}
}

// wait gives what there is for one turn: when something comes, or when the pause is
// over; false when the loop is to end.
func (q *queue) wait(events []flow.Event, pause <-chan time.Time, quit <-chan struct{}) ([]flow.Event, bool) {
	var first []flow.Event
	select {
	case <-quit:
		return events, false
	case e := <-q.urgent:
		events = append(events, e)
	case e := <-q.rest:
		first = []flow.Event{e}
	case <-pause:
	}
	events = drain(q.urgent, events, QueueSize)
	events = drain(q.rest, append(events, first...), turnMost)
	for _, e := range events {
		q.bytes.Add(-size(e))
	}
	return events, true
}

// drain takes what waits, most events at most.
func drain(from <-chan flow.Event, events []flow.Event, most int) []flow.Event {
	for range most {
		select {
		case e := <-from:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// Offer puts an event into the queue, unless it is full.
func (l *Loop) Offer(e flow.Event) bool { return l.events.offer(e) }

// Put waits for room: news of sends must not be lost.
func (l *Loop) Put(e flow.Event) { l.events.put(e, l.quit, l.done) }
