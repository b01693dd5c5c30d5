package link

import (
	"testing"

	"fernlink/core/flow"
)

func TestBytesThatWaitForAPeerAreBounded(t *testing.T) {
	// Given a connection that takes nothing.
	w := &peerQueue{lines: make(chan flow.Line, queueSize)}
	// When large lines are put in.
	for i := range 64 {
		w.put(flow.Line{Kind: "k", From: string(rune('0' + i)), Body: make([]byte, 1<<20)})
	}
	// Then no more than the bound wait, and they are the newest.
	if n := w.bytes.Load(); n > queueBytesMost || len(w.lines) != queueBytesMost>>20 {
		t.Errorf("%d bytes in %d lines wait", n, len(w.lines))
	}
	if x, _ := w.take(); x.From != string(rune('0'+60)) {
		t.Errorf("the oldest is %s", x.From)
	}
	// And a line larger than the bound takes the place of all.
	w.put(flow.Line{Body: make([]byte, 2*queueBytesMost)})
	if len(w.lines) != 1 {
		t.Errorf("%d lines wait", len(w.lines))
	}
	w.take()
	if n := w.bytes.Load(); n != 0 {
		t.Errorf("%d bytes are counted where nothing waits", n)
	}
}

func TestTheOldestLineLeavesAFullQueue(t *testing.T) {
	// Given a full queue of short lines.
	w := &peerQueue{lines: make(chan flow.Line, 2)}
	for _, from := range []string{"a", "b", "c"} {
		w.put(flow.Line{From: from, Body: []byte("1")})
	}
	// Then the newest stand there.
	x, _ := w.take()
	y, _ := w.take()
	if x.From != "b" || y.From != "c" || w.bytes.Load() != 0 {
		t.Errorf("%s, %s, %d bytes", x.From, y.From, w.bytes.Load())
	}
}
