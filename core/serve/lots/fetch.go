package lots

import (
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/serve/env"
)

// fetched is what this node was told so far of a lot that fell to it: the lot comes page by
// page, since it may be larger than any answer.
type fetched struct {
	doc     ledger.LotDoc
	piece   int             // the piece that comes next
	stretch ledger.LotPiece // fragments of a request, until all are there
	texts   []ledger.LotResult
}

// fetchBytes is how many bytes of requests or texts one page has, about.
const fetchBytes = 512 << 10

// fetch asks for the items of a lot that fell to this node.
func (t *Table) fetch(id string) {
	if t.asked[id] || t.leaving {
		return
	}
	t.asked[id] = true
	t.fetchPage(id, &fetched{stretch: ledger.LotPiece{First: noStretch}})
}

// fetchPage asks for the next page of a lot's requests.
func (t *Table) fetchPage(id string, f *fetched) {
	t.env.Ask(budget.AskTimeout, ledger.ReadRequests{Lot: id, From: f.piece, Bytes: fetchBytes}, func(a ask.Answer) {
		var page ledger.RequestPage
		switch {
		case a.Code == ledger.Unanswered && !t.leaving:
			t.fetchPage(id, f)
		case a.Code == ledger.Invalid && f.piece == 0: // the store's leader is of an earlier build
			t.fetchWhole(id)
		case a.Code != ledger.Accepted || flow.Decode(a.Body, &page) != nil || page.Ended || page.Doc.Owner != t.env.Me || !f.add(page):
			delete(t.asked, id)
		case page.Next < page.Total:
			t.fetchPage(id, f)
		case page.Texts:
			t.fetchTexts(id, f, 0)
		default:
			t.adoptFetched(id, f)
		}
	})
}

// add takes a page. It gives false where one does not read.
func (f *fetched) add(page ledger.RequestPage) bool {
	items := f.doc.Items
	f.doc, f.piece = page.Doc, page.Next
	f.doc.Items = items
	for _, piece := range page.Pieces {
		if len(piece.Fragment) > 0 && piece.First == f.stretch.First {
			f.stretch.Fragment = append(f.stretch.Fragment, piece.Fragment...)
			continue
		}
		if !f.endStretch(page.Listed) {
			return false
		}
		f.stretch = piece
	}
	// Only a request that is told in fragments goes on with the next page.
	if page.Next < page.Total && len(f.stretch.Fragment) > 0 {
		return true
	}
	return f.endStretch(page.Listed)
}

// endStretch reads the items of the stretch that came whole.
func (f *fetched) endStretch(listed []int) bool {
	if len(f.stretch.Requests)+len(f.stretch.Fragment) == 0 {
		return true
	}
	items, err := ledger.ItemsOf(f.stretch, listed)
	f.stretch = ledger.LotPiece{First: noStretch}
	f.doc.Items = append(f.doc.Items, items...)
	return err == nil
}

// noStretch is the first item of no stretch.
const noStretch = -1

// fetchTexts asks for texts that wait for their scores, from the item at a place on.
func (t *Table) fetchTexts(id string, f *fetched, from int) {
	t.env.Ask(budget.AskTimeout, ledger.ReadTexts{Lot: id, From: from, Bytes: fetchBytes}, func(a ask.Answer) {
		var page ledger.TextPage
		switch {
		case a.Code == ledger.Unanswered && !t.leaving:
			t.fetchTexts(id, f, from)
			return
		case a.Code == ledger.Accepted && flow.Decode(a.Body, &page) == nil:
			f.texts = append(f.texts, page.Texts...)
			if page.More {
				t.fetchTexts(id, f, page.Next)
				return
			}
		}
		t.adoptFetched(id, f) // a text that does not come is made again
	})
}

// adoptFetched takes a lot over of which all was told.
func (t *Table) adoptFetched(id string, f *fetched) {
	delete(t.asked, id)
	if !t.leaving {
		t.Adopt(f.doc, flow.Time(f.doc.AgeMS)*time.Millisecond, f.texts...)
	}
}

// fetchWhole asks for all of a lot at once.
func (t *Table) fetchWhole(id string) {
	t.env.Ask(budget.AskTimeout, ledger.GetLotItems(id), func(a ask.Answer) {
		delete(t.asked, id)
		var x ledger.LotItems
		if a.Code == ledger.Unanswered {
			t.fetch(id)
			return
		}
		if a.Code != ledger.Accepted || flow.Decode(a.Body, &x) != nil || x.Ended || x.Doc.Owner != t.env.Me {
			return
		}
		t.Adopt(x.Doc, flow.Time(x.Doc.AgeMS)*time.Millisecond, x.Texts...)
	})
}

// Item gives the body of an item that is not listed.
func (t *Table) Item(c flow.Call) {
	q := ledger.FindItem{Lot: c.Vars["id"], Item: c.Query[t.env.Codec.Item]}
	t.env.Ask(budget.AskTimeout, q, func(a ask.Answer) {
		var x ledger.LotBody
		switch {
		case a.Code == ledger.Oversized:
			t.nextFragment(c, ledger.FindFragment{Lot: q.Lot, Item: q.Item}, nil)
		case a.Code != ledger.Accepted || json.Unmarshal(a.Body, &x) != nil:
			t.told(c, a)
		default:
			t.giveBody(c, x.Body)
		}
	})
}

// nextFragment asks for the request of an item that is too large for one answer, fragment by
// fragment, behind the text that came so far.
func (t *Table) nextFragment(c flow.Call, q ledger.FindFragment, text []byte) {
	t.env.Ask(budget.AskTimeout, q, func(a ask.Answer) {
		var x ledger.LotFragment
		if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &x) != nil {
			t.told(c, a)
			return
		}
		text := append(text, x.Text...)
		if q.Fragment++; q.Fragment < x.Total {
			t.nextFragment(c, q, text)
			return
		}
		item, err := ledger.ItemOfFragments(text)
		if err != nil {
			t.told(c, ask.Answer{Code: ledger.Failed})
			return
		}
		t.giveBody(c, item.Body)
	})
}

func (t *Table) giveBody(c flow.Call, body []byte) {
	t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: c.ID, Code: env.StatusDone, Body: body,
		Fields: []flow.Field{{Name: "Content-Type", Value: "application/octet-stream"}}})
}
