package store

import (
	"encoding/binary"
	"hash/crc32"

	"fernlink/core/flow"
)

// Piece is a piece of a snapshot on its way to a member that fetches it.
type Piece struct {
	Index uint64      `json:"i"`
	From  string      `json:"f"`
	At    int         `json:"at"`
	Size  int         `json:"n,omitempty"` // of the whole state
	State []byte      `json:"s,omitempty"`
	Parts []flow.Part `json:"p,omitempty"`
	// Sum is a checksum of all the rest. Builds before it sent none: 0.
	Sum uint32 `json:"c,omitempty"`
}

// castagnoli is the polynomial that processors have an instruction for.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sealed gives the piece with its checksum.
func (x Piece) sealed() Piece {
	x.Sum = x.checksum()
	return x
}

// damaged says that the piece is not as it was sent.
func (x Piece) damaged() bool { return x.Sum != 0 && x.Sum != x.checksum() }

func (x Piece) checksum() uint32 {
	h := checksum(0).number(x.Index).text(x.From).number(uint64(x.At)).number(uint64(x.Size)).bytes(x.State)
	for _, part := range x.Parts {
		h = h.text(part.Kind).number(part.ID).number(uint64(part.At)).number(uint64(part.Size)).bytes(part.Body)
	}
	return uint32(h)
}

// checksum is a sum over fields, each with its length where that is not fixed.
type checksum uint32

func (c checksum) number(n uint64) checksum {
	return c.raw(binary.LittleEndian.AppendUint64(nil, n))
}

func (c checksum) text(s string) checksum { return c.bytes([]byte(s)) }

func (c checksum) bytes(b []byte) checksum { return c.number(uint64(len(b))).raw(b) }

func (c checksum) raw(b []byte) checksum {
	return checksum(crc32.Update(uint32(c), castagnoli, b))
}
