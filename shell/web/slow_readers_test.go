package web

import (
	"io"
	"net"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/room"
)

// Guards against answers that wait for many slow readers at once, each within its own bound.
//
// Given readers that read nothing, when streams go on for all of them, then what waits in all
// stays within the room and a part of it, those that lag are cut off, and one that reads gets
// all of its stream.
func TestAnswersOfManySlowReadersStayWithinTheRoom(t *testing.T) {
	const most, piece, readers = 4 << 20, 64 << 10, 24
	answers := room.New(most)
	h := openedWith(t, Options{Answers: answers}, Listener{Rest: "rest"}, nil)
	var slow []uint64
	for range readers {
		l := h.dial()
		_ = l.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(l, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		slow = append(slow, wait(t, h.calls).ID)
	}
	good := h.dial()
	_, _ = io.WriteString(good, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	reading := wait(t, h.calls).ID
	got := make(chan int, 1)
	go func() {
		answer, _, err := good.answer()
		if err != nil {
			got <- -1
			return
		}
		n, _ := io.Copy(io.Discard, answer.Body)
		got <- int(n)
	}()
	body := make([]byte, piece)
	for range 200 {
		for _, id := range append([]uint64{reading}, slow...) {
			h.Reply(flow.Reply{ID: id, Code: 200, Body: body, More: true})
		}
		if held := answers.Held(); held > most+readers*(piece+LagLeast) {
			t.Fatalf("%d bytes wait", held)
		}
		time.Sleep(2 * time.Millisecond)
	}
	h.Reply(flow.Reply{ID: reading})
	if n := <-got; n != 200*piece {
		t.Errorf("the one that reads got %d bytes of %d", n, 200*piece)
	}
}
