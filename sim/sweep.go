package sim

import (
	"fmt"
	"sort"
	"time"

	"fernlink/core/budget"
)

// Outcome is what one seed came to.
type Outcome struct {
	Seed   int64
	Bad    []string
	Marks  []string
	Kinds  map[string]int
	Heal   time.Duration
	Listed int
	Steps  int
	Trace  uint64
	Actors *Actors `json:"-"`
	Risks  map[string]int
}

// Storm runs a fleet under a random schedule of faults, then one last fault,
// and measures how long it takes to be whole again (issue of the guarantees).
func Storm(seed int64, shape Shape, faults int) Outcome {
	w := Build(seed, shape)
	a := NewActors(w)
	for _, m := range w.Out.Models() {
		m.KeepCache = true
	}
	if !w.Until(budget.Heal*2, func() bool { return w.Serving() && w.Acting() != nil }) {
		w.Wrong("the fleet did not form")
		return w.outcome(a, 0)
	}
	a.Plan("first", 0, true, nil)
	w.Run(time.Second)
	a.Operate(1500 * time.Millisecond)
	a.Repeat(400 * time.Millisecond)
	a.Consume(150 * time.Millisecond)
	a.Train(Train{Name: "one", Groups: 4, Samples: 3, Tokens: 64, One: true, Most: 12 * time.Second})
	if seed%2 == 0 {
		a.Train(Train{Name: "lag", Groups: 2, Samples: 2, Tokens: 160, Lag: 1, Most: 15 * time.Second})
	}
	w.Run(3 * time.Second)
	for i := 0; i < faults; i++ {
		Faults[w.Rand.Intn(len(Faults))].do(w)
		w.Run(w.between(200*time.Millisecond, 3*time.Second))
	}
	w.Mend()
	// The fleet is to survive one lost disk at a time: the last fault waits
	// until the one before is repaired.
	if !w.Until(5*budget.Heal, w.Repaired) {
		w.Wrong("a lost store machine was not replaced")
	}
	last := Last[w.Rand.Intn(len(Last))] // and the fleet has to get over it
	last.do(w)
	w.Run(100 * time.Millisecond)
	heal, ok := a.Healed(2 * budget.Heal)
	if !ok {
		w.Wrong("service was not back %v after the last fault", 2*budget.Heal)
	} else if heal > budget.Heal {
		w.Wrong("service was back only %v after the last fault", heal)
	}
	w.Run(5 * time.Second)
	a.Stop = true
	w.Run(6 * time.Second)
	a.Final()
	a.Check()
	return w.outcome(a, heal)
}

func (w *World) outcome(a *Actors, heal time.Duration) Outcome {
	return Outcome{w.Seed, w.Bad, w.Marks, w.Kinds, heal, a.Listed, a.Done, w.Trace, a, a.risks()}
}

// risks counts how often what must never happen was close, so that a storm that
// tried nothing is seen.
func (a *Actors) risks() map[string]int {
	r := map[string]int{"orders said again": a.w.repeats}
	for _, b := range a.Bookings {
		if b.key != "" {
			r["keys said again"] += b.tries - 1
		}
		r["bookings refused"] += b.refused
	}
	for _, t := range a.Attempts {
		r["plans "+t.state]++
	}
	for _, s := range a.Steps {
		if s.ended && len(s.list) < s.doc.Wanted() {
			r["steps ended with work left"]++
		}
	}
	for _, m := range a.w.Out.Models() {
		r["weight orders"] += len(m.Orders)
	}
	for _, h := range a.w.By("dispatcher") {
		if !h.Up {
			continue
		}
		c := h.Node.Stats(h.clock()).Disp.Counts
		for _, k := range []string{"resumed", "twins", "failed_runs", "broken_streams", "judge_failures", "hits_expected", "unknown"} {
			r[k] += int(c[k])
		}
	}
	return r
}

// Healed waits until bookings, plans and results all go through again, and
// gives the time that took.
func (a *Actors) Healed(most time.Duration) (time.Duration, bool) {
	w := a.w
	from := w.Now
	b0, l0 := a.Answered, a.Listed
	planned := false
	id := fmt.Sprintf("heal-%d", w.Now)
	var put func(read uint64)
	put = func(read uint64) {
		a.Plan(id, read, true, func(t *attempt) {
			if t.state == "acked" {
				planned = true
				return
			}
			id += "x"
			put(t.version)
		})
	}
	put(a.newest(w.Now))
	for w.Now < from+most {
		w.Run(50 * time.Millisecond)
		if planned && a.Answered > b0 && a.Listed > l0 && w.Serving() && w.Acting() != nil {
			return w.Now - from, true
		}
	}
	return w.Now - from, false
}

// Final reads everything once more: what was acknowledged must be there.
func (a *Actors) Final() {
	w := a.w
	ds := w.By("dispatcher")
	for i, id := range a.Order {
		s := a.Steps[id]
		if !s.acked || i < len(a.Order)-20 {
			continue // retired by now, perhaps
		}
		c := Call("step.results", map[string]string{"id": id}, nil)
		r, ok := w.Ask(ds[i%len(ds)], c, 3*time.Second)
		if !ok || r.Code != 200 {
			w.Wrong("step %s is not readable at the end: %d %s", id, r.Code, r.Body)
			continue
		}
		var p struct {
			Results []any
		}
		_ = jsonInto(r.Body, &p)
		if len(p.Results) < len(s.list) {
			w.Wrong("step %s lists %d results, %d were seen", id, len(p.Results), len(s.list))
		}
	}
	r, ok := w.Ask(ds[0], Call("plan.get", nil, nil), 3*time.Second)
	var p struct{ Version uint64 }
	if !ok || r.Code != 200 || jsonInto(r.Body, &p) != nil || p.Version < a.newest(w.Now) {
		w.Wrong("plan %d was acknowledged; at the end there is %d", a.newest(w.Now), p.Version)
	}
}

// shortLog is how many entries are kept before a snapshot where snapshots are to be
// made and fetched within a storm.
const shortLog = 64

// ShapeOf gives each seed a shape, so that a sweep goes over all of them, half of
// them with a short log.
func ShapeOf(seed int64) Shape {
	shape := []Shape{Small, Merged, FibrArmor, Small, Waterland}[seed%5]
	if seed%2 == 1 {
		shape.Keep = shortLog
	}
	return shape
}

// Summary is what a sweep over seeds came to.
type Summary struct {
	Seeds   int            `json:"seeds"`
	Faults  map[string]int `json:"faults_by_kind"`
	Steps   int            `json:"steps_done"`
	Listed  int            `json:"results_listed"`
	HealP50 float64        `json:"heal_seconds_p50"`
	HealP95 float64        `json:"heal_seconds_p95"`
	HealMax float64        `json:"heal_seconds_max"`
	MaxSeed int64          `json:"slowest_seed"`
	Risks   map[string]int `json:"risks_met"`
	Found   []Outcome      `json:"found,omitempty"`
}

// Sweep runs storms over many seeds, several at a time. Each is a world of its
// own, so the order does not matter.
func Sweep(from, to int64, faults, tasks int) Summary {
	seeds, out := make(chan int64), make(chan Outcome)
	for i := 0; i < tasks; i++ {
		go func() {
			for s := range seeds {
				out <- Storm(s, ShapeOf(s), faults)
			}
		}()
	}
	go func() {
		for s := from; s <= to; s++ {
			seeds <- s
		}
		close(seeds)
	}()
	sum := Summary{Faults: map[string]int{}, Risks: map[string]int{}}
	var heal []float64
	for s := from; s <= to; s++ {
		o := <-out
		sum.Seeds++
		sum.Steps += o.Steps
		sum.Listed += o.Listed
		for k, n := range o.Kinds {
			sum.Faults[k] += n
		}
		for k, n := range o.Risks {
			sum.Risks[k] += n
		}
		heal = append(heal, o.Heal.Seconds())
		if o.Heal.Seconds() >= sum.HealMax {
			sum.HealMax, sum.MaxSeed = o.Heal.Seconds(), o.Seed
		}
		if len(o.Bad) > 0 {
			sum.Found = append(sum.Found, o)
		}
	}
	sort.Float64s(heal)
	if n := len(heal); n > 0 {
		sum.HealP50, sum.HealP95 = heal[n/2], heal[n*95/100]
	}
	sort.Slice(sum.Found, func(a, b int) bool { return sum.Found[a].Seed < sum.Found[b].Seed })
	return sum
}
