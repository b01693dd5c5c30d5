// Package gate is the single entry for cache facts (design 9.2). Each stream
// (engine start and writer) has its own numbers, the only ordering used.
package gate

import "fernlink/core/disp"

// Verdicts of the gate.
const (
	Admit = "admit"
	Old   = "old"   // a retry or a redelivery: dropped
	Gap   = "gap"   // admitted, but something before it was lost
	Past  = "past"  // of an engine start that was fenced: dropped
	Fresh = "fresh" // admitted, and it fences the start before
)

const keepPast = 8

// Cursor is a stream's place.
type Cursor struct {
	Seq   uint64 `json:"seq"`
	Stale bool   `json:"stale"`
}

// Engine is what the gate knows of one engine.
type Engine struct {
	Inc     string             `json:"inc"`
	Past    []string           `json:"past"`
	Writers map[string]*Cursor `json:"writers"`
}

// Gate holds the cursors. It is part of the checkpoint.
type Gate struct {
	Engines map[string]*Engine `json:"engines"`
	Counts  map[string]int64   `json:"counts"`
}

// New is a gate that has seen nothing.
func New() *Gate { return &Gate{Engines: map[string]*Engine{}, Counts: map[string]int64{}} }

// Check decides on one batch and moves its cursor.
func (g *Gate) Check(b disp.Batch) string {
	v := g.check(b)
	g.Counts[v]++
	return v
}

func (g *Gate) check(b disp.Batch) string {
	e := g.Engines[b.Engine]
	fresh := false
	if e == nil {
		e = &Engine{Inc: b.Inc, Writers: map[string]*Cursor{}}
		g.Engines[b.Engine] = e
	}
	if e.Inc != b.Inc {
		for _, p := range e.Past {
			if p == b.Inc {
				return Past
			}
		}
		e.Past = append(e.Past, e.Inc)
		if n := len(e.Past); n > keepPast {
			e.Past = append([]string(nil), e.Past[n-keepPast:]...)
		}
		e.Inc, e.Writers, fresh = b.Inc, map[string]*Cursor{}, true
	}
	c := e.Writers[b.Writer]
	if c == nil {
		c = &Cursor{}
		e.Writers[b.Writer] = c
	}
	if b.Seq <= c.Seq {
		return Old
	}
	gap := b.Seq != c.Seq+1 && !b.Full
	c.Seq = b.Seq
	c.Stale = (c.Stale || gap) && !b.Full
	if fresh {
		return Fresh
	}
	if gap {
		return Gap
	}
	return Admit
}

// Stale says whether a writer must send its slice whole.
func (g *Gate) Stale(b disp.Batch) bool {
	e := g.Engines[b.Engine]
	return e != nil && e.Inc == b.Inc && e.Writers[b.Writer] != nil && e.Writers[b.Writer].Stale
}

// Seq gives a writer's place in an engine start's stream.
func (g *Gate) Seq(b disp.Batch) uint64 {
	e := g.Engines[b.Engine]
	if e == nil || e.Inc != b.Inc || e.Writers[b.Writer] == nil {
		return b.Seq // fenced: the writer need not send it again
	}
	return e.Writers[b.Writer].Seq
}

// StaleCount counts the slices that wait to be sent whole.
func (g *Gate) StaleCount() int {
	n := 0
	for _, e := range g.Engines {
		for _, c := range e.Writers {
			if c.Stale {
				n++
			}
		}
	}
	return n
}
