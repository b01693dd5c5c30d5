package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"fernlink/core/sorted"
)

// Ledger is the folded state. Its fields are exported for the digest only;
// readers go through the query functions.
type Ledger struct {
	Index   uint64             `json:"index"`
	Clock   int64              `json:"clock"` // the newest stamp; it never goes back
	Last    string             `json:"-"`     // kind of the command applied last
	Plans   []Plan             `json:"plans"`
	Steps   map[string]*Step   `json:"steps"`
	Claims  map[string]*Claim  `json:"claims"`
	Oldest  []string           `json:"oldest"` // claim keys by age
	Coord   Coord              `json:"coord"`
	Orders  map[string]*Order  `json:"orders"`
	Targets map[string]*Target `json:"targets"`
	Drains  map[string]*Drain  `json:"drains"`
	Gone    []string           `json:"gone"` // ids of steps that were retired
}

// New is an empty ledger.
func New() *Ledger {
	return &Ledger{Steps: map[string]*Step{}, Claims: map[string]*Claim{}, Orders: map[string]*Order{}, Targets: map[string]*Target{}, Drains: map[string]*Drain{}}
}

// Digest writes the whole state; Load reads it back.
func (l *Ledger) Digest() json.RawMessage { return raw(l) }

// Load reads a digest.
func Load(d json.RawMessage) (*Ledger, error) {
	l := New()
	if err := json.Unmarshal(d, l); err != nil {
		return nil, err
	}
	return l, nil
}

var commands = map[string]func(*Ledger, Command) Result{
	"plan.put":    (*Ledger).putPlan,
	"step.open":   (*Ledger).openStep,
	"step.end":    (*Ledger).endStep,
	"result.add":  (*Ledger).addEntry,
	"claim.take":  (*Ledger).takeClaim,
	"claim.done":  (*Ledger).doneClaim,
	"coord.grant": (*Ledger).grantCoord,
	"order.put":   (*Ledger).putOrder,
	"order.state": (*Ledger).stateOrder,
	"target.put":  (*Ledger).putTarget,
	"drain.put":   (*Ledger).putDrain,
}

// Knows says whether a command kind exists.
func Knows(kind string) bool { _, ok := commands[kind]; return ok }

// Apply folds one committed command.
func (l *Ledger) Apply(index uint64, data json.RawMessage) Result {
	l.Index = index
	var c Command
	if json.Unmarshal(data, &c) != nil {
		return fail(400, "command does not parse")
	}
	f, ok := commands[c.Kind]
	if !ok {
		return fail(400, "no such command")
	}
	l.Clock, l.Last = max(l.Clock, c.At), c.Kind
	c.At = l.Clock
	return f(l, c)
}

func raw(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs of this package come here
	}
	return b
}

type problem struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"`
}

func fail(code int, text string) Result { return Result{code, raw(problem{Error: text})} }

func good(v any) Result { return Result{200, raw(v)} }

// Hash is the text hash that verdicts and claims are bound to.
func Hash(b []byte) string { s := sha256.Sum256(b); return hex.EncodeToString(s[:]) }

// Plan gives the plan in force.
func (l *Ledger) Plan() Plan {
	if n := len(l.Plans); n > 0 {
		return l.Plans[n-1]
	}
	return Plan{}
}

func (l *Ledger) putPlan(c Command) Result {
	var p PutPlan
	if json.Unmarshal(c.Body, &p) != nil {
		return fail(400, "plan does not parse")
	}
	for _, old := range l.Plans {
		if p.Request != "" && old.Request == p.Request {
			if string(old.Doc) != string(p.Doc) {
				return Result{422, raw(problem{Error: "this request id was used for another plan", Version: old.Version})}
			}
			return good(Plan{Version: old.Version, Request: old.Request, Mod: old.Mod, At: old.At})
		}
	}
	now := l.Plan()
	if p.Read != now.Version {
		return Result{409, raw(problem{Error: "the plan has moved on", Version: now.Version})}
	}
	next := Plan{Version: now.Version + 1, Request: p.Request, Doc: p.Doc, Mod: l.Index, At: c.At}
	l.Plans = append(l.Plans, next)
	if n := len(l.Plans); n > KeepPlans {
		l.Plans = append([]Plan(nil), l.Plans[n-KeepPlans:]...)
	}
	next.Doc = nil
	return good(next)
}

func (l *Ledger) openStep(c Command) Result {
	var d StepDoc
	if json.Unmarshal(c.Body, &d) != nil {
		return fail(400, "step does not parse")
	}
	h := Hash(c.Body)
	if old := l.Steps[d.ID]; old != nil {
		if old.Hash != h {
			return fail(409, "a step of this id exists with other content")
		}
		return good(l.Sum(old))
	}
	for _, id := range l.Gone {
		if id == d.ID {
			return fail(410, "a step of this id has ended and was retired")
		}
	}
	t := l.Targets[d.Pool]
	if t != nil && d.Revision < t.Revision-d.Lag {
		return fail(409, "the pool has gone on to newer weights than this step allows")
	}
	n := 0
	for _, s := range l.Steps {
		if s.State == "open" {
			n++
		}
	}
	if n >= KeepOpen {
		return fail(429, "too many open steps")
	}
	if t == nil || d.Revision > t.Revision {
		l.target(d.Pool, d.Revision)
	}
	s := &Step{Doc: d, Hash: h, State: "open", Opened: c.At, Mod: l.Index}
	l.Steps[d.ID] = s
	return good(l.Sum(s))
}

func (l *Ledger) target(pool string, rev int) {
	t := l.Targets[pool]
	if t == nil {
		t = &Target{Pool: pool}
		l.Targets[pool] = t
	}
	t.Revision, t.Mod = rev, l.Index
}

// Sum is a step without its prompts and texts.
type Sum struct {
	ID       string `json:"id"`
	Trainer  string `json:"trainer"`
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	State    string `json:"state"`
	Wanted   int    `json:"wanted"`
	Listed   int    `json:"listed"`
}

// Sum sums up one step.
func (l *Ledger) Sum(s *Step) Sum {
	return Sum{s.Doc.ID, s.Doc.Trainer, s.Doc.Pool, s.Doc.Revision, s.State, s.Doc.Wanted(), len(s.List)}
}

func (l *Ledger) endStep(c Command) Result {
	var id string
	_ = json.Unmarshal(c.Body, &id)
	s := l.Steps[id]
	if s == nil {
		return fail(404, "no such step")
	}
	if s.State == "open" {
		s.State, s.Ended, s.Mod = "ended", c.At, l.Index
		l.retire()
	}
	return good(l.Sum(s))
}

// retire forgets the oldest ended steps beyond the bound.
func (l *Ledger) retire() {
	var done []*Step
	for _, s := range l.Steps {
		if s.State == "ended" {
			done = append(done, s)
		}
	}
	sort.Slice(done, func(a, b int) bool { return done[a].Mod < done[b].Mod })
	for i := 0; i < len(done)-KeepEnded; i++ {
		delete(l.Steps, done[i].Doc.ID)
		l.Gone = append(l.Gone, done[i].Doc.ID)
	}
	if n := len(l.Gone); n > KeepGone {
		l.Gone = append([]string(nil), l.Gone[n-KeepGone:]...)
	}
}

// addEntry lists the first result for a sample and drops later ones. It
// checks again what must never be listed (design 8.3).
func (l *Ledger) addEntry(c Command) Result {
	var a AddEntry
	if json.Unmarshal(c.Body, &a) != nil {
		return fail(400, "result does not parse")
	}
	s := l.Steps[a.Step]
	if s == nil {
		return fail(404, "no such step")
	}
	for _, e := range s.List {
		if e.Group == a.Entry.Group && e.Sample == a.Entry.Sample {
			return good(map[string]any{"seq": e.Seq, "kept": false})
		}
	}
	if s.State != "open" {
		return fail(409, "the step has ended")
	}
	if why := s.wrong(a.Entry); why != "" {
		return fail(422, why)
	}
	a.Entry.Seq, a.Entry.Mod = len(s.List)+1, l.Index
	s.List = append(s.List, a.Entry)
	return good(map[string]any{"seq": a.Entry.Seq, "kept": true})
}

func (s *Step) wrong(e Entry) string {
	ok := false
	for _, g := range s.Doc.Groups {
		ok = ok || g.ID == e.Group && e.Sample >= 0 && e.Sample < g.Samples
	}
	if !ok {
		return "no such sample in the step"
	}
	if e.Finish != "stop" && e.Finish != "length" {
		return "the text is not whole"
	}
	if e.Verdict.Hash != Hash([]byte(e.Text)) {
		return "the verdict is not of this text"
	}
	at, revs := 0, map[int]bool{}
	for _, p := range e.Spans {
		if p.From != at || p.To < p.From {
			return "the weights do not cover the text"
		}
		at = p.To
		revs[p.Revision] = true
		if p.Revision < s.Doc.Revision-s.Doc.Lag || p.Revision > s.Doc.Revision {
			return "made under weights that the step does not allow"
		}
	}
	if at != len(e.Text) || len(e.Spans) == 0 {
		return "the weights do not cover the text"
	}
	if s.Doc.OneVersion && len(revs) > 1 {
		return "the step requires one version of the weights"
	}
	return ""
}

func (l *Ledger) takeClaim(c Command) Result {
	var k Claim
	if json.Unmarshal(c.Body, &k) != nil || k.Key == "" {
		return fail(400, "claim does not parse")
	}
	if old := l.Claims[k.Key]; old != nil {
		return good(old)
	}
	for len(l.Oldest) > 0 {
		old := l.Claims[l.Oldest[0]]
		if old != nil && c.At-old.At < ClaimAge {
			break
		}
		delete(l.Claims, l.Oldest[0])
		l.Oldest = l.Oldest[1:]
	}
	if len(l.Claims) >= KeepClaims {
		return fail(503, "too many run-once keys are remembered")
	}
	k.State, k.At = "claimed", c.At
	l.Claims[k.Key] = &k
	l.Oldest = append(l.Oldest, k.Key)
	return good(k)
}

func (l *Ledger) doneClaim(c Command) Result {
	var k Claim
	_ = json.Unmarshal(c.Body, &k)
	old := l.Claims[k.Key]
	if old == nil || old.Owner != k.Owner {
		return fail(409, "not the owner of this claim")
	}
	if old.State == "claimed" {
		old.State, old.Code, old.Type, old.Body = k.State, k.Code, k.Type, k.Body
	}
	return good(old)
}

func (l *Ledger) grantCoord(c Command) Result {
	var g GrantCoord
	_ = json.Unmarshal(c.Body, &g)
	if g.Term != l.Coord.Term {
		return fail(409, "the tenure has moved on")
	}
	l.Coord = Coord{Term: g.Term + 1, ID: g.ID, Addr: g.Addr, Mod: l.Index}
	return good(l.Coord)
}

// putOrder is the fence: only the acting coordinator's term passes.
func (l *Ledger) putOrder(c Command) Result {
	var o Order
	_ = json.Unmarshal(c.Body, &o)
	if o.Term != l.Coord.Term {
		return fail(409, "the order's tenure has passed")
	}
	if old := l.Orders[o.Engine]; old != nil && old.Inc == o.Inc && old.Revision > o.Revision {
		return fail(409, "the engine was ordered to newer weights")
	}
	o.State, o.Mod = "ordered", l.Index
	l.Orders[o.Engine] = &o
	if len(l.Orders) > KeepOrders {
		l.dropOrder()
	}
	return good(o)
}

// Ordered says whether a weight order stands.
func (l *Ledger) Ordered() bool {
	for _, o := range l.Orders {
		if o.State == "ordered" {
			return true
		}
	}
	return false
}

func (l *Ledger) dropOrder() {
	var old *Order
	for _, o := range l.Orders {
		if o.State != "ordered" && (old == nil || o.Mod < old.Mod) {
			old = o
		}
	}
	if old != nil {
		delete(l.Orders, old.Engine)
	}
}

func (l *Ledger) stateOrder(c Command) Result {
	var o Order
	_ = json.Unmarshal(c.Body, &o)
	old := l.Orders[o.Engine]
	if o.Term != l.Coord.Term || old == nil || old.Inc != o.Inc || old.Revision != o.Revision {
		return fail(409, "not the order that stands")
	}
	old.State, old.Mod = o.State, l.Index
	return good(old)
}

func (l *Ledger) putTarget(c Command) Result {
	var t Target
	_ = json.Unmarshal(c.Body, &t)
	old := l.Targets[t.Pool]
	if old != nil && t.Revision < old.Revision {
		return fail(409, "weights only go forward")
	}
	l.target(t.Pool, t.Revision)
	l.Targets[t.Pool].Paused = t.Paused
	return good(l.Targets[t.Pool])
}

func (l *Ledger) putDrain(c Command) Result {
	var d Drain
	_ = json.Unmarshal(c.Body, &d)
	d.Mod = l.Index
	if l.Drains[d.Engine] == nil && len(l.Drains) >= KeepDrains {
		for _, id := range sorted.Keys(l.Drains) {
			if !l.Drains[id].On {
				delete(l.Drains, id)
				break
			}
		}
	}
	if l.Drains[d.Engine] == nil && len(l.Drains) >= KeepDrains {
		return fail(429, "too many drained engines are remembered")
	}
	l.Drains[d.Engine] = &d
	return good(d)
}
