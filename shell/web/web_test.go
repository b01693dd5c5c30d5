package web

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
)

// Given a server before a core that echoes call names, when requests are
// unknown, of the wrong method, too large or too many, then each is answered
// at once with what is wrong.
func TestListeners(t *testing.T) {
	var web *Web
	full := false
	in := func(e flow.Event) bool {
		if full {
			return false
		}
		if e.Call != nil {
			web.Reply(flow.Reply{ID: e.Call.ID, Code: 200, Body: []byte(e.Call.Name + " " + e.Call.Vars["id"] + " " + e.Call.Path)})
		}
		return true
	}
	web, err := Open("127.0.0.1:0", in)
	if err != nil {
		t.Fatal(err)
	}
	defer web.Close(context.Background())
	ask := func(verb, path string, body []byte) (int, string, http.Header) {
		req, _ := http.NewRequest(verb, "http://"+web.Addr(0).String()+path, bytes.NewReader(body))
		res, err := (&http.Client{Timeout: 30 * time.Second}).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(b), res.Header
	}
	if c, b, _ := ask("GET", "/v1/steps/abc", nil); c != 200 || b != "step.get abc /v1/steps/abc" {
		t.Errorf("a known listener: %d %q", c, b)
	}
	if c, b, _ := ask("POST", "/book/x?y=1", []byte("{}")); c != 200 || !strings.HasPrefix(b, "app ") {
		t.Errorf("application traffic: %d %q", c, b)
	}
	if c, _, h := ask("DELETE", "/v1/plan", nil); c != 405 || h.Get("Allow") != "GET, PUT, PATCH" {
		t.Errorf("a wrong method: %d %q", c, h.Get("Allow"))
	}
	if c, _, _ := ask("GET", "/v1/nothing", nil); c != 404 {
		t.Errorf("an unknown listener: %d", c)
	}
	if c, _, _ := ask("PUT", "/v1/plan", make([]byte, BodyMost+1)); c != 413 {
		t.Errorf("too large: %d", c)
	}
	if c, b, _ := ask("GET", "/v1/schema", nil); c != 200 || !strings.Contains(b, "fernlink://api/schema.json") {
		t.Errorf("the schema: %d", c)
	}
	full = true
	if c, _, h := ask("GET", "/v1/plan", nil); c != 503 || h.Get("Retry-After") == "" {
		t.Errorf("too much at once: %d", c)
	}
}

// Given a watcher that lags, when more lines come than it may lag, then the
// core never waits for it, and it is cut off with the reason once it reads on.
func TestSlowWatcher(t *testing.T) {
	gone, full := make(chan uint64, 1), make(chan bool)
	calls := make(chan uint64, 1)
	web, err := Open("127.0.0.1:0", func(e flow.Event) bool {
		if e.Call != nil {
			calls <- e.Call.ID
		}
		if e.Gone != 0 {
			gone <- e.Gone
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer web.Close(context.Background())
	res := make(chan string, 1)
	go func() {
		r, err := http.Get("http://" + web.Addr(0).String() + "/v1/watch/usage")
		if err != nil {
			res <- err.Error()
			return
		}
		defer r.Body.Close()
		<-full // reads nothing until the queue ran over
		b, _ := io.ReadAll(r.Body)
		res <- string(b)
	}()
	id := <-calls
	line := bytes.Repeat([]byte("x"), 64<<10)
	for i := 0; i < 40*WatchMost; i++ {
		web.Reply(flow.Reply{ID: id, Code: 200, Body: line, More: true})
	}
	close(full)
	if <-gone != id {
		t.Error("the core does not hear that the watcher is gone")
	}
	select {
	case s := <-res:
		if !strings.Contains(s, "too slow") {
			t.Errorf("the reason is not told: %d bytes, %.80q", len(s), s[max(0, len(s)-80):])
		}
	case <-time.After(60 * time.Second):
		t.Fatal("hangs")
	}
}
