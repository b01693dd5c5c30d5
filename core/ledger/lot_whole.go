package ledger

import (
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Texts that are whole and wait for their scores (design 8.7): they are kept so that a new
// owner of the lot asks for the score alone and does not make the text again.

// keepWhole keeps texts of items that are not listed, the first of each, and says how many
// the lot does not allow. Their numbers go on after those of the n results listed before.
func (l *Ledger) keepWhole(t *Lot, whole []encodedText, n uint64) (refused int) {
	for _, x := range whole {
		p := t.place(x.head.Item)
		if t.Ended || p < 0 || t.done[p] || t.whole(p) >= 0 {
			continue
		}
		if x.head.State != LotUnscored || !t.allowsVersions(x.head.Versions) {
			refused++
			continue
		}
		id := l.Index<<lotShift | n
		n++
		t.Whole = append(t.Whole, Row{Sample: uint16(p), Size: uint32(len(x.text)), Item: id})
		t.textBytes += int64(len(x.text))
		l.put(LotTextItem, id, x.text)
	}
	return refused
}

// whole gives where the text of an item is among those that wait, or -1.
func (t *Lot) whole(place int) int {
	return slices.IndexFunc(t.Whole, func(r Row) bool { return int(r.Sample) == place })
}

// dropWhole lets a text go whose item is listed.
func (l *Ledger) dropWhole(t *Lot, place int) {
	at := t.whole(place)
	if at < 0 {
		return
	}
	l.drop(LotTextItem, t.Whole[at].Item)
	t.textBytes -= int64(t.Whole[at].Size)
	t.Whole = slices.Delete(t.Whole, at, at+1)
}

// dropAllWhole lets the texts that wait go: nobody asks for their scores any more.
func (l *Ledger) dropAllWhole(t *Lot) {
	for _, r := range t.Whole {
		l.drop(LotTextItem, r.Item)
		t.textBytes -= int64(r.Size)
	}
	t.Whole = nil
}

// wholeRefs names the texts that wait.
func (t *Lot) wholeRefs() []flow.Ref {
	refs := make([]flow.Ref, 0, len(t.Whole))
	for _, r := range t.Whole {
		refs = append(refs, flow.Ref{Kind: LotTextItem, ID: r.Item})
	}
	return refs
}

// loadWhole reads the texts that wait from a snapshot's row.
func (t *Lot) loadWhole(packed []byte) error {
	rows, err := unpackRows(packed)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if int(r.Sample) >= len(t.done) || t.done[r.Sample] || t.whole(int(r.Sample)) >= 0 {
			return ErrSnapshot
		}
		t.Whole = append(t.Whole, r)
		t.textBytes += int64(r.Size)
	}
	return nil
}

// withTexts adds texts that wait to an encoded LotItems.
func withTexts(items json.RawMessage, texts []json.RawMessage) json.RawMessage {
	if len(texts) == 0 {
		return items
	}
	return flow.WithField(items, "texts", listOf(texts))
}
