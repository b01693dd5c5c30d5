package ledger

import (
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
	Whole []Row  // texts that wait for their scores, by place; none once it has ended
	Item  uint64 // the index of the command that brought it
	Mod   uint64

	pieces       []uint64 // numbers of its requests' pieces, where it was handed in in parts
	requestBytes int64    // of its requests on the blob store; none once it has ended
	textBytes    int64    // of its listed results there

	byID []uint16 // places, by id
	done []bool   // listed, by place
}

// lotHead is what lies on the blob store of a lot besides its requests.
type lotHead struct {
	Doc    LotDoc   `json:"doc"`
	IDs    []string `json:"ids"`
	Parts  []int    `json:"parts"`
	Pieces []uint64 `json:"pieces,omitempty"`
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

// stretch gives the pieces that hold the request of an item: one, or the fragments of a
// request that is too large for one.
func (t *Lot) stretch(place int) (from, to int) {
	to = sort.SearchInts(t.Parts, place+1)
	from = sort.SearchInts(t.Parts[:to], t.Parts[to-1])
	return from, to
}

// isFragment says whether a piece holds a part of a request alone.
func (t *Lot) isFragment(k int) bool {
	from, to := t.stretch(t.Parts[k])
	return to-from > 1
}

// placesEnd gives the place after the items of the stretch that a piece belongs to.
func (t *Lot) placesEnd(k int) int {
	if _, to := t.stretch(t.Parts[k]); to < len(t.Parts) {
		return t.Parts[to]
	}
	return len(t.IDs)
}

func (t *Lot) partRef(k int) flow.Ref {
	if t.pieces != nil {
		return flow.Ref{Kind: LotPartItem, ID: t.pieces[k]}
	}
	return flow.Ref{Kind: LotPartItem, ID: t.Item<<lotShift | uint64(k)}
}

// lotHash binds a repeat to what was handed in first.
func lotHash(items []LotItem) string {
	hash := NewLotHash()
	for _, item := range items {
		hash.Add(item)
	}
	return hash.String()
}

// LotPut answers a lot.put.
type LotPut struct {
	ID    string `json:"id"`
	Total int    `json:"total"`
	Fresh bool   `json:"fresh"` // false for a repeat
}

func (l *Ledger) putLot(body PutLot, c Command) Result {
	p, size := body.packed()
	inParts := p.PartCount > 0
	if p.Doc.ID == "" || !inParts && !p.whole() {
		return badLot.Result()
	}
	if answer, known := l.recallLot(p); known {
		l.dropParts(p.partsName())
		return answer
	}
	var pieces []uint64
	if inParts {
		whole := false
		if pieces, size, whole = l.assemble(&p); !whole {
			return partsMissing.Result()
		}
	}
	t := &Lot{Hash: p.Hash, IDs: p.IDs, Parts: p.Parts, pieces: pieces, requestBytes: size, Item: l.Index, Mod: l.Index}
	if why, refused := l.refusesLot(t, p.partsName(), c.At); refused {
		l.dropParts(p.partsName())
		return why.Result()
	}
	t.Doc = l.opened(p.Doc, c.At)
	l.keepLot(t, p.Requests, c.At)
	delete(l.Staged, p.partsName())
	return good(LotPut{p.Doc.ID, len(t.IDs), true})
}

// refusesLot says why a lot can't be taken, if it can't.
func (l *Ledger) refusesLot(t *Lot, parts PartsName, at int64) (why Refusal, refused bool) {
	if why, refused := t.refusesItems(); refused {
		return why, true
	}
	return l.noRoomFor(t, parts, at)
}

// opened gives the head of a lot that is taken, with its times within their bounds.
func (l *Ledger) opened(d LotDoc, at int64) LotDoc {
	if d.KeepMS <= 0 {
		d.KeepMS = l.Bounds.Age
	}
	d.KeepMS, d.WaitMS = min(d.KeepMS, lotKeepMost), min(max(d.WaitMS, 0), lotKeepMost)
	d.Opened, d.AgeMS = at, 0
	return d
}

// recallLot answers a hand-in of a lot that was handed in before, and one whose id
// stands for another.
func (l *Ledger) recallLot(p PackedLot) (Result, bool) {
	d := p.Doc
	if old := l.Lots[d.ID]; old != nil {
		if old.Hash != p.Hash {
			l.OrderCounts.Changed++
			return otherLot.Result(), true
		}
		l.OrderCounts.Repeated++
		return good(LotPut{d.ID, len(old.IDs), false}), true
	}
	switch known, total := l.recall(lotID(d.ID, p.Hash)); known {
	case repeated: // its time is over: it is not run again
		return good(LotPut{d.ID, int(total), false}), true
	case changed:
		return otherLot.Result(), true
	}
	return Result{}, false
}

// refusesItems says why a lot's items can't be taken, if they can't. It makes those
// that can findable.
func (t *Lot) refusesItems() (why Refusal, refused bool) {
	if len(t.IDs) > LotItemsMost {
		return lotTooLarge, true
	}
	if slices.Contains(t.IDs, "") {
		return itemWithoutID, true
	}
	if id, twice := t.index(); twice {
		return itemTwice(id), true
	}
	return Refusal{}, false
}

// keepLot keeps a lot, and its requests on the blob store.
func (l *Ledger) keepLot(t *Lot, requests []json.RawMessage, at int64) {
	for k, part := range requests {
		ref := t.partRef(k)
		l.put(ref.Kind, ref.ID, part)
	}
	l.put(DocItem, l.Index, raw(lotHead{t.Doc, t.IDs, t.Parts, t.pieces}))
	l.Lots[t.Doc.ID] = t
	l.acknowledge(lotID(t.Doc.ID, t.Hash), at, uint64(len(t.IDs)))
	l.lotsDue = min(l.lotsDue, t.due())
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

// noRoomFor says why there is no room for a lot, if there is none. Its own parts take none
// beside it.
func (l *Ledger) noRoomFor(t *Lot, parts PartsName, at int64) (why Refusal, refused bool) {
	open, items := 0, len(t.IDs)
	for _, x := range l.Lots {
		items += len(x.IDs)
		if !x.Ended {
			open++
		}
	}
	if open >= OpenLots {
		return openLotsFull, true
	}
	if len(l.Lots) >= KeepLots || items > KeepLotItems {
		return lotsKeptFull, true
	}
	if !l.roomForLot(t, parts) {
		return lotBytesFull, true
	}
	if !l.roomForReceipts(at, 1) {
		return receiptsFull, true
	}
	return Refusal{}, false
}

// LotCount answers a lot.list. Refused counts results that the lot does not
// allow; those listed before and those of no item of it are passed over.
type LotCount struct {
	Listed  int `json:"listed"`
	Refused int `json:"refused,omitempty"`
}

// ListLot lists results in one lot, in this order, but for items that are
// listed already, and keeps texts that wait for their scores (design 8.7). listLot applies
// it; TestLotVersions, TestLotPositionsNeverMove, TestAWholeTextIsKeptUntilItIsListed.
type ListLot struct {
	Lot     string      `json:"lot"`
	Results []LotResult `json:"results"`
	Whole   []LotResult `json:"whole,omitempty"`
}

// Kind names the command.
func (ListLot) Kind() Kind { return KindLotList }

// listLot lists results in their order, each item once. It checks again what
// must never be listed (design 8.7).
func (l *Ledger) listLot(x listing, _ Command) Result {
	t := l.Lots[x.lot]
	if t == nil {
		return noSuchLot.Result()
	}
	n, refused := uint64(0), 0
	for i, r := range x.results {
		p := t.place(r.Item)
		if p < 0 || t.done[p] {
			continue
		}
		if !t.allows(r) {
			refused++
			continue
		}
		b, id := x.texts[i], l.Index<<lotShift|n
		n++
		t.done[p] = true
		t.List = append(t.List, Row{Sample: uint16(p), Size: uint32(len(b)), Item: id})
		t.textBytes += int64(len(b))
		l.put(LotTextItem, id, b)
		l.recent.add(id, b)
		l.dropWhole(t, p)
	}
	refused += l.keepWhole(t, x.whole, n)
	return good(LotCount{len(t.List), refused})
}

// allows says whether a result may be listed: its state, and the weights.
func (t *Lot) allows(r LotResult) bool {
	if r.State != LotComplete && r.State != LotAbandoned {
		return false
	}
	return t.allowsVersions(r.Versions)
}

// allowsVersions says whether a text of these weights may be a result.
func (t *Lot) allowsVersions(versions []int) bool {
	for _, v := range versions {
		if v < t.Doc.Least || t.Doc.Single && v != versions[0] {
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

// EndLot ends the lot of this id (design 8.7). endLot applies it;
// TestLateLotIsNotTakenAnew.
type EndLot string

// Kind names the command.
func (EndLot) Kind() Kind { return KindLotEnd }

func (l *Ledger) endLot(end EndLot, _ Command) Result {
	id := string(end)
	t := l.Lots[id]
	if t == nil {
		return l.endPastLot(id)
	}
	if !t.Ended {
		t.Ended, t.Mod = true, l.Index
		l.dropRequests(t)
		l.dropAllWhole(t)
		l.lotsDue = min(l.lotsDue, t.due())
	}
	return good(t.sum())
}

// endPastLot answers the end of a lot that is not kept: it is over if it ever was.
func (l *Ledger) endPastLot(id string) Result {
	row, known := l.Receipts.Find(lotID(id, "").key())
	if !known {
		return noSuchLot.Result()
	}
	l.OrderCounts.Repeated++
	return good(LotSum{ID: id, Total: int(l.Receipts.Row(row).Item), Ended: true})
}

// OwnLot moves a lot to another dispatcher, if Was still owns it (design 8.7).
// ownLot applies it; TestLotOwners.
type OwnLot struct {
	Lot   string `json:"lot"`
	Was   string `json:"was"`
	Owner string `json:"owner"`
}

// Kind names the command.
func (OwnLot) Kind() Kind { return KindLotOwn }

// ownLot moves a lot whose owner is lost; only the leader says so.
func (l *Ledger) ownLot(o OwnLot, _ Command) Result {
	t := l.Lots[o.Lot]
	if t == nil {
		return noSuchLot.Result()
	}
	if t.Ended || t.Doc.Owner != o.Was || o.Owner == "" {
		return lotMoved.Result()
	}
	t.Doc.Owner, t.Mod = o.Owner, l.Index
	return good(t.sum())
}
