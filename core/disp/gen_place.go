// Placement of generations (design 8.2).

package disp

import (
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/place"
	"fernlink/core/sorted"
)

// placeAll starts held generations where their prefix lies (design 8.2).
func (d *Disp) placeAll() {
	if !d.fresh() || d.plan == nil {
		return
	}
	for _, s := range d.byTurn() {
		if d.now >= s.late {
			continue
		}
		for _, g := range s.gens {
			if g.state == held && d.now >= g.again {
				d.place(g)
			}
		}
	}
}

// byTurn orders steps so that the trainer with the least running goes first.
func (d *Disp) byTurn() []*step {
	runs := map[string]int{}
	var out []*step
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		out = append(out, s)
		for _, g := range s.gens {
			runs[s.doc.Trainer] += len(g.runs)
		}
	}
	for i := 1; i < len(out); i++ {
		for j := i; j > 0; j-- {
			a, b := out[j-1], out[j]
			ra, rb := runs[a.doc.Trainer], runs[b.doc.Trainer]
			if ra < rb || ra == rb && a.opened <= b.opened {
				break
			}
			out[j-1], out[j] = b, a
		}
	}
	return out
}

func (d *Disp) place(g *gen) {
	gr := g.group
	if gr.first != nil && d.now-gr.first.began < budget.Listed {
		return // its prefix is being made just now: better to wait for it
	}
	if len(g.kept) > 0 && !d.goesOn(g) {
		g.kept, g.tokens = nil, 0 // no engine has those weights any more
		d.counts["partials_lost"]++
	}
	seats, engines := d.seats(g, nil)
	if len(seats) == 0 {
		return
	}
	if !d.advised(g, seats) {
		return
	}
	i := place.Policies[d.policy()](d.want(g), seats)
	if i >= 0 {
		d.start(g, engines[i])
	}
}

func (d *Disp) policy() string {
	if _, ok := place.Policies[d.plan.Placement]; ok {
		return d.plan.Placement
	}
	return "prefix"
}

func (d *Disp) want(g *gen) place.Want {
	name := g.group.doc.ID
	if len(g.group.blocks) > 0 {
		name = g.group.blocks[0] // groups that share a beginning meet
	}
	return place.Want{Name: name, Blocks: len(g.group.blocks), Dice: d.p.Rand.Uint64()}
}

// goesOn says whether some engine could go on from the kept partial.
func (d *Disp) goesOn(g *gen) bool {
	if g.step.mixes() {
		return true
	}
	rev := g.kept[len(g.kept)-1].rev
	for _, e := range d.engines {
		if e.Pool == g.step.doc.Pool && e.known && e.load.Revision == rev && !d.ordered(e) && d.now-e.good < budget.Engine {
			return true
		}
	}
	return false
}

// seats gives the engines that may take the generation under its weights. The
// one that failed it last, and those that broke several streams of late, come
// in only when there is no other.
func (d *Disp) seats(g *gen, not *engine) ([]place.Seat, []*engine) {
	seats, engines := d.seatsOf(g, func(e *engine) bool { return e != not && e != g.shy && d.now >= e.rest })
	if len(seats) == 0 {
		seats, engines = d.seatsOf(g, func(e *engine) bool { return e != not })
	}
	for _, s := range seats {
		if s.Busy < s.Slots {
			return seats, engines
		}
	}
	return nil, nil
}

func (d *Disp) seatsOf(g *gen, ok func(*engine) bool) ([]place.Seat, []*engine) {
	var seats []place.Seat
	var engines []*engine
	for _, id := range sorted.Keys(d.engines) {
		e := d.engines[id]
		if !ok(e) || e.Kind != "model" || e.Pool != g.step.doc.Pool || !d.usable(e) || !g.step.allows(e.load.Revision) {
			continue
		}
		if len(g.kept) > 0 && !g.step.mixes() && g.kept[len(g.kept)-1].rev != e.load.Revision {
			continue
		}
		seats = append(seats, place.Seat{ID: id, Zone: e.Zone, Busy: e.busy(), Slots: e.load.Slots,
			Local: d.hits(e, g.group.blocks), Index: g.group.hint[id]})
		engines = append(engines, e)
	}
	return seats, engines
}

// advised asks the index once a group, in a small budget, and only when no
// local hit is there (design 9.6).
func (d *Disp) advised(g *gen, seats []place.Seat) bool {
	gr := g.group
	for _, s := range seats {
		if s.Local > 0 {
			return true
		}
	}
	if gr.asked || len(gr.blocks) == 0 || d.coord.Addr == "" || d.policy() != "prefix" {
		return d.now >= gr.till || gr.hint != nil
	}
	gr.asked, gr.till = true, d.now+budget.LookupTimeout
	id := d.p.IDs()
	d.lookups[id] = gr
	d.counts["lookups"]++
	d.out.Line(d.coord.Addr, "lookup", Lookup{ID: id, Blocks: gr.blocks})
	return false
}

// Lookup asks the index which engines hold a prefix.
type Lookup struct {
	ID     uint64   `json:"id"`
	Blocks []string `json:"blocks"`
}

// Looked is its advice: leading blocks by engine.
type Looked struct {
	ID   uint64         `json:"id"`
	Term uint64         `json:"term"`
	Hits map[string]int `json:"hits"`
}

// Looked takes advice from the index; lower terms are not heard.
func (d *Disp) Looked(now flow.Time, l Looked) {
	gr := d.lookups[l.ID]
	delete(d.lookups, l.ID)
	if gr == nil || l.Term < d.coord.Term {
		d.counts["stale_advice"]++
		return
	}
	if now <= gr.till {
		d.counts["advice"]++
	} else {
		d.counts["late_advice"]++
	}
	gr.hint = l.Hits
}
