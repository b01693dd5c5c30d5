package outcall

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/clock"
)

func BenchmarkSend(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 4096)
				for {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					if _, err := io.WriteString(conn, ok2); err != nil {
						return
					}
				}
			}()
		}
	}()
	for _, keep := range []bool{false, true} {
		b.Run(fmt.Sprintf("keep=%v", keep), func(b *testing.B) {
			done := make(chan flow.Back, 1)
			c := New(func(e flow.Event) { done <- *e.Back })
			defer c.Close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Start(flow.Send{ID: uint64(i), Verb: "GET", URL: "http://" + listener.Addr().String() + "/x", Keep: keep, Until: clock.Now() + time.Minute, Limit: clock.Now() + time.Minute})
				if x := <-done; x.Err != "" {
					b.Fatal(x.Err)
				}
			}
		})
	}
}
