// For how long lots are kept, and lots in snapshots (design 4.7, 4.10).

package ledger

import (
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/sorted"
)

// due is when a lot is retired, by the ledger's time.
func (t *Lot) due() int64 {
	if t.Ended {
		return t.Doc.Opened + t.Doc.KeepMS
	}
	return t.Doc.Opened + 4*t.Doc.KeepMS + t.Doc.WaitMS
}

// retireLots forgets lots whose time is over.
func (l *Ledger) retireLots() {
	if l.Clock <= l.lotsDue {
		return
	}
	l.lotsDue = never
	for _, id := range sorted.Keys(l.Lots) {
		t := l.Lots[id]
		if l.Clock <= t.due() {
			l.lotsDue = min(l.lotsDue, t.due())
			continue
		}
		delete(l.Lots, id)
		l.drop(DocItem, t.Item)
		l.dropRequests(t)
		for _, r := range t.List {
			l.drop(LotTextItem, r.Item)
		}
		l.dropAllWhole(t)
	}
	l.retireParts()
}

// dropRequests lets a lot's requests go: nobody runs or reads them once it has
// ended, and they are most of what an open lot needs of a small disk.
func (l *Ledger) dropRequests(t *Lot) {
	for k := range t.Parts {
		l.drop(LotPartItem, t.partRef(k).ID)
	}
	t.Parts, t.pieces, t.requestBytes = nil, nil, 0
}

const never = int64(1) << 62

// lotRow is a lot in a snapshot; its head lies on the blob store.
type lotRow struct {
	Owner string `json:"owner"`
	Hash  string `json:"hash"`
	Ended bool   `json:"ended,omitempty"`
	List  []byte `json:"list,omitempty"`
	Whole []byte `json:"whole,omitempty"`
	Item  uint64 `json:"item"`
	Mod   uint64 `json:"mod"`
	Bytes int64  `json:"request_bytes,omitempty"`
}

func (l *Ledger) lotRows() []lotRow {
	var out []lotRow
	for _, id := range sorted.Keys(l.Lots) {
		t := l.Lots[id]
		out = append(out, lotRow{t.Doc.Owner, t.Hash, t.Ended, packRows(t.List), packRows(t.Whole), t.Item, t.Mod, t.requestBytes})
	}
	return out
}

// loadLot reads a lot from its row and its head.
func (l *Ledger) loadLot(r lotRow, head []byte) error {
	var h lotHead
	if json.Unmarshal(head, &h) != nil {
		return ErrSnapshot
	}
	t := &Lot{Doc: h.Doc, IDs: h.IDs, Parts: h.Parts, pieces: h.Pieces, Hash: r.Hash, Ended: r.Ended, Item: r.Item, Mod: r.Mod, requestBytes: r.Bytes}
	if t.Ended {
		t.Parts, t.pieces = nil, nil
	}
	t.Doc.Owner = r.Owner
	if _, twice := t.index(); twice {
		return ErrSnapshot
	}
	var err error
	if t.List, err = unpackRows(r.List); err != nil {
		return err
	}
	for _, x := range t.List {
		if int(x.Sample) >= len(t.done) || t.done[x.Sample] {
			return ErrSnapshot
		}
		t.done[x.Sample] = true
		t.textBytes += int64(x.Size)
	}
	if err := t.loadWhole(r.Whole); err != nil {
		return err
	}
	l.Lots[t.Doc.ID] = t
	return nil
}

// lotItemsKept adds what must lie on the blob store of lots.
func (l *Ledger) lotItemsKept(to map[string][]uint64) {
	to[LotPartItem], to[LotTextItem] = nil, nil
	for _, t := range l.Lots {
		to[DocItem] = append(to[DocItem], t.Item)
		for k := range t.Parts {
			to[LotPartItem] = append(to[LotPartItem], t.partRef(k).ID)
		}
		for _, r := range slices.Concat(t.List, t.Whole) {
			to[LotTextItem] = append(to[LotTextItem], r.Item)
		}
	}
	for _, staged := range l.Staged {
		for _, part := range staged.Parts {
			for at := range part.Firsts {
				to[LotPartItem] = append(to[LotPartItem], part.piece(at))
			}
		}
	}
}
