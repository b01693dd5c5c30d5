package sim

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/node"
	"fernlink/core/store"
)

// DayConfig are the options of a day.
type DayConfig struct {
	Seed     int64
	Shape    Shape
	Hours    float64
	Keys     int           // run-once requests a second
	Every    time.Duration // a step opens
	Groups   int
	Samples  int
	Text     int           // bytes of a result
	Faults   time.Duration // one each
	Progress func(string)
}

// DayReport is what a day came to.
type DayReport struct {
	Hours   float64          `json:"hours"`
	Asked   map[string]int   `json:"asked"`
	Refused map[string]int   `json:"not_taken"` // by kind and code, after all tries
	Checked map[string]int   `json:"checked"`   // read again much later, and the same
	Faults  map[string]int   `json:"faults"`
	Hourly  []map[string]int `json:"hourly"`
	Late    int              `json:"answers_given_up_on"`
	Bad     []string         `json:"wrong,omitempty"`
}

// crowd stands for all dispatchers: it asks the stores as they would, by the
// real asker, at the deployment's whole rate.
type crowd struct {
	w     *World
	host  *Host
	asker *ask.Asker
	rep   *DayReport
	claim []kept // of which a part is asked for again
	steps []kept
	n     int
	begun time.Duration
}

// newCrowd puts a crowd into a world.
func newCrowd(w *World, rep *DayReport) *crowd {
	c := &crowd{w: w, asker: ask.New(1 << 40), rep: rep}
	c.host = &Host{w: w, Name: "crowd", Up: true, hear: func(l flow.Line) {
		var t ask.Told
		if json.Unmarshal(l.Body, &t) == nil {
			c.asker.Take(w.Now, l.Addr, t)
		}
	}}
	w.at["10.7.0.1:1"] = c.host
	w.Every(tick, func() bool { c.turn(); return true })
	return c
}

type kept struct {
	id, hash string
	at       time.Duration
	count    int
}

// Day runs the machines with disks for hours at the deployment's whole rates of
// keys, steps and results, with faults throughout, and reads old things again.
func Day(p DayConfig) DayReport {
	w := New(p.Seed)
	w.Out = newOutside(w)
	disks := p.Shape.Stores + p.Shape.Spare
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }
	var form []string
	for i := 0; i < p.Shape.Stores; i++ {
		form = append(form, addr(i))
	}
	for i := 0; i < disks; i++ {
		x := node.Config{Addr: addr(i), Web: fmt.Sprintf("10.0.0.%d:2", i+1), Zone: p.Shape.Zones[i%len(p.Shape.Zones)], Seeds: []string{addr(0), addr(1), addr(2)},
			Roles: []string{"store"}, Keep: 4096, Bounds: p.Shape.Bounds}
		if i < p.Shape.Stores {
			x.Form = form
		}
		w.AddHost(fmt.Sprintf("store-%d", i+1), x, true).Start()
	}
	rep := DayReport{Hours: p.Hours, Asked: map[string]int{}, Refused: map[string]int{}, Checked: map[string]int{}}
	c := newCrowd(w, &rep)
	w.Until(time.Minute, func() bool { return w.Leader() != nil })
	c.begun = w.Now
	heard := uint64(0)
	w.Every(budget.RenewInterval, func() bool { // a dispatcher that lives
		c.asker.Ask(w.Now, budget.LeaseDuration, store.Renew{ID: "crowd", Have: 1 << 60, Heard: heard}, func(time.Duration, ask.Answer) { heard++ })
		return true
	})
	per := time.Second / time.Duration(p.Keys)
	w.Every(per, func() bool { c.book(); return true })
	w.Every(p.Every, func() bool { c.step(p); return true })
	w.Every(time.Second, func() bool { c.again(p.Shape.Bounds); return true })
	if p.Faults > 0 {
		w.Every(p.Faults, func() bool { dayFault(w); return true })
	}
	for h := 0.0; h < p.Hours && len(w.Bad) == 0; h++ {
		rep.Hourly = append(rep.Hourly, c.sizes())
		if p.Progress != nil {
			p.Progress(fmt.Sprint("hour ", h, " ", rep.Hourly[len(rep.Hourly)-1]))
		}
		w.Run(time.Duration(min(1, p.Hours-h) * float64(time.Hour)))
	}
	rep.Hourly = append(rep.Hourly, c.sizes())
	rep.Faults, rep.Bad = w.Kinds, w.Bad
	return rep
}

// dayFault is one of the faults that a store machine meets.
func dayFault(w *World) {
	kinds := []string{"kill-leader", "kill-any", "power", "power-in-write", "freeze-any", "isolate", "one-way", "slow-disk", "full-disk", "failed-sync", "disk-loss", "clock-jump", "stop"}
	want := kinds[w.Rand.Intn(len(kinds))]
	if w.Leader() == nil || !w.Repaired() {
		return // one at a time is what the deployment is to survive
	}
	if want == "disk-loss" {
		w.lost, w.lostAt = 0, -time.Hour
	}
	for _, f := range Faults {
		if f.kind == want {
			f.do(w)
		}
	}
}

func (c *crowd) turn() {
	var stores []string
	cluster := ""
	for _, h := range c.w.By("store") {
		if h.Up {
			k := h.Node.Known()
			if len(k.Stores) >= len(stores) {
				stores, cluster = k.Stores, k.Cluster
			}
		}
	}
	var out flow.Outbox
	c.asker.Advance(c.w.Now, stores, &out)
	for _, l := range out.Lines {
		to := c.w.at[l.To]
		if to == nil {
			continue
		}
		l.Ver, l.Cluster, l.From, l.Addr = flow.Version, cluster, "crowd", "10.7.0.1:1"
		c.w.Net.Send("crowd", to.Name, func() { to.offer(to.life, flow.Event{Line: &l}) })
	}
}

// ask asks until there is an answer, as dispatchers' callers would; a write that
// was given up on is said again.
func (c *crowd) ask(question ledger.Body, then func(ask.Answer)) {
	kind := string(question.Kind())
	c.rep.Asked[kind]++
	c.asker.Ask(c.w.Now, 4*budget.AskTimeout, question, func(_ time.Duration, a ask.Answer) {
		if a.Code == ledger.Unanswered {
			c.rep.Late++
		} else if a.Code != ledger.Accepted {
			c.rep.Refused[fmt.Sprint(kind, " ", a.Code)]++
		}
		then(a)
	})
}

func (c *crowd) book() {
	c.n++
	key, n := fmt.Sprint("k", c.n), c.n
	body := []byte(strings.Repeat(fmt.Sprintf("{\"booking\":%d}", n), 8+n%24))
	owner := fmt.Sprint("crowd/", n)
	c.ask(ledger.TakeClaim{Key: key, Hash: "h" + key, Owner: owner}, func(a ask.Answer) {
		var k ledger.Claim
		if a.Code == ledger.Unanswered {
			return
		}
		if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &k) != nil || k.Owner != owner {
			c.w.Wrong("key %s was not taken: %d %s", key, a.Code, a.Body)
			return
		}
		done := ledger.DoneClaim{Key: key, Hash: "h" + key, Owner: owner, State: "done", Code: 200, Type: "application/json", Body: body}
		c.ask(done, func(a ask.Answer) {
			if a.Code == ledger.Accepted && n%50 == 0 {
				c.claim = append(c.claim, kept{key, ledger.Hash(body), c.w.Now, 0})
			}
		})
	})
}

func (c *crowd) step(p DayConfig) {
	id := fmt.Sprintf("s%d", c.n)
	rev := int((c.w.Now-c.begun)/p.Every) + 1
	d := ledger.StepDoc{ID: id, Trainer: fmt.Sprint("t", rev%2), Pool: "pool", Revision: rev, Lag: 1, DeadlineMS: 60000}
	for g := 0; g < p.Groups; g++ {
		d.Groups = append(d.Groups, ledger.Group{ID: fmt.Sprint("g", g), Prompt: strings.Repeat("p", 1536), Samples: p.Samples, Tokens: 96})
	}
	c.ask(ledger.OpenStep(d), func(a ask.Answer) {
		if a.Code != ledger.Accepted {
			return
		}
		left := p.Groups * p.Samples
		for i := 0; i < p.Groups*p.Samples; i++ {
			c.w.After(time.Duration(i)*p.Every/time.Duration(p.Groups*p.Samples), func() {
				text := (id + fmt.Sprint("/", i, " ") + strings.Repeat("lorem ", p.Text/6))[:p.Text]
				e := ledger.Entry{Group: fmt.Sprint("g", i/p.Samples), Sample: i % p.Samples, Text: text, Finish: "stop", Engine: "m",
					Spans: []ledger.Span{{From: 0, To: len(text), Revision: rev}}, Verdict: ledger.Verdict{State: "none", Hash: ledger.Hash([]byte(text))}}
				c.ask(ledger.AddEntry{Step: id, Entry: e}, func(a ask.Answer) {
					if left--; left == 0 {
						c.ask(ledger.EndStep(id), func(a ask.Answer) {
							c.steps = append(c.steps, kept{id, "", c.w.Now, p.Groups * p.Samples})
						})
					}
				})
			})
		}
	})
}

// again reads a key and a step of any age within what is promised.
func (c *crowd) again(b ledger.Bounds) {
	for len(c.claim) > 0 && c.w.Now-c.claim[0].at > time.Duration(b.KeyAge)*time.Millisecond-time.Minute {
		c.claim = c.claim[1:]
	}
	for len(c.steps) > 0 && c.w.Now-c.steps[0].at > time.Duration(b.Age)*time.Millisecond-time.Minute {
		c.steps = c.steps[1:]
	}
	if n := len(c.claim); n > 0 {
		x := c.claim[c.w.Rand.Intn(n)]
		c.ask(ledger.TakeClaim{Key: x.id, Hash: "h" + x.id, Owner: "crowd/other"}, func(a ask.Answer) {
			var k ledger.Claim
			_ = json.Unmarshal(a.Body, &k)
			if a.Code == ledger.Accepted && (k.State != "done" || ledger.Hash(k.Body) != x.hash || k.Hash != "h"+x.id) {
				c.w.Wrong("key %s of %v ago is %s with %d bytes", x.id, c.w.Now-x.at, k.State, len(k.Body))
			}
			c.rep.Checked["keys"]++
		})
	}
	if n := len(c.steps); n > 0 {
		x := c.steps[c.w.Rand.Intn(n)]
		c.ask(ledger.Page{Step: x.id}, func(a ask.Answer) {
			var p ledger.Pages
			_ = json.Unmarshal(a.Body, &p)
			if a.Code == ledger.Unanswered {
				return
			}
			if a.Code != ledger.Accepted || p.Step.Listed != x.count || len(p.Results) != x.count {
				c.w.Wrong("step %s of %v ago reads %d with %d of %d results", x.id, c.w.Now-x.at, a.Code, len(p.Results), x.count)
			}
			for i, e := range p.Results {
				if e.Seq != i+1 || !strings.HasPrefix(e.Text, x.id+"/") || ledger.Hash([]byte(e.Text)) != e.Verdict.Hash {
					c.w.Wrong("step %s, place %d: %.40s", x.id, i+1, e.Text)
				}
			}
			c.rep.Checked["steps"]++
		})
	}
}

// sizes are rows, the snapshot, the disk by part and what a store needs for keys.
func (c *crowd) sizes() map[string]int {
	l := c.w.Leader()
	for _, h := range c.w.By("store") {
		if l == nil && h.Up {
			l = h
		}
	}
	out := map[string]int{}
	if l == nil {
		return out
	}
	st := l.Node.Stats(l.clock())
	for _, k := range []string{"keys", "steps", "results", "log", "claims_open"} {
		out[k] = st.Rows[k]
	}
	out["snapshot_bytes"] = st.Store.Snapshot
	items, bytes := l.log.Blobs.Stats()
	for k, n := range bytes {
		out["disk_"+k], out["items_"+k] = int(n), int(items[k])
	}
	for n, x := range l.Disk.names {
		if strings.HasPrefix(n, "log-") {
			out["disk_log"] += len(x.data)
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	out["sim_heap"] = int(m.HeapAlloc)
	return out
}
