// Package journal numbers the records that the views fold (design 9.2). Only the offset
// is kept; a record is gone once every view has it. core/coord appends to it.
package journal

import (
	"fernlink/core/disp"
	"fernlink/core/flow"
)

// Kinds of records.
const (
	Batch  = "batch"  // a batch that the gate admitted
	Fence  = "fence"  // an engine start is over: new start, or silence
	Forget = "forget" // blocks that an engine can't hold any more, by estimate
)

// Record is one fact in order.
type Record struct {
	Offset uint64
	At     flow.Time
	Kind   string
	Engine string
	Batch  *disp.Batch
	Blocks []string
}

// Journal numbers records and hands them to its readers in order.
type Journal struct {
	Offset  uint64
	readers []func(Record)
}

// Read adds a reader; readers get records in the order they were added.
func (j *Journal) Read(f func(Record)) { j.readers = append(j.readers, f) }

// Append numbers a record and folds it into every view.
func (j *Journal) Append(r Record) {
	j.Offset++
	r.Offset = j.Offset
	for _, f := range j.readers {
		f(r)
	}
}
