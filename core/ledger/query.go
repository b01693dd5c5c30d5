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
	Plan    *Plan     `json:"plan,omitempty"`    // the one in force, whole
	Changes []Plan    `json:"changes,omitempty"` // or what changed of it, the oldest first
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
	l.planSince(have, &d)
	l.stepsSince(have, &d)
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

// stepsSince adds all open steps by id, and what changed of steps after index have.
func (l *Ledger) stepsSince(have uint64, d *Delta) {
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
}

// Page asks for a step's results after a cursor (design 8.3).
type Page struct {
	Step  string `json:"step"`
	After int    `json:"after"`
	Limit int    `json:"limit"`
}

// Kind names the question.
func (Page) Kind() Kind { return KindResultPage }

// Pages is a stretch of a step's list.
type Pages struct {
	Step    Sum     `json:"step"`
	Results []Entry `json:"results"`
	Next    int     `json:"next_cursor"`
}

// GetPlan asks for a plan by its version, or for the one in force: 0.
type GetPlan uint64

// Kind names the question.
func (GetPlan) Kind() Kind { return KindPlanGet }

func (l *Ledger) getPlan(want GetPlan) Result {
	if want == 0 {
		if p := l.Plan(); p.Version > 0 {
			p.Doc, p.Patch = l.PlanDoc(), nil
			return good(p)
		}
		return noPlan.Result()
	}
	for at := range l.Plans {
		if l.Plans[at].Version == uint64(want) {
			return l.planAt(at)
		}
	}
	return noSuchPlan.Result()
}

// ListPlans asks for the plans that are kept.
type ListPlans struct{ NoBody }

// Kind names the question.
func (ListPlans) Kind() Kind { return KindPlanList }

func (l *Ledger) listPlans(ListPlans) Result {
	out := []Plan{}
	for _, p := range l.Plans {
		p.Doc, p.Patch = nil, nil
		out = append(out, p)
	}
	return good(map[string]any{"plans": out})
}

// GetStep asks for the step of this id.
type GetStep string

// Kind names the question.
func (GetStep) Kind() Kind { return KindStepGet }

func (l *Ledger) getStep(step GetStep) Result {
	id := string(step)
	if s := l.Steps[id]; s != nil {
		return good(l.Sum(s))
	}
	return l.unknown(id)
}

// unknown tells a step that was retired from one that never was.
func (l *Ledger) unknown(id string) Result {
	if _, used := l.Keys.Find(keys.Name("step", id)); used {
		return stepRetired.Result()
	}
	return noSuchStep.Result()
}

// ListSteps asks for the steps that are kept.
type ListSteps struct{ NoBody }

// Kind names the question.
func (ListSteps) Kind() Kind { return KindStepList }

func (l *Ledger) listSteps(ListSteps) Result {
	out := []Sum{}
	for _, id := range sorted.Keys(l.Steps) {
		out = append(out, l.Sum(l.Steps[id]))
	}
	return good(map[string]any{"steps": out})
}

func (l *Ledger) page(p Page) Result {
	s := l.Steps[p.Step]
	if s == nil {
		return l.unknown(p.Step)
	}
	if p.After < 0 || p.After > len(s.List) {
		return cursorPastEnd.Result()
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
	return Result{Code: Accepted, Need: need, With: func(items [][]byte) Result {
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

// GetRoll asks for targets, weight orders and the coordinator's lease (design 8.5).
type GetRoll struct{ NoBody }

// Kind names the question.
func (GetRoll) Kind() Kind { return KindRollGet }

func (l *Ledger) getRoll(GetRoll) Result {
	t, o := []Target{}, []Order{}
	for _, id := range sorted.Keys(l.Targets) {
		t = append(t, *l.Targets[id])
	}
	for _, id := range sorted.Keys(l.Orders) {
		o = append(o, *l.Orders[id])
	}
	return good(map[string]any{"targets": t, "orders": o, "coordinator": l.Coord})
}
