package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

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
	Dark                 bool    // it works, and nobody hears of it
	Slow                 float64 // times as long as usual
	Leaving              bool    // it was told to go
	Cut, Garble, Surplus float64 // shares of answers in trouble
	Fails                float64 // share of requests that it fails at
	Bare                 float64 // share of requests that it runs and answers 503 without a word that they did not run
	Skips                float64 // share of events that it leaves out

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

// keptPart is a part of a prompt that an engine need not read again.
type keptPart struct {
	tokens, version int
	last            time.Duration
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
	if !e.Dark {
		e.s.w.Out.back(e.Addr, h, life, b)
	}
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
		if old, any := e.behind[h]; any && x.Keep && x.Name == "" {
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
		say(e.take(x.Body), struct{}{})
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
	if e.order != nil && model != "" || len(e.jobs) >= e.Slots+e.Queue {
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
	e.jobs = append(e.jobs, j)
	h.sends[x.ID] = func() {
		s.w.Net.Flow(h.Name, e.Addr, func() { e.drop(j) })
	}
}

func (e *SiteEngine) drop(j *siteJob) {
	j.removed = true
	e.jobs = slices.DeleteFunc(e.jobs, func(x *siteJob) bool { return x == j })
}

// used is the memory that can't give way.
func (e *SiteEngine) used() int {
	n := 0
	for _, j := range e.jobs {
		if j.run != nil && j.read < 0 {
			n += j.tokens
		}
	}
	return n
}

// begin moves a job into a slot.
func (e *SiteEngine) begin(j *siteJob) {
	s := e.s
	s.names++
	j.run = &siteRun{no: s.names, id: j.id, engine: e, at: s.w.Now, from: j.at}
	s.runs[j.id] = append(s.runs[j.id], j.run)
	s.byRun[j.run.no] = j.run
	s.ran(j, e)
	e.readAnew(j)
	j.kv = e.Models[j.model]
}

// readAnew sets what of its prompt a job has to read.
func (e *SiteEngine) readAnew(j *siteJob) {
	j.read = 0
	whole := true
	for _, p := range j.prompt {
		id, n, _ := strings.Cut(p, ":")
		tokens, _ := strconv.Atoi(n)
		k := e.kept[id]
		if whole && k != nil && k.version == e.Models[j.model] {
			k.last = e.s.w.Now
			e.s.Count["tokens kept"] += tokens
			continue
		}
		whole = false
		j.read += float64(tokens)
		e.s.Count["tokens read"] += tokens
	}
	j.step = 6
}

// keep notes the parts that a job has read, and lets the oldest go.
func (e *SiteEngine) keep(j *siteJob) {
	for _, p := range j.prompt {
		id, n, _ := strings.Cut(p, ":")
		tokens, _ := strconv.Atoi(n)
		e.kept[id] = &keptPart{tokens, e.Models[j.model], e.s.w.Now}
	}
	sum := e.used()
	for _, id := range sorted.Keys(e.kept) {
		sum += e.kept[id].tokens
	}
	old := sorted.Keys(e.kept)
	sort.SliceStable(old, func(a, b int) bool { return e.kept[old[a]].last < e.kept[old[b]].last })
	for _, id := range old {
		if sum <= e.Memory {
			return
		}
		sum -= e.kept[id].tokens
		delete(e.kept, id)
	}
}

// turn goes on with an engine's work.
func (e *SiteEngine) turn() {
	now := e.s.w.Now
	if now%(200*time.Millisecond) < engineTurn {
		e.look()
	}
	e.change()
	run := 0
	for _, j := range slices.Clone(e.jobs) {
		if j.removed {
			continue
		}
		if j.run == nil && j.late > 0 && now > j.late {
			e.drop(j)
			e.away(j.h, j.life, j.send, 503)
			continue
		}
		if j.run == nil && run < e.Slots && (e.order == nil || j.model == "") {
			e.begin(j)
		}
		if j.run != nil {
			run++
		}
	}
	if e.used() > e.Memory {
		// Memory ran out: the newest is put back and read anew.
		for i := len(e.jobs) - 1; i >= 0; i-- {
			if j := e.jobs[i]; j.run != nil && j.read < 0 && j.total > 0 {
				e.s.Count["put back"]++
				e.readAnew(j)
				j.read += float64(j.at)
				break
			}
		}
	}
	slow := e.Slow * (1 + 0.5*float64(run)/float64(e.Slots))
	if now < e.warm {
		slow *= 2
	}
	dt := float64(engineTurn) / 1e6 / slow
	for _, j := range slices.Clone(e.jobs) {
		if j.run != nil && !j.removed {
			e.work(j, dt)
		}
	}
}

// change goes on with an order.
func (e *SiteEngine) change() {
	o := e.order
	if o == nil {
		return
	}
	for _, j := range slices.Clone(e.jobs) {
		if j.model == "" {
			continue
		}
		if j.run == nil {
			e.drop(j)
			e.away(j.h, j.life, j.send, 503)
			continue
		}
		if o.mode == "truncate" {
			e.drop(j)
			e.broken(j)
		}
		if o.mode == "hold" {
			return // runs finish first
		}
	}
	if o.ready == 0 {
		o.ready = e.s.w.Now + e.s.Shape.Load
		loading := 0
		for _, x := range e.s.Engines {
			if x.Up && x.order != nil && x.order.ready > 0 {
				loading++
			}
		}
		o.ready += time.Duration(max(0, loading-3)) * e.s.Shape.Load / 3
		return
	}
	if e.s.w.Now < o.ready {
		return
	}
	e.Models[siteModel], e.kept, e.order = o.rev, map[string]*keptPart{}, nil
	e.s.Count["loads"]++
	e.look()
	// The list shows what engines hold as well, later.
}

// work lets one job go on for dt ms of work.
func (e *SiteEngine) work(j *siteJob, dt float64) {
	s := e.s
	if j.late > 0 && s.w.Now > j.late {
		e.drop(j)
		e.end(j, 504, "deadline")
		return
	}
	if j.total == 0 {
		if j.work -= dt; j.work <= 0 {
			e.drop(j)
			code := 200
			if s.w.Rand.Float64() < e.Fails {
				code = 500
			}
			e.end(j, code, fmt.Sprintf("%s by %s of %s", j.id, e.ID, e.Pool))
		}
		return
	}
	if j.read > 0 {
		j.read -= dt * 200
		return
	}
	if j.read == 0 || !j.open && j.read <= 0 {
		e.keep(j)
	}
	j.read = -1
	for j.step -= dt; j.step <= 0 && !j.removed; j.step += 6 {
		e.event(j)
	}
}

// event makes the next event of a text.
func (e *SiteEngine) event(j *siteJob) {
	s := e.s
	v := e.Models[j.model]
	if v != j.kv {
		s.wrong("STALE", "%s runs on memory of version %d under version %d", j.id, j.kv, v)
		j.kv = v
	}
	if !j.open {
		if s.w.Rand.Float64() < e.Fails {
			e.drop(j)
			e.end(j, 500, "failed")
			return
		}
		j.open, j.made = true, v
		fields := append(e.head(j), flow.Field{Name: "Weight-Versions", Value: strconv.Itoa(v)}, flow.Field{Name: "Content-Type", Value: "text/event-stream"})
		s.seals[flow.Get(fields, "Engine-Seal")] = sealed{j.id, 200, ""}
		e.back(j.h, j.life, flow.Back{ID: j.send.ID, Open: true, Code: 200, Fields: fields})
	}
	if j.cutAt > 0 && j.at >= j.cutAt {
		e.drop(j)
		s.Count["streams cut by engines"]++
		e.broken(j)
		return
	}
	if e.Skips > 0 && j.at > 0 && j.at+1 < j.total && s.w.Rand.Float64() < e.Skips {
		s.Count["events left out"]++
		j.run.broke = true
		j.at++
	}
	block := fmt.Sprintf("id: %d\ndata: %s", j.at, siteData(j.id, j.at, v, j.run.no))
	if v != j.made {
		block = fmt.Sprintf("weight-versions: %d\n%s", v, block)
		j.made = v
	}
	e.back(j.h, j.life, flow.Back{ID: j.send.ID, Event: []byte(block)})
	if j.at++; j.at >= j.total {
		e.drop(j)
		e.back(j.h, j.life, flow.Back{ID: j.send.ID, End: true, Code: 200})
	}
}

// siteData is one event of a text; it names all that a checker wants to know.
func siteData(id string, at, version, run int) string {
	return fmt.Sprintf("%s:%d:%d:%d", id, at, version, run)
}

func (e *SiteEngine) head(j *siteJob) []flow.Field {
	e.s.names++
	return []flow.Field{{Name: "Attempt-Id", Value: j.id}, {Name: "Engine-Seal", Value: fmt.Sprintf("s%d.%s", e.s.names, e.ID)}, {Name: "Engine-Load", Value: e.load()}}
}

// end answers a job whole, unless the engine is in trouble.
func (e *SiteEngine) end(j *siteJob, code int, body string) {
	s := e.s
	if code == 500 {
		s.fails[j.id]++
	}
	if e.Bare > 0 && code == 200 && s.w.Rand.Float64() < e.Bare {
		s.Count["answers bare"]++
		code = 503
	}
	fields := e.head(j)
	s.seals[flow.Get(fields, "Engine-Seal")] = sealed{j.id, code, body}
	x := s.w.Rand.Float64()
	if x < e.Garble || j.cutAt > 0 && code == 200 {
		s.Count["answers garbled"]++
		j.run.broke = true
		e.back(j.h, j.life, flow.Back{ID: j.send.ID, End: true, Err: "no answer in the protocol", Failure: flow.Malformed})
		return
	}
	if x < e.Garble+e.Surplus {
		s.Count["answers surplus"]++
		e.behind[j.h] = []byte(body)
	}
	e.back(j.h, j.life, flow.Back{ID: j.send.ID, End: true, Code: code, Fields: fields, Body: []byte(body)})
}
