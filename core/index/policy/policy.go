// Package policy decides what is to be done by the state of the index (design 9.4).
// Policies read the views and never each other; what they want comes back as actions,
// which core/coord, the one caller, carries out. It keeps no state.
package policy

import (
	"sort"

	"fernlink/core/flow"
	"fernlink/core/index/view"
	"fernlink/core/ledger"
)

// Fleet is what a policy may read besides the views: what the ledger has on
// weights and steps, as of the coordinator's last renewal.
type Fleet struct {
	Steps   []ledger.StepDoc
	Orders  map[string]ledger.Order
	Targets map[string]ledger.Target
	Keep    map[string]float64 // pool, share kept serving
	Pins    map[string]bool    // blocks that are never dropped
}

// Kinds of actions.
const (
	Forget = "forget" // blocks that the engine can't hold any more, by estimate
	Order  = "order"  // the engine is to take new weights
)

// Action is what a policy wants done with one engine.
type Action struct {
	Kind     string
	Engine   string
	Blocks   []string // of Forget
	Inc      string   // of Order: the engine's start that is meant
	Pool     string   // of Order
	Revision int      // of Order
}

// Policy is one rule with the name by which a config switches it off. Tick reads the
// views and gives what is to be done now.
type Policy struct {
	Name string
	Tick func(flow.Time, *view.Views, Fleet) []Action
}

// All are the policies that run unless switched off by name.
var All = []Policy{
	{"evict-estimate", Evict},
	{"roll-out", Roll},
}

// Evict drops the longest unused blocks from the directory's slice of an
// engine that can't hold them all by its own declared capacity: engines drop
// parts by themselves and never say so. Pinned blocks stay.
func Evict(_ flow.Time, v *view.Views, fleet Fleet) []Action {
	var actions []Action
	for _, id := range v.IDs() {
		room := v.Registry[id].Load.Blocks
		dir := v.Directory[id]
		if room <= 0 || len(dir) <= room {
			continue
		}
		names := make([]string, 0, len(dir))
		for n := range dir {
			if !fleet.Pins[n] {
				names = append(names, n)
			}
		}
		sort.Slice(names, func(a, b int) bool {
			x, y := dir[names[a]], dir[names[b]]
			return x.Last < y.Last || x.Last == y.Last && names[a] < names[b]
		})
		n := min(len(dir)-room, len(names))
		actions = append(actions, Action{Kind: Forget, Engine: id, Blocks: names[:n]})
	}
	return actions
}

// Roll names the engines that should take new weights now (design 8.5). An
// engine whose weights no open step can use goes at once; of the useful ones
// a share of the pool keeps serving.
func Roll(_ flow.Time, v *view.Views, fleet Fleet) []Action {
	var actions []Action
	pools := map[string][]*view.Row{}
	var names []string
	for _, id := range v.IDs() {
		r := v.Registry[id]
		if r.Seat.Kind != "model" {
			continue
		}
		if pools[r.Seat.Pool] == nil {
			names = append(names, r.Seat.Pool)
		}
		pools[r.Seat.Pool] = append(pools[r.Seat.Pool], r)
	}
	sort.Strings(names)
	for _, pool := range names {
		t, ok := fleet.Targets[pool]
		if !ok || t.Paused {
			continue
		}
		actions = append(actions, rollPool(pool, t.Revision, pools[pool], fleet)...)
	}
	return actions
}

func rollPool(pool string, want int, rows []*view.Row, fleet Fleet) []Action {
	useful := func(rev int) bool {
		for _, s := range fleet.Steps {
			if s.Pool == pool && rev >= s.Revision-s.Lag && rev <= s.Revision {
				return true
			}
		}
		return false
	}
	keep, ok := fleet.Keep[pool]
	if !ok {
		keep = 0.5
	}
	serving := 0
	for _, r := range rows {
		if !moving(r, fleet) && useful(r.Load.Revision) {
			serving++
		}
	}
	least := int(keep*float64(len(rows)) + 0.5)
	var actions []Action
	for _, row := range rows {
		if row.Load.Revision >= want || moving(row, fleet) {
			continue
		}
		if useful(row.Load.Revision) {
			if serving <= least {
				continue
			}
			serving--
		}
		actions = append(actions, Action{Kind: Order, Engine: row.ID, Inc: row.Inc, Pool: pool, Revision: want})
	}
	return actions
}

func moving(r *view.Row, f Fleet) bool {
	o, ok := f.Orders[r.ID]
	return ok && o.State == "ordered" && o.Inc == r.Inc
}
