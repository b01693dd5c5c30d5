// Package site runs fernlink as its users' platform does: real processes with
// settings files of their own, against stand-ins on loopback. It is for
// development only.
package site

import (
	"context"
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
	runs  map[string]int       // by the request's id
	seals map[string]string    // stamp: id and body
	ended map[string]time.Time // by an item's id, when the end of its lot was acknowledged
	fails map[string]int       // answers of 500, by the request's id
	ends  map[string]bool      // requests whose answer an engine broke off
	named int                  // the newest version of the weights that was named
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
	drained  time.Time     // since when the list says so
	rough    bool          // breaks every sixth answer off
	hung     bool          // takes requests and never answers
	delay    time.Duration // of each answer
	count    int
	unfenced bool          // does not check fences
	far      time.Duration // how long weight orders are on their way
	onTheWay int           // weight orders that are
	pauses   bool          // pauses amid each stream
	crowded  bool          // is full of others' requests
	repeats  bool          // its whole answers come again
	failEach int           // fails one of so many requests, 0 for none
	crashed  bool
}

func (e *engine) start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.list, e.addr, e.version = l, l.Addr().String(), 1
	e.srv = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, ConnContext: withConn, ConnState: noteState}
	go func() { _ = e.srv.Serve(repeatListener{l}) }()
	return nil
}

func (e *engine) crash() {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	_ = e.srv.Close()
}

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
	var sent struct {
		OpKind, Model, Mode, Owner string
		Revision                   int
		FenceToken                 uint64
	}
	if json.Unmarshal(b, &sent) != nil || sent.OpKind != "Revision" || sent.Owner == "" || sent.Mode != "hold" {
		e.t.bad("%s got the order %s", e.id, b)
		w.WriteHeader(400)
		return
	}
	e.t.mu.Lock()
	named := e.t.named
	e.t.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent.FenceToken == e.fence && e.owner != "" && sent.Owner != e.owner {
		e.t.bad("ONE: %s has orders of %s and %s under fence %d", e.id, e.owner, sent.Owner, sent.FenceToken)
	}
	if sent.FenceToken < e.fence && e.unfenced {
		e.t.bad("ONE: %s has an order of %s under fence %d after %d", e.id, sent.Owner, sent.FenceToken, e.fence)
	}
	code := 202
	switch {
	case sent.FenceToken < e.fence && !e.unfenced:
		code = 412
	case sent.Revision > named:
		code = 400
	case sent.Revision == e.version && e.loading == 0:
		code = 200
	case e.loading > 0:
		code = 409
	default:
		e.orders++
		e.loading = sent.Revision
		go e.load()
	}
	if sent.FenceToken >= e.fence {
		e.fence, e.owner = sent.FenceToken, sent.Owner
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		e.away(w, 421)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.mu.Lock()
		doc := e.report()
		e.mu.Unlock()
		say(w, 200, doc)
	case r.URL.Path == "/order":
		e.travel()
		e.order(w, body)
	case id == "":
		e.away(w, 400)
	default:
		e.work(w, r, id, body)
	}
}

// admitted is a request that has a slot.
type admitted struct {
	version int    // of the weights that run it
	load    string // the engine's word on its load
	rough   bool   // its answer breaks off
	hung    bool   // it never comes
	delay   time.Duration
	pauses  bool // it pauses amid its stream
	repeats bool // a whole answer comes again
	fails   bool // it is a 500
}

// admit gives a request a slot, or the status by which it is turned away.
func (e *engine) admit(r *http.Request) (admitted, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get("Expect-Weights")
	if expected != "" && expected != strconv.Itoa(e.version) {
		return admitted{}, 421
	}
	if e.running >= e.slots || e.loading > 0 || e.crowded {
		return admitted{}, 503
	}
	e.running++
	e.count++
	load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
	return admitted{version: e.version, load: load, rough: e.rough && e.count%6 == 0, hung: e.hung, delay: e.delay,
		pauses: e.pauses, repeats: e.repeats, fails: e.failEach > 0 && e.count%e.failEach == 0}, 0
}

// Times after which nothing may reach an engine any more, and what is granted beyond
// them for a process that was frozen meanwhile.
const (
	drainBound  = 3 * time.Second
	cancelBound = 3 * time.Second
	thawSlack   = longestTrouble + time.Second
)

// late finds what comes after a drain or an end that was acknowledged.
func (e *engine) late(id string) {
	e.mu.Lock()
	drained := e.drained
	e.mu.Unlock()
	if !drained.IsZero() && time.Since(drained) > drainBound+thawSlack {
		e.t.bad("DRAIN: %s reached %s %v after its drain was listed", id, e.id, time.Since(drained).Round(time.Millisecond))
	}
	e.t.mu.Lock()
	ended, over := e.t.ended[id]
	e.t.mu.Unlock()
	if over && time.Since(ended) > cancelBound+thawSlack {
		e.t.bad("UNASKED: %s reached %s %v after the end of its lot", id, e.id, time.Since(ended).Round(time.Millisecond))
	}
}

// hungFor is how long a request is kept without an answer.
const hungFor = 4 * time.Second

// wait holds an answer back as long as its engine does, and says whether it comes.
func (a admitted) wait(ctx context.Context) bool {
	delay := a.delay
	if a.hung {
		delay = hungFor
	}
	if delay == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return !a.hung
	}
}

// work runs a request or makes a text.
func (e *engine) work(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	e.late(id)
	slot, refusal := e.admit(r)
	if refusal != 0 {
		e.away(w, refusal)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Engine-Load", slot.load)
	seal := fmt.Sprintf("s.%s.%s.%d", e.id, id, e.t.ran(id))
	if !slot.wait(r.Context()) {
		return
	}
	w.Header().Set("Engine-Seal", seal)
	if slot.fails {
		e.fail(w, r, id, seal, slot.repeats)
		return
	}
	if _, tokens, ok := strings.Cut(r.Header.Get("Token-Counts"), ","); ok && e.pool == "llm" {
		e.text(w, r, id, seal, tokens, slot)
		return
	}
	time.Sleep(12 * time.Millisecond)
	answer := fmt.Sprintf("%s at %s: %s", id, r.URL.RequestURI(), body)
	e.t.mu.Lock()
	e.t.seals[seal] = id + "\n" + answer
	if slot.rough {
		e.t.drops++
		e.t.ends[id] = true
	}
	e.t.mu.Unlock()
	if slot.rough {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
	if slot.repeats {
		repeatLater(r, id, seal, http.StatusOK, answer)
	}
}

// fail answers that the engine failed.
func (e *engine) fail(w http.ResponseWriter, r *http.Request, id, seal string, repeats bool) {
	const body = "failed"
	e.t.mu.Lock()
	e.t.fails[id]++
	e.t.seals[seal] = id + "\n" + body
	e.t.mu.Unlock()
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, body)
	if repeats {
		repeatLater(r, id, seal, http.StatusInternalServerError, body)
	}
}

// text makes a text, event by event.
func (e *engine) text(w http.ResponseWriter, r *http.Request, id, seal, out string, slot admitted) {
	most, _ := strconv.Atoi(out)
	from := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = n + 1
	}
	e.t.mu.Lock()
	e.t.seals[seal] = id + "\n"
	e.t.mu.Unlock()
	w.Header().Set("Weight-Versions", strconv.Itoa(slot.version))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	defer e.noteCrash(id)
	controller := http.NewResponseController(w)
	for n := from; n < most; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(4 * time.Millisecond):
		}
		if slot.pauses && n == from+pauseBefore && !pause(r.Context()) {
			return
		}
		if slot.rough && n > from+2 {
			e.t.mu.Lock()
			e.t.drops++
			e.t.ends[id] = true
			e.t.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s:%d:%d\n\n", n, id, n, slot.version); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

// noteCrash notes that a request was at an engine that crashed.
func (e *engine) noteCrash(id string) {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	if crashed {
		e.t.mu.Lock()
		e.t.ends[id] = true
		e.t.mu.Unlock()
	}
}
