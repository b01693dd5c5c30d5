package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
	"fernlink/core/sorted"
)

// Ledger is the folded state. Bulk lies on the blob store, by the index of the
// command that brought it (design 4.9).
type Ledger struct {
	Index   uint64
	Clock   int64  // the newest stamp; it never goes back
	Last    string // kind of the command applied last
	Bounds  Bounds
	Plans   []Plan // only the newest has its document here
	Steps   map[string]*Step
	Ends    []string         // ended steps, oldest first
	Kept    map[string]int64 // bytes of results by trainer
	Keys    *keys.Table
	Owners  map[uint64]string // of claimed rows
	Coord   Coord
	Orders  map[string]*Order
	Targets map[string]*Target
	Drains  map[string]*Drain
	Lots    map[string]*Lot
	lotsDue int64 // no lot is to be retired before
	recent  texts // of lots
	box     flow.BlobChange
}

// New is an empty ledger.
func New() *Ledger {
	return &Ledger{Bounds: Usual, Steps: map[string]*Step{}, Kept: map[string]int64{}, Keys: keys.New(), Owners: map[uint64]string{},
		Orders: map[string]*Order{}, Targets: map[string]*Target{}, Drains: map[string]*Drain{}, Lots: map[string]*Lot{}}
}

// Kinds of items.
const (
	TextItem   = "text"   // a result
	AnswerItem = "answer" // what a run-once request came to
	PageItem   = "page"   // a page of keys
	DocItem    = "doc"    // a plan, a step or the head of a lot
	sizeOf     = 64       // what a row of a list counts for besides its bytes
)

func (l *Ledger) put(kind string, id uint64, b []byte) {
	l.box.Put = append(l.box.Put, flow.Item{Ref: flow.Ref{Kind: kind, ID: id}, Body: b})
}

func (l *Ledger) drop(kind string, ids ...uint64) {
	for _, id := range ids {
		l.box.Drop = append(l.box.Drop, flow.Ref{Kind: kind, ID: id})
	}
}

// Box gives what is to be done to the blob store, once.
func (l *Ledger) Box() (flow.BlobChange, bool) {
	b := l.box
	l.box = flow.BlobChange{}
	return b, len(b.Put)+len(b.Drop) > 0
}

var commands = map[string]func(*Ledger, Command) Result{
	"plan.put":    (*Ledger).putPlan,
	"step.open":   (*Ledger).openStep,
	"step.end":    (*Ledger).endStep,
	"result.add":  (*Ledger).addEntry,
	"claim.take":  (*Ledger).takeClaim,
	"claim.done":  (*Ledger).doneClaim,
	"claim.lost":  (*Ledger).lostClaim,
	"bounds.put":  (*Ledger).putBounds,
	"coord.grant": (*Ledger).grantCoord,
	"order.put":   (*Ledger).putOrder,
	"order.state": (*Ledger).stateOrder,
	"target.put":  (*Ledger).putTarget,
	"drain.put":   (*Ledger).putDrain,
	"lot.put":     (*Ledger).putLot,
	"lot.list":    (*Ledger).listLot,
	"lot.end":     (*Ledger).endLot,
	"lot.own":     (*Ledger).ownLot,
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

func fail(code int, text string) Result { return Result{Code: code, Body: raw(problem{Error: text})} }

func good(v any) Result { return Result{Code: 200, Body: raw(v)} }

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
		if p.Version != 0 && old.Version == p.Version && old.Hash == Hash(p.Doc) {
			old.Doc = nil
			return good(old) // a repeat, whichever node it came through
		}
		if p.Version == 0 && p.Request != "" && old.Request == p.Request {
			if old.Hash != Hash(p.Doc) {
				return Result{Code: 422, Body: raw(problem{Error: "this request id was used for another plan", Version: old.Version})}
			}
			old.Doc = nil
			return good(old)
		}
	}
	now := l.Plan()
	if p.Read != now.Version {
		return Result{Code: 409, Body: raw(problem{Error: "the plan has moved on", Version: now.Version})}
	}
	if p.Version != 0 && p.Version <= now.Version {
		return Result{Code: 422, Body: raw(problem{Error: "a plan's version must be above the one in force", Version: now.Version})}
	}
	next := Plan{Version: max(p.Version, now.Version+1), Request: p.Request, Hash: Hash(p.Doc), Doc: p.Doc, Mod: l.Index, At: c.At}
	if n := len(l.Plans); n > 0 {
		l.Plans[n-1].Doc = nil
	}
	l.Plans = append(l.Plans, next)
	l.put(DocItem, l.Index, p.Doc)
	for len(l.Plans) > KeepPlans {
		l.drop(DocItem, l.Plans[0].Mod)
		l.Plans = append([]Plan(nil), l.Plans[1:]...)
	}
	next.Doc = nil
	return good(next)
}

func (l *Ledger) openStep(c Command) Result {
	var d StepDoc
	if json.Unmarshal(c.Body, &d) != nil {
		return fail(400, "step does not parse")
	}
	if d.tooMany() {
		return fail(400, "more groups or samples than a step may have")
	}
	h := Hash(c.Body)
	if old := l.Steps[d.ID]; old != nil {
		if old.Hash != h {
			return fail(409, "a step of this id exists with other content")
		}
		return good(l.Sum(old))
	}
	name, id := keys.Name("step", d.ID), uint64(0)
	if _, used := l.Keys.Find(name); used {
		return fail(410, "a step of this id has ended and was retired")
	}
	t := l.Targets[d.Pool]
	if t != nil && d.Revision < t.Revision-d.Lag {
		return fail(409, "the pool has gone on to newer weights than this step allows")
	}
	all, own := 0, 0
	for _, s := range l.Steps {
		if s.State == "open" {
			all++
			if s.Doc.Trainer == d.Trainer {
				own++
			}
		}
	}
	if own >= l.Bounds.Open {
		return fail(429, "too many open steps of this trainer (open_steps)")
	}
	if all >= KeepOpen {
		return fail(429, "too many open steps")
	}
	if !l.room(c.At) {
		return fail(503, "too many run-once keys and step ids are remembered (keys_most)")
	}
	if t == nil || d.Revision > t.Revision {
		l.target(d.Pool, d.Revision)
	}
	id = l.Index
	l.Keys.Add(keys.Row{Key: name, Hash: keys.Short(h), At: stamp(c.At), State: keys.Step})
	s := &Step{Doc: d, Wants: d.Wanted(), Hash: h, State: "open", Opened: c.At, Item: id, Mod: l.Index}
	l.Steps[d.ID] = s
	l.put(DocItem, id, c.Body)
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
	return Sum{s.Doc.ID, s.Doc.Trainer, s.Doc.Pool, s.Doc.Revision, s.State, s.Wants, len(s.List)}
}

func (l *Ledger) endStep(c Command) Result {
	var id string
	_ = json.Unmarshal(c.Body, &id)
	s := l.Steps[id]
	if s == nil {
		return fail(404, "no such step")
	}
	if s.State == "open" {
		s.State, s.Ended, s.Mod, s.Doc.Groups = "ended", c.At, l.Index, nil
		l.drop(DocItem, s.Item)
		l.Ends = append(l.Ends, id)
		l.retire(s.Doc.Trainer)
	}
	return good(l.Sum(s))
}

// retire forgets ended steps, oldest first: those past their time, and those of
// a trainer that holds more than its share.
func (l *Ledger) retire(trainer string) {
	for len(l.Ends) > 0 && (len(l.Ends) > KeepEnded || l.Clock-l.Steps[l.Ends[0]].Ended > l.Bounds.Age) {
		l.retireAt(0)
	}
	l.shrink(trainer, l.Bounds.Bytes)
	for sum(l.Kept) > TrainersFull*l.Bounds.Bytes {
		most := ""
		for _, t := range sorted.Keys(l.Kept) {
			if most == "" || l.Kept[t] > l.Kept[most] {
				most = t
			}
		}
		if !l.shrink(most, l.Kept[most]-1) {
			return
		}
	}
}

func sum(m map[string]int64) (n int64) {
	for _, x := range m {
		n += x
	}
	return
}

// shrink brings a trainer's results under a bound, as far as ended steps go.
func (l *Ledger) shrink(trainer string, most int64) bool {
	any := false
	for i := 0; i < len(l.Ends) && l.Kept[trainer] > most; {
		if l.Steps[l.Ends[i]].Doc.Trainer == trainer {
			l.retireAt(i)
			any = true
			continue
		}
		i++
	}
	return any
}

func (l *Ledger) retireAt(i int) {
	id := l.Ends[i]
	s := l.Steps[id]
	for _, r := range s.List {
		l.drop(TextItem, r.Item)
	}
	if l.Kept[s.Doc.Trainer] -= s.Bytes; l.Kept[s.Doc.Trainer] <= 0 {
		delete(l.Kept, s.Doc.Trainer)
	}
	delete(l.Steps, id)
	if i == 0 {
		l.Ends = l.Ends[1:]
		return
	}
	l.Ends = append(l.Ends[:i:i], l.Ends[i+1:]...)
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
	g := s.group(a.Entry.Group)
	for i, r := range s.List {
		if g >= 0 && int(r.Group) == g && int(r.Sample) == a.Entry.Sample {
			return good(map[string]any{"seq": i + 1, "kept": false})
		}
	}
	if s.State != "open" {
		return fail(409, "the step has ended")
	}
	if why := s.wrong(a.Entry); why != "" {
		return fail(422, why)
	}
	a.Entry.Seq, a.Entry.Mod = len(s.List)+1, l.Index
	b := raw(a.Entry)
	s.List = append(s.List, Row{uint16(g), uint16(a.Entry.Sample), uint32(len(b)), l.Index})
	n := int64(len(b) + sizeOf)
	s.Bytes += n
	l.Kept[s.Doc.Trainer] += n
	l.put(TextItem, l.Index, b)
	l.retire(s.Doc.Trainer)
	return good(map[string]any{"seq": a.Entry.Seq, "kept": true})
}

func (s *Step) group(id string) int {
	for i, g := range s.Doc.Groups {
		if g.ID == id {
			return i
		}
	}
	return -1
}

func (s *Step) wrong(e Entry) string {
	g := s.group(e.Group)
	if g < 0 || e.Sample < 0 || e.Sample >= s.Doc.Groups[g].Samples {
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

func (l *Ledger) grantCoord(c Command) Result {
	var g GrantCoord
	_ = json.Unmarshal(c.Body, &g)
	if g.Term != l.Coord.Term {
		return fail(409, "the lease has moved on")
	}
	l.Coord = Coord{Term: g.Term + 1, ID: g.ID, Addr: g.Addr, Mod: l.Index}
	return good(l.Coord)
}

// putOrder is the fence: only the acting coordinator's term passes.
func (l *Ledger) putOrder(c Command) Result {
	var o Order
	_ = json.Unmarshal(c.Body, &o)
	if o.Term != l.Coord.Term {
		return fail(409, "the order's lease has passed")
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
