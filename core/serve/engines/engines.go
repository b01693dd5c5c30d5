// Package engines is the serving side's table of engines (design 12.3): what the
// platform lists, and what this node's own requests made of each. Load and life
// are derived from answers and streams; nobody polls.
package engines

import (
	"slices"
	"strconv"
	"strings"

	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/serve/env"
	"fernlink/core/serve/policy"
	"fernlink/core/sorted"
)

// Engine is one start of an engine.
type Engine struct {
	dialect.Seat
	Mine int            // requests of this node that are under way there
	Held map[string]int // model, version as its answers named it last
	Pace float64        // a smoothed time between events or of an answer, in ms
	Gone bool           // it left the list
	// Changing says until when at the latest it takes new weights of a model.
	Changing map[string]flow.Time

	others int         // what others had under way when it last told
	told   flow.Time   // and when that was
	rest   flow.Time   // out of placement until then
	strike int         // failures in a row
	idle   []flow.Time // until when each idle connection to it is kept, the newest last
}

// Table is all engines by their start.
type Table struct {
	env   *env.Env
	byID  map[string]*Engine
	pools map[string][]*Engine
	Seq   uint64 // counts changes of the list
}

// New makes an empty table.
func New(e *env.Env) *Table {
	return &Table{env: e, byID: map[string]*Engine{}, pools: map[string][]*Engine{}}
}

// Take takes a new list. An engine that left it serves what it has, and gets
// nothing more.
func (t *Table) Take(list []dialect.Seat) {
	on := map[string]bool{}
	for _, s := range list {
		on[s.ID] = true
		e := t.byID[s.ID]
		if e == nil {
			e = &Engine{Seat: s, Held: map[string]int{}, Changing: map[string]flow.Time{}}
			t.byID[s.ID] = e
		}
		e.Gone = false
		e.Seat = s
		for m, v := range s.Models {
			e.Learn(m, v)
		}
	}
	t.pools = map[string][]*Engine{}
	for _, id := range sorted.Keys(t.byID) {
		e := t.byID[id]
		if !on[id] {
			e.Gone = true
			if e.Mine == 0 {
				delete(t.byID, id)
			}
			continue
		}
		t.pools[e.Pool] = append(t.pools[e.Pool], e)
	}
	t.Seq++
}

// Pool gives the listed engines of a pool, in the order of their ids.
func (t *Table) Pool(name string) []*Engine { return t.pools[name] }

// Get gives an engine by its start, or nil.
func (t *Table) Get(id string) *Engine { return t.byID[id] }

// All gives all that are listed.
func (t *Table) All() []*Engine {
	var out []*Engine
	for _, p := range sorted.Keys(t.pools) {
		out = append(out, t.pools[p]...)
	}
	return out
}

// Learn hears a version of a model's weights. Versions only rise within one
// start of an engine.
func (e *Engine) Learn(model string, v int) {
	if v > e.Held[model] {
		e.Held[model] = v
	}
}

// Begin counts a request of this node's. It takes the newest idle connection, as the pool of
// connections does.
func (e *Engine) Begin() {
	e.Mine++
	if n := len(e.idle); n > 0 {
		e.idle = e.idle[:n-1]
	}
}

// End counts one that is over, whose connection is kept no longer than until a time; zero
// where it is not kept.
func (e *Engine) End(kept flow.Time) {
	e.Mine--
	if kept > 0 {
		e.idle = append(e.idle, kept)
	}
}

// idleMost is how many idle connections to one engine are counted on: the pool keeps no more.
const idleMost = 8

// Idle counts the idle connections to an engine that are likely to be open still.
func (t *Table) Idle(e *Engine) int {
	for len(e.idle) > 0 && (e.idle[0] <= t.env.Now || len(e.idle) > idleMost) {
		e.idle = e.idle[1:]
	}
	return len(e.idle)
}

// KeptUntil is until when the connection of a send that has ended is kept, zero where it is
// not.
func (t *Table) KeptUntil(b flow.Back) flow.Time {
	if b.KeptFor <= 0 {
		return 0
	}
	return t.env.Now + b.KeptFor
}

// Usable says whether new work may go there now.
func (t *Table) Usable(e *Engine) bool {
	return !e.Gone && !e.Draining && t.env.Now >= e.rest
}

// Sound says that it answered of late, or was not asked.
func (e *Engine) Sound() bool { return e.strike == 0 }

// Good is a sign of life.
func (t *Table) Good(e *Engine) {
	e.strike, e.rest = 0, min(e.rest, t.env.Now)
}

// Rests in milliseconds: ratios of the bound in which service must heal.
const (
	restLeast = 150
	restMost  = 2400
)

// Bad is a failure: it rests for a time that doubles with each in a row.
func (t *Table) Bad(e *Engine) {
	if t.env.Now < e.rest {
		return // the same trouble
	}
	e.strike++
	if t.env.Policies.On(policy.EngineRest) {
		e.rest = t.env.Now + flow.Time(min(restLeast<<min(e.strike-1, 8), restMost))*1e6
	}
	t.env.Counts["engine_failures"]++
	if t.env.Debug {
		t.env.Trace("engines", "rests", "engine", e.ID, "failures", e.strike, "ms", (e.rest - t.env.Now).Milliseconds())
	}
}

// Full hears that it turned a request away.
func (t *Table) Full(e *Engine) {
	e.rest = max(e.rest, t.env.Now+restLeast/6*1e6)
	t.env.Counts["turned_away"]++
}

// Stale hears that another start answers at its address.
func (t *Table) Stale(e *Engine) { e.rest = max(e.rest, t.env.Now+restMost*1e6) }

// memory is for how long an engine's word on its load counts.
const memory = 400

// Load takes an engine's word on how much it has to do: running, waiting, slots.
func (t *Table) Load(e *Engine, word string) {
	if p := strings.Split(word, ","); len(p) == 3 {
		run, err1 := strconv.Atoi(strings.TrimSpace(p[0]))
		wait, err2 := strconv.Atoi(strings.TrimSpace(p[1]))
		if err1 == nil && err2 == nil {
			e.others, e.told = max(0, run+wait-e.Mine), t.env.Now
		}
	}
}

// Others is what others have under way there, as far as it is known.
func (t *Table) Others(e *Engine) int {
	if t.env.Now-e.told > memory*1e6 || !t.env.Policies.On(policy.ToldLoad) {
		return 0
	}
	return e.others
}

// Busy is all that is known to be under way there.
func (t *Table) Busy(e *Engine) int { return e.Mine + t.Others(e) }

// Took smooths a time that an engine took, in ms.
func (e *Engine) Took(ms float64) {
	if e.Pace == 0 {
		e.Pace = ms
		return
	}
	e.Pace += (ms - e.Pace) / 8
}

// Spare picks the engine of a pool with the least to do for its pace, among
// those that are usable and not in tried; nil where there is none. One that had
// a failure comes last, and one of this node's zone first where they are alike.
func (t *Table) Spare(pool string, tried []*Engine) *Engine {
	var best *Engine
	var least float64
	unknown := t.shortest(pool)
	for _, e := range t.pools[pool] {
		if !t.Usable(e) || slices.Contains(tried, e) {
			continue
		}
		s := t.score(e, unknown)
		if best == nil || s < least {
			best, least = e, s
		}
	}
	return best
}

// IdleFactor is what an engine with an idle connection counts for: it is chosen before one
// that has up to as much less to do for its pace as a full engine has than an empty one.
const IdleFactor = 0.5

// shortest is the pace of the engine of a pool that is known to need the least, which those
// of which nothing is known are taken to need. Were it less, each node would call each engine
// once before it calls one again.
func (t *Table) shortest(pool string) float64 {
	least := 0.0
	for _, e := range t.pools[pool] {
		if e.Pace > 0 && (least == 0 || e.Pace < least) {
			least = e.Pace
		}
	}
	return least
}

func (t *Table) score(e *Engine, unknown float64) float64 {
	pace := e.Pace
	if pace == 0 {
		pace = unknown
	}
	s := (1 + float64(t.Busy(e))/float64(max(e.Slots, 1))) * max(pace, 1)
	if e.WarmMS > 0 {
		s *= 2
	}
	if e.Zone != t.env.Zone {
		s *= 1.2
	}
	if t.Idle(e) > 0 {
		s *= IdleFactor
	}
	if e.strike > 0 {
		s *= 8
	}
	return s * (1 + t.env.Rand.Float64()/64)
}

// View is one engine as operators see it.
type View struct {
	ID       string         `json:"id"`
	Addr     string         `json:"addr"`
	Pool     string         `json:"pool"`
	Zone     string         `json:"zone"`
	Draining bool           `json:"draining"`
	Usable   bool           `json:"usable"`
	Mine     int            `json:"under_way_here"`
	Others   int            `json:"under_way_elsewhere"`
	Slots    int            `json:"slots"`
	Strikes  int            `json:"failures_in_a_row"`
	Versions map[string]int `json:"weights"`
	PaceMS   float64        `json:"pace_ms"`
}

// Views shows all engines.
func (t *Table) Views() []View {
	out := []View{}
	for _, e := range t.All() {
		out = append(out, View{e.ID, e.Addr, e.Pool, e.Zone, e.Draining, t.Usable(e), e.Mine, t.Others(e), e.Slots, e.strike, e.Held, e.Pace})
	}
	return out
}

// Slow hears that an engine has not answered for so long: until it does, it is
// taken to need that long.
func (t *Table) Slow(e *Engine, wait flow.Time) {
	e.Pace = max(e.Pace, float64(wait)/1e6)
}

// changeMost is for how long a word that an engine takes weights counts.
const changeMost = 1500

// Weights hears what the roll-out knows of an engine.
func (t *Table) Weights(id, model string, held int, busy bool) {
	e := t.byID[id]
	if e == nil {
		return
	}
	e.Learn(model, held)
	delete(e.Changing, model)
	if busy {
		e.Changing[model] = t.env.Now + changeMost*1e6
	}
}
