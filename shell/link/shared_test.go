package link

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// sharing is a line whose body ends with a shared value.
func sharing(to string, i int, shared json.RawMessage) flow.Line {
	x := line(to, i, "head")
	x.Shared, x.SharedName = shared, "body"
	return x
}

// Given lines with shared values among others, also with names and values that are not sent as
// they stand, when they are sent, then each comes as its joined form, in its order.
func TestLinesWithSharedValues(t *testing.T) {
	got := make(chan flow.Line, 64)
	to := opened(t, "127.0.0.1:0", lines(got)).socket.Addr().String()
	from := opened(t, "127.0.0.1:0", func(flow.Event) bool { return true })
	large := json.RawMessage(`{"doc":"` + strings.Repeat("x", 1<<20) + `"}`)
	var sent []flow.Line
	for i, x := range []flow.Line{line(to, 0, strings.Repeat("y", 20<<10)), sharing(to, 1, large), line(to, 2, strings.Repeat("z", 20<<10)), sharing(to, 3, large), sharing(to, 4, json.RawMessage("{\n \"a\": 1}"+strings.Repeat(" ", 20<<10)))} {
		if i == 3 {
			x.From = "odd \"name\""
		}
		sent = append(sent, x.Joined())
		from.Send(x)
	}
	for i, want := range sent {
		x := wait(t, got)
		var a, b any
		if x.From != want.From || json.Unmarshal(x.Body, &a) != nil || json.Unmarshal(want.Body, &b) != nil || fmt.Sprint(a) != fmt.Sprint(b) || number(t, x) != i {
			t.Fatalf("line %d: %.120s, want %.120s", i, x.Body, want.Body)
		}
	}
}

// Guards against review/10: a large plan was copied twice for each node that was told of it.
//
// Given a large value that lines to many peers share, when it is put into their parts, then it
// is not copied.
func TestASharedValueIsNotCopied(t *testing.T) {
	large := json.RawMessage(`"` + strings.Repeat("x", 8<<20) + `"`)
	x := sharing("to", 1, large)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	parts := partsOf(x)
	runtime.ReadMemStats(&after)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > 1<<20 {
		t.Errorf("%d bytes are made for a shared value of %d", grown, len(large))
	}
	whole, err := pack(nil, x.Joined())
	if err != nil || !bytes.Equal(bytes.Join(parts, nil), whole) {
		t.Errorf("%v: the parts are not the line", err)
	}
	if parts := partsOf(sharing("to", 1, make(json.RawMessage, LineMost+1))); parts != nil {
		t.Error("a line that is too long is sent")
	}
}
