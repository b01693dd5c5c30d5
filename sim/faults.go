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

// fault is one thing that goes wrong. It undoes itself, or the end of the
// schedule does.
type fault struct {
	kind string
	do   func(*World)
}

// requestID gives an operator's own id for an order, unlike all before.
func (w *World) requestID() string {
	w.requests++
	return fmt.Sprint("request-", w.requests)
}

// givenOrder is an operator's order as it was sent.
type givenOrder struct {
	name string
	call flow.Call
}

// give sends an operator's order through any dispatcher, and remembers it if it is
// acknowledged.
func (w *World) give(name string, c flow.Call) {
	w.anyHost("dispatcher").Call(c, func(r flow.Reply) {
		if r.Code == 200 {
			w.orders = append(w.orders, givenOrder{name, c})
		}
	})
}

// repeatOrder sends an acknowledged order once more.
func (w *World) repeatOrder() {
	if len(w.orders) == 0 {
		return
	}
	o := w.orders[w.Rand.Intn(len(w.orders))]
	w.again(o.name, o.call)
}

// again sends an acknowledged order once more, which must not be refused.
func (w *World) again(name string, c flow.Call) {
	h := w.anyHost("dispatcher")
	h.Call(c, func(r flow.Reply) {
		w.repeats++
		if r.Code/100 == 4 && r.Code != 429 && r.Code != 408 {
			w.Wrong("%s was acknowledged, and is refused by %s when it is sent again: %d %s", name, h.Name, r.Code, r.Body)
		}
	})
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

// loseDisk takes one store machine away with its disk, if all the others stand
// and nothing is being repaired: the fleet is to survive one loss at a time. An
// empty machine takes its place after a while, at a new address or at the old.
func (w *World) loseDisk() {
	lead := w.Leader()
	if lead == nil {
		return
	}
	voters := 0
	for _, m := range lead.Node.Stats(lead.clock()).Store.Members {
		if !m.Voter {
			continue
		}
		voters++
		h := w.hostOf(m.ID)
		if h == nil || !h.Up || h.Froze {
			return
		}
	}
	stores := w.By("store")
	h := stores[w.Rand.Intn(len(stores))]
	if voters != 3 || !h.Up || w.lost >= 2 || w.lost > 0 && w.Now-w.lostAt < 45*time.Second {
		return
	}
	w.lost++
	w.lostAt = w.Now
	h.Lose(true)
	d := w.between(500*time.Millisecond, 5*time.Second)
	if w.Rand.Intn(2) == 0 {
		w.Mark("disk-loss", "%s, blank at its old address after %v", h.Name, d)
		w.After(d, h.Start)
		return
	}
	w.Mark("disk-loss", "%s, replaced at a new address after %v", h.Name, d)
	h.Retired = true
	p := h.Config
	p.Addr, p.Web, p.Form = fmt.Sprintf("10.0.9.%d:1", w.lost), fmt.Sprintf("10.0.9.%d:2", w.lost), nil
	name := fmt.Sprintf("%s-new", h.Name)
	w.After(d, func() { w.AddHost(name, p, true).Start() })
}

// mayLoseDisk says that all voters stand and that no disk was lost of late.
func (w *World) mayLoseDisk() bool {
	return w.Leader() != nil && w.Repaired() && w.lost < 2 && (w.lost == 0 || w.Now-w.lostAt >= 45*time.Second)
}

// secondLoss wipes a store machine, and has another meet trouble as soon as the first
// votes again: the least time that the fleet has to be whole in between.
func (w *World) secondLoss() {
	first := w.anyHost("store")
	if !w.mayLoseDisk() || !first.Up {
		return
	}
	w.lost, w.lostAt = w.lost+1, w.Now
	d := w.between(200*time.Millisecond, time.Second)
	w.Mark("second-loss", "%s is wiped and back after %v", first.Name, d)
	first.Lose(true)
	w.After(d, first.Start)
	until := w.Now + 10*time.Second
	w.Every(20*time.Millisecond, func() bool {
		if w.Now > until {
			return false
		}
		if !first.Up || w.hostOf(first.ID()) == nil || !w.Repaired() {
			return true
		}
		w.loseAnother(first)
		return false
	})
}

// loseAnother has a store machine that is not the first meet trouble for a while.
func (w *World) loseAnother(first *Host) {
	second, d := w.anyHost("store"), w.between(500*time.Millisecond, 4*time.Second)
	if second == first || !second.Up || second.Froze {
		return
	}
	w.Mark("second-loss", "%s for %v, as %s votes again", second.Name, d, first.Name)
	switch w.Rand.Intn(4) {
	case 0:
		w.killFor(second, d)
	case 1:
		second.Lose(false)
		w.After(d, second.Start)
	case 2:
		second.Freeze(d)
	default:
		w.cutFor([]string{second.Name}, w.others(second.Name), d, true)
	}
}

// hostOf gives the running host of an identity.
func (w *World) hostOf(id string) *Host {
	for _, h := range w.Hosts {
		if h.Up && h.ID() == id {
			return h
		}
	}
	return nil
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
	w.cutBy(Silent, a, b, d)
	if both {
		w.cutBy(Silent, b, a, d)
	}
}

// cutBy cuts the ways from some to others in a manner, and joins them later.
func (w *World) cutBy(manner Manner, from, to []string, d time.Duration) {
	pairs := func(f func(x, y string)) {
		for _, x := range from {
			for _, y := range to {
				f(x, y)
			}
		}
	}
	pairs(func(x, y string) { w.Net.CutBy(manner, x, y) })
	w.After(d, func() { pairs(w.Net.Join) })
}

// undo takes back what operators left behind, until nothing is: a roll-out that
// stays paused or an engine that stays drained is no fault of the fleet.
func (w *World) undo() {
	w.Every(300*time.Millisecond, func() bool {
		h := w.anyHost("dispatcher")
		h.Call(Call("roll.get", nil, nil), func(r flow.Reply) {
			var x struct{ Targets []ledger.Target }
			_ = json.Unmarshal(r.Body, &x)
			for _, t := range x.Targets {
				if t.Paused {
					h.Call(Call("weights.put", map[string]string{"pool": t.Pool}, map[string]any{"revision": t.Revision, "paused": false, "request": w.requestID()}), func(flow.Reply) {})
				}
			}
		})
		h.Call(Call("engine.list", nil, nil), func(r flow.Reply) {
			var x struct {
				Engines []struct {
					ID      string
					Drained bool
				}
			}
			_ = json.Unmarshal(r.Body, &x)
			for _, e := range x.Engines {
				if e.Drained {
					h.Call(Call("engine.drain", map[string]string{"id": e.ID}, map[string]any{"drained": false, "request": w.requestID()}), func(flow.Reply) {})
				}
			}
		})
		return w.Now < w.mended+5*budget.Heal
	})
}

// Mend undoes everything and starts what is down.
func (w *World) Mend() {
	w.mended = w.Now
	w.undo()
	w.Net.Heal()
	w.Out.Hang, w.Out.Judge.Mode = false, ""
	for _, m := range w.Out.Models() {
		m.Up, m.Slow, m.Lie, m.Stale = true, 1, "", 0
	}
	for _, a := range w.Out.Apps() {
		a.Up, a.Break = true, false
	}
	for _, h := range w.Hosts {
		if h.Retired {
			continue
		}
		if h.Froze {
			h.Froze = false
			h.turn()
		}
		if h.Disk != nil {
			h.Disk.After, h.Disk.Slow, h.Disk.Full, h.Disk.Break = 0, 0, false, false
		}
		h.Start()
	}
}
