package disp

import (
	"slices"
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/httpstatus"
	"fernlink/core/ledger"
	"fernlink/core/place"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

var calls = map[string]func(*Disp, flow.Call){
	"app":          (*Disp).app,
	"plan.get":     func(d *Disp, c flow.Call) { d.up(c, ledger.GetPlan(0)) },
	"plan.version": (*Disp).planVersion,
	"plan.list":    func(d *Disp, c flow.Call) { d.up(c, ledger.ListPlans{}) },
	"plan.put":     (*Disp).planPut,
	"plan.patch":   (*Disp).planPatch,
	"step.open":    (*Disp).stepOpen,
	"step.list":    func(d *Disp, c flow.Call) { d.up(c, ledger.ListSteps{}) },
	"step.get":     func(d *Disp, c flow.Call) { d.up(c, ledger.GetStep(c.Vars["id"])) },
	"step.end":     func(d *Disp, c flow.Call) { d.up(c, ledger.EndStep(c.Vars["id"])) },
	"step.results": (*Disp).results,
	"weights.put":  (*Disp).weightsPut,
	"roll.get":     (*Disp).roll,
	"engine.list":  (*Disp).engineList,
	"engine.get":   (*Disp).engineGet,
	"engine.drain": (*Disp).engineDrain,
	"store.list":   func(d *Disp, c flow.Call) { d.up(c, store.ListMembers{}) },
	"store.add":    (*Disp).storeAdd,
	"store.vote":   func(d *Disp, c flow.Call) { d.up(c, store.PromoteMember(c.Vars["id"])) },
	"store.remove": func(d *Disp, c flow.Call) { d.up(c, store.RemoveMember(c.Vars["id"])) },
}

// Serves says whether a call is a dispatcher's.
func Serves(name string) bool { _, ok := calls[name]; return ok }

// Call takes a request. Operators and trainers are answered only under a lease:
// without one even what this process could refuse by itself may be out of date
// (design 5.2).
func (d *Disp) Call(now flow.Time, c flow.Call, live []gossip.Entry, out *flow.Outbox) {
	d.now, d.out, d.live = now, out, live
	if d.leaving {
		d.counts["refused"]++
		d.answerOwn(c.ID, stopping)
		return
	}
	if c.Name != "app" && !d.fresh() {
		d.answerOwn(c.ID, storeUnheard)
		return
	}
	calls[c.Name](d, c)
}

// checked reads a body by the schema, or answers what is wrong with it.
func (d *Disp) checked(c flow.Call, def string, into any) bool {
	bad, err := api.Check(def, c.Body, into)
	if err != nil {
		d.answerOwn(c.ID, notJSON)
		return false
	}
	if len(bad) > 0 {
		unknownField := slices.ContainsFunc(bad, func(f ledger.Fault) bool { return f.Text == api.NoField })
		d.answerOwn(c.ID, misfit(bad, unknownField))
		return false
	}
	return true
}

// up takes a call to the store's leader and passes its answer on.
func (d *Disp) up(c flow.Call, question ledger.Body) {
	d.p.Asker.Ask(d.now, patience(c), question, func(now flow.Time, a ask.Answer) { d.told(now, c, a) })
}

// patience is how long a call waits for the store: its caller asks another node
// after a second of silence, more where the body is large.
func patience(c flow.Call) flow.Time {
	return min(budget.OperatorReplyTimeout+ask.Carry(len(c.Body)), budget.AskTimeout)
}

// told passes the store's answer on, under a lease. Else the outcome is not known.
func (d *Disp) told(now flow.Time, c flow.Call, a ask.Answer) {
	if a.Code == ledger.Unanswered || !d.Fresh(now) {
		d.answerOwn(c.ID, storeSilent)
		return
	}
	var head map[string]string
	if a.Code == ledger.Full || a.Code == ledger.Unavailable {
		head = again()
	}
	d.out.Answer(c.ID, httpstatus.Of(a.Code), a.Body, head)
}

// unlessKnown refuses an order, but for one that was acknowledged before: that is
// answered from its receipt (design 4.7), whatever is true by now.
func (d *Disp) unlessKnown(c flow.Call, order ledger.Body, no ownAnswer) {
	d.p.Asker.Ask(d.now, patience(c), ledger.IsKnown(order), func(now flow.Time, a ask.Answer) {
		if a.Code == ledger.NotFound && d.Fresh(now) {
			d.answerOwn(c.ID, no)
			return
		}
		d.told(now, c, a)
	})
}

func (d *Disp) planVersion(c flow.Call) {
	v, err := strconv.ParseUint(c.Vars["version"], 10, 64)
	if err != nil || v == 0 {
		d.answerOwn(c.ID, noSuchVersion)
		return
	}
	d.up(c, ledger.GetPlan(v))
}

func (d *Disp) planPut(c flow.Call) {
	var p api.PlanPut
	if !d.checked(c, "plan_put", &p) {
		return
	}
	var plan api.Plan
	_ = json.Unmarshal(p.Plan, &plan)
	if bad := plan.Meaning(place.Names()); len(bad) > 0 {
		for i := range bad {
			bad[i].At = "/plan" + bad[i].At
		}
		d.answerOwn(c.ID, senseless(bad))
		return
	}
	d.up(c, ledger.PutPlan{Version: p.Version, Read: p.Read, Request: p.Request, Doc: p.Plan})
}

func (d *Disp) stepOpen(c flow.Call) {
	var s ledger.StepDoc
	if !d.checked(c, "step", &s) {
		return
	}
	if d.plan != nil && !d.hasModelPool(s.Pool) {
		d.onceProved(c, func() { d.stepOpenProved(c, s) })
		return
	}
	d.stepOpenProved(c, s)
}

// hasModelPool says whether the plan in force here has a pool of model engines.
func (d *Disp) hasModelPool(name string) bool {
	pool := d.plan.Pool(name)
	return pool != nil && pool.Kind == "model"
}

// stepOpenProved opens a step whose pool is in the plan in force, or in none.
func (d *Disp) stepOpenProved(c flow.Call, s ledger.StepDoc) {
	var bad []ledger.Fault
	if d.plan != nil && !d.hasModelPool(s.Pool) {
		bad = append(bad, ledger.Fault{At: "/pool", Text: "no such model pool in the plan in force"})
	}
	if s.OneVersion && s.Lag > 0 {
		bad = append(bad, ledger.Fault{At: "/allowed_lag", Text: "a step of one version allows no lag"})
	}
	seen := map[string]bool{}
	for i, g := range s.Groups {
		if seen[g.ID] {
			bad = append(bad, ledger.Fault{At: "/groups/" + strconv.Itoa(i) + "/id", Text: "named twice"})
		}
		seen[g.ID] = true
	}
	order := ledger.OpenStep(s)
	if len(bad) > 0 {
		d.unlessKnown(c, order, senseless(bad))
		return
	}
	d.up(c, order)
}

func (d *Disp) weightsPut(c flow.Call) {
	t := ledger.PutTarget{}
	if !d.checked(c, "weights_put", &t) {
		return
	}
	t.Pool = c.Vars["pool"]
	if d.plan == nil || d.plan.Names(t.Pool) {
		d.up(c, t)
		return
	}
	d.onceProved(c, func() {
		if d.plan.Names(t.Pool) {
			d.up(c, t)
			return
		}
		d.unlessKnown(c, t, noSuchModel)
	})
}

// EngineView is one engine as operators see it.
type EngineView struct {
	ID       string `json:"id"`
	URL      string `json:"url"`
	Kind     string `json:"kind"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Usable   bool   `json:"usable"`
	Drained  bool   `json:"drained"`
	Ordered  bool   `json:"ordered"`
	Revision int    `json:"revision"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	Blocks   int    `json:"blocks_known"`
}

func (d *Disp) view(id string) EngineView {
	e := d.engines[id]
	v := EngineView{ID: id, URL: e.URL, Kind: e.Kind, Pool: e.Pool, Zone: e.Zone, State: e.State, Usable: d.usable(e),
		Drained: d.drains[id], Ordered: d.ordered(e), Revision: e.load.Revision, Running: e.busy(), Slots: e.load.Slots}
	if s := d.slices[id]; s != nil {
		v.Blocks = len(s.blocks)
	}
	return v
}

// Engines gives all engines as this dispatcher sees them.
func (d *Disp) Engines() []EngineView {
	out := []EngineView{}
	for _, id := range sorted.Keys(d.engines) {
		out = append(out, d.view(id))
	}
	return out
}

// engineList is the body of the answer about all engines.
type engineList struct {
	Engines []EngineView `json:"engines"`
	Plan    uint64       `json:"plan"`
}

func (d *Disp) engineList(c flow.Call) {
	d.answerOwn(c.ID, granted(engineList{d.Engines(), d.version}))
}

func (d *Disp) engineGet(c flow.Call) {
	if d.engines[c.Vars["id"]] == nil {
		d.answerOwn(c.ID, noSuchEngine)
		return
	}
	d.answerOwn(c.ID, granted(d.view(c.Vars["id"])))
}

func (d *Disp) engineDrain(c flow.Call) {
	x := ledger.PutDrain{}
	if !d.checked(c, "drain_put", &x) {
		return
	}
	x.Engine = c.Vars["id"]
	e := d.engines[x.Engine]
	switch {
	case e == nil:
		d.unlessKnown(c, x, noSuchEngine)
	case x.On && d.readyBeside(e) == 0:
		d.unlessKnown(c, x, lastReady(e.Pool))
	default:
		d.up(c, x)
	}
}

// readyBeside counts the engines of a pool that serve on while one is drained.
func (d *Disp) readyBeside(e *engine) int {
	ready := 0
	for id, other := range d.engines {
		if id != e.ID && other.Pool == e.Pool && other.State == "ready" && !d.drains[id] {
			ready++
		}
	}
	return ready
}

func (d *Disp) storeAdd(c flow.Call) {
	var b struct {
		Addr string `json:"addr"`
	}
	if !d.checked(c, "store_add", &b) {
		return
	}
	for _, e := range d.live {
		if e.Addr != b.Addr {
			continue
		}
		if !e.Has("store") {
			d.answerOwn(c.ID, noStoreThere)
			return
		}
		d.up(c, store.AddMember{ID: e.ID, Addr: e.Addr, Zone: e.Zone})
		return
	}
	d.up(c, store.AddMember{Addr: b.Addr}) // a member that is down may have been taken in before
}

// Stats is the dispatcher's part of the one snapshot (design 10.4).
type Stats struct {
	Serving bool             `json:"serving"`
	Plan    uint64           `json:"plan_version"`
	Index   uint64           `json:"ledger_index"`
	Steps   int              `json:"open_steps"`
	Held    int              `json:"generations_held"`
	Running int              `json:"generations_running"`
	Open    int              `json:"requests_open"`
	Engines int              `json:"engines_usable"`
	Coord   ledger.Coord     `json:"coordinator"`
	Counts  map[string]int64 `json:"counts"`
}

// Stats gives the snapshot.
func (d *Disp) Stats(now flow.Time) Stats {
	d.now = now
	s := Stats{Serving: d.fresh(), Plan: d.version, Index: d.index, Steps: len(d.steps), Open: len(d.reqs), Coord: d.coord, Counts: map[string]int64{}}
	for k, v := range d.counts {
		s.Counts[k] = v
	}
	for _, x := range d.steps {
		for _, g := range x.gens {
			s.Running += len(g.runs)
			if g.state == held {
				s.Held++
			}
		}
	}
	for _, e := range d.engines {
		if d.usable(e) {
			s.Engines++
		}
	}
	return s
}
