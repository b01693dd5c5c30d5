package fleet

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/ledger"
	"fernlink/rig/standin"
)

// Report is what a run came to.
type Report struct {
	Shape       string             `json:"shape"`
	Seconds     float64            `json:"seconds"`
	Ready       float64            `json:"seconds_to_ready"`
	Steps       int                `json:"steps_done"`
	Listed      int                `json:"results_listed"`
	Judged      int                `json:"results_judged"`
	Checked     int                `json:"texts_checked"`
	Wrong       []string           `json:"wrong,omitempty"`
	StepP50     float64            `json:"step_seconds_p50"`
	HitRate     float64            `json:"prefix_hit_rate"`
	Recomputed  int                `json:"prefill_tokens_recomputed"`
	Prompt      int                `json:"prompt_tokens"`
	PlanTimes   []float64          `json:"plan_delivery_seconds"`
	BigBytes    int                `json:"large_plan_bytes"`
	BigTime     float64            `json:"large_plan_delivery_seconds"`
	BigMemory   int64              `json:"large_plan_dispatcher_memory_bytes"`
	Asked       int                `json:"requests_asked"`
	Answered    int                `json:"requests_answered"`
	Refused     int                `json:"requests_refused"`
	Unknown     int                `json:"requests_unknown"`
	Twice       int                `json:"bookings_run_twice"`
	Swaps       int                `json:"weight_changes"`
	Reused      int                `json:"kv_reused_across_weights"`
	Memory      map[string]int64   `json:"memory_bytes"`
	CPU         map[string]float64 `json:"cpu_seconds"`
	StoreWrites int                `json:"store_writes"`
}

type driver struct {
	f   *Fleet
	mu  sync.Mutex
	rep Report
	rng *rand.Rand
	gen []float64
}

func (d *driver) wrong(format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rep.Wrong) < 20 {
		d.rep.Wrong = append(d.rep.Wrong, fmt.Sprintf(format, a...))
	}
}

func (f *Fleet) disp(i int) string {
	ds := f.By("dispatcher")
	return "http://" + ds[i%len(ds)].Web
}

// Ready waits until every dispatcher serves, then puts the shape's plan.
func (f *Fleet) Ready(most time.Duration) error {
	for i := range f.By("dispatcher") {
		err := Retry(most, func() error {
			_, body, err := Do("GET", f.disp(i)+"/status", nil, nil)
			if err != nil {
				return err
			}
			var status struct {
				Dispatcher struct {
					Serving bool `json:"serving"`
					Engines int  `json:"engines_usable"`
				} `json:"dispatcher"`
			}
			_ = json.Unmarshal(body, &status)
			if !status.Dispatcher.Serving || status.Dispatcher.Engines < len(f.Engines) {
				return errors.Errorf("fleet: dispatcher %d serves=%v engines=%d", i+1, status.Dispatcher.Serving, status.Dispatcher.Engines)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// sayPlan says a plan until its outcome is known: 503 says that the store did not
// answer in time, and to say the same again (docs/api.md). Any other answer than 200
// is an error at once.
func (f *Fleet) sayPlan(body []byte) (ledger.Plan, error) {
	var p ledger.Plan
	var refused error
	err := Retry(patience, func() error {
		code, b, err := Do("PUT", f.disp(0)+"/v1/plan", body, nil)
		switch {
		case err != nil:
			refused = err
		case code == 503:
			return errors.Errorf("fleet: plan answered %d %s", code, b)
		case code != 200 || json.Unmarshal(b, &p) != nil:
			refused = errors.Errorf("fleet: plan answered %d %s", code, b)
		}
		return nil
	})
	if err != nil {
		return p, err
	}
	return p, refused
}

// PutPlan puts a plan made from version read and gives the time until every
// dispatcher has it.
func (f *Fleet) PutPlan(read uint64, doc string) (uint64, time.Duration, error) {
	body, _ := json.Marshal(map[string]any{"read": read, "request": fmt.Sprintf("rig-%d-%d", read, time.Now().UnixNano()), "plan": json.RawMessage(doc)})
	plan, err := f.sayPlan(body)
	if err != nil {
		return 0, 0, err
	}
	acked := time.Now()
	for i := range f.By("dispatcher") {
		err := Retry(patience, func() error {
			_, b, err := Do("GET", f.disp(i)+"/v1/engines", nil, nil)
			if err != nil {
				return err
			}
			var s struct{ Plan uint64 }
			_ = json.Unmarshal(b, &s)
			if s.Plan < plan.Version {
				return errors.New("fleet: plan not there yet")
			}
			return nil
		})
		if err != nil {
			return plan.Version, 0, err
		}
	}
	return plan.Version, time.Since(acked), nil
}

func prompt(r *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%07x ", r.Intn(1<<28))
	}
	return b.String()[:n]
}

// Drive runs trainers and clients for a while and reports.
func (f *Fleet) Drive(length time.Duration, seed int64) Report {
	traffic := &driver{f: f, rng: rand.New(rand.NewSource(seed))}
	traffic.rep.Shape, traffic.rep.Memory = f.Shape.Name, map[string]int64{}
	traffic.rep.CPU = map[string]float64{}
	began := time.Now()
	version, took, err := f.PutPlan(0, f.Shape.Plan)
	if err != nil {
		traffic.wrong("plan: %v", err)
		return traffic.rep
	}
	traffic.rep.PlanTimes = append(traffic.rep.PlanTimes, took.Seconds())
	end := began.Add(length)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); traffic.train(seed, end) }()
	wg.Add(1)
	go func() { defer wg.Done(); traffic.consume(seed, end) }()
	for i := 0; i < 3; i++ {
		time.Sleep(length / 5)
		v, took, err := f.PutPlan(version, f.Shape.Plan)
		if err != nil {
			traffic.wrong("plan: %v", err)
			break
		}
		version = v
		traffic.mu.Lock()
		traffic.rep.PlanTimes = append(traffic.rep.PlanTimes, took.Seconds())
		traffic.mu.Unlock()
	}
	wg.Wait()
	traffic.rep.Seconds = time.Since(began).Seconds()
	traffic.finish()
	big := f.grown(10000)
	traffic.rep.BigBytes = len(big)
	if _, took, err := f.PutPlan(version, big); err != nil {
		traffic.wrong("a plan of 10000 routes: %v", err)
	} else {
		traffic.rep.BigTime = took.Seconds()
	}
	for _, p := range f.By("dispatcher") {
		traffic.rep.BigMemory = max(traffic.rep.BigMemory, p.Memory())
	}
	return traffic.rep
}

// grown is the shape's plan with many routes more.
func (f *Fleet) grown(n int) string {
	var plan struct {
		Pools  []map[string]any `json:"pools"`
		Routes []map[string]any `json:"routes"`
	}
	_ = json.Unmarshal([]byte(f.Shape.Plan), &plan)
	for i := len(plan.Routes); i < n; i++ {
		plan.Routes = append(plan.Routes, map[string]any{"name": fmt.Sprint("r", i), "path": fmt.Sprintf("/more-%d/%d", i%97, i), "verbs": []string{"GET"}, "pool": plan.Routes[0]["pool"]})
	}
	b, _ := json.Marshal(plan)
	return string(b)
}

// train is the shape's one trainer. Its first kind of sample sets the pace:
// when all are there the next weights are named. The other kinds are asked for
// under the same weights, and may still run when the next step opens.
func (d *driver) train(seed int64, end time.Time) {
	random := rand.New(rand.NewSource(seed))
	kinds := d.f.Shape.Trainers
	shared := make([]string, len(kinds))
	for i, t := range kinds {
		shared[i] = prompt(random, t.Shared)
	}
	var wg sync.WaitGroup
	busy := make([]chan bool, len(kinds))
	for i := range busy {
		busy[i] = make(chan bool, 1)
	}
	for rev := 1; time.Now().Before(end); rev++ {
		for i, t := range kinds[1:] {
			select {
			case busy[i+1] <- true:
			default:
				continue // the one before still runs
			}
			doc := d.doc(t, rev, random, shared[i+1])
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.step(doc, end.Add(patience))
				<-busy[i+1]
			}()
		}
		if !d.step(d.doc(kinds[0], rev, random, shared[0]), end.Add(patience)) {
			break
		}
	}
	wg.Wait()
}

// patience is a hang guard, not a mark to pass.
const patience = 90 * time.Second

func (d *driver) doc(t Trainer, rev int, r *rand.Rand, shared string) ledger.StepDoc {
	doc := ledger.StepDoc{ID: fmt.Sprintf("%s-%d", t.Name, rev), Trainer: t.Name, Pool: t.Pool, Revision: rev, Lag: t.Lag, OneVersion: t.One,
		Judge: d.f.Judge, DeadlineMS: 100000}
	for g := 0; g < t.Groups; g++ {
		doc.Groups = append(doc.Groups, ledger.Group{ID: fmt.Sprintf("g%d", g), Prompt: shared + prompt(r, t.Prompt-t.Shared), Samples: t.Samples, Tokens: t.Tokens})
	}
	return doc
}

func (d *driver) step(doc ledger.StepDoc, end time.Time) bool {
	began := time.Now()
	body, _ := json.Marshal(doc)
	err := Retry(patience, func() error {
		code, b, err := Do("POST", d.f.disp(d.pick())+"/v1/steps", body, nil)
		if err == nil && code != 200 {
			err = errors.Errorf("step answered %d %s", code, b)
		}
		return err
	})
	if err != nil {
		d.wrong("open %s: %v", doc.ID, err)
		return false
	}
	seen := map[string]bool{}
	at := 0
	for at < doc.Wanted() && time.Now().Before(end) {
		code, b, err := Do("GET", fmt.Sprintf("%s/v1/steps/%s/results?after=%d", d.f.disp(d.pick()), doc.ID, at), nil, nil)
		var p ledger.Pages
		if err != nil || code != 200 || json.Unmarshal(b, &p) != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, e := range p.Results {
			at++
			k := fmt.Sprintf("%s/%d", e.Group, e.Sample)
			if e.Seq != at || seen[k] {
				d.wrong("%s: result %s at %d has place %d, seen before: %v", doc.ID, k, at, e.Seq, seen[k])
			}
			seen[k] = true
			d.check(doc, e)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if at < doc.Wanted() {
		d.wrong("%s: %d of %d results", doc.ID, at, doc.Wanted())
	}
	_, _, _ = Do("POST", fmt.Sprintf("%s/v1/steps/%s/end", d.f.disp(0), doc.ID), nil, nil)
	d.mu.Lock()
	d.rep.Steps++
	d.gen = append(d.gen, time.Since(began).Seconds())
	d.mu.Unlock()
	return true
}

func (d *driver) pick() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Intn(1 << 20)
}

// check tells from the text alone whether it is right, whole, and made by the
// weights it is said to be made by.
func (d *driver) check(doc ledger.StepDoc, entry ledger.Entry) {
	err := standin.CheckEntry(doc, entry, standin.Usual.Stop)
	if err != nil {
		d.wrong("%s %s/%d: %v", doc.ID, entry.Group, entry.Sample, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rep.Listed++
	d.rep.Checked++
	d.rep.Prompt += entry.Prompt
	d.rep.Recomputed += entry.Prompt - entry.Cached
	if entry.Verdict.State == "given" {
		d.rep.Judged++
	}
}

// consume makes application requests at the shape's rate.
func (d *driver) consume(seed int64, end time.Time) {
	t := time.NewTicker(time.Duration(float64(time.Second) / d.f.Shape.Rate))
	defer t.Stop()
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		<-t.C
		wg.Add(1)
		go func() { defer wg.Done(); d.request(n) }()
	}
	wg.Wait()
}

func (d *driver) request(n int) {
	verb, path, head := "GET", fmt.Sprintf("/parts/%d", n), map[string]string{}
	if d.f.Shape.Once {
		verb, path = "POST", "/book/window"
		if n%2 == 0 {
			head["Idempotency-Key"] = fmt.Sprintf("k-%d", n)
		}
	}
	body, _ := json.Marshal(map[string]string{"id": fmt.Sprintf("b-%d", n)})
	code, _, err := Do(verb, d.f.disp(n)+path, body, head)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rep.Asked++
	if err != nil || code == 502 {
		d.rep.Unknown++
		return
	}
	if code == 200 {
		d.rep.Answered++
		return
	}
	d.rep.Refused++
}

func (d *driver) finish() {
	var hit, all int
	for _, p := range d.f.By("model") {
		var t map[string]int
		if _, b, err := Do("GET", "http://"+p.Web+"/truth", nil, nil); err == nil && json.Unmarshal(b, &t) == nil {
			hit += t["hit_tokens"]
			all += t["hit_tokens"] + t["prefill_tokens"]
			d.rep.Swaps += t["swaps"]
			d.rep.Reused += t["reused"]
		}
	}
	if all > 0 {
		d.rep.HitRate = float64(hit) / float64(all)
	}
	ran := map[string]int{}
	for _, p := range d.f.By("app") {
		var t map[string]int
		if _, b, err := Do("GET", "http://"+p.Web+"/truth", nil, nil); err == nil && json.Unmarshal(b, &t) == nil {
			for k, n := range t {
				ran[k] += n
			}
		}
	}
	if d.f.Shape.Once {
		for _, n := range ran {
			if n > 1 {
				d.rep.Twice++
			}
		}
	}
	for _, process := range d.f.Nodes {
		d.rep.Memory[process.Name], d.rep.CPU[process.Name] = process.Memory(), process.CPU()
		if process.Has("store") {
			var s struct {
				Store struct {
					Writes int `json:"writes_total"`
				} `json:"store"`
			}
			if _, b, err := Do("GET", "http://"+process.Web+"/status", nil, nil); err == nil && json.Unmarshal(b, &s) == nil {
				d.rep.StoreWrites += s.Store.Writes
			}
		}
	}
	sort.Float64s(d.gen)
	if n := len(d.gen); n > 0 {
		d.rep.StepP50 = d.gen[n/2]
	}
}
