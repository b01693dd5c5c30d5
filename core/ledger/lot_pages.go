// What an owner is told of its lot, page by page (design 8.7): a lot may be larger than one
// answer, and than what a member should have in memory for it.

package ledger

import (
	"slices"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// ReadRequests asks for the requests of a lot from a piece on: about Bytes of them, but one
// piece at least.
type ReadRequests struct {
	Lot   string `json:"lot"`
	From  int    `json:"from"`
	Bytes int    `json:"bytes"`
}

// Kind names the question.
func (ReadRequests) Kind() Kind { return KindLotPage }

// RequestPage answers it: pieces as they lie on the blob store, and which of the items that
// begin in them are listed. A lot that has ended has none.
type RequestPage struct {
	Doc    LotDoc     `json:"doc"` // without its items
	Ended  bool       `json:"ended,omitempty"`
	Pieces []LotPiece `json:"pieces,omitempty"`
	Listed []int      `json:"listed,omitempty"` // places
	Next   int        `json:"next"`             // the piece that comes next
	Total  int        `json:"total"`            // pieces in all
	Texts  bool       `json:"texts,omitempty"`  // texts wait for their scores
}

func (l *Ledger) lotPage(q ReadRequests) Result {
	t := l.Lots[q.Lot]
	if t == nil {
		return noSuchLot.Result()
	}
	page := RequestPage{Doc: t.Doc, Ended: t.Ended, Total: len(t.Parts), Texts: len(t.Whole) > 0}
	page.Doc.AgeMS = l.Clock - t.Doc.Opened
	from := min(max(q.From, 0), len(t.Parts))
	page.Next = min(from+max(q.Bytes/LotPartBytes, 1), len(t.Parts))
	if from == page.Next {
		return good(page)
	}
	var need []flow.Ref
	for k := from; k < page.Next; k++ {
		need = append(need, t.partRef(k))
		page.Pieces = append(page.Pieces, LotPiece{First: t.Parts[k]})
	}
	for place := t.Parts[from]; place < t.placesEnd(page.Next-1); place++ {
		if t.done[place] {
			page.Listed = append(page.Listed, place)
		}
	}
	fragments := make([]bool, len(page.Pieces))
	for at := range fragments {
		fragments[at] = t.isFragment(from + at)
	}
	return Result{Code: Accepted, Need: need, With: func(items [][]byte) Result {
		for at, text := range items {
			if fragments[at] {
				page.Pieces[at].Fragment = text
			} else {
				page.Pieces[at].Requests = text
			}
		}
		return good(page)
	}}
}

// FindFragment asks for a fragment of the request of an item that is too large for one
// answer, by its number from 0 on.
type FindFragment struct {
	Lot      string `json:"lot"`
	Item     string `json:"item"`
	Fragment int    `json:"fragment"`
}

// Kind names the question.
func (FindFragment) Kind() Kind { return KindLotFragment }

// LotFragment answers it.
type LotFragment struct {
	Text  []byte `json:"text"`
	Total int    `json:"total"` // fragments in all
}

func (l *Ledger) lotFragment(q FindFragment) Result {
	t := l.Lots[q.Lot]
	place := t.open(q.Item)
	if place < 0 {
		return noSuchItem.Result()
	}
	from, to := t.stretch(place)
	if q.Fragment < 0 || q.Fragment >= to-from {
		return noSuchItem.Result()
	}
	return Result{Code: Accepted, Need: []flow.Ref{t.partRef(from + q.Fragment)}, With: func(items [][]byte) Result {
		return good(LotFragment{items[0], to - from})
	}}
}

// ItemOfFragments reads a request of its fragments.
func ItemOfFragments(text []byte) (LotItem, error) {
	var items []LotItem
	if err := flow.Decode(text, &items); err != nil {
		return LotItem{}, err
	}
	if len(items) != 1 {
		return LotItem{}, errNotOneItem
	}
	return items[0], nil
}

var errNotOneItem = errors.New("ledger: the fragments of a request hold no single one")

// ReadTexts asks for the texts of a lot that are whole and wait for their scores, of items
// from a place on: about Bytes of them, but one at least.
type ReadTexts struct {
	Lot   string `json:"lot"`
	From  int    `json:"from"`
	Bytes int    `json:"bytes"`
}

// Kind names the question.
func (ReadTexts) Kind() Kind { return KindLotTexts }

// TextPage answers it. Next is the place to go on from, and More says whether there is more.
type TextPage struct {
	Texts []LotResult `json:"texts,omitempty"`
	Next  int         `json:"next"`
	More  bool        `json:"more,omitempty"`
}

// encodedTextPage is a TextPage whose texts are encoded already.
type encodedTextPage struct {
	Next int  `json:"next"`
	More bool `json:"more,omitempty"`
}

func (l *Ledger) lotTexts(q ReadTexts) Result {
	t := l.Lots[q.Lot]
	if t == nil {
		return noSuchLot.Result()
	}
	waiting := map[int]Row{}
	for _, row := range t.Whole {
		waiting[int(row.Sample)] = row
	}
	page := encodedTextPage{Next: len(t.IDs)}
	var need []flow.Ref
	for place, size := max(q.From, 0), 0; place < len(t.IDs); place++ {
		row, waits := waiting[place]
		if !waits {
			continue
		}
		if size += int(row.Size) + sizeOf; size > q.Bytes && len(need) > 0 {
			page.Next, page.More = place, true
			break
		}
		need = append(need, flow.Ref{Kind: LotTextItem, ID: row.Item})
	}
	return Result{Code: Accepted, Need: need, With: func(items [][]byte) Result {
		texts := make([]json.RawMessage, len(items))
		for i, text := range items {
			texts[i] = text
		}
		return Result{Code: Accepted, Body: flow.WithField(raw(page), "texts", listOf(texts))}
	}}.settled()
}

// settled gives the body at once where nothing has to be read for it.
func (r Result) settled() Result {
	if len(r.Need) == 0 && r.With != nil {
		return r.With(nil)
	}
	return r
}

// ItemsOf reads the items of a stretch of requests, but for those that are listed, whose
// places are given in order.
func ItemsOf(stretch LotPiece, listed []int) ([]LotItem, error) {
	var items, open []LotItem
	if err := flow.Decode(stretch.text(), &items); err != nil {
		return nil, err
	}
	for at, item := range items {
		if _, isListed := slices.BinarySearch(listed, stretch.First+at); !isListed {
			open = append(open, item)
		}
	}
	return open, nil
}
