package sim

import (
	"fmt"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Last are the faults that a storm may end with.
var Last = []fault{
	Faults[0], Faults[1], Faults[2],
	{"power-all", func(w *World) {
		w.Mark("power-all", "every store, up again after a second")
		for _, h := range w.By("store") {
			if h.Up {
				h.Lose(false)
				w.After(time.Second, h.Start)
			}
		}
	}},
}

// Faults by kind; a schedule draws from them.
var Faults = []fault{
	{"kill-any", func(w *World) { w.killFor(w.someHost(), w.between(200*time.Millisecond, 4*time.Second)) }},
	{"kill-leader", func(w *World) {
		if h := w.Leader(); h != nil {
			w.killFor(h, w.between(200*time.Millisecond, 4*time.Second))
		}
	}},
	{"kill-coordinator", func(w *World) {
		if h := w.Acting(); h != nil {
			w.killFor(h, w.between(200*time.Millisecond, 8*time.Second))
		}
	}},
	{"freeze-any", func(w *World) {
		h, d := w.someHost(), w.between(300*time.Millisecond, 6*time.Second)
		w.Mark("freeze", "%s for %v", h.Name, d)
		h.Freeze(d)
	}},
	{"freeze-coordinator", func(w *World) {
		if h := w.Acting(); h != nil {
			d := w.between(time.Second, 8*time.Second)
			w.Mark("freeze", "acting %s for %v", h.Name, d)
			h.Freeze(d)
		}
	}},
	{"power", func(w *World) {
		h := w.anyHost("store")
		w.Mark("power", "%s", h.Name)
		h.Lose(false)
		w.After(w.between(200*time.Millisecond, 3*time.Second), h.Start)
	}},
	{"power-in-write", func(w *World) {
		h := w.anyHost("store")
		if h.Up && h.Disk != nil {
			w.Mark("power-in-write", "%s", h.Name)
			h.Disk.After = 1 + w.Rand.Intn(6)
			w.After(w.between(time.Second, 3*time.Second), func() {
				if !h.Up {
					h.Start()
				} else {
					h.Disk.After = 0
				}
			})
		}
	}},
	{"isolate", func(w *World) {
		h, d := w.someHost(), w.between(500*time.Millisecond, 5*time.Second)
		w.Mark("isolate", "%s for %v", h.Name, d)
		w.cutFor([]string{h.Name}, w.others(h.Name), d, true)
	}},
	{"one-way", func(w *World) {
		h, d := w.someHost(), w.between(500*time.Millisecond, 5*time.Second)
		w.Mark("one-way", "out of %s for %v", h.Name, d)
		w.cutFor([]string{h.Name}, w.others(h.Name), d, false)
	}},
	{"one-way-in", func(w *World) {
		h, d := w.someHost(), w.between(500*time.Millisecond, 5*time.Second)
		w.Mark("one-way-in", "into %s for %v", h.Name, d)
		w.cutFor(w.others(h.Name), []string{h.Name}, d, false)
	}},
	{"cut-store", func(w *World) {
		h, d := w.anyHost("store"), w.between(500*time.Millisecond, 20*time.Second)
		manner := Manners[w.Rand.Intn(len(Manners))]
		way := directions[w.Rand.Intn(len(directions))]
		w.Mark("cut-store", "%s from the other stores for %v, %s, %s", h.Name, d, manner, way)
		var rest []string
		for _, x := range w.By("store") {
			if x != h {
				rest = append(rest, x.Name)
			}
		}
		if way != inOnly {
			w.cutBy(manner, []string{h.Name}, rest, d)
		}
		if way != outOnly {
			w.cutBy(manner, rest, []string{h.Name}, d)
		}
	}},
	{"split", func(w *World) {
		d := w.between(time.Second, 5*time.Second)
		var a, b []string
		for _, n := range w.ends() {
			if w.Rand.Intn(2) == 0 {
				a = append(a, n)
			} else {
				b = append(b, n)
			}
		}
		w.Mark("split", "%v off for %v", a, d)
		w.cutFor(a, b, d, true)
	}},
	{"engine-crash", func(w *World) {
		m := w.anyModel()
		if m.Up {
			w.Mark("engine-crash", "%s", m.Name)
			w.Out.Crash(m, 0)
			w.After(w.between(500*time.Millisecond, 5*time.Second), func() { w.Out.Rise(m) })
		}
	}},
	{"app-crash", func(w *World) {
		a := w.anyApp()
		if a.Up {
			w.Mark("app-crash", "%s", a.Name)
			w.Out.CrashApp(a)
			w.After(w.between(500*time.Millisecond, 5*time.Second), func() { w.Out.RiseApp(a) })
		}
	}},
	{"app-break", func(w *World) {
		a := w.anyApp()
		w.Mark("app-break", "%s", a.Name)
		a.Break = true
		w.After(w.between(300*time.Millisecond, 2*time.Second), func() { a.Break = false })
	}},
	{"engine-slow", func(w *World) {
		m := w.anyModel()
		w.Mark("engine-slow", "%s", m.Name)
		m.Slow = 20
		w.After(w.between(time.Second, 5*time.Second), func() { m.Slow = 1 })
	}},
	{"stale-report", func(w *World) {
		m := w.anyModel()
		w.Mark("stale-report", "%s", m.Name)
		m.Stale = w.between(100*time.Millisecond, 500*time.Millisecond)
		w.After(w.between(2*time.Second, 8*time.Second), func() { m.Stale = 0 })
	}},
	{"drain", func(w *World) {
		id := w.anyModel().Name
		w.Mark("drain", "%s", id)
		w.setState(id, "draining")
		w.After(w.between(4*time.Second, 8*time.Second), func() { w.setState(id, "ready") })
	}},
	{"vanish-from-list", func(w *World) {
		id := w.anyModel().Name
		var was *dialect.Listed
		w.Mark("vanish", "%s", id)
		w.Out.Relist(func(l *dialect.Listed) bool {
			if l.ID == id {
				x := *l
				was = &x
				return false
			}
			return true
		})
		w.After(w.between(4*time.Second, 8*time.Second), func() {
			if was != nil {
				was.State = "ready"
				w.Out.List.Engines = append(w.Out.List.Engines, *was)
				w.Out.Relist(func(*dialect.Listed) bool { return true })
			}
		})
	}},
	{"lie", func(w *World) {
		m := w.anyModel()
		kinds := []string{"early", "garbage", "weights", "silent"}
		m.Lie = kinds[w.Rand.Intn(len(kinds))]
		w.Mark("lie", "%s %s", m.Name, m.Lie)
		w.After(w.between(500*time.Millisecond, 3*time.Second), func() { m.Lie = "" })
	}},
	{"judge-failure", func(w *World) {
		kinds := []string{"fail", "other", "hang"}
		k := kinds[w.Rand.Intn(len(kinds))]
		w.Mark("judge", "%s", k)
		w.Out.Hang, w.Out.Judge.Mode = k == "hang", map[string]string{"fail": "fail", "other": "other"}[k]
		w.After(w.between(300*time.Millisecond, 3*time.Second), func() { w.Out.Hang, w.Out.Judge.Mode = false, "" })
	}},
	{"zone-loss", func(w *World) {
		zone := w.someHost().Config.Zone
		d := w.between(500*time.Millisecond, 4*time.Second)
		w.Mark("zone-loss", "%s for %v", zone, d)
		for _, h := range w.Hosts {
			if h.Config.Zone == zone && h.Up {
				h.Lose(false)
				w.After(d, h.Start)
			}
		}
		for _, m := range w.Out.Models() {
			if m.Zone == zone && m.Up {
				w.Out.Crash(m, 0)
				w.After(d, func() { w.Out.Rise(m) })
			}
		}
	}},
	{"disk-loss", func(w *World) { w.loseDisk() }},
	{"second-loss", func(w *World) { w.secondLoss() }},
	{"slow-disk", func(w *World) {
		h, d := w.anyHost("store"), w.between(500*time.Millisecond, 5*time.Second)
		w.Mark("slow-disk", "%s by %v", h.Name, d)
		h.Disk.Slow = d
		w.After(w.between(time.Second, 6*time.Second), func() { h.Disk.Slow = 0 })
	}},
	{"full-disk", func(w *World) {
		h := w.anyHost("store")
		w.Mark("full-disk", "%s", h.Name)
		h.Disk.Full = true
		w.After(w.between(time.Second, 6*time.Second), func() { h.Disk.Full = false })
	}},
	{"damaged-tail", func(w *World) {
		h := w.anyHost("store")
		if h.Up && w.Now-w.lostAt > 30*time.Second && w.lost == 0 {
			w.lost, w.lostAt = w.lost+1, w.Now // an acknowledged copy may be gone
			h.Kill()
			n := h.Disk.Damage("log-")
			w.Mark("damaged-tail", "%s, byte %d from the end", h.Name, n)
			w.After(w.between(200*time.Millisecond, 2*time.Second), h.Start)
		}
	}},
	{"stop", func(w *World) {
		h, d := w.someHost(), w.between(200*time.Millisecond, 3*time.Second)
		if h.Up && !h.Froze {
			w.Mark("stop", "%s, started again after %v", h.Name, d)
			h.Stop()
			w.After(budget.StopTimeout+d, h.Start)
		}
	}},
	{"short-notice", func(w *World) {
		m, d := w.anyModel(), w.between(500*time.Millisecond, 5*time.Second)
		if m.Up && m.Gone < w.Now {
			w.Mark("short-notice", "%s goes in %v", m.Name, d)
			m.Draining, m.Gone = true, w.Now+d
			w.After(d, func() {
				m.Draining = false
				if m.Up {
					w.Out.Crash(m, 0)
				}
				w.After(w.between(500*time.Millisecond, 3*time.Second), func() { w.Out.Rise(m) })
			})
		}
	}},
	{"operator-drain", func(w *World) {
		id := w.anyModel().Name
		w.Mark("operator-drain", "%s", id)
		put := func(on bool) {
			c := Call("engine.drain", map[string]string{"id": id}, map[string]any{"drained": on, "request": w.requestID()})
			w.give(fmt.Sprintf("drain of %s: %t", id, on), c)
		}
		put(true)
		for _, d := range []time.Duration{4 * time.Second, 6 * time.Second, 9 * time.Second} {
			w.After(d, func() { put(false) })
		}
	}},
	{"pause-roll-out", func(w *World) {
		w.Mark("pause-roll-out", "and resumed")
		for i, d := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
			w.After(d, func() {
				h := w.anyHost("dispatcher")
				h.Call(Call("roll.get", nil, nil), func(r flow.Reply) {
					var x struct{ Targets []ledger.Target }
					_ = json.Unmarshal(r.Body, &x)
					for _, t := range x.Targets {
						c := Call("weights.put", map[string]string{"pool": t.Pool}, map[string]any{"revision": t.Revision, "paused": i == 0, "request": w.requestID()})
						w.give(fmt.Sprintf("pause of %s at %d: %t", t.Pool, t.Revision, i == 0), c)
					}
				})
			})
		}
	}},
	{"empty-store", func(w *World) {
		l := w.Leader()
		if l == nil || !w.Repaired() || w.lost > 0 && w.Now-w.lostAt < 45*time.Second {
			return
		}
		h := w.anyHost("store")
		w.Mark("empty-store", "%s", h.Name)
		w.anyHost("dispatcher").Call(Call("store.remove", map[string]string{"id": h.ID()}, nil), func(flow.Reply) {})
	}},
	{"failed-sync", func(w *World) {
		h := w.anyHost("store")
		if h.Up {
			w.Mark("failed-sync", "%s", h.Name)
			h.Disk.Break = true
			w.After(w.between(time.Second, 3*time.Second), func() { h.Disk.Break = false; h.Start() })
		}
	}},
	{"clock-jump", func(w *World) {
		h := w.someHost()
		h.Jump = w.between(0, 96*time.Hour) - 48*time.Hour
		w.Mark("clock-jump", "%s by %v", h.Name, h.Jump)
	}},
	{"release", func(w *World) {
		w.Mark("release", "all model engines, one by one")
		for i, m := range w.Out.Models() {
			w.After(time.Duration(i)*400*time.Millisecond, func() {
				if m.Up {
					w.Out.Crash(m, 0)
					w.After(300*time.Millisecond, func() { w.Out.Rise(m) })
				}
			})
		}
	}},
	{"messy-net", func(w *World) {
		w.Mark("messy-net", "")
		w.Net.Late, w.Net.Twice = 0.1, 0.1
		w.After(w.between(time.Second, 5*time.Second), func() { w.Net.Late, w.Net.Twice = 0, 0 })
	}},
	{"slow-member", (*World).slowMember},
	{"restart-twice", (*World).restartTwice},
	{"wiped-while-slow", func(w *World) { w.wipedWhileSlow() }},
	{"restart-amid-fetch", (*World).restartAmidFetch},
}
