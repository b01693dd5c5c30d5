package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sort"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
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
	Parts []int    // the first item of each stretch of requests; none once it has ended
	Hash  string   // of its items' ids and bodies
	Ended bool
	List  []Row  // Sample is the item's place in IDs
	Item  uint64 // the index of the command that brought it
	Mod   uint64

	requestBytes int64 // of its requests on the blob store; none once it has ended
	textBytes    int64 // of its listed results there

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

// otherLot answers a hand-in under an id that stands for another lot.
const otherLot = "a lot of this id exists with other content"

// LotPut answers a lot.put.
type LotPut struct {
	ID    string `json:"id"`
	Total int    `json:"total"`
	Fresh bool   `json:"fresh"` // false for a repeat
}

func (l *Ledger) putLot(c Command) Result {
	l.retireLots()
	var body PutLot
	if flow.Decode(c.Body, &body) != nil {
		return fail(400, "lot does not parse")
	}
	p, size := body.packed()
	d := p.Doc
	if d.ID == "" || !p.whole() {
		return fail(400, "lot does not parse")
	}
	if old := l.Lots[d.ID]; old != nil {
		if old.Hash != p.Hash {
			l.OrderCounts.Changed++
			return fail(409, otherLot)
		}
		l.OrderCounts.Repeated++
		return good(LotPut{d.ID, len(old.IDs), false})
	}
	switch known, total := l.recall(lotID(d.ID, p.Hash)); known {
	case repeated: // its time is over: it is not run again
		return good(LotPut{d.ID, int(total), false})
	case changed:
		return fail(409, otherLot)
	}
	if len(p.IDs) > LotItemsMost {
		return fail(400, "more items than a lot may have")
	}
	if slices.Contains(p.IDs, "") {
		return fail(400, "an item of the lot has no id")
	}
	t := &Lot{Hash: p.Hash, IDs: p.IDs, Parts: p.Parts, requestBytes: size, Item: l.Index, Mod: l.Index}
	if id, twice := t.index(); twice {
		return fail(400, "item "+id+" stands twice in the lot")
	}
	if refused := l.roomFor(t, c.At); refused != nil {
		return *refused
	}
	if d.KeepMS <= 0 {
		d.KeepMS = l.Bounds.Age
	}
	d.KeepMS, d.WaitMS = min(d.KeepMS, lotKeepMost), min(max(d.WaitMS, 0), lotKeepMost)
	d.Opened, d.AgeMS = c.At, 0
	t.Doc = d
	for k, part := range p.Requests {
		ref := t.partRef(k)
		l.put(ref.Kind, ref.ID, part)
	}
	l.put(DocItem, l.Index, raw(lotHead{d, t.IDs, t.Parts}))
	l.Lots[d.ID] = t
	l.acknowledge(lotID(d.ID, p.Hash), c.At, uint64(len(t.IDs)))
	l.lotsDue = min(l.lotsDue, t.due())
	return good(LotPut{d.ID, len(t.IDs), true})
}

// packed gives the lot of a command, and what its requests need on the blob store.
// What builds wrote that did not pack lots counts as it did for them.
func (b PutLot) packed() (PackedLot, int64) {
	if b.Packed != nil {
		b.Packed.Doc.Items = nil
		return *b.Packed, b.Packed.requestBytes()
	}
	return PackLot(b.LotDoc), requestBytes(b.Items)
}

// roomFor says why there is no room for a lot, if there is none.
func (l *Ledger) roomFor(t *Lot, at int64) *Result {
	refusal := func(code int, text string) *Result { r := fail(code, text); return &r }
	open, items := 0, len(t.IDs)
	for _, x := range l.Lots {
		items += len(x.IDs)
		if !x.Ended {
			open++
		}
	}
	if open >= OpenLots {
		return refusal(429, "too many open lots")
	}
	if len(l.Lots) >= KeepLots || items > KeepLotItems {
		return refusal(429, "too many lots or items of lots are kept")
	}
	if !l.roomForLot(t) {
		return refusal(429, lotsFull)
	}
	if !l.roomForReceipts(at, 1) {
		return refusal(503, receiptsFull)
	}
	return nil
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
	if flow.Decode(c.Body, &x) != nil {
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
		t.textBytes += int64(len(b))
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
		return l.endPastLot(id)
	}
	if !t.Ended {
		t.Ended, t.Mod = true, l.Index
		l.dropRequests(t)
		l.lotsDue = min(l.lotsDue, t.due())
	}
	return good(t.sum())
}

// endPastLot answers the end of a lot that is not kept: it is over if it ever was.
func (l *Ledger) endPastLot(id string) Result {
	row, known := l.Receipts.Find(lotID(id, "").key())
	if !known {
		return fail(404, "no such lot")
	}
	l.OrderCounts.Repeated++
	return good(LotSum{ID: id, Total: int(l.Receipts.Row(row).Item), Ended: true})
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
