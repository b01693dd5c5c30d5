// Reads of lots (design 8.7).

package ledger

import (
	"slices"
	"sort"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// LotRows gives the lots that have not ended, by id.
func (l *Ledger) LotRows() []LotRow {
	var out []LotRow
	for id, t := range l.Lots {
		if !t.Ended {
			out = append(out, t.row(id))
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// row is what dispatchers hear of a lot.
func (t *Lot) row(id string) LotRow {
	return LotRow{ID: id, Owner: t.Doc.Owner, Ended: t.Ended, Pool: t.Doc.Pool, Model: t.Doc.Model, Least: t.Doc.Least, Bytes: t.requestBytes, Parts: t.pieces != nil}
}

// lotsSince gives the rows that changed after an index.
func (l *Ledger) lotsSince(have uint64) []LotRow {
	var out []LotRow
	for id, t := range l.Lots {
		if t.Mod > have {
			out = append(out, t.row(id))
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// texts are the results listed last, so that their readers need no disk.
type texts struct {
	by    map[uint64][]byte
	ids   []uint64
	bytes int
}

func (x *texts) add(id uint64, b []byte) {
	if x.by == nil {
		x.by = map[uint64][]byte{}
	}
	x.by[id], x.ids, x.bytes = b, append(x.ids, id), x.bytes+len(b)+sizeOf
	for x.bytes > recentBytes {
		old := x.ids[0]
		x.bytes -= len(x.by[old]) + sizeOf
		delete(x.by, old)
		x.ids = x.ids[1:]
	}
}

// rawLotRead is a LotRead whose results are encoded already.
type rawLotRead struct {
	Total   int               `json:"total"`
	Next    int               `json:"next"`
	Listed  int               `json:"listed"`
	Ended   bool              `json:"ended,omitempty"`
	Results []json.RawMessage `json:"-"`
}

func (r rawLotRead) encode() json.RawMessage {
	return flow.WithField(raw(r), "results", listOf(r.Results))
}

func (l *Ledger) readLot(q ReadLot) Result {
	t := l.Lots[q.Lot]
	if t == nil {
		return noSuchLot.Result()
	}
	if q.Bytes <= 0 {
		q.Bytes = PageBytes
	}
	from := min(max(q.From, 0), len(t.List))
	out := rawLotRead{len(t.IDs), from, len(t.List), t.Ended, []json.RawMessage{}}
	var need []flow.Ref
	var holes []int
	for size := 0; out.Next < len(t.List); out.Next++ {
		r := t.List[out.Next]
		if size += int(r.Size) + sizeOf; size > q.Bytes && out.Next > from {
			break
		}
		b := l.recent.by[r.Item]
		if b == nil {
			holes, need = append(holes, len(out.Results)), append(need, flow.Ref{Kind: LotTextItem, ID: r.Item})
		}
		out.Results = append(out.Results, b)
	}
	if len(need) == 0 {
		return Result{Code: Accepted, Body: out.encode()}
	}
	return Result{Code: Accepted, Need: need, With: func(items [][]byte) Result {
		for i, at := range holes {
			out.Results[at] = items[i]
		}
		return Result{Code: Accepted, Body: out.encode()}
	}}
}

// openStretch is a stretch of requests of which some are not listed, as it is to be read.
type openStretch struct {
	start  int // the place of its first item
	pieces int // how many hold it
}

// openStretches gives the stretches of a lot that have items which are not listed, and their
// pieces in the same order.
func (t *Lot) openStretches() (stretches []openStretch, pieces []flow.Ref) {
	if t.Ended {
		return nil, nil // nothing of it runs any more
	}
	last := -1
	for place, isDone := range t.done {
		if isDone {
			continue
		}
		from, to := t.stretch(place)
		if from == last {
			continue
		}
		last = from
		stretches = append(stretches, openStretch{t.Parts[from], to - from})
		for k := from; k < to; k++ {
			pieces = append(pieces, t.partRef(k))
		}
	}
	return stretches, pieces
}

// lotItems tells an owner what is left of its lot, in one answer.
func (l *Ledger) lotItems(lot GetLotItems) Result {
	t := l.Lots[string(lot)]
	if t == nil {
		return noSuchLot.Result()
	}
	stretches, pieces := t.openStretches()
	doc, listed, ended := t.Doc, len(t.List), t.Ended
	doc.AgeMS = l.Clock - t.Doc.Opened
	if len(stretches) == 0 {
		return Result{Code: Accepted, Body: encodeItems(doc, listed, ended, nil)}
	}
	done := slices.Clone(t.done) // Listed and what is left must agree
	need := append(slices.Clip(pieces), t.wholeRefs()...)
	return Result{Code: Accepted, Need: need, With: func(items [][]byte) Result {
		var left, texts []json.RawMessage
		for _, text := range items[len(pieces):] {
			texts = append(texts, text)
		}
		for _, s := range stretches {
			stretch, err := unlisted(slices.Concat(items[:s.pieces]...), done[s.start:])
			if err != nil {
				return lotUnreadable.Result()
			}
			left, items = append(left, stretch), items[s.pieces:]
		}
		return Result{Code: Accepted, Body: withTexts(encodeItems(doc, listed, ended, left), texts)}
	}}
}

// unlisted gives the items of a stretch of requests that are not listed.
func unlisted(stretch json.RawMessage, done []bool) (json.RawMessage, error) {
	var items, left []json.RawMessage
	if err := flow.Decode(stretch, &items); err != nil {
		return nil, err
	}
	for i, item := range items {
		if i < len(done) && !done[i] {
			left = append(left, item)
		}
	}
	if len(left) == len(items) {
		return stretch, nil
	}
	return listOf(left), nil
}

// listOf makes a list of encoded values.
func listOf(values []json.RawMessage) json.RawMessage {
	size := len(`[]`)
	for _, value := range values {
		size += len(value) + 1
	}
	text := append(make([]byte, 0, size), '[')
	for i, value := range values {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, value...)
	}
	return append(text, ']')
}

// encodeItems gives a LotItems whose items are encoded already.
func encodeItems(doc LotDoc, listed int, ended bool, lists []json.RawMessage) json.RawMessage {
	head := raw(struct {
		Listed int  `json:"listed"`
		Ended  bool `json:"ended,omitempty"`
	}{listed, ended})
	return flow.WithField(head, "doc", encodeLot(doc, joinLists(lists)))
}

// LotBody answers a lot.item.
type LotBody struct {
	Body []byte `json:"body"`
}

// open gives the place of an item that is not listed, until its lot ends, or -1.
func (t *Lot) open(item string) int {
	if t == nil || t.Ended {
		return -1
	}
	if place := t.place(item); place >= 0 && !t.done[place] {
		return place
	}
	return -1
}

// lotItem gives the body of one item that is not listed, until the lot ends.
func (l *Ledger) lotItem(q FindItem) Result {
	t := l.Lots[q.Lot]
	p := t.open(q.Item)
	if p < 0 {
		return noSuchItem.Result()
	}
	from, to := t.stretch(p)
	if to-from > 1 {
		return itemInFragments.Result()
	}
	start := t.Parts[from]
	return Result{Code: Accepted, Need: []flow.Ref{t.partRef(from)}, With: func(items [][]byte) Result {
		var part []LotItem
		if json.Unmarshal(items[0], &part) != nil || p-start >= len(part) {
			return lotUnreadable.Result()
		}
		return good(LotBody{part[p-start].Body})
	}}
}
