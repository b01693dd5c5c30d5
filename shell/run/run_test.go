package run

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"fernlink/core/flow"
	"fernlink/shell/logging"
	"fernlink/shell/web"
)

// Given each level, when notes of all levels come, then those below it are not
// written, and each line says its own.
func TestOneLevelForAll(t *testing.T) {
	for name, want := range map[string]string{"": "info warn error", "debug": "debug info warn error", "info": "info warn error", "warn": "warn error", "error": "error"} {
		var buffer bytes.Buffer
		l := New(logging.New(&buffer, name))
		l.Least = Levels[name]
		var out flow.Outbox
		for _, v := range []flow.Level{flow.Debug, flow.Info, flow.Warn, flow.Error} {
			v.Note(&out, "store", "said")
		}
		l.emit(out)
		_ = level.Debug(l.Logger).Log("msg", "a shell's")
		var got []string
		for _, line := range strings.Split(strings.TrimSpace(buffer.String()), "\n") {
			f := strings.Fields(line)
			if strings.Contains(line, "part=store") {
				got = append(got, strings.TrimPrefix(f[1], "level="))
			} else if name != "debug" {
				t.Errorf("%q writes %q", name, line)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%q writes %q, want %q", name, got, want)
		}
	}
}

// Given a plan's limits, when they come out of the core, then callers are held to
// them at once and operators are not, and a plan that says nothing brings the
// usual ones back.
func TestLimitsReachTheFrontListener(t *testing.T) {
	loop := New(logging.New(io.Discard, "error"))
	var err error
	loop.Web, err = web.OpenListeners(web.Options{Addr: "127.0.0.1:0", Listeners: []web.Listener{{Addr: "127.0.0.1:0", Rest: "request"}, {Addr: "127.0.0.1:0", Routes: []web.Route{{Verb: "PUT", Path: "/config", Name: "plan.put"}}}}, In: loop.Offer})
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Web.Close(context.Background())
	quit := make(chan bool)
	defer close(quit)
	go func() {
		for {
			select {
			case <-quit:
				return
			case e := <-loop.events.rest:
				if e.Call != nil {
					loop.Web.Reply(flow.Reply{ID: e.Call.ID, Code: 200})
				}
			}
		}
	}()
	const front, control = 1, 2
	say := func(listener int, text string) string {
		c, err := net.Dial("tcp", loop.Web.Addr(listener).String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
		line, _ := bufio.NewReader(c).ReadString('\n')
		return strings.TrimSpace(line)
	}
	header := "PUT /config HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 2000) + "\r\n\r\n"
	body := "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("b", 2000)
	want := func(listener int, text, code string) {
		t.Helper()
		if got := say(listener, text); !strings.HasPrefix(got, "HTTP/1.1 "+code) {
			t.Errorf("listener %d: %q, want %s", listener, got, code)
		}
	}
	want(front, header, "200")
	want(front, body, "200")
	loop.emit(flow.Outbox{Limits: &flow.Limits{HeaderBytes: 1000, BodyBytes: 1000, Header: 30 * time.Millisecond}})
	want(front, header, "431")
	want(front, body, "413")
	want(control, header, "200")
	want(control, body, "200")
	if got := say(front, "PUT /config HTTP/1.1\r\nHo"); got != "" && !strings.HasPrefix(got, "HTTP/1.1 400") {
		t.Errorf("a slow header: %q", got)
	}
	loop.emit(flow.Outbox{Limits: &flow.Limits{}})
	want(front, header, "200")
	want(front, body, "200")
}

// What four lines of a request cost the shell with the level off and on.
func BenchmarkNotes(b *testing.B) {
	for _, name := range []string{"info", "debug"} {
		b.Run(name, func(b *testing.B) {
			loop := New(logging.New(io.Discard, name))
			loop.Least = Levels[name]
			var out flow.Outbox
			for range 4 {
				flow.Debug.Note(&out, "requests", "sent", "request", "7c7e512366a983c9", "call", uint64(11), "engine", "i-6bb4a15173", "try", 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				loop.emit(out)
			}
		})
	}
}

// Given log lines that were dropped, when the loop takes a turn, then the node counts
// them, each once.
func TestDroppedLinesAreCounted(t *testing.T) {
	loop := New(log.NewNopLogger())
	dropped := int64(0)
	loop.Unlogged = func() int64 { return dropped }
	count := func() int64 {
		total := int64(0)
		for _, event := range loop.countUnlogged(nil) {
			total += event.Unlogged
		}
		return total
	}
	if got := count(); got != 0 {
		t.Errorf("counted %d of none", got)
	}
	dropped = 5
	if got := count(); got != 5 {
		t.Errorf("counted %d of 5", got)
	}
	if got := count(); got != 0 {
		t.Errorf("counted %d again", got)
	}
}
