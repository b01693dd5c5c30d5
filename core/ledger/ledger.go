package ledger

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
)

// Ledger is the folded state. Bulk lies on the blob store, by the index of the
// command that brought it (design 4.9).
type Ledger struct {
	Index  uint64
	Clock  int64 // the newest stamp; it never goes back
	Last   Kind  // of the command applied last
	Bounds Bounds
	Plans  []Plan // only the newest whole one has its document here
	Steps  map[string]*Step
	Ends   []string         // ended steps, oldest first
	Kept   map[string]int64 // bytes of results by trainer
	Keys   *keys.Table
	// Receipts are the orders that were acknowledged (receipts.go).
	Receipts    *keys.Table
	OrderCounts OrderCounts
	Owners      map[uint64]string // of claimed rows
	Coord       Coord
	Orders      map[string]*Order
	Targets     map[string]*Target
	Drains      map[string]*Drain
	Lots        map[string]*Lot
	Staged      map[PartsName]*stagedLot // parts of lots that are not handed in yet
	patched     json.RawMessage          // the document of the plan in force, once it was asked for
	lotsDue     int64                    // no lot is to be retired before
	recent      texts                    // of lots
	box         flow.BlobChange
}

// New is an empty ledger.
func New() *Ledger {
	return &Ledger{Bounds: Usual, Steps: map[string]*Step{}, Kept: map[string]int64{}, Keys: keys.New(), Receipts: keys.New(), Owners: map[uint64]string{},
		Orders: map[string]*Order{}, Targets: map[string]*Target{}, Drains: map[string]*Drain{}, Lots: map[string]*Lot{}, Staged: map[PartsName]*stagedLot{}}
}

// Kinds of items.
const (
	TextItem   = "text"   // a result
	AnswerItem = "answer" // what a run-once request came to
	PageItem   = "page"   // a page of keys
	DocItem    = "doc"    // a plan, a step or the head of a lot
	sizeOf     = 64       // what a row of a list counts for besides its bytes
)

func (l *Ledger) put(kind string, id uint64, b []byte) {
	l.box.Put = append(l.box.Put, flow.Item{Ref: flow.Ref{Kind: kind, ID: id}, Body: b})
}

func (l *Ledger) drop(kind string, ids ...uint64) {
	for _, id := range ids {
		l.box.Drop = append(l.box.Drop, flow.Ref{Kind: kind, ID: id})
	}
}

// Box gives what is to be done to the blob store, once.
func (l *Ledger) Box() (flow.BlobChange, bool) {
	b := l.box
	l.box = flow.BlobChange{}
	return b, len(b.Put)+len(b.Drop) > 0
}

func raw(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs of this package come here
	}
	return b
}

func good(v any) Result { return Result{Code: Accepted, Body: raw(v)} }

// Hash is the text hash that verdicts and claims are bound to.
func Hash(b []byte) string { s := sha256.Sum256(b); return hex.EncodeToString(s[:]) }
