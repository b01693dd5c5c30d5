package run

import (
	"testing"

	"fernlink/core/ask"
	"fernlink/core/flow"
)

func line(kind string, size int) flow.Event {
	return flow.Event{Line: &flow.Line{Kind: kind, Body: make([]byte, size)}}
}

func TestUrgentEventsComeBeforeAllOthers(t *testing.T) {
	// Given a queue full of news of streams, and then a heartbeat and a renewal.
	q := newQueue()
	for range QueueSize {
		q.offer(flow.Event{Back: &flow.Back{}})
	}
	q.offer(line("raft", 10))
	q.offer(line(ask.LeaseLine, 10))
	// When a turn takes what waits.
	in, ok := q.wait(nil, nil, nil)
	// Then these two are among the first, and the turn is short.
	if !ok || len(in) > turnMost+3 {
		t.Fatalf("%d events in a turn", len(in))
	}
	for i, kind := range []string{"raft", ask.LeaseLine} {
		if in[i].Line == nil || in[i].Line.Kind != kind {
			t.Errorf("event %d is %+v", i, in[i])
		}
	}
}

func TestEventsOfOneSortKeepTheirOrder(t *testing.T) {
	// Given more news than one turn takes.
	q := newQueue()
	for i := range 3 * turnMost {
		q.offer(flow.Event{Back: &flow.Back{ID: uint64(i)}})
	}
	// When turns take them all.
	next := uint64(0)
	for next < 3*turnMost {
		in, _ := q.wait(nil, nil, nil)
		for _, e := range in {
			// Then each comes after the one before.
			if e.Back.ID != next {
				t.Fatalf("%d in place of %d", e.Back.ID, next)
			}
			next++
		}
	}
}

func TestBytesOfWaitingLinesAreBounded(t *testing.T) {
	// Given a queue that nobody reads.
	queue := newQueue()
	taken := 0
	// When large lines come.
	for range 100 {
		if queue.offer(line("ask", 1<<20)) {
			taken += 1 << 20
		}
	}
	// Then no more than the bound wait, and there is room again once they are taken.
	if taken > queueBytes || taken < queueBytes/2 {
		t.Errorf("%d bytes wait", taken)
	}
	queue.wait(nil, nil, nil)
	if !queue.offer(line("ask", 1<<20)) || queue.bytes.Load() != 1<<20 {
		t.Errorf("%d bytes wait", queue.bytes.Load())
	}
	// And one line beyond the bound is taken where none waits.
	queue.wait(nil, nil, nil)
	if !queue.offer(line("ask", 2*queueBytes)) {
		t.Error("a large line was not taken")
	}
}

func TestTheQueueEndsWithTheLoop(t *testing.T) {
	// Given a loop that ends, and nothing that waits.
	quit := make(chan struct{})
	close(quit)
	// When the queue is read, then it says so.
	if _, ok := newQueue().wait(nil, nil, quit); ok {
		t.Error("it goes on")
	}
}
