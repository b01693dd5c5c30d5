// Package gate is the single entry for events on engines' caches (design 9.2). Each
// stream (an engine's start and a writer) has its own sequence numbers, the only order
// that is used. It owns one cursor for each stream; core/coord asks it about every batch
// before the journal gets it.
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

// keepPast is how many earlier starts of an engine are remembered as fenced.
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

func (g *Gate) check(batch disp.Batch) string {
	engine := g.Engines[batch.Engine]
	fresh := false
	if engine == nil {
		engine = &Engine{Inc: batch.Inc, Writers: map[string]*Cursor{}}
		g.Engines[batch.Engine] = engine
	}
	if engine.Inc != batch.Inc {
		for _, p := range engine.Past {
			if p == batch.Inc {
				return Past
			}
		}
		engine.Past = append(engine.Past, engine.Inc)
		if n := len(engine.Past); n > keepPast {
			engine.Past = append([]string(nil), engine.Past[n-keepPast:]...)
		}
		engine.Inc, engine.Writers, fresh = batch.Inc, map[string]*Cursor{}, true
	}
	cursor := engine.Writers[batch.Writer]
	if cursor == nil {
		cursor = &Cursor{}
		engine.Writers[batch.Writer] = cursor
	}
	if batch.Seq <= cursor.Seq {
		return Old
	}
	gap := batch.Seq != cursor.Seq+1 && !batch.Full
	cursor.Seq = batch.Seq
	cursor.Stale = (cursor.Stale || gap) && !batch.Full
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
	stale := 0
	for _, engine := range g.Engines {
		for _, cursor := range engine.Writers {
			if cursor.Stale {
				stale++
			}
		}
	}
	return stale
}
