package sim

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// verdict checks a history without a limit of time, so that it is the same on each
// machine.
func verdict(model porcupine.Model, history []porcupine.Operation) porcupine.CheckResult {
	const unlimited = 0
	return porcupine.CheckOperationsTimeout(model, history, unlimited)
}

// The plan as a register with versions: a put takes effect if it was made from
// the version that stands, a look sees what stands.
type planIn struct {
	put     bool
	read    uint64
	request string
}

type planOut struct {
	state   string // acked, lost, open; "" for a look
	version uint64
	request string
}

type planNow struct {
	version uint64
	request string
}

var planModel = porcupine.Model{
	Init: func() any { return planNow{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(planNow), input.(planIn), output.(planOut)
		next := planNow{in.read + 1, in.request}
		switch {
		case !in.put:
			return out.version == now.version && out.request == now.request, now
		case out.state == "acked":
			return in.read == now.version && out.version == next.version, next
		case out.state == "lost":
			return in.read != now.version, now
		case in.read == now.version:
			return true, next // no answer came: it may have taken effect
		}
		return true, now
	},
	Equal: func(a, b any) bool { return a == b },
}

func (a *Actors) planHistory() []porcupine.Operation {
	var ops []porcupine.Operation
	id := 0
	add := func(from, to time.Duration, in planIn, out planOut) {
		end := int64(to)
		if out.state == "open" {
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: id, Input: in, Call: int64(from), Output: out, Return: end})
		id++
	}
	for _, t := range a.Attempts {
		if t.state != "invalid" {
			add(t.sent, t.acked, planIn{true, t.read, "req-" + t.id}, planOut{state: t.state, version: t.version})
		}
	}
	for _, l := range a.Looks {
		add(l.Call, l.Return, planIn{}, planOut{version: l.Version, request: l.Request})
	}
	return ops
}

// Given storms of faults, when operators race and others look, then all they saw
// fits one order of plans, each in force from its acknowledgement on.
func TestPlansAreLinearizable(t *testing.T) {
	t.Parallel()
	puts, looks := 0, 0
	for seed := int64(300); seed < 306; seed++ {
		o := Storm(seed, Small, 8)
		for _, b := range o.Bad {
			t.Errorf("seed %d: %s", seed, b)
		}
		ops := o.Actors.planHistory()
		puts, looks = puts+len(o.Actors.Attempts), looks+len(o.Actors.Looks)
		if r := verdict(planModel, ops); r != porcupine.Ok {
			t.Errorf("seed %d: %s, faults %q", seed, r, o.Marks)
		}
	}
	t.Logf("%d puts, %d looks", puts, looks)
	if puts < 60 || looks < 200 {
		t.Errorf("too little was tried: %d puts, %d looks", puts, looks)
	}
}

// Given histories with one thing wrong, when they are checked, then each is
// found: a checker that can't object proves nothing.
func TestPlanCheckerObjects(t *testing.T) {
	t.Parallel()
	o := Storm(300, Small, 4)
	good := func() *Actors {
		a := &Actors{}
		for _, x := range o.Actors.Attempts {
			c := *x
			a.Attempts = append(a.Attempts, &c)
		}
		a.Looks = append(a.Looks, o.Actors.Looks...)
		return a
	}
	check := func(a *Actors) porcupine.CheckResult {
		return verdict(planModel, a.planHistory())
	}
	if r := check(good()); r != porcupine.Ok {
		t.Fatalf("the true history: %s", r)
	}
	late := len(o.Actors.Looks) - 1
	for name, spoil := range map[string]func(*Actors){
		"a look slips back":           func(a *Actors) { a.Looks[late].Version, a.Looks[late].Request = a.Looks[0].Version, a.Looks[0].Request },
		"a look sees a lost plan":     func(a *Actors) { a.Looks[late].Request = "req-never" },
		"an acknowledged put is lost": func(a *Actors) { a.Attempts[0].version++ },
		"two win from one version": func(a *Actors) {
			for _, x := range a.Attempts {
				if x.state == "acked" {
					c := *x
					c.id += "-too"
					a.Attempts = append(a.Attempts, &c)
					return
				}
			}
		},
	} {
		a := good()
		spoil(a)
		if r := check(a); r != porcupine.Illegal {
			t.Errorf("%s: %s", name, r)
		}
	}
}
