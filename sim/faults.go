package sim

import (
	"time"

	"fernlink/core/dialect"
)

// fault is one thing that goes wrong. It undoes itself, or the end of the
// schedule does.
type fault struct {
	kind string
	do   func(*World)
}

func (w *World) anyHost(role string) *Host {
	hs := w.By(role)
	return hs[w.Rand.Intn(len(hs))]
}

func (w *World) someHost() *Host { return w.Hosts[w.Rand.Intn(len(w.Hosts))] }

func (w *World) anyModel() *Model { m := w.Out.Models(); return m[w.Rand.Intn(len(m))] }

func (w *World) anyApp() *AppHost { m := w.Out.Apps(); return m[w.Rand.Intn(len(m))] }

// ends are all names on the network.
func (w *World) ends() []string {
	var out []string
	for _, h := range w.Hosts {
		out = append(out, h.Name)
	}
	out = append(out, w.Out.names()...)
	return append(out, "judge", "platform")
}

func (w *World) others(name string) []string {
	var out []string
	for _, n := range w.ends() {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

func (w *World) killFor(h *Host, d time.Duration) {
	w.Mark("kill", "%s for %v", h.Name, d)
	h.Kill()
	w.After(d, h.Start)
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
	{"judge-mishap", func(w *World) {
		kinds := []string{"fail", "other", "hang"}
		k := kinds[w.Rand.Intn(len(kinds))]
		w.Mark("judge", "%s", k)
		w.Out.Hang, w.Out.Judge.Mode = k == "hang", map[string]string{"fail": "fail", "other": "other"}[k]
		w.After(w.between(300*time.Millisecond, 3*time.Second), func() { w.Out.Hang, w.Out.Judge.Mode = false, "" })
	}},
	{"messy-net", func(w *World) {
		w.Mark("messy-net", "")
		w.Net.Late, w.Net.Twice = 0.1, 0.1
		w.After(w.between(time.Second, 5*time.Second), func() { w.Net.Late, w.Net.Twice = 0, 0 })
	}},
}

func (w *World) setState(id, state string) {
	w.Out.Relist(func(l *dialect.Listed) bool {
		if l.ID == id {
			l.State = state
		}
		return true
	})
}

func (w *World) cutFor(a, b []string, d time.Duration, both bool) {
	for _, x := range a {
		for _, y := range b {
			w.Net.Cut(x, y)
			if both {
				w.Net.Cut(y, x)
			}
		}
	}
	w.After(d, func() {
		for _, x := range a {
			for _, y := range b {
				w.Net.Join(x, y)
				w.Net.Join(y, x)
			}
		}
	})
}

// Mend undoes everything and starts what is down.
func (w *World) Mend() {
	w.Net.Heal()
	w.Out.Hang, w.Out.Judge.Mode = false, ""
	for _, m := range w.Out.Models() {
		m.Up, m.Slow, m.Lie = true, 1, ""
	}
	for _, a := range w.Out.Apps() {
		a.Up, a.Break = true, false
	}
	for _, h := range w.Hosts {
		if h.Froze {
			h.Froze = false
			h.turn()
		}
		if h.Disk != nil {
			h.Disk.After = 0
		}
		h.Start()
	}
}
