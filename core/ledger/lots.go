package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sort"

	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// Kinds of items of lots. Their numbers are the index of the command, then the
// place among those that the command brought.
const (
	LotPartItem = "part" // a stretch of a lot's requests
	LotTextItem = "lot"  // a listed result of a lot
)

// Bounds on lots (design 4.7).
const (
	OpenLots     = 256     // that have not ended
	KeepLots     = 4096    // in all
	LotItemsMost = 1 << 16 // in one lot
	KeepLotItems = 1 << 22 // in all
	LotPartBytes = 64 << 10
	lotKeepMost  = int64(30 * 24 * 3600 * 1000) // milliseconds
	recentBytes  = 4 << 20                      // of texts listed last
	lotShift     = 16
)

// Lot is a lot as memory has it: its requests and texts lie on the blob store (design 8.7).
type Lot struct {
	Doc   LotDoc   // without its items
	IDs   []string // of its items, in their order
	Parts []int    // the first item of each stretch of requests
	Hash  string   // of its items' ids and bodies
	Ended bool
	List  []Row  // Sample is the item's place in IDs
	Item  uint64 // the index of the command that brought it
	Mod   uint64

	byID []uint16 // places, by id
	done []bool   // listed, by place
}

// lotHead is what lies on the blob store of a lot besides its requests.
type lotHead struct {
	Doc   LotDoc   `json:"doc"`
	IDs   []string `json:"ids"`
	Parts []int    `json:"parts"`
}

// index makes items findable. It says which id stands twice, if one does.
func (t *Lot) index() (twice string, bad bool) {
	t.byID, t.done = make([]uint16, len(t.IDs)), make([]bool, len(t.IDs))
	for i := range t.byID {
		t.byID[i] = uint16(i)
	}
	sort.Slice(t.byID, func(a, b int) bool { return t.IDs[t.byID[a]] < t.IDs[t.byID[b]] })
	for i := 1; i < len(t.byID); i++ {
		if id := t.IDs[t.byID[i]]; id == t.IDs[t.byID[i-1]] {
			return id, true
		}
	}
	return "", false
}

// place finds an item, or gives -1.
func (t *Lot) place(id string) int {
	i, ok := slices.BinarySearchFunc(t.byID, id, func(p uint16, id string) int {
		if t.IDs[p] < id {
			return -1
		}
		return map[bool]int{true: 0, false: 1}[t.IDs[p] == id]
	})
	if !ok {
		return -1
	}
	return int(t.byID[i])
}

// part gives which stretch of requests has an item.
func (t *Lot) part(place int) int {
	i, ok := slices.BinarySearch(t.Parts, place)
	if ok {
		return i
	}
	return i - 1
}

func (t *Lot) partRef(k int) flow.Ref {
	return flow.Ref{Kind: LotPartItem, ID: t.Item<<lotShift | uint64(k)}
}

// due is when a lot is retired, by the ledger's time.
func (t *Lot) due() int64 {
	if t.Ended {
		return t.Doc.Opened + t.Doc.KeepMS
	}
	return t.Doc.Opened + 4*t.Doc.KeepMS + t.Doc.WaitMS
}

// lotHash binds a repeat to what was handed in first.
func lotHash(items []LotItem) string {
	h := sha256.New()
	put := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	for _, x := range items {
		put([]byte(x.ID))
		put(x.Body)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// LotPut answers a lot.put.
type LotPut struct {
	ID    string `json:"id"`
	Total int    `json:"total"`
	Fresh bool   `json:"fresh"` // false for a repeat
}

func (l *Ledger) putLot(c Command) Result {
	l.retireLots()
	var d LotDoc
	if json.Unmarshal(c.Body, &d) != nil || d.ID == "" {
		return fail(400, "lot does not parse")
	}
	h := lotHash(d.Items)
	if old := l.Lots[d.ID]; old != nil {
		if old.Hash != h {
			return fail(409, "a lot of this id exists with other content")
		}
		return good(LotPut{d.ID, len(old.IDs), false})
	}
	if len(d.Items) > LotItemsMost {
		return fail(400, "more items than a lot may have")
	}
	t := &Lot{Hash: h, Item: l.Index, Mod: l.Index}
	for _, x := range d.Items {
		if x.ID == "" {
			return fail(400, "an item of the lot has no id")
		}
		t.IDs = append(t.IDs, x.ID)
	}
	if id, twice := t.index(); twice {
		return fail(400, "item "+id+" stands twice in the lot")
	}
	open, items := 0, len(t.IDs)
	for _, x := range l.Lots {
		items += len(x.IDs)
		if !x.Ended {
			open++
		}
	}
	if open >= OpenLots {
		return fail(429, "too many open lots")
	}
	if len(l.Lots) >= KeepLots || items > KeepLotItems {
		return fail(429, "too many lots or items of lots are kept")
	}
	if d.KeepMS <= 0 {
		d.KeepMS = l.Bounds.Age
	}
	d.KeepMS, d.WaitMS = min(d.KeepMS, lotKeepMost), min(max(d.WaitMS, 0), lotKeepMost)
	d.Opened, d.AgeMS = c.At, 0
	rest := d.Items
	d.Items = nil
	t.Doc = d
	for at := 0; at < len(rest); {
		end, size := at, 0
		for end < len(rest) && (end == at || size+len(rest[end].Body) <= LotPartBytes) {
			size += len(rest[end].Body) + sizeOf
			end++
		}
		ref := t.partRef(len(t.Parts))
		t.Parts = append(t.Parts, at)
		l.put(ref.Kind, ref.ID, raw(rest[at:end]))
		at = end
	}
	l.put(DocItem, l.Index, raw(lotHead{d, t.IDs, t.Parts}))
	l.Lots[d.ID] = t
	l.lotsDue = min(l.lotsDue, t.due())
	return good(LotPut{d.ID, len(t.IDs), true})
}

// LotCount answers a lot.list. Refused counts results that the lot does not
// allow; those listed before and those of no item of it are passed over.
type LotCount struct {
	Listed  int `json:"listed"`
	Refused int `json:"refused,omitempty"`
}

// listLot lists results in their order, each item once. It checks again what
// must never be listed (design 8.7).
func (l *Ledger) listLot(c Command) Result {
	l.retireLots()
	var x ListLot
	if json.Unmarshal(c.Body, &x) != nil {
		return fail(400, "results do not parse")
	}
	t := l.Lots[x.Lot]
	if t == nil {
		return fail(404, "no such lot")
	}
	n, refused := uint64(0), 0
	for _, r := range x.Results {
		p := t.place(r.Item)
		if p < 0 || t.done[p] {
			continue
		}
		if !t.allows(r) {
			refused++
			continue
		}
		b, id := raw(r), l.Index<<lotShift|n
		n++
		t.done[p] = true
		t.List = append(t.List, Row{Sample: uint16(p), Size: uint32(len(b)), Item: id})
		l.put(LotTextItem, id, b)
		l.recent.add(id, b)
	}
	return good(LotCount{len(t.List), refused})
}

// allows says whether a result may be listed: its state, and the weights.
func (t *Lot) allows(r LotResult) bool {
	if r.State != LotComplete && r.State != LotAbandoned {
		return false
	}
	for _, v := range r.Versions {
		if v < t.Doc.Least || t.Doc.Single && v != r.Versions[0] {
			return false
		}
	}
	return true
}

// LotSum sums up a lot.
type LotSum struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Total  int    `json:"total"`
	Listed int    `json:"listed"`
	Ended  bool   `json:"ended,omitempty"`
}

func (t *Lot) sum() LotSum { return LotSum{t.Doc.ID, t.Doc.Owner, len(t.IDs), len(t.List), t.Ended} }

func (l *Ledger) endLot(c Command) Result {
	l.retireLots()
	var id string
	_ = json.Unmarshal(c.Body, &id)
	t := l.Lots[id]
	if t == nil {
		return fail(404, "no such lot")
	}
	if !t.Ended {
		t.Ended, t.Mod = true, l.Index
		l.lotsDue = min(l.lotsDue, t.due())
	}
	return good(t.sum())
}

// ownLot moves a lot whose owner is lost; only the leader says so.
func (l *Ledger) ownLot(c Command) Result {
	l.retireLots()
	var o OwnLot
	_ = json.Unmarshal(c.Body, &o)
	t := l.Lots[o.Lot]
	if t == nil {
		return fail(404, "no such lot")
	}
	if t.Ended || t.Doc.Owner != o.Was || o.Owner == "" {
		return fail(409, "the lot has ended or moved on")
	}
	t.Doc.Owner, t.Mod = o.Owner, l.Index
	return good(t.sum())
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
		for k := range t.Parts {
			l.drop(LotPartItem, t.partRef(k).ID)
		}
		for _, r := range t.List {
			l.drop(LotTextItem, r.Item)
		}
	}
}

const never = int64(1) << 62

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
	return LotRow{ID: id, Owner: t.Doc.Owner, Ended: t.Ended, Pool: t.Doc.Pool, Model: t.Doc.Model, Least: t.Doc.Least}
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

type rawLotRead struct {
	Total   int               `json:"total"`
	Next    int               `json:"next"`
	Listed  int               `json:"listed"`
	Ended   bool              `json:"ended,omitempty"`
	Results []json.RawMessage `json:"results"`
}

func (l *Ledger) readLot(body json.RawMessage) Result {
	var q ReadLot
	if json.Unmarshal(body, &q) != nil {
		return fail(400, "the question does not parse")
	}
	t := l.Lots[q.Lot]
	if t == nil {
		return fail(404, "no such lot")
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
		if size += int(r.Size); size > q.Bytes && out.Next > from {
			break
		}
		b := l.recent.by[r.Item]
		if b == nil {
			holes, need = append(holes, len(out.Results)), append(need, flow.Ref{Kind: LotTextItem, ID: r.Item})
		}
		out.Results = append(out.Results, b)
	}
	if len(need) == 0 {
		return good(out)
	}
	return Result{Code: 200, Need: need, With: func(items [][]byte) Result {
		for i, at := range holes {
			out.Results[at] = items[i]
		}
		return good(out)
	}}
}

// lotItems tells an owner what is left of its lot.
func (l *Ledger) lotItems(body json.RawMessage) Result {
	var id string
	_ = json.Unmarshal(body, &id)
	t := l.Lots[id]
	if t == nil {
		return fail(404, "no such lot")
	}
	var need []flow.Ref
	var parts []int
	for p, done := range t.done {
		if k := t.part(p); !done && (len(parts) == 0 || parts[len(parts)-1] != k) {
			parts, need = append(parts, k), append(need, t.partRef(k))
		}
	}
	out := LotItems{Doc: t.Doc, Listed: len(t.List), Ended: t.Ended}
	out.Doc.AgeMS, out.Doc.Items = l.Clock-t.Doc.Opened, []LotItem{}
	if len(need) == 0 {
		return good(out)
	}
	done := slices.Clone(t.done) // Listed and what is left must agree
	return Result{Code: 200, Need: need, With: func(items [][]byte) Result {
		for i, b := range items {
			var part []LotItem
			if json.Unmarshal(b, &part) != nil {
				return fail(500, "a lot's requests do not parse")
			}
			for j, x := range part {
				if !done[t.Parts[parts[i]]+j] {
					out.Doc.Items = append(out.Doc.Items, x)
				}
			}
		}
		return good(out)
	}}
}

// LotBody answers a lot.item.
type LotBody struct {
	Body []byte `json:"body"`
}

// lotItem gives the body of one item that is not listed, until the lot ends.
func (l *Ledger) lotItem(body json.RawMessage) Result {
	var q FindItem
	_ = json.Unmarshal(body, &q)
	t, p := l.Lots[q.Lot], -1
	if t != nil && !t.Ended {
		p = t.place(q.Item)
	}
	if p < 0 || t.done[p] {
		return fail(404, "no such item is open")
	}
	k := t.part(p)
	return Result{Code: 200, Need: []flow.Ref{t.partRef(k)}, With: func(items [][]byte) Result {
		var part []LotItem
		if json.Unmarshal(items[0], &part) != nil || p-t.Parts[k] >= len(part) {
			return fail(500, "a lot's requests do not parse")
		}
		return good(LotBody{part[p-t.Parts[k]].Body})
	}}
}

// lotRow is a lot in a snapshot; its head lies on the blob store.
type lotRow struct {
	Owner string `json:"owner"`
	Hash  string `json:"hash"`
	Ended bool   `json:"ended,omitempty"`
	List  []byte `json:"list,omitempty"`
	Item  uint64 `json:"item"`
	Mod   uint64 `json:"mod"`
}

func (l *Ledger) lotRows() []lotRow {
	var out []lotRow
	for _, id := range sorted.Keys(l.Lots) {
		t := l.Lots[id]
		out = append(out, lotRow{t.Doc.Owner, t.Hash, t.Ended, packRows(t.List), t.Item, t.Mod})
	}
	return out
}

// loadLot reads a lot from its row and its head.
func (l *Ledger) loadLot(r lotRow, head []byte) error {
	var h lotHead
	if json.Unmarshal(head, &h) != nil {
		return ErrSnapshot
	}
	t := &Lot{Doc: h.Doc, IDs: h.IDs, Parts: h.Parts, Hash: r.Hash, Ended: r.Ended, Item: r.Item, Mod: r.Mod}
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
		for _, r := range t.List {
			to[LotTextItem] = append(to[LotTextItem], r.Item)
		}
	}
}
