package lots

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/serve/env"
	"fernlink/core/serve/route"
	"fernlink/core/sorted"
)

// A lot that is large is handed in in parts (design 8.7): it is read item by item, a stretch
// each turn, and goes to the store as commands of bounded size. So a lot of any size takes
// its own bytes in the memory of the node that takes it, and little of any other's.

const (
	// wholeMost is the largest lot in bytes that goes to the store as one command.
	wholeMost = 2 << 20
	// readPerTurn is how many bytes of large lots one turn reads: elections and leases
	// wait for it.
	readPerTurn = 512 << 10
	// partsInFlight is how many parts of a lot are under way to the store.
	partsInFlight = 4
)

// handInStep says how far the hand-in of a large lot is.
type handInStep int

const (
	checking handInStep = iota // it is read through: one that can't be read is refused whole
	asking                     // the store is asked which parts it has
	sending                    // parts are sent
	naming                     // the lot.put that names the parts is under way
)

// handIn is a large lot that is handed in.
type handIn struct {
	call   flow.Call
	id     string
	route  *route.Route
	keep   flow.Time
	came   flow.Time
	until  flow.Time // when it is given up
	step   handInStep
	waits  bool // for an answer of the store
	in     dialect.LotReader
	hash   ledger.LotHash
	sum    hash.Hash // of the document
	summed int       // bytes of it
	doc    ledger.LotDoc
	items  int
	bytes  int64 // that its requests will need on the blob store
	memory int64 // that its items will need in their owner's memory
	packer *ledger.LotPacker
	there  map[int]bool     // parts that the store has
	again  []ledger.LotPart // parts that were not answered for
	flight int              // parts under way
	read   bool             // all items are in parts
}

// itemMemory is what an item takes in its owner's memory besides its texts, in bytes, and
// fieldMemory what a header does.
const (
	itemMemory  = 512
	fieldMemory = 64
)

// memoryOf is about what an item takes in its owner's memory, in bytes.
func memoryOf(x ledger.LotItem) int64 {
	size := itemMemory + len(x.ID) + len(x.Group) + len(x.Path) + len(x.Body)
	for _, f := range x.Fields {
		size += fieldMemory + len(f.Name) + len(f.Value)
	}
	if x.Reward != nil {
		size += len(x.Reward.ID) + len(x.Reward.Host) + len(x.Reward.Path) + len(x.Reward.Body)
	}
	return int64(size)
}

// encodedSize is about what an item takes on the blob store, in bytes.
func encodedSize(x ledger.LotItem) int64 {
	const punctuation = 64
	size := punctuation + len(x.ID) + len(x.Group) + len(x.Path) + len(x.Body)*4/3
	for _, f := range x.Fields {
		size += len(`{"n":"","v":""},`) + len(f.Name) + len(f.Value)
	}
	if x.Reward != nil {
		size += punctuation + len(x.Reward.ID) + len(x.Reward.Host) + len(x.Reward.Path) + len(x.Reward.Body)*4/3
	}
	return int64(size)
}

// beginHandIn takes a large lot.
func (t *Table) beginHandIn(c flow.Call, id string, r *route.Route, keep flow.Time) {
	t.putting[c.ID] = partsInFlight * ledger.PartBytes
	t.handIns[c.ID] = &handIn{call: c, id: id, route: r, keep: keep, came: t.env.Now, until: t.env.Now + budget.AskTimeout + ask.Carry(len(c.Body)),
		in: t.env.Codec.OpenLot(id, c.Body), hash: ledger.NewLotHash(), sum: sha256.New()}
}

// endHandIn forgets a hand-in, which the caller has answered or nobody waits for.
func (t *Table) endHandIn(h *handIn) {
	delete(t.handIns, h.call.ID)
	delete(t.putting, h.call.ID)
}

// refuseHandIn ends a hand-in of which nothing runs: no lot.put of it was ever sent.
func (t *Table) refuseHandIn(h *handIn, why env.Reason) {
	t.traceHandIn(h, "refused", "why", why)
	t.endHandIn(h)
	t.env.Refuse(h.call.ID, why, budget.Listed)
}

func (t *Table) traceHandIn(h *handIn, text string, args ...any) {
	if t.env.Debug {
		t.env.Trace("lots", text, append([]any{"lot", h.id}, args...)...)
	}
}

// advanceHandIns goes on with the lots that are handed in.
func (t *Table) advanceHandIns() {
	left := readPerTurn
	for _, call := range sorted.Keys(t.handIns) {
		h := t.handIns[call]
		switch {
		case h.waits:
		case t.env.Now >= h.until:
			t.refuseHandIn(h, env.StoreSilent)
		case h.step == checking:
			left -= t.check(h, left)
		case h.step == asking:
			t.askParts(h)
		case h.step == sending:
			left -= t.send(h, left)
		}
	}
}

// check reads a lot through, most bytes at most, and gives how many it read.
func (t *Table) check(h *handIn, most int) int {
	from := h.in.Offset()
	for h.in.Offset()-from < most {
		item, more, err := h.in.Next()
		h.addToSum(h.in.Offset())
		if err != nil {
			t.traceHandIn(h, "refused", "why", err.Error())
			t.endHandIn(h)
			t.env.Answer(h.call.ID, env.BadLot)
			return h.in.Offset() - from
		}
		if !more {
			t.checked(h)
			break
		}
		h.hash.Add(item)
		h.items++
		h.bytes += encodedSize(item)
		h.memory += memoryOf(item)
	}
	return h.in.Offset() - from
}

// addToSum adds the document to its hash, up to a byte.
func (h *handIn) addToSum(to int) {
	_, _ = h.sum.Write(h.call.Body[h.summed:to])
	h.summed = to
}

// checked fills in the head of a lot that can be read.
func (t *Table) checked(h *handIn) {
	h.addToSum(len(h.call.Body))
	h.doc = h.in.Head()
	if !t.fillHead(&h.doc, h.call, h.route, h.keep, h.memory) {
		t.refuseHandIn(h, env.NoMemory)
		return
	}
	h.step = asking
}

func (h *handIn) name() ledger.PartsName {
	return ledger.PartsName{Lot: h.id, Text: hex.EncodeToString(h.sum.Sum(nil)[:16])}
}

// askParts asks which parts of the lot the store has: an earlier try, at any node, may have
// sent some.
func (t *Table) askParts(h *handIn) {
	h.waits = true
	t.env.Ask(budget.AskTimeout, ledger.KnownParts{PartsName: h.name()}, func(a ask.Answer) {
		h.waits = false
		if t.handIns[h.call.ID] != h {
			return
		}
		var there ledger.PartsThere
		switch {
		case a.Code == ledger.Invalid: // the store's leader does not know parts yet
			t.handInWhole(h)
		case a.Code != ledger.Accepted || json.Unmarshal(a.Body, &there) != nil: // it is asked again
		case there.Known:
			h.packer = ledger.NewLotPacker(h.name(), h.items, h.bytes)
			t.nameParts(h)
		default:
			t.beginParts(h, there.Parts)
		}
	})
}

// handInWhole sends a lot as one command, as earlier builds did.
func (t *Table) handInWhole(h *handIn) {
	t.endHandIn(h)
	doc, err := t.env.Codec.ReadLot(h.id, h.call.Body)
	if err != nil {
		t.env.Answer(h.call.ID, env.BadLot)
		return
	}
	items := doc.Items
	doc = h.doc
	doc.Items = items
	t.putWhole(h.call, doc, h.came)
}

// beginParts reads the lot anew, to send those parts that the store lacks.
func (t *Table) beginParts(h *handIn, there []int) {
	h.step, h.in, h.read = sending, t.env.Codec.OpenLot(h.id, h.call.Body), false
	h.packer, h.there = ledger.NewLotPacker(h.name(), h.items, h.bytes), map[int]bool{}
	for _, part := range there {
		h.there[part] = true
	}
}

// send sends parts while few are under way, reads most bytes at most for them, and gives how
// many it read.
func (t *Table) send(h *handIn, most int) int {
	from := h.in.Offset()
	for h.flight < partsInFlight && t.handIns[h.call.ID] == h && h.step == sending {
		part, ok := h.nextPart()
		if ok {
			t.sendPart(h, part)
			continue
		}
		if h.read || h.in.Offset()-from >= most {
			break
		}
		item, more, err := h.in.Next()
		if err != nil || !more { // it was read through before without a fault
			h.read = true
			h.packer.End()
			continue
		}
		h.packer.Add(item)
	}
	if h.read && h.flight == 0 && len(h.again) == 0 && h.step == sending && t.handIns[h.call.ID] == h {
		t.nameParts(h)
	}
	return h.in.Offset() - from
}

// nextPart gives a part that the store lacks.
func (h *handIn) nextPart() (part ledger.LotPart, ok bool) {
	if len(h.again) > 0 {
		part, h.again = h.again[0], h.again[1:]
		return part, true
	}
	for {
		if part, ok = h.packer.Take(); !ok || !h.there[part.Part] {
			return part, ok
		}
	}
}

func (t *Table) sendPart(h *handIn, part ledger.LotPart) {
	h.flight++
	t.env.Ask(budget.AskTimeout, part, func(a ask.Answer) {
		h.flight--
		if t.handIns[h.call.ID] != h || h.step != sending {
			return
		}
		var taken ledger.LotPartTaken
		switch {
		case a.Code == ledger.Accepted && json.Unmarshal(a.Body, &taken) == nil:
			if taken.Known { // another try was quicker
				t.nameParts(h)
			}
		case a.Code == ledger.Full:
			t.refuseHandIn(h, env.OpenLotsFull)
		case a.Code.Retryable():
			h.again = append(h.again, part)
		default:
			t.traceHandIn(h, "refused", "code", a.Code)
			t.endHandIn(h)
			t.notTaken(h.call, a)
		}
	})
}

// nameParts makes a lot of the parts that the store has.
func (t *Table) nameParts(h *handIn) {
	h.step, h.waits = naming, true
	lot := ledger.LotOfParts(h.doc, h.hash.String(), h.name().Text, max(h.packer.Made(), 1))
	t.env.Ask(budget.AskTimeout, lot, func(a ask.Answer) {
		h.waits = false
		if t.handIns[h.call.ID] != h {
			return
		}
		if a.Code == ledger.Unavailable && t.env.Now < h.until {
			h.step = asking // parts may have gone meanwhile
			return
		}
		t.endHandIn(h)
		t.handedIn(h.call, h.doc, h.items, a, func() { t.fetchSoon(h.doc) })
	})
}

// fetchSoon gets the items of a lot in parts, where this node owns it: nobody hands it over.
func (t *Table) fetchSoon(doc ledger.LotDoc) {
	if doc.Owner == t.env.Me && t.rows[doc.ID] == nil {
		t.fetch(doc.ID)
	}
}

// HandIns counts the large lots that are handed in.
func (t *Table) HandIns() int { return len(t.handIns) }

// goneHandIn hears that the trainer of a hand-in left. What the store has of it serves the
// next try. A lot.put that was sent is seen to its end.
func (t *Table) goneHandIn(call uint64) {
	if h := t.handIns[call]; h != nil && h.step != naming {
		t.endHandIn(h)
	}
}
