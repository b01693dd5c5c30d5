package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// siteModel is the model that every site's engines hold.
const siteModel = "mo1"

// engineTurn is how often an engine goes on with its work.
const engineTurn = 5 * time.Millisecond

// SiteEngine is one start of an engine on the platform.
type SiteEngine struct {
	s                    *Site
	ID, Addr, Pool, Zone string
	Slots, Queue, Memory int
	Models               map[string]int // with the version of its weights
	Up                   bool
	Dark                 bool          // it works, and nobody hears of it
	Slow                 float64       // times as long as usual
	Leaving              bool          // it was told to go
	Cut, Garble, Surplus float64       // shares of answers in trouble
	Fails                float64       // share of requests that it fails at
	Bare                 float64       // share of requests that it runs and answers 503 without a word that they did not run
	Skips                float64       // share of events that it leaves out
	Repeats              float64       // share of whole answers that come again on their connection
	Pauses               float64       // share of streams that pause once
	Crowded              bool          // it is full of others' requests and declines all
	Far                  time.Duration // how long a weight order is on its way to it

	warm    time.Duration
	listed  bool          // the list has shown it
	gone    time.Duration // when the list showed it draining or gone, 0 for not yet
	jobs    []*siteJob    // in the order that they came
	kept    map[string]*keptPart
	calls   int // orders taken
	fence   uint64
	order   *siteOrder
	report  []byte
	behind  map[*Host][]byte // a surplus answer that waits on a kept connection
	Ordered []orderSeen
}

type siteOrder struct {
	rev   int
	mode  string
	ready time.Duration // when it is done, once it loads
}

// orderSeen is one order that reached an engine.
type orderSeen struct {
	At    time.Duration
	Owner string
	Fence uint64
	Rev   int
	Code  int
}

// siteRun is one piece of work that an engine began.
type siteRun struct {
	no     int
	id     string
	engine *SiteEngine
	at     time.Duration
	from   int // the id of its first event
	broke  bool
}

// sealed is what an engine answered under a stamp.
type sealed struct {
	id   string
	code int
	body string
	came time.Duration // when the request reached the engine
}

// siteJob is a request at an engine.
type siteJob struct {
	h       *Host
	life    int
	send    flow.Send
	id      string
	run     *siteRun
	model   string
	prompt  []string // its parts, ID:TOKENS
	read    float64  // prompt tokens still to be read
	work    float64  // ms of work, where it makes no text
	total   int      // events
	at      int      // the id of its next event
	step    float64  // ms until then
	made    int      // the version that its head or last event named
	kv      int      // the version under which its memory was made
	tokens  int
	open    bool
	late    time.Duration
	came    time.Duration
	cutAt   int // breaks off before this event, when above zero
	removed bool
	pauseAt int           // the event before which it pauses, 0 for none
	paused  time.Duration // until when
}

// AddEngine starts an engine and puts it on the list. Without an address it gets
// a new one.
func (s *Site) AddEngine(pool, zone, addr string) *SiteEngine {
	s.lives++
	if addr == "" {
		addr = fmt.Sprintf("10.5.%d.%d:80", s.lives/200, s.lives%200+1)
	}
	e := &SiteEngine{s: s, ID: fmt.Sprintf("i-%04d%04x", s.lives, s.w.Rand.Intn(1<<16)), Addr: addr, Pool: pool, Zone: zone, Slots: s.Shape.Slots, Queue: 4, Memory: s.Shape.Memory,
		Models: map[string]int{}, Up: true, Slow: 1, warm: s.w.Now + time.Second, kept: map[string]*keptPart{}, behind: map[*Host][]byte{}}
	if s.w.Now == 0 {
		e.warm = 0
	}
	if strings.HasPrefix(pool, "llm") {
		e.Models[siteModel] = s.named[siteModel]
	}
	s.Engines = append(s.Engines, e)
	s.at[addr] = e
	s.next = append(s.next, listing{e, "ready"})
	s.show()
	s.w.Every(engineTurn, func() bool {
		if e.Up {
			e.turn()
		}
		return e.Up
	})
	return e
}

// Pool gives the running engines of a pool.
func (s *Site) Pool(name string) []*SiteEngine {
	var out []*SiteEngine
	for _, e := range s.Engines {
		if e.Up && e.Pool == name {
			out = append(out, e)
		}
	}
	return out
}

// Crash ends an engine at once; the list goes on with it for some seconds.
func (e *SiteEngine) Crash() {
	if !e.Up {
		return
	}
	e.Up = false
	for _, j := range e.jobs {
		e.broken(j)
	}
	e.jobs = nil
	e.s.w.After(2*time.Second, func() { e.s.relist(e, "") })
}

// Retire lets an engine drain, and ends it once that is over.
func (e *SiteEngine) Retire(then func()) {
	e.Leaving = true
	e.s.relist(e, "draining")
	e.s.w.After(e.s.ListLag+e.s.Bounds.Drain+500*time.Millisecond, func() {
		if e.Up {
			e.Up = false
			for _, j := range e.jobs {
				e.broken(j)
			}
			e.jobs = nil
		}
		e.s.relist(e, "")
		if then != nil {
			then()
		}
	})
}

// Replace starts another engine of the same pool; with reuse, an engine of
// another pool gets the old address.
func (e *SiteEngine) Replace(reuse bool) {
	s := e.s
	s.AddEngine(e.Pool, e.Zone, "")
	if reuse {
		other := otherPool[e.Pool]
		s.w.After(2*time.Second, func() { s.AddEngine(other, e.Zone, e.Addr) })
	}
}

func (e *SiteEngine) back(h *Host, life int, b flow.Back) {
	if e.Dark {
		return
	}
	if b.End && b.Code != 0 && len(b.Fields) > 0 && e.Repeats > 0 && e.s.w.Rand.Float64() < e.Repeats {
		e.s.Count["answers repeated"]++
		e.s.w.Out.repeat(e.Addr, h, life, b, e.s.w.between(time.Millisecond, 80*time.Millisecond))
	}
	e.s.w.Out.back(e.Addr, h, life, b)
}

func (e *SiteEngine) broken(j *siteJob) {
	if j.run != nil {
		j.run.broke = true
	}
	e.back(j.h, j.life, flow.Back{ID: j.send.ID, End: true, Err: "connection reset", Failure: flow.Reset})
}

func (e *SiteEngine) load() string {
	run := 0
	for _, j := range e.jobs {
		if j.run != nil {
			run++
		}
	}
	return fmt.Sprintf("%d,%d,%d", run, len(e.jobs)-run, e.Slots)
}

// serve takes what a machine sends.
func (e *SiteEngine) serve(h *Host, life int, x flow.Send, path string) {
	if e.Dark {
		return
	}
	say := func(code int, body any) {
		b, _ := json.Marshal(body)
		if old, any := e.behind[h]; any && x.Keep && !x.Alone && x.Name == "" {
			// A surplus answer stands where this one is expected, and nothing names it.
			delete(e.behind, h)
			b, code = old, 200
		}
		e.s.w.After(2*time.Millisecond, func() { e.back(h, life, flow.Back{ID: x.ID, End: true, Code: code, Body: b}) })
	}
	expect := flow.Get(x.Fields, "Expect-Instance")
	if expect != "" && expect != e.ID {
		e.back(h, life, flow.Back{ID: x.ID, End: true, Code: 421, Fields: []flow.Field{{Name: "Attempt-Id", Value: flow.Get(x.Fields, "Attempt-Id")}}})
		return
	}
	switch path {
	case "/report":
		e.s.Count["reports"]++
		if e.report == nil {
			e.look()
		}
		say(200, json.RawMessage(e.report))
	case "/order":
		s := e.s
		s.ordersOnTheWay++
		s.w.After(e.Far, func() {
			s.ordersOnTheWay--
			if e.Up && s.at[e.Addr] == e {
				say(e.take(x.Body), struct{}{})
			}
		})
	default:
		e.request(h, life, x, path)
	}
}

// look makes the report that is given for the next while.
func (e *SiteEngine) look() {
	models := []any{}
	for _, m := range sorted.Keys(e.Models) {
		models = append(models, map[string]any{"Label": m, "Revision": e.Models[m], "Loras": []any{}})
	}
	used := e.used()
	run := 0
	for _, j := range e.jobs {
		if j.run != nil {
			run++
		}
	}
	e.report, _ = json.Marshal(map[string]any{"Phase": "mixed", "Models": models, "Saturated": e.order != nil, "CallSeq": e.calls, "Queued": len(e.jobs) - run,
		"Active": run, "KvUsed": used, "KvTotal": e.Memory, "Accepts": 0})
}

// take takes an order to change weights.
func (e *SiteEngine) take(body []byte) int {
	var o struct {
		OpKind, Model, Mode, Owner string
		Revision                   int
		FenceToken                 uint64
		Expected                   *int
	}
	code := 400
	if json.Unmarshal(body, &o) == nil && o.OpKind == "Revision" && o.Owner != "" && o.FenceToken > 0 && slices.Contains([]string{"hold", "truncate", "retain"}, o.Mode) {
		_, has := e.Models[o.Model]
		switch {
		case e.s.Shape.Fenced && o.FenceToken < e.fence:
			code = 412
		case !has || o.Revision > e.s.named[o.Model]:
			code = 400
		case e.Models[o.Model] == o.Revision && e.order == nil:
			code = 200
		case e.order != nil || o.Expected != nil && *o.Expected != e.calls:
			code = 409
		default:
			code = 202
			e.calls++
			e.order = &siteOrder{rev: o.Revision, mode: o.Mode}
		}
	}
	e.fence = max(e.fence, o.FenceToken)
	e.Ordered = append(e.Ordered, orderSeen{e.s.w.Now, o.Owner, o.FenceToken, o.Revision, code})
	e.s.Count["orders"]++
	e.look()
	return code
}

// away turns a request away: it did not run here.
func (e *SiteEngine) away(h *Host, life int, x flow.Send, code int) {
	e.s.Count[fmt.Sprint("turned away ", code)]++
	fields := []flow.Field{{Name: "Attempt-Id", Value: flow.Get(x.Fields, "Attempt-Id")}, {Name: "Engine-Load", Value: e.load()}}
	if code != 421 {
		fields = append(fields, flow.Field{Name: "Not-Run", Value: "1"})
	}
	e.back(h, life, flow.Back{ID: x.ID, End: true, Code: code, Fields: fields})
}

func (e *SiteEngine) request(h *Host, life int, x flow.Send, path string) {
	s := e.s
	id := flow.Get(x.Fields, "Attempt-Id")
	if s.at[e.Addr] != e {
		return
	}
	s.arrived(e, h, id, path, x)
	if id == "" {
		e.away(h, life, x, 400)
		return
	}
	model := flow.Get(x.Fields, "Model")
	if v := flow.Get(x.Fields, "Expect-Weights"); v != "" && v != strconv.Itoa(e.Models[model]) {
		e.away(h, life, x, 421)
		return
	}
	if e.Crowded || e.order != nil && model != "" || len(e.jobs) >= e.Slots+e.Queue {
		e.away(h, life, x, 503)
		return
	}
	j := &siteJob{h: h, life: life, send: x, id: id, model: model, work: 25, came: s.w.Now}
	if left, err := strconv.Atoi(flow.Get(x.Fields, "Time-Left-Ms")); err == nil {
		j.late = s.w.Now + time.Duration(left)*time.Millisecond
	}
	if in, out, ok := strings.Cut(flow.Get(x.Fields, "Token-Counts"), ","); ok {
		a, _ := strconv.Atoi(in)
		b, _ := strconv.Atoi(out)
		j.total, j.tokens = b, a+b
		j.prompt = strings.Split(flow.Get(x.Fields, "Prompt-Prefix"), ",")
		if j.tokens > e.Memory {
			e.away(h, life, x, 503)
			return
		}
	}
	if n, err := strconv.Atoi(flow.Get(x.Fields, "Last-Event-Id")); err == nil {
		j.at = n + 1
	}
	if s.w.Rand.Float64() < e.Cut {
		j.cutAt = j.at + 1 + s.w.Rand.Intn(max(1, j.total-j.at))
	}
	if s.Rough && j.cutAt == 0 && s.w.Rand.Intn(30) == 0 {
		j.cutAt = j.at + 1 + s.w.Rand.Intn(max(1, j.total-j.at))
	}
	if j.total > 1 && s.w.Rand.Float64() < e.Pauses {
		j.pauseAt = j.at + 1 + s.w.Rand.Intn(j.total)
	}
	e.jobs = append(e.jobs, j)
	h.sends[x.ID] = func() {
		s.w.Net.Flow(h.Name, e.Addr, func() { e.drop(j) })
	}
}

func (e *SiteEngine) drop(j *siteJob) {
	j.removed = true
	e.jobs = slices.DeleteFunc(e.jobs, func(x *siteJob) bool { return x == j })
}
