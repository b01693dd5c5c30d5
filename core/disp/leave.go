package disp

import (
	"fmt"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// A clean stop (design 5.5): no new work from here on; what is held is refused,
// what was sent is seen to its end; the store takes this dispatcher out of the
// roster, and its partials go to those whose groups they are by the new one.

// Handed is a partial on its way to the sample's next owner.
type Handed struct {
	Step   string `json:"step"`
	Group  string `json:"group"`
	Sample int    `json:"sample"`
	Tokens int    `json:"tokens"`
	Pieces []Made `json:"pieces"`
}

// Made is text made under one revision.
type Made struct {
	Text string `json:"text"`
	Rev  int    `json:"revision"`
}

// Leave begins a clean stop.
func (d *Disp) Leave(now flow.Time, out *flow.Outbox) {
	d.now, d.out, d.leaving = now, out, true
	for _, id := range sorted.Keys(d.reqs) {
		if q := d.reqs[id]; q.state == held {
			d.refuse(q, nodeStops)
		}
	}
	d.p.Asker.Ask(now, budget.LeaseDuration, store.Renew{ID: d.p.ID, Have: d.index, Left: true, Heard: d.heard}, func(now flow.Time, a ask.Answer) {
		d.now = now
		if a.Code == ledger.Unanswered {
			// Nobody heard it for a whole lease, which has lapsed by now: there is nobody
			// to hand anything to, and nobody waits for the word below.
			d.handed = true
			return
		}
		var x ledger.Delta
		if a.Code == ledger.Accepted && json.Unmarshal(a.Body, &x) == nil {
			d.handOn(x.Roster)
		}
		// All its streams are cut: weight orders need not wait for it to lapse.
		d.p.Asker.Ask(now, budget.LeaseDuration, store.Gone(d.p.ID), func(flow.Time, ask.Answer) { d.handed = true })
	})
}

func (d *Disp) handOn(roster []string) {
	at := map[string]string{}
	for _, e := range d.live {
		at[fmt.Sprintf("%s.%x", e.ID, e.Inc)] = e.Addr
	}
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		for _, g := range s.gens {
			if g.state != held && g.state != sent {
				continue // whole: it is judged and listed from here
			}
			g.stop(d)

			to := at[owner(roster, prefix.Name(id, g.group.doc.ID, 0))]
			if g.tokens == 0 || to == "" {
				continue
			}
			h := Handed{Step: id, Group: g.group.doc.ID, Sample: g.sample, Tokens: g.tokens}
			for _, p := range g.kept {
				h.Pieces = append(h.Pieces, Made{p.text, p.rev})
			}
			d.counts["handed_on"]++
			d.out.Line(to, "handed", h)
		}
	}
}

// Close answers all requests that are open, since this process ends now: what was sent may
// have run.
func (d *Disp) Close(now flow.Time, out *flow.Outbox) {
	d.now, d.out = now, out
	d.proveCalls()
	for _, id := range sorted.Keys(d.reqs) {
		q := d.reqs[id]
		if q.state == held && q.known.MayResend() {
			d.refuse(q, nodeStops)
		} else {
			d.finish(q, mayHaveRun)
		}
	}
}

// Left says that nothing is open any more.
func (d *Disp) Left() bool {
	if !d.handed || len(d.reqs) > 0 || d.owed > 0 {
		return false
	}
	for _, s := range d.steps {
		for _, g := range s.gens {
			if g.state != held && g.state != over {
				return false
			}
		}
	}
	return true
}

// Handed takes a partial from a peer that stops. It is only ever text of the
// sample from its beginning, with the weights of each piece.
func (d *Disp) Handed(h Handed) {
	s := d.steps[h.Step]
	if s == nil || s.groups[h.Group] == nil || h.Sample < 0 || h.Sample >= s.groups[h.Group].doc.Samples {
		return
	}
	k := sampleKey(h.Group, h.Sample)
	if s.done[k] {
		return
	}
	d.counts["taken_over"]++
	s.given[k] = h
	for _, g := range s.gens {
		if g.group.doc.ID == h.Group && g.sample == h.Sample && g.state == held {
			g.take(h)
		}
	}
}

func (g *gen) take(h Handed) {
	if h.Tokens <= g.tokens {
		return
	}
	g.kept, g.tokens = nil, h.Tokens
	for _, p := range h.Pieces {
		g.kept = append(g.kept, piece{p.Text, p.Rev})
	}
}
