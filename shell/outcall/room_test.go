package outcall

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/room"
)

// Guards against large answers of engines that come at once and take the process over its
// memory.
//
// Given a room for answers, when more large ones come than it holds, with a length, in chunks
// or until their connections close, then no more than it holds are read, the others wait, and
// all come whole.
func TestLargeAnswersWaitForRoom(t *testing.T) {
	const size, most = 1 << 20, BodyMost + 1<<20
	body := strings.Repeat("b", size)
	for name, answer := range map[string]string{
		"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body),
		"in chunks":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
		"until a close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		peer := serve(t, func(_ int64, c *talk) {
			if q, _ := c.ask(); q != nil {
				c.say(answer)
			}
			_ = c.Conn.Close()
		})
		answers := room.New(most)
		stop := make(chan struct{})
		var watch sync.WaitGroup
		watch.Add(1)
		go func() {
			defer watch.Done()
			for {
				if held := answers.Held(); held > most {
					t.Errorf("%s: %d bytes are held", name, held)
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Microsecond):
				}
			}
		}()
		var all sync.WaitGroup
		for range 12 {
			all.Add(1)
			go func() {
				defer all.Done()
				k := caller(t)
				k.c.Answers = answers
				if back, _ := k.do(flow.Send{URL: peer.url}); back.Err != "" || len(back.Body) != size {
					t.Errorf("%s: %q, %d bytes", name, back.Err, len(back.Body))
				}
				k.c.Close() // a send gives its room back after its answer was told
			}()
		}
		all.Wait()
		close(stop)
		watch.Wait()
		if held := answers.Held(); held != 0 {
			t.Errorf("%s: %d bytes are held when all have come", name, held)
		}
	}
}
