package ledger

import (
	"encoding/binary"
	"slices"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
	"fernlink/core/sorted"
)

// ErrSnapshot says that a snapshot does not read.
var ErrSnapshot = errors.New("ledger: the snapshot does not read")

// snapshot is the state as it is written: small, since bulk lies on the blob store.
type snapshot struct {
	Index   uint64             `json:"index"`
	Clock   int64              `json:"clock"`
	Bounds  Bounds             `json:"bounds"`
	Plans   []Plan             `json:"plans"`
	Steps   []stepRow          `json:"steps"`
	Keys    keys.Snapshot      `json:"keys"`
	Owners  map[uint64]string  `json:"owners"`
	Coord   Coord              `json:"coord"`
	Orders  map[string]*Order  `json:"orders"`
	Targets map[string]*Target `json:"targets"`
	Drains  map[string]*Drain  `json:"drains"`
	Lots    []lotRow           `json:"lots,omitempty"`
	Staged  []stagedRow        `json:"lot_parts,omitempty"`
	// Receipts is missing in snapshots of earlier builds.
	Receipts *keys.Snapshot `json:"receipts,omitempty"`
}

type stepRow struct {
	Doc    StepDoc `json:"doc"` // without its groups
	Wants  int     `json:"wants"`
	Hash   string  `json:"hash"`
	State  string  `json:"state"`
	Opened int64   `json:"opened"`
	Ended  int64   `json:"ended,omitempty"`
	List   []byte  `json:"list"`
	Bytes  int64   `json:"bytes"`
	Item   uint64  `json:"item"`
	Mod    uint64  `json:"mod"`
}

func packRows(rows []Row) []byte {
	var b []byte
	at := uint64(0)
	for _, r := range rows {
		b = binary.AppendUvarint(b, uint64(r.Group))
		b = binary.AppendUvarint(b, uint64(r.Sample))
		b = binary.AppendUvarint(b, uint64(r.Size))
		b = binary.AppendUvarint(b, r.Item-at)
		at = r.Item
	}
	return b
}

func unpackRows(b []byte) ([]Row, error) {
	var out []Row
	at := uint64(0)
	for len(b) > 0 {
		var v [4]uint64
		for i := range v {
			x, n := binary.Uvarint(b)
			if n <= 0 {
				return nil, ErrSnapshot
			}
			v[i], b = x, b[n:]
		}
		at += v[3]
		out = append(out, Row{uint16(v[0]), uint16(v[1]), uint32(v[2]), at})
	}
	return out, nil
}

// Snapshot writes the state. What it names lies on the blob store, or is in what Box
// gives next.
func (l *Ledger) Snapshot() json.RawMessage {
	filed := l.Keys.File()
	for _, n := range sorted.Keys(filed) {
		l.put(PageItem, n, filed[n])
	}
	filed = l.Receipts.File()
	for _, n := range sorted.Keys(filed) {
		l.put(ReceiptItem, n, filed[n])
	}
	receipts := l.Receipts.Snapshot()
	d := snapshot{Receipts: &receipts, Index: l.Index, Clock: l.Clock, Bounds: l.Bounds, Keys: l.Keys.Snapshot(), Owners: l.Owners, Coord: l.Coord,
		Orders: l.Orders, Targets: l.Targets, Drains: l.Drains, Lots: l.lotRows(), Staged: l.stagedRows()}
	for _, p := range l.Plans {
		p.Doc, p.Patch = nil, nil
		d.Plans = append(d.Plans, p)
	}
	row := func(s *Step) {
		doc := s.Doc
		doc.Groups = nil
		d.Steps = append(d.Steps, stepRow{doc, s.Wants, s.Hash, s.State, s.Opened, s.Ended, packRows(s.List), s.Bytes, s.Item, s.Mod})
	}
	for _, id := range l.Ends { // in the order in which they ended
		row(l.Steps[id])
	}
	for _, id := range sorted.Keys(l.Steps) {
		if l.Steps[id].State == "open" {
			row(l.Steps[id])
		}
	}
	return raw(d)
}

// Needs names the items without which a snapshot can't be loaded.
func Needs(state json.RawMessage) ([]flow.Ref, error) {
	var d snapshot
	if err := json.Unmarshal(state, &d); err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	var out []flow.Ref
	for _, n := range d.Keys.Needs() {
		out = append(out, flow.Ref{Kind: PageItem, ID: n})
	}
	if d.Receipts != nil {
		for _, n := range d.Receipts.Needs() {
			out = append(out, flow.Ref{Kind: ReceiptItem, ID: n})
		}
	}
	for _, s := range d.Steps {
		if s.State == "open" {
			out = append(out, flow.Ref{Kind: DocItem, ID: s.Item})
		}
	}
	for _, t := range d.Lots {
		out = append(out, flow.Ref{Kind: DocItem, ID: t.Item})
	}
	if n := len(d.Plans); n > 0 {
		out = append(out, (&Ledger{Plans: d.Plans}).planRefs(n-1)...)
	}
	return out, nil
}

// Load reads a snapshot, with the items that Needs names.
func Load(state json.RawMessage, items map[flow.Ref][]byte) (*Ledger, error) {
	var d snapshot
	if err := json.Unmarshal(state, &d); err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	l := New()
	l.loadTables(d)
	l.loadStaged(d.Staged)
	for _, load := range []func(snapshot, map[flow.Ref][]byte) error{l.loadKeys, l.loadSteps, l.loadLots, l.loadPlan, l.loadReceipts} {
		if err := load(d, items); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// loadTables takes what stands in the snapshot itself. A table that it lacks stays
// empty.
func (l *Ledger) loadTables(d snapshot) {
	l.Index, l.Clock, l.Bounds, l.Plans, l.Coord = d.Index, d.Clock, d.Bounds, d.Plans, d.Coord
	if d.Owners != nil {
		l.Owners = d.Owners
	}
	if d.Orders != nil {
		l.Orders = d.Orders
	}
	if d.Targets != nil {
		l.Targets = d.Targets
	}
	if d.Drains != nil {
		l.Drains = d.Drains
	}
}

func (l *Ledger) loadKeys(d snapshot, items map[flow.Ref][]byte) (err error) {
	l.Keys, err = keys.Load(d.Keys, func(n uint64) []byte { return items[flow.Ref{Kind: PageItem, ID: n}] })
	if err != nil {
		return errors.Wrap(ErrSnapshot, err.Error())
	}
	return nil
}

func (l *Ledger) loadSteps(d snapshot, items map[flow.Ref][]byte) error {
	for _, row := range d.Steps {
		s, err := loadStep(row, items)
		if err != nil {
			return err
		}
		if s.State != "open" {
			l.Ends = append(l.Ends, s.Doc.ID)
		}
		l.Steps[s.Doc.ID] = s
		l.Kept[s.Doc.Trainer] += s.Bytes
	}
	return nil
}

// loadStep reads a step. The document of one that is open lies on the blob store.
func loadStep(row stepRow, items map[flow.Ref][]byte) (*Step, error) {
	s := &Step{Doc: row.Doc, Wants: row.Wants, Hash: row.Hash, State: row.State, Opened: row.Opened, Ended: row.Ended, Bytes: row.Bytes, Item: row.Item, Mod: row.Mod}
	var err error
	if s.List, err = unpackRows(row.List); err != nil {
		return nil, err
	}
	if s.State == "open" && json.Unmarshal(items[flow.Ref{Kind: DocItem, ID: s.Item}], &s.Doc) != nil {
		return nil, errors.Wrap(ErrSnapshot, "a step's document is missing")
	}
	return s, nil
}

func (l *Ledger) loadLots(d snapshot, items map[flow.Ref][]byte) error {
	for _, row := range d.Lots {
		if err := l.loadLot(row, items[flow.Ref{Kind: DocItem, ID: row.Item}]); err != nil {
			return errors.Wrap(err, "a lot does not read")
		}
	}
	return nil
}

// loadReceipts reads the receipts. A snapshot of an earlier build has none: they
// are made of what it still holds.
func (l *Ledger) loadReceipts(d snapshot, items map[flow.Ref][]byte) error {
	if d.Receipts == nil {
		l.seedReceipts()
		return nil
	}
	var err error
	l.Receipts, err = keys.Load(*d.Receipts, func(n uint64) []byte { return items[flow.Ref{Kind: ReceiptItem, ID: n}] })
	if err != nil {
		return errors.Wrap(ErrSnapshot, "receipts: "+err.Error())
	}
	return nil
}

// Items names all that must lie on the blob store, each kind in order.
func (l *Ledger) Items() map[string][]uint64 {
	answers, filed := l.Keys.Items()
	_, receipts := l.Receipts.Items()
	out := map[string][]uint64{AnswerItem: answers, PageItem: filed, ReceiptItem: receipts, TextItem: nil, DocItem: nil}
	for _, s := range l.Steps {
		if s.State == "open" {
			out[DocItem] = append(out[DocItem], s.Item)
		}
		for _, r := range s.List {
			out[TextItem] = append(out[TextItem], r.Item)
		}
	}
	for _, p := range l.Plans {
		out[DocItem] = append(out[DocItem], p.Mod)
	}
	l.lotItemsKept(out)
	for _, k := range []string{AnswerItem, TextItem, DocItem, LotPartItem, LotTextItem} {
		slices.Sort(out[k])
	}
	return out
}
