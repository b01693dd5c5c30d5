package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
	"fernlink/rig/standin"
)

// Actors are the people outside: trainers, callers and operators. What they
// saw is all that the checks rest on.
type Actors struct {
	w        *World
	Steps    map[string]*seen
	Order    []string
	Bookings map[string]*booking
	Attempts []*attempt
	Looks    []PlanLook
	Done     int // steps whose results all came
	Listed   int
	Stop     bool
	StepWait []time.Duration
	Answered int
	Refused  int
	Unknown  int
	Tokens   int // in all results
	common   []string
	StopAt   int // how often a stand-in's text ends by itself
}

type seen struct {
	doc   ledger.StepDoc
	list  []string // listed results as first seen, by place
	keys  map[string]bool
	acked bool
	ended bool
	began time.Duration
}

type booking struct {
	id, key  string
	tries    int
	refused  int
	answered bool
	done     bool
}

type attempt struct {
	id      string
	read    uint64
	state   string // open, acked, lost, invalid
	version uint64
	body    []byte // as it was sent
	sent    time.Duration
	acked   time.Duration
}

// NewActors puts nobody to work yet.
func NewActors(w *World) *Actors {
	a := &Actors{w: w, StopAt: standin.Usual.Stop, Steps: map[string]*seen{}, Bookings: map[string]*booking{}}
	w.Out.Whole = a.whole
	return a
}

func (a *Actors) disp() *Host {
	ds := a.w.By("dispatcher")
	return ds[a.w.Rand.Intn(len(ds))]
}

func (a *Actors) whole(x dialect.JudgeAsk) error {
	s := a.Steps[x.Step]
	if s == nil {
		return fmt.Errorf("unknown step")
	}
	for _, g := range s.doc.Groups {
		if g.ID == x.Group {
			// The weights stand in each token.
			return standin.Check(g.Prompt, x.Text, x.Sample, g.Tokens, a.StopAt, func(at int) int {
				var rev int
				_, _ = fmt.Sscanf(x.Text[at:], "r%02d", &rev)
				// Two digits stand there: the nearest below the step's own.
				return s.doc.Revision - ((s.doc.Revision-rev)%100+100)%100
			})
		}
	}
	return fmt.Errorf("unknown group")
}

// PlanDoc is a plan that can be told from all others by its own route.
func PlanDoc(id string) api.Plan {
	return api.Plan{
		Pools: []api.Pool{{Name: ModelPool, Kind: "model"}, {Name: AppPool, Kind: "app"}},
		Routes: []api.Route{{Name: "book", Path: "/book", Verbs: []string{"POST"}, Pool: AppPool, Once: true},
			{Name: "look", Path: "/look", Verbs: []string{"GET"}, Pool: AppPool},
			{Name: "own", Path: "/own-" + id, Verbs: []string{"GET"}, Pool: AppPool}},
	}
}

// Plan puts a plan made from version read, and says it again until the
// outcome is known.
func (a *Actors) Plan(id string, read uint64, valid bool, then func(*attempt)) *attempt {
	t := &attempt{id: id, read: read, state: "open", sent: a.w.Now}
	a.Attempts = append(a.Attempts, t)
	doc := PlanDoc(id)
	if !valid {
		doc.Routes[0].Pool = "nowhere"
	}
	// The schema refuses fields it does not know, so absent ones stay out.
	body, _ := json.Marshal(map[string]any{"read": read, "request": "req-" + id, "plan": slim(doc)})
	t.body = body
	a.tryPlan(t, body, then)
	return t
}

// Repeat sends orders that were acknowledged again, however old they are.
func (a *Actors) Repeat(every time.Duration) {
	a.w.Every(every, func() bool {
		if !a.Stop {
			a.repeatPlan()
			a.w.repeatOrder()
		}
		return !a.Stop
	})
}

func (a *Actors) repeatPlan() {
	t := a.Attempts[a.w.Rand.Intn(len(a.Attempts))]
	if t.state != "acked" {
		return
	}
	c := Call("plan.put", nil, nil)
	c.Body = t.body
	a.w.again("plan "+t.id, c)
}

func slim(p api.Plan) map[string]any {
	var pools, routes []any
	for _, x := range p.Pools {
		pools = append(pools, map[string]any{"name": x.Name, "kind": x.Kind})
	}
	for _, r := range p.Routes {
		routes = append(routes, map[string]any{"name": r.Name, "path": r.Path, "verbs": r.Verbs, "pool": r.Pool, "once": r.Once})
	}
	out := map[string]any{"pools": pools, "routes": routes}
	if p.Placement != "" {
		out["placement"] = p.Placement
	}
	return out
}

func (a *Actors) tryPlan(t *attempt, body []byte, then func(*attempt)) {
	c := Call("plan.put", nil, nil)
	c.Body = body
	answered := false
	again := func() { a.w.After(300*time.Millisecond, func() { a.tryPlan(t, body, then) }) }
	a.disp().Call(c, func(r flow.Reply) {
		if answered || t.state != "open" {
			return
		}
		answered = true
		states := map[int]string{200: "acked", 409: "lost", 422: "invalid"}
		s, ok := states[r.Code]
		if !ok {
			again()
			return
		}
		var p ledger.Plan
		_ = json.Unmarshal(r.Body, &p)
		t.state, t.version, t.acked = s, p.Version, a.w.Now
		if s == "lost" {
			var x struct{ Version uint64 }
			_ = json.Unmarshal(r.Body, &x)
			t.version = x.Version
		}
		if then != nil {
			then(t)
		}
	})
	a.w.After(4*time.Second, func() {
		if !answered {
			answered = true
			again()
		}
	})
}

// Operate keeps putting plans, now and then two at once, or an invalid one.
func (a *Actors) Operate(every time.Duration) {
	n := 0
	var version uint64
	busy := 0
	done := func(t *attempt) {
		busy--
		version = max(version, t.version)
	}
	a.w.Every(every, func() bool {
		if a.Stop {
			return false
		}
		if busy > 0 {
			return true
		}
		n++
		busy++
		a.Plan(fmt.Sprintf("p%d", n), version, true, done)
		if a.w.Rand.Intn(3) == 0 {
			n++
			busy++
			a.Plan(fmt.Sprintf("p%d", n), version, true, done)
		}
		if a.w.Rand.Intn(4) == 0 {
			n++
			a.Plan(fmt.Sprintf("bad%d", n), version, false, nil)
		}
		return true
	})
	a.w.Every(every/4, func() bool {
		a.lookAtPlan()
		return !a.Stop
	})
	a.w.Every(every/3, func() bool {
		if len(a.Attempts) > 0 {
			a.probe(a.Attempts[len(a.Attempts)-1-a.w.Rand.Intn(min(4, len(a.Attempts)))])
		}
		return !a.Stop
	})
}

// PlanLook is one reading of the plan in force.
type PlanLook struct {
	Call, Return time.Duration
	Version      uint64
	Request      string
}

func (a *Actors) lookAtPlan() {
	from := a.w.Now
	a.disp().Call(Call("plan.get", nil, nil), func(r flow.Reply) {
		var p ledger.Plan
		if r.Code == 200 && json.Unmarshal(r.Body, &p) == nil {
			a.Looks = append(a.Looks, PlanLook{from, a.w.Now, p.Version, p.Request})
		}
	})
}

// newest gives the newest version acknowledged by a moment.
func (a *Actors) newest(by time.Duration) uint64 {
	var v uint64
	for _, t := range a.Attempts {
		if t.state == "acked" && t.acked <= by {
			v = max(v, t.version)
		}
	}
	return v
}

// probe asks a dispatcher for a route that only one plan has.
func (a *Actors) probe(t *attempt) {
	at := a.w.Now
	h := a.disp()
	h.Call(Web("GET", "/own-"+t.id, nil, ""), func(r flow.Reply) {
		served := r.Code == 200 || r.Code == 504
		if served && (t.state == "lost" || t.state == "invalid") {
			a.w.Wrong("plan %s was %s and is in force at %s", t.id, t.state, h.Name)
		}
		if served && t.state == "acked" && a.newest(at-budget.Plan) > t.version {
			a.w.Wrong("plan %s (version %d) is in force at %s, though version %d was acknowledged over 2 s before", t.id, t.version, h.Name, a.newest(at-budget.Plan))
		}
		// Not in force: only if no other plan may have come after it.
		alone := true
		for _, o := range a.Attempts {
			if o != t && (o.state == "open" || o.state == "acked" && o.version > t.version) {
				alone = false
			}
		}
		if r.Code == 404 && t.state == "acked" && t.acked <= at-budget.Plan && alone {
			a.w.Wrong("plan %s (version %d) is not in force at %s, %v after its acknowledgement", t.id, t.version, h.Name, at-t.acked)
		}
	})
}

// Consume makes bookings and lookups.
func (a *Actors) Consume(every time.Duration) {
	n := 0
	a.w.Every(every, func() bool {
		if a.Stop {
			return false
		}
		n++
		if n%2 == 0 {
			a.look(n)
			return true
		}
		b := &booking{id: fmt.Sprintf("b%d", n)}
		if n%4 == 1 {
			b.key = "key-" + b.id
		}
		a.Bookings[b.id] = b
		a.book(b)
		return true
	})
}

func (a *Actors) look(n int) {
	path := fmt.Sprintf("/look/%d", n)
	a.disp().Call(Web("GET", path, nil, ""), func(r flow.Reply) {
		if r.Code != 200 {
			return
		}
		var b struct{ ID string }
		if json.Unmarshal(r.Body, &b) != nil || b.ID != path {
			a.w.Wrong("a lookup of %s was answered with %s", path, r.Body)
		}
	})
}

func (a *Actors) book(b *booking) {
	b.tries++
	answered := false
	a.disp().Call(Web("POST", "/book/x", map[string]string{"id": b.id}, b.key), func(r flow.Reply) {
		if answered {
			return
		}
		answered = true
		var x struct {
			ID      string
			Outcome string
		}
		_ = json.Unmarshal(r.Body, &x)
		if r.Code == 200 {
			if x.ID != b.id {
				a.w.Wrong("booking %s was answered with %s", b.id, r.Body)
			}
			b.answered, b.done = true, true
			a.Answered++
			return
		}
		if x.Outcome == "refused" {
			b.refused++
			a.Refused++
		} else {
			a.Unknown++
		}
		if r.Code == 503 || r.Code == 429 {
			if r.Head["Retry-After"] == "" {
				a.w.Wrong("booking %s was refused without Retry-After", b.id)
			}
		}
		// Only a caller with a key may say the same again.
		if b.key != "" && b.tries < 4 {
			a.w.After(time.Second, func() { a.book(b) })
		}
	})
	a.w.After(5*time.Second, func() {
		if !answered && b.key != "" && b.tries < 4 {
			answered = true
			a.Unknown++
			a.book(b)
		}
	})
}

// Check looks at the truth that the outside knows, once all is quiet.
func (a *Actors) Check() {
	o := a.w.Out
	ran := map[string]int{}
	for _, x := range o.Apps() {
		for id, n := range x.Ran {
			ran[id] += n
		}
	}
	for _, id := range sorted.Keys(a.Bookings) {
		b := a.Bookings[id]
		if ran[id] > 1 {
			a.w.Wrong("booking %s ran %d times", id, ran[id])
		}
		if ran[id] > b.tries-b.refused {
			a.w.Wrong("booking %s ran %d times, though %d of its %d tries were refused", id, ran[id], b.refused, b.tries)
		}
		if b.answered && ran[id] == 0 {
			a.w.Wrong("booking %s was answered and never ran", id)
		}
	}
	for _, m := range o.Models() {
		if m.Reused > 0 {
			a.w.Wrong("%s reused KV of other weights %d times", m.Name, m.Reused)
		}
		var fence uint64
		for _, x := range m.Orders {
			if !x.Took && x.Fence < fence {
				a.w.Wrong("%s got an order of term %d after one of term %d", m.Name, x.Fence, fence)
			}
			fence = max(fence, x.Fence)
		}
		for _, b := range m.Begun {
			a.late(m.Name, b.At)
			for id, at := range o.Ends {
				if b.At > at+budget.End && strings.Contains(b.Prompt, "|"+id+"|") {
					a.w.Wrong("%s got work of step %s %v after its end", m.Name, id, b.At-at)
				}
			}
		}
	}
	for _, x := range o.Apps() {
		for _, at := range x.Begun {
			a.late(x.Name, at)
		}
	}
}

func (a *Actors) late(name string, at time.Duration) {
	if gone, ok := a.w.Out.Gone[name]; ok && at > gone+budget.Engine {
		a.w.Wrong("%s got new work %v after it was drained or gone", name, at-gone)
	}
}
