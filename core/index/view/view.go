// Package view holds the three views of the index (design 9.3): the registry of live
// engines, the directory of prefix blocks by engine, and usage in bytes. They are
// folded from core/index/journal; core/index/policy reads them, and core/coord owns the
// one instance and its checkpoint.
package view

import (
	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/index/journal"
	"fernlink/core/prefix"
	"fernlink/core/sorted"
)

// Row is one live engine in the registry.
type Row struct {
	ID   string       `json:"id"`
	Inc  string       `json:"inc"` // its start
	Seat disp.Seat    `json:"seat"`
	Load dialect.Load `json:"load"`
	At   flow.Time    `json:"-"` // when a dispatcher last reported it
}

// Block is one prefix block on one engine.
type Block struct {
	Rev     int    `json:"rev"`   // of the weights it was computed with
	Size    int    `json:"size"`  // bytes
	Count   int    `json:"count"` // reads
	Trainer string `json:"trainer"`
	Writer  string `json:"writer"`
	Last    uint64 `json:"last"` // journal offset of the last access
}

// Views are the state of the index.
type Views struct {
	Registry  map[string]*Row              `json:"registry"`
	Directory map[string]map[string]*Block `json:"directory"` // engine, block
	Trainers  map[string]int64             `json:"trainers"`  // bytes
	Engines   map[string]int64             `json:"engines"`   // bytes
	changed   map[string]map[string]bool   // slice, key: since last taken
}

// New gives views of which nothing is known.
func New() *Views {
	return &Views{Registry: map[string]*Row{}, Directory: map[string]map[string]*Block{},
		Trainers: map[string]int64{}, Engines: map[string]int64{}, changed: map[string]map[string]bool{}}
}

func (v *Views) mark(slice, key string) {
	if v.changed == nil {
		v.changed = map[string]map[string]bool{}
	}
	if v.changed[slice] == nil {
		v.changed[slice] = map[string]bool{}
	}
	v.changed[slice][key] = true
}

// Changed takes the keys of a slice that changed since it was last asked.
func (v *Views) Changed(slice string) []string {
	keys := sorted.Keys(v.changed[slice])
	delete(v.changed, slice)
	return keys
}

var folds = map[string]func(*Views, journal.Record){
	journal.Batch:  (*Views).batch,
	journal.Fence:  func(v *Views, r journal.Record) { v.fence(r.Engine) },
	journal.Forget: (*Views).forget,
}

// Fold applies one record. Applying an event twice changes nothing more.
func (v *Views) Fold(r journal.Record) { folds[r.Kind](v, r) }

var events = map[string]func(*Views, journal.Record, disp.Event){
	"sign":  (*Views).sign,
	"store": (*Views).store,
	"read":  (*Views).read,
	"drop":  (*Views).drop,
}

func (v *Views) batch(r journal.Record) {
	if r.Batch.Full {
		v.whole(r)
	}
	for _, e := range r.Batch.Events {
		if f, ok := events[e.Kind]; ok {
			f(v, r, e)
		}
	}
}

// whole takes away what its writer no longer knows of.
func (v *Views) whole(record journal.Record) {
	keep := map[string]bool{}
	for _, e := range record.Batch.Events {
		for _, b := range e.Blocks {
			keep[b] = true
		}
	}
	for name, b := range v.Directory[record.Batch.Engine] {
		if b.Writer == record.Batch.Writer && !keep[name] {
			v.remove(record.Batch.Engine, name)
		}
	}
}

func (v *Views) sign(record journal.Record, event disp.Event) {
	if event.Load == nil || event.Seat == nil {
		return
	}
	id := record.Batch.Engine
	row := v.Registry[id]
	if row == nil {
		row = &Row{ID: id}
		v.Registry[id] = row
	}
	if row.Inc != record.Batch.Inc || row.Load.Revision != event.Load.Revision || row.Seat != *event.Seat || row.Load.Running != event.Load.Running {
		v.mark("engines", id)
	}
	row.Inc, row.Load, row.Seat, row.At = record.Batch.Inc, *event.Load, *event.Seat, record.At
}

// Weights notes the revision that an engine was seen to serve. Watchers of the
// registry hear of it, as of any change.
func (v *Views) Weights(id string, rev int) {
	if row := v.Registry[id]; row != nil && row.Load.Revision != rev {
		row.Load.Revision = rev
		v.mark("engines", id)
	}
}

func (v *Views) store(record journal.Record, event disp.Event) {
	id := record.Batch.Engine
	dir := v.Directory[id]
	if dir == nil {
		dir = map[string]*Block{}
		v.Directory[id] = dir
	}
	for _, name := range event.Blocks {
		block := dir[name]
		if block != nil && block.Rev > event.Rev {
			continue // newer weights are there already
		}
		if block == nil {
			block = &Block{Size: prefix.Bytes, Trainer: event.Trainer}
			dir[name] = block
			v.count(id, block.Trainer, block.Size)
		}
		block.Rev, block.Writer, block.Last = event.Rev, record.Batch.Writer, record.Offset
		v.mark("prefixes", id)
	}
}

func (v *Views) read(r journal.Record, e disp.Event) {
	for _, name := range e.Blocks {
		if b := v.Directory[r.Batch.Engine][name]; b != nil && b.Rev == e.Rev {
			b.Count++
			b.Last = r.Offset
		}
	}
}

// drop takes away everything under other weights than the event's.
func (v *Views) drop(r journal.Record, e disp.Event) {
	for name, b := range v.Directory[r.Batch.Engine] {
		if b.Rev < e.Rev {
			v.remove(r.Batch.Engine, name)
		}
	}
}

func (v *Views) count(engine, trainer string, n int) {
	v.Engines[engine] += int64(n)
	v.Trainers[trainer] += int64(n)
	if v.Engines[engine] == 0 {
		delete(v.Engines, engine)
	}
	if v.Trainers[trainer] == 0 {
		delete(v.Trainers, trainer)
	}
	v.mark("usage", trainer)
}

func (v *Views) remove(engine, name string) {
	b := v.Directory[engine][name]
	if b == nil {
		return
	}
	delete(v.Directory[engine], name)
	v.count(engine, b.Trainer, -b.Size)
	v.mark("prefixes", engine)
}

func (v *Views) fence(engine string) {
	for name := range v.Directory[engine] {
		v.remove(engine, name)
	}
	delete(v.Directory, engine)
	delete(v.Registry, engine)
	v.mark("engines", engine)
	v.mark("prefixes", engine)
}

func (v *Views) forget(r journal.Record) {
	for _, name := range r.Blocks {
		v.remove(r.Engine, name)
	}
}

// Hits counts the leading blocks of a prefix by engine, at the weights that
// the engine serves now.
func (v *Views) Hits(blocks []string) map[string]int {
	hits := map[string]int{}
	for id, dir := range v.Directory {
		row := v.Registry[id]
		if row == nil || !row.Seat.Ready {
			continue
		}
		leading := 0
		for _, name := range blocks {
			b := dir[name]
			if b == nil || b.Rev != row.Load.Revision {
				break
			}
			leading++
		}
		if leading > 0 {
			hits[id] = leading
		}
	}
	return hits
}

// IDs lists the registry in order.
func (v *Views) IDs() []string {
	return sorted.Keys(v.Registry)
}
