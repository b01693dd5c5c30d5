// Package policy holds what acts on the views (design 9.4). Policies read
// views and never each other; what they want comes back as actions.
package policy

import (
	"sort"

	"fernlink/core/flow"
	"fernlink/core/index/view"
	"fernlink/core/ledger"
)

// Fleet is what a policy may read besides the views: the ledger's word on
// weights and steps, as of the coordinator's last renewal.
type Fleet struct {
	Steps   []ledger.StepDoc
	Orders  map[string]ledger.Order
	Targets map[string]ledger.Target
	Keep    map[string]float64 // pool, share kept serving
	Pins    map[string]bool    // blocks that are never dropped
}

// Action is what a policy wants.
type Action struct {
	Kind     string // forget, order
	Engine   string
	Blocks   []string
	Inc      string
	Pool     string
	Revision int
}

// Policy is one of them.
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
func Evict(_ flow.Time, v *view.Views, f Fleet) []Action {
	var out []Action
	for _, id := range v.IDs() {
		room := v.Registry[id].Load.Blocks
		dir := v.Directory[id]
		if room <= 0 || len(dir) <= room {
			continue
		}
		names := make([]string, 0, len(dir))
		for n := range dir {
			if !f.Pins[n] {
				names = append(names, n)
			}
		}
		sort.Slice(names, func(a, b int) bool {
			x, y := dir[names[a]], dir[names[b]]
			return x.Last < y.Last || x.Last == y.Last && names[a] < names[b]
		})
		n := min(len(dir)-room, len(names))
		out = append(out, Action{Kind: "forget", Engine: id, Blocks: names[:n]})
	}
	return out
}

// Roll names the engines that should take new weights now (design 8.5). An
// engine whose weights no open step can use goes at once; of the useful ones
// a share of the pool keeps serving.
func Roll(_ flow.Time, v *view.Views, f Fleet) []Action {
	var out []Action
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
		t, ok := f.Targets[pool]
		if !ok || t.Paused {
			continue
		}
		out = append(out, rollPool(pool, t.Revision, pools[pool], f)...)
	}
	return out
}

func rollPool(pool string, want int, rows []*view.Row, f Fleet) []Action {
	useful := func(rev int) bool {
		for _, s := range f.Steps {
			if s.Pool == pool && rev >= s.Revision-s.Lag && rev <= s.Revision {
				return true
			}
		}
		return false
	}
	keep, ok := f.Keep[pool]
	if !ok {
		keep = 0.5
	}
	serving := 0
	for _, r := range rows {
		if !moving(r, f) && useful(r.Load.Revision) {
			serving++
		}
	}
	least := int(keep*float64(len(rows)) + 0.5)
	var out []Action
	for _, r := range rows {
		if r.Load.Revision >= want || moving(r, f) {
			continue
		}
		if useful(r.Load.Revision) {
			if serving <= least {
				continue
			}
			serving--
		}
		out = append(out, Action{Kind: "order", Engine: r.ID, Inc: r.Inc, Pool: pool, Revision: want})
	}
	return out
}

func moving(r *view.Row, f Fleet) bool {
	o, ok := f.Orders[r.ID]
	return ok && o.State == "ordered" && o.Inc == r.Inc
}
