package disp

import (
	"sort"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// Event is one cache fact that this dispatcher derived (design 9.1).
type Event struct {
	Kind    string        `json:"k"` // sign, store, read, drop
	Blocks  []string      `json:"b,omitempty"`
	Rev     int           `json:"r,omitempty"`
	Trainer string        `json:"t,omitempty"`
	Load    *dialect.Load `json:"l,omitempty"`
	Seat    *Seat         `json:"s,omitempty"`
}

// Seat says which engine a sign of life is from.
type Seat struct {
	URL   string `json:"url"`
	Kind  string `json:"kind"`
	Pool  string `json:"pool"`
	Zone  string `json:"area"` // the name on the wire: builds of both names must read each other
	Ready bool   `json:"ready"`
}

// Batch is what one writer says of one engine start, in order by Seq. Full
// means that it is all the writer knows of it.
type Batch struct {
	Engine string  `json:"e"`
	Inc    string  `json:"i"`
	Writer string  `json:"w"`
	Seq    uint64  `json:"n"`
	Full   bool    `json:"f,omitempty"`
	Events []Event `json:"v"`
}

// Batches is one line of them.
type Batches struct {
	Term    uint64  `json:"term"`
	Batches []Batch `json:"batches"`
}

// Ack answers with what was admitted, and which slices must be sent whole.
type Ack struct {
	Term  uint64 `json:"term"`
	Seqs  []Seq  `json:"seqs"`
	Stale []Seq  `json:"stale"`
}

// Seq is a place in one stream.
type Seq struct {
	Engine string `json:"e"`
	Inc    string `json:"i"`
	Seq    uint64 `json:"n"`
}

// keepEvents bounds the events that wait while no coordinator is known; beyond
// it the slice is sent whole later.
const keepEvents = 512

const keepBatches = 8 // batches kept for sending again; older ones make a gap

// slice is what this dispatcher knows of one engine start's cache, and its
// stream of events about it.
type slice struct {
	inc    string
	rev    int
	blocks map[string]flow.Time
	events []Event
	signed bool
	seq    uint64
	open   []Batch
	full   bool
}

func (d *Disp) slice(e *engine) *slice {
	s := d.slices[e.ID]
	if s == nil || s.inc != e.load.Inc {
		s = &slice{inc: e.load.Inc, rev: e.load.Revision, blocks: map[string]flow.Time{}}
		d.slices[e.ID] = s
	}
	return s
}

// hits counts the leading blocks that an engine holds under its weights.
func (d *Disp) hits(e *engine, blocks []string) int {
	s := d.slices[e.ID]
	if s == nil || s.inc != e.load.Inc || s.rev != e.load.Revision {
		return 0
	}
	for i, b := range blocks {
		if _, ok := s.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// holds notes a stored or read prefix.
func (d *Disp) holds(e *engine, inc string, rev int, blocks []string, hits int, trainer string) {
	if d.engines[e.ID] != e || e.load.Inc != inc {
		return
	}
	s := d.slice(e)
	if s.rev != rev {
		s.clear(rev)
	}
	for _, b := range blocks {
		s.blocks[b] = d.now
	}
	hits = min(hits, len(blocks))
	if hits > 0 {
		s.events = append(s.events, Event{Kind: "read", Rev: rev, Blocks: blocks[:hits], Trainer: trainer})
	}
	if hits < len(blocks) {
		s.events = append(s.events, Event{Kind: "store", Rev: rev, Blocks: blocks[hits:], Trainer: trainer})
	}
	s.trim(min(d.p.BlocksMost, max(e.load.Blocks, 1)))
}

// trim forgets the longest unused blocks beyond what the engine can hold.
func (s *slice) trim(most int) {
	over := len(s.blocks) - most
	if over <= 0 {
		return
	}
	type one struct {
		name string
		at   flow.Time
	}
	all := make([]one, 0, len(s.blocks))
	for b, at := range s.blocks {
		all = append(all, one{b, at})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].at < all[j].at || all[i].at == all[j].at && all[i].name < all[j].name
	})
	for _, x := range all[:over] {
		delete(s.blocks, x.name)
	}
}

func (s *slice) clear(rev int) {
	s.rev = rev
	s.blocks = map[string]flow.Time{}
	s.events = append(s.events, Event{Kind: "drop", Rev: rev})
}

// forget drops all that is known of an engine's cache.
func (d *Disp) forget(id string) {
	if s := d.slices[id]; s != nil {
		rev := s.rev
		if e := d.engines[id]; e != nil {
			rev = e.load.Revision
		}
		s.clear(rev)
	}
}

// drop ends the stream of an engine that left the list.
func (d *Disp) drop(e *engine) { delete(d.slices, e.ID) }

// learn compares the cached tokens that the engine reported with what was
// expected: a hit that was none means it dropped the prefix by itself.
func (d *Disp) learn(r *run) {
	if r.hits == 0 {
		return
	}
	d.counts["hits_expected"]++
	if r.cached > 0 || r.prompt == 0 {
		return
	}
	d.counts["hits_missed"]++
}

// sign notes a sign of life; one a batch is enough.
func (d *Disp) sign(e *engine) {
	s := d.slice(e)
	if s.rev != e.load.Revision {
		s.clear(e.load.Revision)
	}
	s.signed = true
}

// report sends the batches, about once a second (design 9.1).
func (d *Disp) report() {
	for _, s := range d.slices {
		if len(s.events) > keepEvents {
			s.events, s.full = nil, true
		}
	}
	if d.now < d.evDue || d.coord.Addr == "" {
		return
	}
	d.evDue = d.now + budget.EventBatchInterval
	line := Batches{Term: d.coord.Term}
	for _, id := range sorted.Keys(d.slices) {
		if e := d.engines[id]; e != nil {
			d.gather(d.slices[id], e)
			line.Batches = append(line.Batches, d.slices[id].open...)
		}
	}
	if len(line.Batches) > 0 {
		d.out.Line(d.coord.Addr, "events", line)
	}
}

// gather puts an engine's new events into its open batches.
func (d *Disp) gather(s *slice, e *engine) {
	if s.signed {
		l := e.load
		s.events = append(s.events, Event{Kind: "sign", Rev: l.Revision, Load: &l,
			Seat: &Seat{e.URL, e.Kind, e.Pool, e.Zone, d.usable(e) || d.ordered(e)}})
		s.signed = false
	}
	if s.full {
		s.events, s.open, s.full = s.whole(s.events), nil, false
		d.batch(s, e, true)
	}
	if len(s.events) > 0 {
		d.batch(s, e, false)
	}
	if n := len(s.open); n > keepBatches {
		s.open = append([]Batch(nil), s.open[n-keepBatches:]...)
		d.counts["batches_lost"]++
	}
}

// batch makes the next batch of the events that wait.
func (d *Disp) batch(s *slice, e *engine, whole bool) {
	s.seq++
	s.open = append(s.open, Batch{e.ID, s.inc, d.p.ID, s.seq, whole, s.events})
	s.events = nil
}

// whole is all that is known of the engine start, as events.
func (s *slice) whole(tail []Event) []Event {
	blocks := sorted.Keys(s.blocks)
	out := []Event{{Kind: "store", Rev: s.rev, Blocks: blocks}}
	for _, e := range tail {
		if e.Kind == "sign" {
			out = append(out, e)
		}
	}
	return out
}

// Acked takes the coordinator's answer to batches.
func (d *Disp) Acked(a Ack) {
	if a.Term < d.coord.Term {
		d.counts["stale_acks"]++
		return
	}
	for _, q := range a.Seqs {
		s := d.slices[q.Engine]
		if s == nil || s.inc != q.Inc {
			continue
		}
		for len(s.open) > 0 && s.open[0].Seq <= q.Seq {
			s.open = s.open[1:]
		}
	}
	for _, q := range a.Stale {
		if s := d.slices[q.Engine]; s != nil && s.inc == q.Inc {
			s.full = true
		}
	}
}
