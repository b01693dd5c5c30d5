package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// PackedLot is a lot as it is handed in: what members need of it, beside its requests
// as the text that they put on the blob store. The node that took the lot has read and
// checked each request; members only carry them, and its owner reads them again.
type PackedLot struct {
	Doc      LotDoc            `json:"doc"` // without its items
	IDs      []string          `json:"ids"` // of its items, in their order
	Hash     string            `json:"hash"`
	Parts    []int             `json:"parts"`    // the first item of each stretch of requests
	Requests []json.RawMessage `json:"requests"` // the stretches, each a list of items
	// Where it was handed in in parts, Text names them and PartCount counts them; ids and
	// requests are theirs.
	Text      string `json:"text,omitempty"`
	PartCount int    `json:"part_count,omitempty"`
}

// LotOfParts makes a lot of parts that were handed in.
func LotOfParts(head LotDoc, hash, text string, parts int) PackedLot {
	head.Items = nil
	return PackedLot{Doc: head, Hash: hash, Text: text, PartCount: parts}
}

// PutLot hands a lot in (design 8.7). Builds before lots were packed wrote the lot
// itself. putLot applies it; TestLotPutTwice, TestLateLotIsNotTakenAnew.
type PutLot struct {
	LotDoc
	Packed *PackedLot `json:"packed"`
}

// Kind names the command.
func (PutLot) Kind() Kind { return KindLotPut }

// Kind names the command that a packed lot is the body of.
func (PackedLot) Kind() Kind { return KindLotPut }

// PackLot makes a lot ready for its hand-in.
func PackLot(d LotDoc) PackedLot {
	items := d.Items
	d.Items = nil
	p := PackedLot{Doc: d, Hash: lotHash(items), IDs: make([]string, 0, len(items))}
	for _, x := range items {
		p.IDs = append(p.IDs, x.ID)
	}
	for at := 0; at < len(items); {
		end, size := at, 0
		for end < len(items) && (end == at || size+items[end].bytes() <= LotPartBytes) {
			size += items[end].bytes() + sizeOf
			end++
		}
		p.Parts = append(p.Parts, at)
		p.Requests = append(p.Requests, raw(items[at:end]))
		at = end
	}
	return p
}

// bytes is about what an item holds.
func (x LotItem) bytes() int {
	if x.Reward == nil {
		return len(x.Body)
	}
	return len(x.Body) + len(x.Reward.Body)
}

// Encode gives the body of the lot.put. Its requests are copied as they stand.
func (p PackedLot) Encode() json.RawMessage {
	head := raw(struct {
		Doc       encodedHead `json:"doc"`
		IDs       []string    `json:"ids"`
		Hash      string      `json:"hash"`
		Parts     []int       `json:"parts"`
		Text      string      `json:"text,omitempty"`
		PartCount int         `json:"part_count,omitempty"`
	}{headOf(p.Doc), p.IDs, p.Hash, p.Parts, p.Text, p.PartCount})
	size := len(head) + len(`{"packed":,"requests":[]}}`)
	for _, part := range p.Requests {
		size += len(part) + 1
	}
	text := append(make([]byte, 0, size), `{"packed":`...)
	text = append(append(text, head[:len(head)-1]...), `,"requests":[`...)
	for i, part := range p.Requests {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, part...)
	}
	return append(text, `]}}`...)
}

// EncodeWhole gives the lot with its items, as an owner reads it.
func (p PackedLot) EncodeWhole(age int64) json.RawMessage {
	d := p.Doc
	d.AgeMS = age
	return encodeLot(d, joinLists(p.Requests))
}

// count is how many items a stretch must have.
func (p PackedLot) count(part int) int {
	if part+1 < len(p.Parts) {
		return p.Parts[part+1] - p.Parts[part]
	}
	return len(p.IDs) - p.Parts[part]
}

// whole says that each stretch has its requests and at least one item.
func (p PackedLot) whole() bool {
	if len(p.IDs) > 0 && len(p.Parts) == 0 || len(p.Parts) != len(p.Requests) {
		return false
	}
	if len(p.Parts) > 0 && p.Parts[0] != 0 {
		return false
	}
	for part, text := range p.Requests {
		if p.count(part) < 1 || len(text) == 0 || text[0] != '[' {
			return false
		}
	}
	return true
}

// requestBytes is what its requests need on the blob store.
func (p PackedLot) requestBytes() (size int64) {
	for _, part := range p.Requests {
		size += int64(len(part) + sizeOf)
	}
	return size
}

// encodedHead is a lot's document without the field of its items.
type encodedHead struct {
	LotDoc
	Items *struct{} `json:"items,omitempty"`
}

func headOf(d LotDoc) encodedHead {
	d.Items = nil
	return encodedHead{LotDoc: d}
}

// encodeLot gives a lot with a list of items that is encoded already.
func encodeLot(d LotDoc, items json.RawMessage) json.RawMessage {
	return flow.WithField(raw(headOf(d)), "items", items)
}

// joinLists makes one list of encoded ones, which encoders wrote without spaces.
func joinLists(lists []json.RawMessage) json.RawMessage {
	size := len(`[]`)
	for _, list := range lists {
		size += len(list)
	}
	text := append(make([]byte, 0, size), '[')
	for _, list := range lists {
		if len(list) <= len(`[]`) {
			continue
		}
		if len(text) > 1 {
			text = append(text, ',')
		}
		text = append(text, list[1:len(list)-1]...)
	}
	return append(text, ']')
}
