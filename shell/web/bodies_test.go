package web

import (
	"fmt"
	"io"
	"strings"
	"testing"

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
