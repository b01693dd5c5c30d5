//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelName is the model that engines make texts with.
const modelName = "daka510000"

// runs is what reached all engines.
type runs struct {
	mu     sync.Mutex
	begun  map[string]int      // runs by Attempt-Id
	whole  map[string]int      // runs whose answer was handed over whole
	texts  map[string][]string // data of the whole text by item
	orders []orderSeen
	named  int
}

// orderSeen is one order at an engine.
type orderSeen struct {
	at     time.Time
	engine string
	owner  string
	fence  uint64
	rev    int
	code   int
}

func newRuns() *runs {
	return &runs{begun: map[string]int{}, whole: map[string]int{}, texts: map[string][]string{}, named: 1}
}

func (r *runs) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id]
}

// engine is a stand-in for an engine that does only what a sound one does.
type engine struct {
	f              *fleet
	id, pool, zone string
	addr           string
	slots          int
	srv            *http.Server
	work           func(id, path string) time.Duration // how long a plain request takes
	eventGap       time.Duration
	loadTime       time.Duration

	mu       sync.Mutex
	state    string
	running  int
	queued   int
	version  int
	loading  bool
	callSeq  int
	fence    uint64
	since    time.Time
	lastCame map[string]time.Time
}

func (f *fleet) addEngine(pool, zone string, work func(id, path string) time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", f.net+".200:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &engine{f: f, id: fmt.Sprintf("i-%04x%04x", len(f.engines)+1, time.Now().UnixNano()&0xffff), pool: pool, zone: zone, addr: l.Addr().String(), slots: 8,
		work: work, state: "ready", version: f.runs.named, eventGap: 6 * time.Millisecond, loadTime: 600 * time.Millisecond, since: time.Now(), lastCame: map[string]time.Time{}}
	if pool == appPool {
		e.slots = 6
	}
	e.srv = &http.Server{Handler: e}
	go func() { _ = e.srv.Serve(l) }()
	f.engines = append(f.engines, e)
	return e, nil
}

func (e *engine) close() { _ = e.srv.Close() }

func (e *engine) models() []any {
	if e.pool != llmPool {
		return []any{}
	}
	return []any{map[string]any{"Label": modelName, "Revision": e.version, "Loras": []any{}}}
}

// listed is the engine's entry on the platform's list.
func (e *engine) listed() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "gone" {
		return nil
	}
	return map[string]any{"Backend": e.pool, "Address": e.addr, "Zone": e.zone, "Revision": "v1", "Capacity": e.slots, "State": e.state,
		"WarmupLeftMs": 0, "Phase": "mixed", "Models": e.models(), "InstanceId": e.id}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(421)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(200)
	case r.URL.Path == "/report":
		e.mu.Lock()
		doc := map[string]any{"Phase": "mixed", "Models": e.models(), "Saturated": e.loading, "CallSeq": e.callSeq, "Queued": e.queued, "Active": e.running, "KvUsed": 0, "KvTotal": 75742, "Accepts": 0}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(doc)
	case r.URL.Path == "/order":
		e.order(w, body)
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(400)
	default:
		e.run(w, r, id, body)
	}
}

// order takes an order for new weights.
func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		OpKind, Model, Mode, Owner string
		Revision                   int
		FenceToken                 uint64
	}
	code := 202
	if json.Unmarshal(body, &o) != nil || o.OpKind != "Revision" || o.Owner == "" {
		code = 400
	}
	e.f.runs.mu.Lock()
	named := e.f.runs.named
	e.f.runs.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case code == 400:
	case o.FenceToken < e.fence:
		code = 412
	case o.Revision > named:
		code = 400
	case o.Revision == e.version && !e.loading:
		code = 200
	case e.loading:
		code = 409
	default:
		e.callSeq++
		e.loading = true
		go e.load(o.Revision)
	}
	e.fence = max(e.fence, o.FenceToken)
	e.f.runs.mu.Lock()
	e.f.runs.orders = append(e.f.runs.orders, orderSeen{time.Now(), e.id, o.Owner, o.FenceToken, o.Revision, code})
	e.f.runs.mu.Unlock()
	e.f.rec.note("engine %s: order of version %d by %s, fence %d: %d", e.id, o.Revision, o.Owner, o.FenceToken, code)
	w.WriteHeader(code)
}

func (e *engine) load(rev int) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(e.loadTime)
	e.mu.Lock()
	e.version, e.loading = rev, false
	e.mu.Unlock()
}

// run runs a request.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	e.mu.Lock()
	expected := r.Header.Get("Expect-Weights")
	switch {
	case expected != "" && expected != strconv.Itoa(e.version):
		e.mu.Unlock()
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(421)
		return
	case e.running >= e.slots || e.loading:
		e.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(503)
		return
	}
	e.running++
	version := e.version
	load := fmt.Sprintf("%d,%d,%d", e.running, e.queued, e.slots)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.f.runs.mu.Lock()
	e.f.runs.begun[id]++
	n := e.f.runs.begun[id]
	e.f.runs.mu.Unlock()
	e.f.rec.ran("engine %s: runs %s (run %d of it) %s %s", e.id, id, n, r.Method, r.URL.RequestURI())
	seal := fmt.Sprintf("%s.%s.%d", e.id, id, n)
	w.Header().Set("Engine-Seal", seal)
	w.Header().Set("Engine-Load", load)
	if _, out, ok := strings.Cut(r.Header.Get("Token-Counts"), ","); ok {
		e.text(w, r, id, out, version)
		return
	}
	if !pause(r.Context(), e.work(id, r.URL.Path)) {
		e.f.rec.note("engine %s: the caller of %s went away", e.id, id)
		return
	}
	_, _ = fmt.Fprintf(w, "%s at %s: %s", id, r.URL.RequestURI(), body)
	e.f.runs.mu.Lock()
	e.f.runs.whole[id]++
	e.f.runs.mu.Unlock()
}

// pause waits, and says whether the caller is still there.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// text makes a text, event by event. Its data is the same at each run.
func (e *engine) text(w http.ResponseWriter, r *http.Request, id, out string, version int) {
	most, _ := strconv.Atoi(out)
	from := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = n + 1
	}
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	control := http.NewResponseController(w)
	for n := from; n < most; n++ {
		if !pause(r.Context(), e.eventGap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = control.Flush()
	}
	e.f.runs.mu.Lock()
	e.f.runs.whole[id]++
	e.f.runs.mu.Unlock()
}
