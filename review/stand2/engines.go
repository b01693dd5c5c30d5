//go:build review

package main

import (
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

// Names of the deployment's services and of its model.
const (
	llmPool  = "assistant-llm"
	appPool  = "booking-app"
	model    = "m0"
	siteHost = "resa.example"
)

// engines are all engines and the platform's list.
type engines struct {
	network  string
	listAddr string
	mu       sync.Mutex
	all      []*engine
	runs     map[string][]runNote // by id
	named    int                  // the newest version that was named
	delay    func(id string, nth int) time.Duration
	events   func(id string) int
	data     func(id string, n int) string
	pace     time.Duration
	servers  []*http.Server
	paths    []net.Listener
	unfenced bool                             // engines take lower fences than they have seen
	hold     func(order []byte) time.Duration // for how long the path to an engine holds an order
	orders   []orderNote
	again    func(answer []byte) time.Duration // how late an answer comes a second time, 0 for never
	pause    func(id string, event int) time.Duration
	fails    func(id string, nth int) int // the status by which a run fails, 0 for none; nth counts from 1
}

// orderNote is one order as it reached its engine.
type orderNote struct {
	at       time.Time
	engine   string
	owner    string
	fence    uint64
	revision int
}

// runNote is one run of a request.
type runNote struct {
	at     time.Time
	engine string
	from   int
	done   bool
	failed int // the status by which it failed
}

// engine is one engine.
type engine struct {
	of       *engines
	id, pool string
	zone     string
	addr     string
	slots    int
	mu       sync.Mutex
	version  int
	loading  bool
	running  int
	waiting  int
	fence    uint64
	callSeq  int
	draining bool
}

func newEngines(network string) (*engines, error) {
	e := &engines{network: network, runs: map[string][]runNote{}, named: 1, pace: 5 * time.Millisecond}
	e.events = func(string) int { return 9 }
	e.data = func(id string, n int) string { return fmt.Sprintf("%s:%d", id, n) }
	for i := range 8 {
		if err := e.add(llmPool, []string{"rennes", "brest", "vannes"}[i%3], 8); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		if err := e.add(appPool, []string{"rennes", "brest", "vannes"}[i%3], 6); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", network+".200:0")
	if err != nil {
		return nil, err
	}
	e.listAddr = l.Addr().String()
	e.serve(l, http.HandlerFunc(e.list))
	return e, nil
}

func (e *engines) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(l) }()
}

func (e *engines) close() {
	for _, path := range e.paths {
		_ = path.Close()
	}
	for _, s := range e.servers {
		_ = s.Close()
	}
}

func (e *engines) add(pool, zone string, slots int) error {
	l, err := net.Listen("tcp", e.network+".201:0")
	if err != nil {
		return err
	}
	x := &engine{of: e, id: fmt.Sprintf("i-%s-%d", pool, len(e.all)), pool: pool, zone: zone, slots: slots, version: 1}
	path, err := net.Listen("tcp", e.network+".202:0")
	if err != nil {
		return err
	}
	x.addr = path.Addr().String()
	e.all = append(e.all, x)
	e.serve(l, x)
	e.paths = append(e.paths, path)
	go e.carry(path, l.Addr().String())
	return nil
}

// list answers GET /engines.
func (e *engines) list(w http.ResponseWriter, r *http.Request) {
	rows := []any{}
	for _, x := range e.all {
		x.mu.Lock()
		state := "ready"
		if x.draining {
			state = "draining"
		}
		rows = append(rows, map[string]any{"InstanceId": x.id, "Backend": x.pool, "Address": x.addr, "Zone": x.zone, "Revision": "v1", "Capacity": x.slots,
			"State": state, "WarmupLeftMs": 0, "Phase": "mixed", "Models": x.models()})
		x.mu.Unlock()
	}
	answer(w, 200, map[string]any{"Instances": rows, "NextToken": nil})
}

func answer(w http.ResponseWriter, code int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

func (x *engine) models() []any {
	if x.pool != llmPool {
		return []any{}
	}
	return []any{map[string]any{"Label": model, "Revision": x.version, "Loras": []any{}}}
}

// ServeHTTP is all that an engine answers.
func (x *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != x.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(421)
		return
	}
	switch {
	case r.URL.Path == "/report":
		x.mu.Lock()
		doc := map[string]any{"Phase": "mixed", "Models": x.models(), "Saturated": x.loading, "CallSeq": x.callSeq, "Queued": 0, "Active": x.running, "KvUsed": 0, "KvTotal": 75742, "Accepts": 0}
		x.mu.Unlock()
		answer(w, 200, doc)
	case r.URL.Path == "/order":
		x.takeOrder(w, body)
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", x.id)
		w.WriteHeader(200)
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(400)
	default:
		x.run(w, r, id)
	}
}

func (x *engine) takeOrder(w http.ResponseWriter, body []byte) {
	var in struct {
		OpKind, Model, Mode, Owner string
		Revision                   int
		FenceToken                 uint64
	}
	if json.Unmarshal(body, &in) != nil || in.OpKind != "Revision" || in.Owner == "" {
		w.WriteHeader(400)
		return
	}
	x.of.mu.Lock()
	named := x.of.named
	x.of.orders = append(x.of.orders, orderNote{time.Now(), x.id, in.Owner, in.FenceToken, in.Revision})
	x.of.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case in.FenceToken < x.fence && !x.of.unfenced:
		w.WriteHeader(412)
		return
	case in.Revision > named:
		w.WriteHeader(400)
		return
	}
	x.fence = max(x.fence, in.FenceToken)
	switch {
	case x.loading:
		w.WriteHeader(409)
	case in.Revision <= x.version:
		w.WriteHeader(200)
	default:
		x.loading = true
		x.callSeq++
		go x.load(in.Revision)
		w.WriteHeader(202)
	}
}

// load lets the runs finish, then takes the weights.
func (x *engine) load(revision int) {
	for {
		x.mu.Lock()
		idle := x.running == 0
		x.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	x.mu.Lock()
	x.version, x.loading = revision, false
	x.mu.Unlock()
}

// queueMost is how many requests wait at an engine for a slot.
const queueMost = 4

// queue waits for a slot, and says whether the caller is still there; mu is held before and
// after.
func (x *engine) queue(r *http.Request) bool {
	x.waiting++
	defer func() { x.waiting-- }()
	for x.running >= x.slots {
		x.mu.Unlock()
		time.Sleep(time.Millisecond)
		x.mu.Lock()
		if r.Context().Err() != nil {
			return false
		}
	}
	return true
}

// run runs a request: a text where tokens are asked for, else one answer.
func (x *engine) run(w http.ResponseWriter, r *http.Request, id string) {
	x.mu.Lock()
	version := x.version
	want := r.Header.Get("Expect-Weights")
	if want != "" && want != strconv.Itoa(version) {
		x.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Weight-Versions", strconv.Itoa(version))
		w.WriteHeader(421)
		return
	}
	if x.loading || x.running >= x.slots && x.waiting >= queueMost {
		x.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(503)
		return
	}
	if !x.queue(r) {
		x.mu.Unlock()
		return
	}
	x.running++
	load := fmt.Sprintf("%d,%d,%d", x.running, x.waiting, x.slots)
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		x.running--
		x.mu.Unlock()
	}()
	from := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = n + 1
	}
	x.of.mu.Lock()
	x.of.runs[id] = append(x.of.runs[id], runNote{at: time.Now(), engine: x.id, from: from})
	nth := len(x.of.runs[id]) - 1
	x.of.mu.Unlock()
	w.Header().Set("Engine-Load", load)
	w.Header().Set("Engine-Seal", fmt.Sprintf("%s.%s.%d", x.id, id, nth))
	if x.pool == llmPool {
		w.Header().Set("Weight-Versions", strconv.Itoa(version))
	}
	if x.of.delay != nil {
		select {
		case <-time.After(x.of.delay(id, nth+1)):
		case <-r.Context().Done():
			return
		}
	}
	if x.of.fails != nil {
		if code := x.of.fails(id, nth+1); code != 0 {
			x.of.mu.Lock()
			x.of.runs[id][nth].failed = code
			x.of.mu.Unlock()
			w.WriteHeader(code)
			return
		}
	}
	if x.pool == llmPool && strings.Contains(r.Header.Get("Token-Counts"), ",") {
		if !x.text(w, r, id, from) {
			return
		}
	} else {
		_, _ = fmt.Fprintf(w, "%s %s", id, strings.Repeat("x", 760))
	}
	x.of.mu.Lock()
	x.of.runs[id][nth].done = true
	x.of.mu.Unlock()
}

// text makes a text, event by event, and says whether it came to its end.
func (x *engine) text(w http.ResponseWriter, r *http.Request, id string, from int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	flush := http.NewResponseController(w)
	for n := from; n <= x.of.events(id); n++ {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(x.of.pauseBefore(id, n)):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, x.of.data(id, n)); err != nil {
			return false
		}
		_ = flush.Flush()
	}
	return true
}

// runsOf gives the runs of a request.
func (e *engines) runsOf(id string) []runNote {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]runNote(nil), e.runs[id]...)
}

// pauseBefore is how long an engine takes for an event.
func (e *engines) pauseBefore(id string, event int) time.Duration {
	if e.pause == nil {
		return e.pace
	}
	return e.pace + e.pause(id, event)
}
