package sim

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// keptPart is a part of a prompt that an engine need not read again.
type keptPart struct {
	tokens, version int
	last            time.Duration
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
			if s.w.Rand.Float64() < e.Fails || s.rewards.fails(j.id) {
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
	if j.pauses(s.w) {
		return
	}
	for j.step -= dt; j.step <= 0 && !j.removed; j.step += 6 {
		e.event(j)
	}
}

// pauses says whether a stream makes no event now, as that of a request does that was put back.
func (j *siteJob) pauses(w *World) bool {
	if j.pauseAt > 0 && j.at >= j.pauseAt {
		j.pauseAt, j.paused = 0, w.Now+w.between(150*time.Millisecond, 1500*time.Millisecond)
	}
	return w.Now < j.paused
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
		s.seals[flow.Get(fields, "Engine-Seal")] = sealed{id: j.id, code: 200, came: j.came}
		e.back(j.h, j.life, flow.Back{ID: j.send.ID, Open: true, Code: 200, Fields: fields})
	}
	if j.cutAt > 0 && j.at >= j.cutAt {
		e.drop(j)
		s.Count["streams cut by engines"]++
		e.broken(j)
		return
	}
	if j.at >= j.total { // it was taken up after its last event, whose stream's end got lost
		s.Count["texts taken up at their end"]++
		e.drop(j)
		e.back(j.h, j.life, flow.Back{ID: j.send.ID, End: true, Code: 200})
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
		s.rewards.made[j.run.no] = s.w.Now
		e.drop(j)
		if j.cutAt == j.total {
			s.Count["ends of streams lost"]++
			e.broken(j)
			return
		}
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
	s.seals[flow.Get(fields, "Engine-Seal")] = sealed{j.id, code, body, j.came}
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
