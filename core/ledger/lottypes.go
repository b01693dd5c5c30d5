package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// LotItem is one request of a lot. Group is shared by those of one prompt.
type LotItem struct {
	ID     string       `json:"id"`
	Group  string       `json:"g,omitempty"`
	Path   string       `json:"p"`
	Fields []flow.Field `json:"h,omitempty"`
	Body   []byte       `json:"b,omitempty"`
	Tokens int          `json:"t,omitempty"` // of the prompt and the most out, summed
	Reward *RewardCall  `json:"r,omitempty"` // what scores its text; nil where nothing does
}

// RewardCall is the request whose answer's seal is the score of an item's text. It goes out
// by the route of its host and path once the text is whole, and may be repeated.
type RewardCall struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"p"`
	Body []byte `json:"b,omitempty"`
}

// LotDoc is a lot as it was handed in: requests that run after the answer.
type LotDoc struct {
	ID     string    `json:"id"`
	Host   string    `json:"host"`
	Path   string    `json:"path"`           // where it was handed in; with Host it finds the route
	Route  string    `json:"route"`          // the route's name at that time
	Plan   uint64    `json:"plan,omitempty"` // the version of the plan that had this route
	Owner  string    `json:"owner"`          // the dispatcher that runs it
	Pool   string    `json:"pool,omitempty"` // of engines; its lots keep together
	Model  string    `json:"model,omitempty"`
	Step   int       `json:"step"`
	Least  int       `json:"least,omitempty"`  // the oldest weights that may make its texts
	Wanted int       `json:"wanted,omitempty"` // whole groups that the trainer waits for
	Single bool      `json:"single,omitempty"` // one version a text
	Tries  int       `json:"tries"`            // answers of 500 after which an item may be given up
	WaitMS int64     `json:"wait_ms"`          // how long after the hand-in an item may be given up
	DueMS  int64     `json:"due_ms"`
	KeepMS int64     `json:"keep_ms"` // for how long after the hand-in results stay readable
	Items  []LotItem `json:"items"`
	Opened int64     `json:"opened,omitempty"` // ledger time, set when it is committed
	AgeMS  int64     `json:"age_ms,omitempty"` // how old it was when it was told to an owner
}

// Results' states.
const (
	LotComplete  = "complete"
	LotAbandoned = "abandoned"
)

// LotUnscored is the state of a text that is whole and waits for its score. It is kept for
// the lot's next owner and is no result.
const LotUnscored = "unscored"

// LotResult is one listed result. Its position is its number in the list.
type LotResult struct {
	Item     string `json:"i"`
	State    string `json:"s"`
	Text     string `json:"t,omitempty"`
	Versions []int  `json:"v,omitempty"` // every version that made an event of the text
	Score    string `json:"c,omitempty"` // the seal of its reward call's answer
}

// ReadLot asks for the results from a position on: at most Bytes of them, but
// at least one where one exists.
type ReadLot struct {
	Lot   string `json:"lot"`
	From  int    `json:"from"`
	Bytes int    `json:"bytes"`
}

// Kind names the question.
func (ReadLot) Kind() Kind { return KindLotRead }

// LotRead answers it.
type LotRead struct {
	Total   int         `json:"total"`
	Next    int         `json:"next"`
	Listed  int         `json:"listed"`
	Ended   bool        `json:"ended,omitempty"`
	Results []LotResult `json:"results"`
}

// EncodedResult is a listed result whose text nobody on its way to the reader reads.
type EncodedResult struct {
	Item     string          `json:"i"`
	State    string          `json:"s"`
	Text     json.RawMessage `json:"t,omitempty"`
	Versions []int           `json:"v,omitempty"`
	Score    string          `json:"c,omitempty"`
}

// EncodedRead is a LotRead as it is passed on.
type EncodedRead struct {
	Total   int             `json:"total"`
	Next    int             `json:"next"`
	Listed  int             `json:"listed"`
	Ended   bool            `json:"ended,omitempty"`
	Results []EncodedResult `json:"results"`
}

// GetLotItems asks what is left of the lot of this id.
type GetLotItems string

// Kind names the question.
func (GetLotItems) Kind() Kind { return KindLotItems }

// LotItems answers an owner that asks for what is left of its lot: Doc has only
// the items that are not listed, and Texts those of their texts that are whole.
type LotItems struct {
	Doc    LotDoc      `json:"doc"`
	Texts  []LotResult `json:"texts,omitempty"`
	Listed int         `json:"listed"`
	Ended  bool        `json:"ended,omitempty"`
}

// FindItem asks for one item's body that is not listed.
type FindItem struct {
	Lot  string `json:"lot"`
	Item string `json:"item"`
}

// Kind names the question.
func (FindItem) Kind() Kind { return KindLotItem }

// LotRow is what a dispatcher hears of a lot with its renewals.
type LotRow struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	Ended bool   `json:"ended,omitempty"`
	Pool  string `json:"pool,omitempty"`
	Model string `json:"model,omitempty"`
	Least int    `json:"least,omitempty"` // the oldest weights that may make its texts
	Bytes int64  `json:"bytes,omitempty"` // of its requests; none once it has ended
	Parts bool   `json:"parts,omitempty"` // it was handed in in parts: nobody hands it over
}
