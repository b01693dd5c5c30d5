// Package ledger is the replicated state (design 4.7): plans, steps, results,
// run-once claims, leases and weight orders. It is folded from committed
// commands and is the same on every store machine.
package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Result is what a command or query came to. Where Need names items of the
// blobs, With makes the body of them.
type Result struct {
	Code Outcome               `json:"code"`
	Body json.RawMessage       `json:"body,omitempty"`
	Need []flow.Ref            `json:"-"`
	With func([][]byte) Result `json:"-"`
}

// Plan is a service plan at a version. Where it was put as a change of the one before it,
// Base says on which whole document it builds.
type Plan struct {
	Version uint64          `json:"version"`
	Request string          `json:"request,omitempty"`
	Hash    string          `json:"sha256,omitempty"` // of what was put: the document, or the change
	Doc     json.RawMessage `json:"doc,omitempty"`
	Patch   json.RawMessage `json:"patch,omitempty"` // what changed, where that is known
	Read    uint64          `json:"read,omitempty"`  // the version that a change was made from
	Base    uint64          `json:"base,omitempty"`  // Mod of the plan whose document is kept whole, 0 for its own
	Mod     uint64          `json:"mod"`
	At      int64           `json:"at"`
}

// Group is one prompt and how many samples of it are wanted.
type Group struct {
	ID      string `json:"id"`
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
	Tokens  int    `json:"max_tokens"`
}

// StepDoc is a step as a trainer opens it.
type StepDoc struct {
	ID         string  `json:"id"`
	Trainer    string  `json:"trainer"`
	Pool       string  `json:"pool"`
	Revision   int     `json:"revision"`
	Lag        int     `json:"allowed_lag"`
	OneVersion bool    `json:"one_version"`
	Judge      string  `json:"judge"`
	DeadlineMS int64   `json:"deadline_ms"`
	Groups     []Group `json:"groups"`
}

// Wanted counts the results that a step asks for.
func (d StepDoc) Wanted() int {
	n := 0
	for _, g := range d.Groups {
		n += g.Samples
	}
	return n
}

// tooMany guards the rows of a list, whoever sent the step: what callers may ask
// for is in the schema.
func (d StepDoc) tooMany() bool {
	bad := len(d.Groups) > 1<<12
	for _, g := range d.Groups {
		bad = bad || g.Samples < 0 || g.Samples > 1<<12
	}
	return bad || d.Wanted() > 1<<18
}

// Span says which weights made which part of a text.
type Span struct {
	From     int `json:"from"`
	To       int `json:"to"`
	Revision int `json:"revision"`
}

// Verdict is the judge's word on one text, bound to the text's hash.
type Verdict struct {
	State string          `json:"state"` // given, or none
	Why   string          `json:"why,omitempty"`
	Hash  string          `json:"text_sha256"`
	Score json.RawMessage `json:"score,omitempty"`
}

// Entry is a listed result.
type Entry struct {
	Seq     int     `json:"seq"`
	Group   string  `json:"group"`
	Sample  int     `json:"sample"`
	Text    string  `json:"text"`
	Finish  string  `json:"finish"`
	Engine  string  `json:"engine"`
	Spans   []Span  `json:"weights"`
	Prompt  int     `json:"prompt_tokens"`
	Cached  int     `json:"cached_tokens"`
	Tokens  int     `json:"tokens"`
	Verdict Verdict `json:"verdict"`
	Mod     uint64  `json:"mod"`
}

// Row is a listed result as memory has it; the result itself is the item of the
// same number on the blob store. Its place in the list is its number in it.
type Row struct {
	Group, Sample uint16
	Size          uint32
	Item          uint64 // the index of the command that listed it
}

// Step is a step and what was listed in it. Its groups are forgotten when it
// ends.
type Step struct {
	Doc    StepDoc
	Wants  int
	Hash   string
	State  string
	Opened int64
	Ended  int64
	List   []Row
	Bytes  int64 // of its results
	Item   uint64
	Mod    uint64
}

// Claim is a run-once key and what became of it (design 7.2).
type Claim struct {
	Key   string `json:"key"`
	Hash  string `json:"hash"`
	Owner string `json:"owner"`
	State string `json:"state"` // claimed, done, refused, unknown
	Code  int    `json:"code,omitempty"`
	Type  string `json:"type,omitempty"`
	Body  []byte `json:"body,omitempty"`
	At    int64  `json:"at"`
}

// Coord is the coordinator's lease (design 9.2).
type Coord struct {
	Term uint64 `json:"term"`
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Mod  uint64 `json:"mod"`
}

// Order tells one engine incarnation to change weights (design 8.5).
type Order struct {
	Engine   string `json:"engine"`
	Inc      string `json:"inc"`
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	Term     uint64 `json:"term"`
	State    string `json:"state"` // ordered, done, dropped
	Mod      uint64 `json:"mod"`
}

// Target is the newest weights named for a pool.
type Target struct {
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	Paused   bool   `json:"paused,omitempty"`
	Mod      uint64 `json:"mod"`
}

// Drain takes an engine out of placement by an operator's word.
type Drain struct {
	Engine string `json:"engine"`
	On     bool   `json:"drained"`
	Mod    uint64 `json:"mod"`
}

// Fault is one thing wrong with an input, at its JSON pointer.
type Fault struct {
	At   string `json:"pointer"`
	Text string `json:"fault"`
}

// Bounds on what is kept (design 4.7).
const (
	KeepPlans    = 16
	KeepOpen     = 64
	KeepEnded    = 16384
	KeepOrders   = 256
	KeepDrains   = 256
	TrainersFull = 8 // so many trainers may fill their share of results
)

// Bounds are what operators may set. The leader's config are put into the ledger
// by a command, so that every member folds alike.
type Bounds struct {
	Keys    int   `json:"keys"`         // run-once keys and step ids
	KeyAge  int64 `json:"key_ms"`       // for how long each is remembered
	Answers int64 `json:"answer_bytes"` // of recorded answers
	Age     int64 `json:"result_ms"`    // for how long an ended step is kept
	Bytes   int64 `json:"result_bytes"` // of results, for each trainer
	Open    int   `json:"open_steps"`   // for each trainer
	// LotBytes is what lots may hold on the disk in all, requests and texts; 0 for
	// no bound.
	LotBytes int64 `json:"lot_bytes,omitempty"`
}

// Usual are the bounds where the config are silent: a day at twice the larger
// deployment's rate.
var Usual = Bounds{Keys: 1_310_720, KeyAge: 24 * 3600 * 1000, Answers: 1 << 30, Age: 3600 * 1000, Bytes: 256 << 20, Open: 16}
