package web

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
)

// Given large bodies under way, when another comes that would be more than may be, then
// it is refused before any of it is read, and small ones are taken; once one of them is
// answered there is room again.
func TestLargeBodiesAreRefusedUnreadBeyondABound(t *testing.T) {
	h := opened(t, Listener{Rest: "rest"}, nil)
	head := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	}
	large := head(6<<20) + strings.Repeat("b", 6<<20)
	// Given.
	var lines []*line
	var ids []uint64
	for range 2 {
		l := h.dial()
		_, _ = io.WriteString(l, large)
		lines, ids = append(lines, l), append(ids, wait(t, h.calls).ID)
	}
	// When and then: the body is never sent.
	answer, _ := h.dial().ask(head(6 << 20))
	if all := strings.Join(answer, "\n"); !strings.Contains(answer[0], " 503 ") || !strings.Contains(all, "Retry-After: 1") || !strings.Contains(all, "Connection: close") {
		t.Errorf("%q", answer)
	}
	_, _ = io.WriteString(h.dial(), head(1000)+strings.Repeat("b", 1000))
	if c := wait(t, h.calls); len(c.Body) != 1000 {
		t.Errorf("a small one: %d bytes", len(c.Body))
	}
	// When one is answered, then another is taken: a connection's next request begins
	// once the one before is over.
	h.Reply(flow.Reply{ID: ids[0], Code: 200})
	if _, _, err := lines[0].answer(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(lines[0], large)
	if c := wait(t, h.calls); len(c.Body) != 6<<20 {
		t.Errorf("where there is room: %d bytes", len(c.Body))
	}
}

// Guards against bodies that come at the same time and take the process over its memory.
//
// Given large bodies that come at once, with a length or in chunks, none of them whole when
// the last begins, when they are read, then no more are taken than the bound lets in; the
// others are refused, and once those are answered there is room for them.
func TestLargeBodiesThatComeAtOnceStayWithinTheBound(t *testing.T) {
	const size, clients = 6 << 20, 6
	for name, write := range map[string]func(*line, string){
		"with a length": func(l *line, part string) {
			if part == "begin" {
				_, _ = fmt.Fprintf(l, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size/2))
			} else {
				_, _ = io.WriteString(l, strings.Repeat("b", size/2))
			}
		},
		"in chunks": func(l *line, part string) {
			if part == "begin" {
				_, _ = io.WriteString(l, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
			}
			_, _ = fmt.Fprintf(l, "%x\r\n%s\r\n", size/2, strings.Repeat("b", size/2))
			if part == "end" {
				_, _ = io.WriteString(l, "0\r\n\r\n")
			}
		},
	} {
		h := opened(t, Listener{Rest: "rest"}, nil)
		var lines []*line
		for range clients {
			l := h.dial()
			lines = append(lines, l)
			write(l, "begin")
		}
		for _, l := range lines {
			go write(l, "end")
		}
		taken, refused := []uint64{}, 0
		answers := make(chan string, clients)
		for _, l := range lines {
			go func() {
				answer, _, err := l.answer()
				if err != nil {
					answers <- err.Error()
					return
				}
				answers <- answer.Status
			}()
		}
		for len(taken)+refused < clients {
			select {
			case call := <-h.calls:
				if len(call.Body) != size {
					t.Errorf("%s: a body of %d bytes", name, len(call.Body))
				}
				taken = append(taken, call.ID)
			case answer := <-answers:
				if answer != "503 Service Unavailable" {
					t.Fatalf("%s: %s", name, answer)
				}
				refused++
			}
			if held := h.bodies.bytes.Load(); held > bodiesMost {
				t.Fatalf("%s: %d bytes are held", name, held)
			}
		}
		if len(taken) == 0 || len(taken) > bodiesMost/size {
			t.Errorf("%s: %d bodies of %d bytes are taken", name, len(taken), size)
		}
		for _, id := range taken {
			h.Reply(flow.Reply{ID: id, Code: 200})
			if answer := <-answers; answer != "200 OK" {
				t.Errorf("%s: %s", name, answer)
			}
		}
		for end := time.Now().Add(5 * time.Second); h.bodies.bytes.Load() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d bytes are held when all is answered", name, h.bodies.bytes.Load())
			}
		}
	}
}

// Given a process whose memory is known, when bodies come, then one that is larger than its
// part of it is refused even where no other is.
func TestOneBodyStaysWithinTheProcessesMemory(t *testing.T) {
	h := openedWith(t, Options{Memory: 16 << 20}, Listener{Rest: "rest"}, ok)
	for size, want := range map[int]string{3 << 20: "200", 5 << 20: "503"} {
		answer, _ := h.dial().ask(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		if !strings.Contains(answer[0], want) {
			t.Errorf("%d bytes: %q, want %s", size, answer[0], want)
		}
	}
}

// Guards against a refusal for good of what every plan allows, by a process that has just
// started and knows none.
//
// Given a listener that passes requests on, when a body comes that is larger than the usual
// limit, then its client may come again until a plan has named the limits, and then it is
// taken or refused by these; a listener that passes nothing on refuses it at once.
func TestABodyBeforeTheLimitsAreKnown(t *testing.T) {
	h := openedWith(t, Options{Memory: 256 << 20}, Listener{Rest: "rest"}, ok)
	large := func() string {
		answer, _ := h.dial().ask(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", BodyMost+1, strings.Repeat("b", BodyMost+1)))
		return strings.Join(answer, "\n")
	}
	if answer := large(); !strings.Contains(answer, " 503 ") || !strings.Contains(answer, "Retry-After") {
		t.Errorf("before: %.200s", answer)
	}
	h.Limit(Limits{BodyBytes: BodyMost + 1})
	if answer := large(); !strings.Contains(answer, " 200 ") {
		t.Errorf("within the limits: %.200s", answer)
	}
	h.Limit(Limits{BodyBytes: BodyMost})
	if answer := large(); !strings.Contains(answer, " 413 ") {
		t.Errorf("beyond the limits: %.200s", answer)
	}
	own := openedWith(t, Options{}, Listener{Routes: []Route{{Verb: "POST", Path: "/", Name: "own"}}}, ok)
	answer, _ := own.dial().ask(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", BodyMost+1, strings.Repeat("b", BodyMost+1)))
	if !strings.Contains(answer[0], " 413 ") {
		t.Errorf("at a listener that passes nothing on: %q", answer)
	}
}
