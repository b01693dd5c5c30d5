package sim

import (
	"fmt"
	"sort"
	"time"

	"fernlink/core/budget"
	"fernlink/core/ledger"
)

// Load is a workload for the bench: what one trainer asks for, step by step.
type Load struct {
	Name    string
	Groups  int
	Samples int
	Own     int // bytes of a prompt that are its own
	Shared  int // bytes that groups share
	Skew    bool
	Tokens  int
	Lag     int
	Blocks  int     // memory of an engine, when above zero
	Slow    float64 // one engine is this much slower, when above zero
	Kill    string  // dispatchers are killed, or stopped, all the time
	Drain   bool    // engines are drained and put back all the time
}

// Loads are the workloads that placement is measured by.
var Loads = []Load{
	{Name: "drafts", Groups: 24, Samples: 4, Own: 512, Shared: 1024, Tokens: 96},
	{Name: "short-answers", Groups: 24, Samples: 4, Own: 256, Shared: 768, Tokens: 32},
	{Name: "long-descriptions", Groups: 8, Samples: 2, Own: 1536, Shared: 512, Tokens: 256, Lag: 1},
	{Name: "skewed-prefixes", Groups: 24, Samples: 4, Own: 256, Shared: 2048, Skew: true, Tokens: 48},
	{Name: "full-memory", Groups: 24, Samples: 4, Own: 512, Shared: 1024, Tokens: 64, Blocks: 64},
	{Name: "slow-engine", Groups: 24, Samples: 4, Own: 512, Shared: 1024, Tokens: 64, Slow: 10},
	{Name: "calm", Groups: 12, Samples: 4, Own: 512, Shared: 1024, Tokens: 400},
	{Name: "kills", Groups: 12, Samples: 4, Own: 512, Shared: 1024, Tokens: 400, Kill: "kill"},
	{Name: "stops", Groups: 12, Samples: 4, Own: 512, Shared: 1024, Tokens: 400, Kill: "stop"},
	{Name: "drains", Groups: 24, Samples: 4, Own: 512, Shared: 1024, Tokens: 64, Drain: true},
}

// Figures are what one bench run came to, in counts and simulated time.
type Figures struct {
	Load     string         `json:"load"`
	Policy   string         `json:"policy"`
	Steps    int            `json:"steps"`
	Step     float64        `json:"step_seconds_p50"`
	HitRate  float64        `json:"prefix_hit_rate"`
	Prefill  float64        `json:"prefill_tokens_a_result"`
	Runs     float64        `json:"runs_a_result"`
	Idle     float64        `json:"idle_share"`
	Writes   float64        `json:"store_writes_a_result"`
	Lines    float64        `json:"lines_a_second"`
	Bytes    float64        `json:"line_bytes_a_second"`
	Wrong    int            `json:"wrong"`
	Thrown   float64        `json:"tokens_thrown_away_a_result"`
	Kinds    map[string]int `json:"line_bytes_by_kind"`
	lines    int
	bytes    int
	busy, of time.Duration
}

// Bench runs one workload under one policy for a while of simulated time.
func Bench(seed int64, shape Shape, l Load, policy string, length time.Duration) Figures {
	w := Build(seed, shape)
	a := NewActors(w)
	f := Figures{Load: l.Name, Policy: policy}
	for i, m := range w.Out.Models() {
		if l.Blocks > 0 {
			m.Blocks = l.Blocks
		}
		if l.Slow > 0 && i == 0 {
			m.Slow = l.Slow
		}
	}
	if !w.Until(2*budget.Heal, func() bool { return w.Serving() && w.Acting() != nil }) {
		f.Wrong++
		return f
	}
	doc := PlanDoc("bench")
	doc.Placement = policy
	put := Call("plan.put", nil, map[string]any{"read": 0, "request": "bench", "plan": slim(doc)})
	if r, ok := w.Ask(w.By("dispatcher")[0], put, 5*time.Second); !ok || r.Code != 200 {
		f.Wrong++
		return f
	}
	w.Run(budget.Plan)
	count := func(of func(*Model) int) (n int) {
		for _, m := range w.Out.Models() {
			n += of(m)
		}
		return n
	}
	f.Kinds = map[string]int{}
	w.Net.Count = func(kind string, n int) { f.lines++; f.bytes += n; f.Kinds[kind] += n }
	w.Every(10*time.Millisecond, func() bool {
		for _, m := range w.Out.Models() {
			f.busy += 10 * time.Millisecond * time.Duration(min(len(m.jobs), m.Slots))
			f.of += 10 * time.Millisecond * time.Duration(m.Slots)
		}
		return true
	})
	if l.Drain {
		w.Every(2*time.Second, func() bool {
			id := w.anyModel().Name
			w.setState(id, "draining")
			w.After(1500*time.Millisecond, func() { w.setState(id, "ready") })
			return true
		})
	}
	if l.Kill != "" {
		w.Every(2*time.Second, func() bool {
			h := w.anyHost("dispatcher")
			if l.Kill == "kill" {
				h.Kill()
				w.After(time.Second, h.Start)
			} else {
				h.Stop()
				w.After(budget.StopTimeout, h.Start)
			}
			return true
		})
	}
	from := w.Now
	a.bench(l, 1)
	w.Run(length)
	listed := max(a.Listed, 1)
	hits, fills := count(func(m *Model) int { return m.Hits }), count(func(m *Model) int { return m.Prefills })
	if hits+fills > 0 {
		f.HitRate = float64(hits) / float64(hits+fills)
	}
	f.Steps, f.Prefill = a.Done, float64(fills)/float64(listed)
	f.Runs = float64(count(func(m *Model) int { return m.Starts })) / float64(listed)
	f.Thrown = float64(count(func(m *Model) int { return m.Made })-a.Tokens) / float64(listed)
	f.Idle = 1 - float64(f.busy)/float64(max(f.of, 1))
	writes := 0
	for _, h := range w.By("store") {
		writes += h.Node.Stats(h.clock()).Store.Writes
	}
	f.Writes = float64(writes) / float64(listed)
	f.Lines = float64(f.lines) / (w.Now - from).Seconds()
	f.Bytes = float64(f.bytes) / (w.Now - from).Seconds()
	sort.Slice(a.StepWait, func(i, j int) bool { return a.StepWait[i] < a.StepWait[j] })
	if n := len(a.StepWait); n > 0 {
		f.Step = a.StepWait[n/2].Seconds()
	}
	a.Check()
	f.Wrong += len(w.Bad)
	return f
}

// text is some prompt text of a size, of its own for each key.
func (a *Actors) text(n int) string {
	b := make([]byte, 0, n+8)
	for len(b) < n {
		b = append(b, fmt.Sprintf("%07x ", a.w.Rand.Int31n(1<<28))...)
	}
	return string(b[:n])
}

// bench opens the workload's steps one after the other.
func (a *Actors) bench(l Load, rev int) {
	if a.common == nil {
		for i := 0; i < 6; i++ {
			a.common = append(a.common, a.text(l.Shared))
		}
	}
	t := Train{Name: l.Name, Groups: l.Groups, Samples: l.Samples, Tokens: l.Tokens, Lag: l.Lag, One: l.Lag == 0, Most: time.Hour}
	id := fmt.Sprintf("%s-%d", l.Name, rev)
	d := ledger.StepDoc{ID: id, Trainer: l.Name, Pool: ModelPool, Revision: rev, Lag: l.Lag, OneVersion: t.One, Judge: "http://10.3.0.1:80/judge", DeadlineMS: 600000}
	for g := 0; g < l.Groups; g++ {
		common := a.common[0]
		if l.Skew {
			// Half share one beginning, a quarter the next, and so on.
			at := 0
			for at < len(a.common)-1 && a.w.Rand.Intn(2) == 0 {
				at++
			}
			common = a.common[at]
		}
		gid := fmt.Sprintf("g%d", g)
		d.Groups = append(d.Groups, ledger.Group{ID: gid, Prompt: common + a.text(l.Own) + "|" + id + "|", Samples: l.Samples, Tokens: l.Tokens})
	}
	s := &seen{doc: d, keys: map[string]bool{}, began: a.w.Now}
	a.Steps[id] = s
	a.Order = append(a.Order, id)
	t.next = func() { a.bench(l, rev+1) }
	a.open(s, t, rev)
}
