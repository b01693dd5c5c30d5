// Package site runs fernlink as its users' platform does: real processes with
// settings files of their own, against stand-ins on loopback. It is for
// development only.
package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json/v1"
)

// model is the one that stand-ins make texts with.
const model = "mo1"

// truth is what reached all engines, for checks.
type truth struct {
	mu    sync.Mutex
	runs  map[string]int    // by the request's id
	seals map[string]string // stamp: id and body
	named int               // the newest version of the weights that was named
	wrong []string
	drops int
}

func (t *truth) bad(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.wrong) < 20 {
		t.wrong = append(t.wrong, fmt.Sprintf(format, a...))
	}
}

func (t *truth) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	return t.runs[id]
}

// engine is one stand-in for an engine.
type engine struct {
	t        *truth
	id, pool string
	zone     string
	addr     string
	slots    int
	list     net.Listener
	srv      *http.Server

	mu       sync.Mutex
	version  int
	loading  int // the version that it takes, or 0
	running  int
	orders   int
	fence    uint64
	owner    string
	draining bool
	rough    bool // breaks every sixth answer off
	count    int
}

func (e *engine) start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.list, e.addr, e.version = l, l.Addr().String(), 1
	e.srv = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.srv.Serve(l) }()
	return nil
}

func (e *engine) crash() { _ = e.srv.Close() }

func (e *engine) away(w http.ResponseWriter, code int) {
	if code != 421 {
		w.Header().Set("Not-Run", "1")
	}
	w.WriteHeader(code)
}

func (e *engine) report() map[string]any {
	models := []any{}
	if e.pool == "llm" {
		models = append(models, map[string]any{"Label": model, "Revision": e.version, "Loras": []any{}})
	}
	return map[string]any{"Phase": "mixed", "Models": models, "Saturated": e.loading > 0, "CallSeq": e.orders, "Queued": 0, "Active": e.running, "KvUsed": 0, "KvTotal": 90000, "Accepts": 0}
}

func say(w http.ResponseWriter, code int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

func (e *engine) order(w http.ResponseWriter, b []byte) {
	var o struct {
		OpKind, Model, Mode, Owner string
		Revision                   int
		FenceToken                 uint64
	}
	if json.Unmarshal(b, &o) != nil || o.OpKind != "Revision" || o.Owner == "" || o.Mode != "hold" {
		e.t.bad("%s got the order %s", e.id, b)
		w.WriteHeader(400)
		return
	}
	e.t.mu.Lock()
	named := e.t.named
	e.t.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FenceToken == e.fence && e.owner != "" && o.Owner != e.owner {
		e.t.bad("ONE: %s has orders of %s and %s under fence %d", e.id, e.owner, o.Owner, o.FenceToken)
	}
	code := 202
	switch {
	case o.FenceToken < e.fence:
		code = 412
	case o.Revision > named:
		code = 400
	case o.Revision == e.version && e.loading == 0:
		code = 200
	case e.loading > 0:
		code = 409
	default:
		e.orders++
		e.loading = o.Revision
		go e.load()
	}
	if o.FenceToken >= e.fence {
		e.fence, e.owner = o.FenceToken, o.Owner
	}
	w.WriteHeader(code)
}

// load waits for the runs that are under way, then takes the weights.
func (e *engine) load() {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	e.mu.Lock()
	e.version, e.loading = e.loading, 0
	e.mu.Unlock()
}

// ServeHTTP is all listeners of an engine.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		e.away(w, 421)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		doc := e.report()
		e.mu.Unlock()
		say(w, 200, doc)
		return
	case "/order":
		e.order(w, b)
		return
	}
	if id == "" {
		e.away(w, 400)
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots || e.loading > 0
	stale := r.Header.Get("Expect-Weights") != "" && r.Header.Get("Expect-Weights") != strconv.Itoa(e.version)
	if !full && !stale {
		e.running++
		e.count++
	}
	v, load, rough := e.version, fmt.Sprintf("%d,0,%d", e.running, e.slots), e.rough && e.count%6 == 0
	e.mu.Unlock()
	if stale {
		e.away(w, 421)
		return
	}
	if full {
		e.away(w, 503)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Engine-Load", load)
	run := e.t.ran(id)
	seal := fmt.Sprintf("s.%s.%s.%d", e.id, id, run)
	w.Header().Set("Engine-Seal", seal)
	if _, out, ok := strings.Cut(r.Header.Get("Token-Counts"), ","); ok && e.pool == "llm" {
		e.text(w, r, id, seal, out, v, rough)
		return
	}
	time.Sleep(12 * time.Millisecond)
	body := fmt.Sprintf("%s at %s: %s", id, r.URL.RequestURI(), b)
	e.t.mu.Lock()
	e.t.seals[seal] = id + "\n" + body
	if rough {
		e.t.drops++
	}
	e.t.mu.Unlock()
	if rough {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// text makes a text, event by event.
func (e *engine) text(w http.ResponseWriter, r *http.Request, id, seal, out string, v int, rough bool) {
	most, _ := strconv.Atoi(out)
	from := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = n + 1
	}
	e.t.mu.Lock()
	e.t.seals[seal] = id + "\n"
	e.t.mu.Unlock()
	w.Header().Set("Weight-Versions", strconv.Itoa(v))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	controller := http.NewResponseController(w)
	for n := from; n < most; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(4 * time.Millisecond):
		}
		if rough && n > from+2 {
			e.t.mu.Lock()
			e.t.drops++
			e.t.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s:%d:%d\n\n", n, id, n, v); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
