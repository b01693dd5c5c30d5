package dialect

import "fernlink/core/ledger"

// Words are the header names by which callers, engines and this product know
// what passes between them; each in its canonical spelling.
type Words struct {
	Attempt       string // the id of one try of a caller
	TimeLeft      string // milliseconds that the caller still waits
	Instance      string // an engine's start, in its answers
	Expect        string // the one start that may run a request
	ExpectWeights string // the one version of the weights that may run it
	NotRun        string // an engine's word that it did not run the request
	Seal          string // an engine's stamp on what it answered
	Load          string // running, waiting, slots
	LastEvent     string // the event after which a stream goes on
	Weights       string // the weights' version of an answer
	Model         string
	Tokens        string // of the prompt, and the most out
	Prompt        string // the parts of a prompt, ID:TOKENS
	Wait          string // how long a reader of results waits, in milliseconds
	After         string // the query of a reader: the position it goes on from
	Item          string // the query for the body of one item
}

// Seat is one engine as the platform lists it.
type Seat struct {
	ID       string         `json:"id"` // names one start of it
	Addr     string         `json:"addr"`
	Pool     string         `json:"pool"`
	Zone     string         `json:"zone,omitempty"`
	Slots    int            `json:"slots"`
	Draining bool           `json:"draining,omitempty"`
	WarmMS   int64          `json:"warm_ms,omitempty"` // how much longer it is slow from its start
	Models   map[string]int `json:"models,omitempty"`  // model, version of its weights
}

// Report is what an engine says of itself when it is asked.
type Report struct {
	Models  map[string]int
	Busy    bool   // a weight order is under way
	Orders  uint64 // orders taken since its start
	Running int
	Waiting int
	Used    int // tokens of memory that can't give way
	Total   int
}

// WeightOrder asks an engine to take a version of a model's weights.
type WeightOrder struct {
	Model    string
	Revision int
	Mode     string // hold, truncate or retain
	Owner    string
	Fence    uint64
	// Expected is how many orders the engine has taken: with more it declines.
	Expected uint64
}

// LotPage is a stretch of a lot's results.
type LotPage struct {
	Total   int
	Next    int
	Results []ledger.EncodedResult
}

// LotReader reads a lot as it was handed in, one item after the other, so that a large one
// is never held in another form as a whole. Host, path and what its route says are filled
// in by whoever takes it.
type LotReader interface {
	// Next gives the next item, or false after the last. After a fault nothing more is read.
	Next() (item ledger.LotItem, more bool, err error)
	// Head gives all else of the lot. It is whole once there are no more items.
	Head() ledger.LotDoc
	// Offset is how many bytes were read.
	Offset() int
}

// ReadWhole reads a lot with all its items.
func ReadWhole(in LotReader) (ledger.LotDoc, error) {
	var items []ledger.LotItem
	for {
		item, more, err := in.Next()
		if err != nil {
			return ledger.LotDoc{}, err
		}
		if !more {
			doc := in.Head()
			doc.Items = items
			return doc, nil
		}
		items = append(items, item)
	}
}

// Codec is how one platform speaks: names, formats and paths, and nothing that
// decides. Every function is pure and may be called from any task.
type Codec struct {
	Words
	ListURL    string // of the platform list, without its query
	ListQuery  func(page string) string
	ReadList   func(body []byte) (seats []Seat, next string, err error)
	ReportPath string
	ReadReport func(body []byte) (Report, error)
	OrderPath  string
	WriteOrder func(WeightOrder) []byte
	ReadLot    func(id string, body []byte) (ledger.LotDoc, error)
	OpenLot    func(id string, body []byte) LotReader // reads the same, item by item; nil where it is only read whole
	WritePage  func(LotPage) []byte
}
