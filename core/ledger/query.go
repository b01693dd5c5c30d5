package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
	"fernlink/core/sorted"
)

// Key names one sample of a step.
type Key struct {
	Step   string `json:"s"`
	Group  string `json:"g"`
	Sample int    `json:"n"`
}

// Delta is what changed since a dispatcher last asked (design 5.2).
type Delta struct {
	Index   uint64    `json:"index"`
	Plan    *Plan     `json:"plan,omitempty"`
	Steps   []StepDoc `json:"steps,omitempty"`
	Opened  []int64   `json:"opened,omitempty"`
	Ended   []string  `json:"ended,omitempty"`
	Open    []string  `json:"open"`
	Listed  []Key     `json:"listed,omitempty"`
	Orders  []Order   `json:"orders,omitempty"`
	Targets []Target  `json:"targets,omitempty"`
	Drains  []Drain   `json:"drains,omitempty"`
	Lots    []LotRow  `json:"lots,omitempty"`
	Coord   Coord     `json:"coord"`
	Roster  []string  `json:"roster"`
	Wall    int64     `json:"wall"`
	Known   uint64    `json:"known"` // every dispatcher that may serve has seen up to here
}

// Since gives what changed after index have.
func (l *Ledger) Since(have uint64) Delta {
	d := Delta{Index: l.Index, Coord: l.Coord, Lots: l.lotsSince(have)}
	if p := l.Plan(); p.Version > 0 && p.Mod > have {
		d.Plan = &p
	}
	for _, id := range sorted.Keys(l.Steps) {
		s := l.Steps[id]
		if s.State != "open" {
			if s.Mod > have {
				d.Ended = append(d.Ended, id)
			}
			continue
		}
		d.Open = append(d.Open, id)
		if s.Mod > have {
			d.Steps = append(d.Steps, s.Doc)
			d.Opened = append(d.Opened, s.Opened)
		}
		for i := len(s.List) - 1; i >= 0 && s.List[i].Item > have; i-- {
			d.Listed = append(d.Listed, Key{id, s.Doc.Groups[s.List[i].Group].ID, int(s.List[i].Sample)})
		}
	}
	for _, id := range sorted.Keys(l.Orders) {
		if o := l.Orders[id]; o.Mod > have {
			d.Orders = append(d.Orders, *o)
		}
	}
	for _, id := range sorted.Keys(l.Targets) {
		if t := l.Targets[id]; t.Mod > have {
			d.Targets = append(d.Targets, *t)
		}
	}
	for _, id := range sorted.Keys(l.Drains) {
		if x := l.Drains[id]; x.Mod > have {
			d.Drains = append(d.Drains, *x)
		}
	}
	return d
}

// Page asks for a step's results after a cursor.
type Page struct {
	Step  string `json:"step"`
	After int    `json:"after"`
	Limit int    `json:"limit"`
}

// Pages is a stretch of a step's list.
type Pages struct {
	Step    Sum     `json:"step"`
	Results []Entry `json:"results"`
	Next    int     `json:"next_cursor"`
}

var queries = map[string]func(*Ledger, json.RawMessage) Result{
	"order.known": (*Ledger).knownOrder,
	"plan.get":    (*Ledger).getPlan,
	"plan.list":   (*Ledger).listPlans,
	"step.get":    (*Ledger).getStep,
	"step.list":   (*Ledger).listSteps,
	"result.page": (*Ledger).page,
	"roll.get":    (*Ledger).getRoll,
	"lot.read":    (*Ledger).readLot,
	"lot.items":   (*Ledger).lotItems,
	"lot.item":    (*Ledger).lotItem,
}

// Asks says whether a query kind exists.
func Asks(kind string) bool { _, ok := queries[kind]; return ok }

// Query answers one read.
func (l *Ledger) Query(kind string, body json.RawMessage) Result { return queries[kind](l, body) }

func (l *Ledger) getPlan(body json.RawMessage) Result {
	var want uint64
	_ = json.Unmarshal(body, &want)
	if want == 0 {
		if p := l.Plan(); p.Version > 0 {
			return good(p)
		}
		return fail(404, "no plan yet")
	}
	for _, p := range l.Plans {
		if p.Version == want {
			return Result{Code: 200, Need: []flow.Ref{{Kind: DocItem, ID: p.Mod}}, With: func(items [][]byte) Result {
				p.Doc = items[0]
				return good(p)
			}}
		}
	}
	return fail(404, "no such plan version is kept")
}

func (l *Ledger) listPlans(json.RawMessage) Result {
	out := []Plan{}
	for _, p := range l.Plans {
		p.Doc = nil
		out = append(out, p)
	}
	return good(map[string]any{"plans": out})
}

func (l *Ledger) getStep(body json.RawMessage) Result {
	var id string
	_ = json.Unmarshal(body, &id)
	if s := l.Steps[id]; s != nil {
		return good(l.Sum(s))
	}
	return l.unknown(id)
}

// unknown tells a step that was retired from one that never was.
func (l *Ledger) unknown(id string) Result {
	if _, used := l.Keys.Find(keys.Name("step", id)); used {
		return fail(410, "the step has ended and its results were retired")
	}
	return fail(404, "no such step")
}

func (l *Ledger) listSteps(json.RawMessage) Result {
	out := []Sum{}
	for _, id := range sorted.Keys(l.Steps) {
		out = append(out, l.Sum(l.Steps[id]))
	}
	return good(map[string]any{"steps": out})
}

func (l *Ledger) page(body json.RawMessage) Result {
	var p Page
	_ = json.Unmarshal(body, &p)
	s := l.Steps[p.Step]
	if s == nil {
		return l.unknown(p.Step)
	}
	if p.After < 0 || p.After > len(s.List) {
		return fail(400, "the cursor is past the end of the list")
	}
	var need []flow.Ref
	size, end := 0, p.After
	for ; end < len(s.List) && (p.Limit <= 0 || end < p.After+p.Limit); end++ {
		r := s.List[end]
		if size += int(r.Size); size > PageBytes && len(need) > 0 {
			break
		}
		need = append(need, flow.Ref{Kind: TextItem, ID: r.Item})
	}
	out := rawPages{l.Sum(s), []json.RawMessage{}, end}
	if len(need) == 0 {
		return good(out)
	}
	return Result{Code: 200, Need: need, With: func(items [][]byte) Result {
		for _, b := range items {
			out.Results = append(out.Results, b)
		}
		return good(out)
	}}
}

// PageBytes bounds the results in one answer; one more than that comes alone.
const PageBytes = 1 << 20

type rawPages struct {
	Step    Sum               `json:"step"`
	Results []json.RawMessage `json:"results"`
	Next    int               `json:"next_cursor"`
}

func (l *Ledger) getRoll(json.RawMessage) Result {
	t, o := []Target{}, []Order{}
	for _, id := range sorted.Keys(l.Targets) {
		t = append(t, *l.Targets[id])
	}
	for _, id := range sorted.Keys(l.Orders) {
		o = append(o, *l.Orders[id])
	}
	return good(map[string]any{"targets": t, "orders": o, "coordinator": l.Coord})
}
