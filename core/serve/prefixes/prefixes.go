// Package prefixes is the serving side's part of the index (design 9, 12.9): which
// parts of prompts this node's requests left on which engine, told to the acting
// coordinator about once a second, and its advice. A send never waits for it.
package prefixes

import (
	"sort"
	"strings"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/env"
	"fernlink/core/sorted"
)

// Bounds of the room.
const (
	partsMost   = 4096 // parts of prompts remembered of one engine and model
	eventsMost  = 512  // events that wait; beyond it the slice is sent whole
	batchesMost = 8    // batches kept for sending again; older ones make a gap
	asksMost    = 256  // questions that are not answered
)

// slice is what this node knows of one model's memory on one start of an engine,
// and its stream of events about it: the only writer of its own numbers.
type slice struct {
	engine *engines.Engine
	model  string
	rev    int
	parts  map[string]flow.Time
	events []disp.Event
	seq    uint64
	open   []disp.Batch
	full   bool
	signed bool
}

// Table is all slices, by engine and model.
type Table struct {
	env   *env.Env
	rows  map[string]*slice
	coord string // where the acting coordinator is, "" while none is known
	term  uint64
	due   flow.Time
	asks  map[uint64]func(hits map[string]int)
}

// New makes an empty table.
func New(e *env.Env) *Table {
	return &Table{env: e, rows: map[string]*slice{}, asks: map[uint64]func(map[string]int){}}
}

// Coord hears who the acting coordinator is, and under which term.
func (t *Table) Coord(term uint64, addr string) {
	if term >= t.term {
		t.term, t.coord = term, addr
	}
}

// Parts names the shared parts of a prompt, each by all up to its end, from a word
// like ID:TOKENS,ID:TOKENS whose last part is the request's own.
func Parts(model, word string) []string {
	var out []string
	at := model
	all := strings.Split(word, ",")
	for _, p := range all[:len(all)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(p), ":")
		at += "/" + id
		out = append(out, at)
	}
	return out
}

func key(engine, model string) string { return engine + "/" + model }

// Stored hears that a request with these parts put out its first token at an
// engine under a version: what was there already was read, the rest is stored.
func (t *Table) Stored(e *engines.Engine, model string, rev int, parts []string, trainer string) {
	if len(parts) == 0 || rev <= 0 {
		return
	}
	k := key(e.ID, model)
	s := t.rows[k]
	if s == nil {
		s = &slice{engine: e, model: model, rev: rev, parts: map[string]flow.Time{}}
		t.rows[k] = s
	}
	s.turn(rev)
	if rev < s.rev {
		return // a stream that began before the change
	}
	s.signed = true
	hits := s.hits(parts)
	for _, p := range parts {
		s.parts[p] = t.env.Now
	}
	for _, x := range []struct {
		kind  string
		parts []string
	}{{"read", parts[:hits]}, {"store", parts[hits:]}} {
		if len(x.parts) > 0 {
			s.events = append(s.events, disp.Event{Kind: x.kind, Rev: rev, Blocks: x.parts, Trainer: trainer})
		}
	}
	s.trim()
}

// turn takes newer weights: what was made under others is gone.
func (s *slice) turn(rev int) {
	if rev > s.rev {
		s.rev, s.parts, s.signed = rev, map[string]flow.Time{}, true
		s.events = append(s.events, disp.Event{Kind: "drop", Rev: rev})
	}
}

func (s *slice) hits(parts []string) int {
	for i, p := range parts {
		if _, ok := s.parts[p]; !ok {
			return i
		}
	}
	return len(parts)
}

// trim forgets the longest unused parts.
func (s *slice) trim() {
	if len(s.parts) <= partsMost {
		return
	}
	names := sorted.Keys(s.parts)
	sort.SliceStable(names, func(a, b int) bool { return s.parts[names[a]] < s.parts[names[b]] })
	for _, n := range names[:len(names)-partsMost] {
		delete(s.parts, n)
	}
}

// Local gives the engine of a pool that holds the most of these parts by this
// node's own table, or nil.
func (t *Table) Local(pool []*engines.Engine, model string, parts []string) *engines.Engine {
	var best *engines.Engine
	most := 0
	for _, e := range pool {
		if s := t.rows[key(e.ID, model)]; s != nil && !e.Draining && s.rev == e.Held[model] {
			if n := s.hits(parts); n > most {
				best, most = e, n
			}
		}
	}
	return best
}

// Ask asks the index which engines hold these parts, by engine. Without an answer
// f is never called: nobody waits for it.
func (t *Table) Ask(model string, parts []string, f func(hits map[string]int)) {
	if t.coord == "" || len(parts) == 0 || len(t.asks) >= asksMost {
		return
	}
	id := t.env.IDs()
	t.asks[id] = func(hits map[string]int) {
		out := map[string]int{}
		for k, n := range hits {
			if e, ok := strings.CutSuffix(k, "/"+model); ok {
				out[e] = n
			}
		}
		f(out)
	}
	t.env.Counts["lookups"]++
	t.env.Out.Line(t.coord, "lookup", disp.Lookup{ID: id, Blocks: parts})
}

// Looked takes the index's advice.
func (t *Table) Looked(l disp.Looked) {
	f := t.asks[l.ID]
	delete(t.asks, l.ID)
	if f != nil && l.Term >= t.term {
		t.env.Counts["lookups_answered"]++
		f(l.Hits)
	}
}

// Advance tells the coordinator what is new, about once a second, and lets go of
// engines that left.
func (t *Table) Advance() {
	if t.env.Now < t.due {
		return
	}
	t.due = t.env.Now + budget.EventBatchInterval
	if len(t.asks) >= asksMost {
		t.asks = map[uint64]func(map[string]int){} // they were lost
	}
	line := disp.Batches{Term: t.term}
	for _, k := range sorted.Keys(t.rows) {
		s := t.rows[k]
		s.turn(s.engine.Held[s.model])
		gone := s.engine.Gone || s.engine.Draining
		if gone {
			s.events = append(s.events, disp.Event{Kind: "drop", Rev: s.rev + 1})
			delete(t.rows, k)
		}
		line.Batches = append(line.Batches, s.batches(k, t.env.Me, !gone)...)
	}
	if len(line.Batches) > 0 && t.coord != "" {
		t.env.Out.Line(t.coord, "events", line)
	}
}

// batches closes what waits into a batch, and gives all that is not acknowledged.
func (s *slice) batches(k, me string, ready bool) []disp.Batch {
	if len(s.events) > eventsMost {
		s.full = true
	}
	if s.signed || !ready {
		s.signed = false
		s.events = append(s.events, disp.Event{Kind: "sign", Rev: s.rev, Load: &dialect.Load{Inc: s.engine.ID, Running: s.engine.Mine,
			Slots: s.engine.Slots, Revision: s.rev, State: "ready"}, Seat: &disp.Seat{URL: "http://" + s.engine.Addr, Kind: "host", Pool: s.engine.Pool, Zone: s.engine.Zone, Ready: ready}})
	}
	if s.full {
		whole := []disp.Event{{Kind: "store", Rev: s.rev, Blocks: sorted.Keys(s.parts)}}
		for _, e := range s.events {
			if e.Kind == "sign" {
				whole = append(whole, e)
			}
		}
		s.events, s.open = whole, nil
	}
	if len(s.events) > 0 {
		s.seq++
		s.open = append(s.open, disp.Batch{Engine: k, Inc: s.engine.ID, Writer: me, Seq: s.seq, Full: s.full, Events: s.events})
		s.events, s.full = nil, false
	}
	if n := len(s.open); n > batchesMost {
		s.open = append([]disp.Batch(nil), s.open[n-batchesMost:]...)
	}
	return s.open
}

// Acked takes the coordinator's answer to batches.
func (t *Table) Acked(a disp.Ack) {
	if a.Term < t.term {
		return
	}
	for _, q := range a.Seqs {
		if s := t.rows[q.Engine]; s != nil && s.engine.ID == q.Inc {
			for len(s.open) > 0 && s.open[0].Seq <= q.Seq {
				s.open = s.open[1:]
			}
		}
	}
	for _, q := range a.Stale {
		if s := t.rows[q.Engine]; s != nil && s.engine.ID == q.Inc {
			s.full = true
		}
	}
}

// Len counts the parts that are remembered.
func (t *Table) Len() int {
	n := 0
	for _, s := range t.rows {
		n += len(s.parts)
	}
	return n
}
