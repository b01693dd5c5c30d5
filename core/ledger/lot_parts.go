// Lots that are handed in in parts (design 8.7): those whose requests are too large for one
// command. The parts come first, each a command of its own, and lie on the blob store; the
// lot.put that names them makes a lot of them. Parts that none names go after a while.

package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"sort"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/sorted"
)

// Bounds on parts.
const (
	PartBytes      = 128 << 10        // of requests in one part, about
	partsMost      = 1 << 14          // of one lot
	piecesMost     = 1 << lotShift    // of one part
	partsKeep      = int64(30 * 1000) // milliseconds for which parts without a lot are kept
	stagedLotsMost = OpenLots         // lots of which there are parts alone
	fragmentMost   = LotPartBytes     // bytes of a piece of a request that is too large for one
	stretchMost    = 2 * LotPartBytes // a stretch of requests that is larger is kept in fragments
)

// FormatLotParts is the format of the log from which on members know lots in parts.
// FormatNewest is the newest that this build applies.
const (
	FormatLotParts = 1
	FormatNewest   = FormatLotParts
)

// PartsName names the parts of one document that was handed in: the lot's id, and the
// document's own hash, so that the parts of two documents never mix.
type PartsName struct {
	Lot  string `json:"lot"`
	Text string `json:"text"`
}

// LotPart is a part of a lot that is handed in. Each says how many items and bytes all of
// them have together, about: what there is no room for is refused with the first.
// putLotPart applies it; TestALotInPartsIsKeptAsAPackedOne.
type LotPart struct {
	PartsName
	Part   int        `json:"part"` // its number, from 0
	Items  int        `json:"items"`
	Bytes  int64      `json:"bytes"`
	IDs    []string   `json:"ids"` // of the items that begin in it
	Pieces []LotPiece `json:"pieces"`
}

// Kind names the command.
func (LotPart) Kind() Kind { return KindLotPart }

// LotPiece is what lies on the blob store as one item: a stretch of requests, or a fragment
// of the text of a stretch that has one request alone, which is too large.
type LotPiece struct {
	First    int             `json:"first"` // the place of the stretch's first item
	Requests json.RawMessage `json:"requests,omitempty"`
	Fragment []byte          `json:"fragment,omitempty"`
}

// text is what lies on the blob store.
func (p LotPiece) text() []byte {
	if len(p.Fragment) > 0 {
		return p.Fragment
	}
	return p.Requests
}

// LotPartTaken answers a lot.part. Known says that the lot is known already, so that no
// part of it is needed.
type LotPartTaken struct {
	Known bool `json:"known,omitempty"`
}

// stagedLot is a lot of which there are parts alone.
type stagedLot struct {
	At    int64 // when the newest part came, by the ledger's time
	Items int   // that it will have
	Bytes int64 // that its requests will need
	Parts map[int]stagedPart
}

// stagedPart is a part as memory has it.
type stagedPart struct {
	Part   int      `json:"part"`
	Item   uint64   `json:"item"` // the index of the command that brought it
	IDs    []string `json:"ids"`
	Firsts []int    `json:"firsts"` // of its pieces
	Bytes  int64    `json:"bytes"`
}

// held is what the parts need on the blob store, at the end.
func (s *stagedLot) held() int64 {
	var bytes int64
	for _, part := range s.Parts {
		bytes += part.Bytes
	}
	return max(bytes, s.Bytes)
}

// whole says that a part can be kept: each of its pieces has a text.
func (p LotPart) whole() bool {
	if p.Lot == "" || p.Text == "" || p.Part < 0 || p.Part >= partsMost || len(p.Pieces) == 0 || len(p.Pieces) > piecesMost {
		return false
	}
	for _, piece := range p.Pieces {
		if piece.First < 0 || len(piece.text()) == 0 {
			return false
		}
	}
	return true
}

// putLotPart keeps a part of a lot. A repeat changes nothing.
func (l *Ledger) putLotPart(p LotPart, c Command) Result {
	if !p.whole() {
		return badLot.Result()
	}
	if l.Lots[p.Lot] != nil {
		return good(LotPartTaken{Known: true})
	}
	staged := l.Staged[p.PartsName]
	if staged == nil {
		if why, refused := l.noRoomForParts(p, c.At); refused {
			return why.Result()
		}
		staged = &stagedLot{Items: p.Items, Bytes: p.Bytes, Parts: map[int]stagedPart{}}
		l.Staged[p.PartsName] = staged
	}
	staged.At = c.At
	l.lotsDue = min(l.lotsDue, staged.due())
	if _, twice := staged.Parts[p.Part]; !twice {
		staged.Parts[p.Part] = l.keepPart(p)
	}
	return good(LotPartTaken{})
}

// keepPart puts the pieces of a part on the blob store.
func (l *Ledger) keepPart(p LotPart) stagedPart {
	part := stagedPart{Part: p.Part, Item: l.Index, IDs: p.IDs}
	for at, piece := range p.Pieces {
		text := piece.text()
		l.put(LotPartItem, part.piece(at), text)
		part.Firsts = append(part.Firsts, piece.First)
		part.Bytes += int64(len(text) + sizeOf)
	}
	return part
}

// piece is the number of a piece on the blob store.
func (p stagedPart) piece(at int) uint64 { return p.Item<<lotShift | uint64(at) }

// due is when the parts go if no lot.put names them.
func (s *stagedLot) due() int64 { return s.At + partsKeep }

// noRoomForParts says why there is no room for a lot of which the first part came.
func (l *Ledger) noRoomForParts(p LotPart, at int64) (why Refusal, refused bool) {
	if len(l.Staged) >= stagedLotsMost {
		return openLotsFull, true
	}
	if p.Items > LotItemsMost {
		return lotTooLarge, true
	}
	return l.noRoomFor(&Lot{IDs: make([]string, max(p.Items, 0)), requestBytes: p.Bytes}, p.PartsName, at)
}

// assemble fills in what the parts of a lot say, and gives the numbers of its pieces. It
// gives false where a part is missing or they don't fit together.
func (l *Ledger) assemble(p *PackedLot) (pieces []uint64, size int64, ok bool) {
	staged := l.Staged[p.partsName()]
	if staged == nil || len(staged.Parts) != p.PartCount {
		return nil, 0, false
	}
	for number := range p.PartCount {
		part, there := staged.Parts[number]
		if !there {
			return nil, 0, false
		}
		p.IDs = append(p.IDs, part.IDs...)
		p.Parts = append(p.Parts, part.Firsts...)
		for at := range part.Firsts {
			pieces = append(pieces, part.piece(at))
		}
		size += part.Bytes
	}
	return pieces, size, p.startsInOrder()
}

// startsInOrder says that the pieces cover all items, in their order.
func (p PackedLot) startsInOrder() bool {
	last := len(p.Parts) - 1
	return last >= 0 && p.Parts[0] == 0 && p.Parts[last] < len(p.IDs) && sort.IntsAreSorted(p.Parts)
}

func (p PackedLot) partsName() PartsName { return PartsName{p.Doc.ID, p.Text} }

// dropParts lets the parts of a document go.
func (l *Ledger) dropParts(name PartsName) {
	staged := l.Staged[name]
	if staged == nil {
		return
	}
	delete(l.Staged, name)
	for _, number := range sorted.Keys(staged.Parts) {
		part := staged.Parts[number]
		for at := range part.Firsts {
			l.drop(LotPartItem, part.piece(at))
		}
	}
}

// stagedNames gives the names of all parts, in an order of their own.
func (l *Ledger) stagedNames() []PartsName {
	names := make([]PartsName, 0, len(l.Staged))
	for name := range l.Staged {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		if names[a].Lot != names[b].Lot {
			return names[a].Lot < names[b].Lot
		}
		return names[a].Text < names[b].Text
	})
	return names
}

// retireParts forgets parts of which nobody made a lot.
func (l *Ledger) retireParts() {
	for _, name := range l.stagedNames() {
		due := l.Staged[name].due()
		if l.Clock > due {
			l.dropParts(name)
		} else {
			l.lotsDue = min(l.lotsDue, due)
		}
	}
}

// stagedRow is the parts of a lot in a snapshot.
type stagedRow struct {
	PartsName
	At    int64        `json:"at"`
	Items int          `json:"items"`
	Bytes int64        `json:"bytes"`
	Parts []stagedPart `json:"parts"`
}

func (l *Ledger) stagedRows() (rows []stagedRow) {
	for _, name := range l.stagedNames() {
		staged := l.Staged[name]
		row := stagedRow{PartsName: name, At: staged.At, Items: staged.Items, Bytes: staged.Bytes}
		for _, number := range sorted.Keys(staged.Parts) {
			row.Parts = append(row.Parts, staged.Parts[number])
		}
		rows = append(rows, row)
	}
	return rows
}

func (l *Ledger) loadStaged(rows []stagedRow) {
	for _, row := range rows {
		staged := &stagedLot{At: row.At, Items: row.Items, Bytes: row.Bytes, Parts: map[int]stagedPart{}}
		for _, part := range row.Parts {
			staged.Parts[part.Part] = part
		}
		l.Staged[row.PartsName] = staged
	}
}

// KnownParts asks which parts of a document are there, and whether a lot of its id is known.
type KnownParts struct{ PartsName }

// Kind names the question.
func (KnownParts) Kind() Kind { return KindLotParts }

// PartsThere answers it.
type PartsThere struct {
	Known bool  `json:"known,omitempty"` // such a lot was handed in before, or another of its id
	Parts []int `json:"parts,omitempty"`
}

func (l *Ledger) knownParts(q KnownParts) Result {
	_, isReceived := l.Receipts.Find(lotID(q.Lot, "").key())
	there := PartsThere{Known: isReceived || l.Lots[q.Lot] != nil}
	if staged := l.Staged[q.PartsName]; staged != nil {
		there.Parts = sorted.Keys(staged.Parts)
	}
	return good(there)
}

// LotHash makes the hash that tells a repeat of a lot, item by item.
type LotHash struct{ sum hash.Hash }

// NewLotHash is the hash of a lot without items.
func NewLotHash() LotHash { return LotHash{sha256.New()} }

// Add adds an item.
func (h LotHash) Add(item LotItem) {
	h.add([]byte(item.ID))
	h.add(item.Body)
	if item.Reward != nil {
		h.add([]byte(item.Reward.ID))
		h.add(item.Reward.Body)
	}
}

func (h LotHash) add(text []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(text)))
	_, _ = h.sum.Write(size[:])
	_, _ = h.sum.Write(text)
}

// String gives the hash of the items that were added.
func (h LotHash) String() string { return hex.EncodeToString(h.sum.Sum(nil)[:16]) }

// LotPacker makes parts of the items of a lot, which come one after the other.
type LotPacker struct {
	name    PartsName
	items   int   // that all parts have, as they say
	bytes   int64 // that all parts need, as they say
	placed  int   // items that came
	first   int   // the place of the first item of the stretch
	stretch []byte
	part    LotPart
	size    int // of the pieces of the part
	full    []LotPart
	made    int
}

// NewLotPacker makes parts of a document whose requests have so many items and need so many
// bytes, about.
func NewLotPacker(name PartsName, items int, bytes int64) *LotPacker {
	return &LotPacker{name: name, items: items, bytes: bytes}
}

// Add takes the next item.
func (p *LotPacker) Add(item LotItem) {
	if len(p.stretch) == 0 {
		p.first, p.stretch = p.placed, append(p.stretch, '[')
	} else {
		p.stretch = append(p.stretch, ',')
	}
	p.stretch = append(p.stretch, raw(item)...)
	p.part.IDs = append(p.part.IDs, item.ID)
	p.placed++
	if len(p.stretch) >= LotPartBytes {
		p.endStretch()
	}
}

// endStretch makes pieces of the stretch.
func (p *LotPacker) endStretch() {
	if len(p.stretch) == 0 {
		return
	}
	text := append(p.stretch, ']')
	p.stretch = nil
	if len(text) <= stretchMost {
		p.addPiece(LotPiece{First: p.first, Requests: text})
		return
	}
	for len(text) > 0 {
		size := min(len(text), fragmentMost)
		p.addPiece(LotPiece{First: p.first, Fragment: text[:size]})
		text = text[size:]
	}
}

func (p *LotPacker) addPiece(piece LotPiece) {
	p.part.Pieces = append(p.part.Pieces, piece)
	if p.size += len(piece.text()); p.size >= PartBytes {
		p.endPart()
	}
}

func (p *LotPacker) endPart() {
	if len(p.part.Pieces) == 0 {
		return
	}
	p.part.PartsName, p.part.Part, p.part.Items, p.part.Bytes = p.name, p.made, p.items, p.bytes
	p.full = append(p.full, p.part)
	p.part, p.size = LotPart{}, 0
	p.made++
}

// End says that there are no more items.
func (p *LotPacker) End() {
	p.endStretch()
	p.endPart()
}

// Take gives the next part that is full.
func (p *LotPacker) Take() (part LotPart, ok bool) {
	if len(p.full) == 0 {
		return LotPart{}, false
	}
	part, p.full = p.full[0], p.full[1:]
	return part, true
}

// Made counts the parts.
func (p *LotPacker) Made() int { return p.made }
