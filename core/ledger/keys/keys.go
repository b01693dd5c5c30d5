// Package keys is the table of run-once keys and used step ids (design 4.7). A
// row takes 40 bytes; rows stand in pages in the order of their coming. A full
// page whose rows are all settled never changes again and is filed: it goes to
// the blob store, and a snapshot only names it.
package keys

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
)

// States of a row.
const (
	Claimed = iota + 1
	Done
	Refused
	Unknown
	Step // the id of a step, not a key
)

// Row is what is remembered of one key.
type Row struct {
	Key   [16]byte
	Hash  [8]byte // of the request, or of the step
	Item  uint64  // where the answer lies on the blob store, or 0
	At    uint32  // seconds of the ledger's time
	Code  uint16
	State uint8
}

const rowBytes = 16 + 8 + 8 + 4 + 2 + 1

// PageRows is how many rows a page has.
const PageRows = 1024

type page struct {
	rows  []Row
	open  int   // rows that are still claimed
	bytes int64 // of the answers that its rows point to
	filed bool
}

// Table finds a row by its key. Rows are numbered from the first ever.
type Table struct {
	first uint64 // number of the first row that is kept; starts a page
	pages []*page
	slots []uint32 // open addressing: a row's number plus one, or 0
	used  int
	Bytes int64 // of all answers
}

// New is an empty table.
func New() *Table { return &Table{slots: make([]uint32, 1024)} }

// Name shortens a key. Kinds keep keys and step ids apart.
func Name(kind, key string) (out [16]byte) {
	s := sha256.Sum256([]byte(kind + "\x00" + key))
	copy(out[:], s[:])
	return
}

// Short shortens the hash of what came with the key.
func Short(hash string) (out [8]byte) {
	s := sha256.Sum256([]byte(hash))
	copy(out[:], s[:])
	return
}

// Len counts the rows.
func (t *Table) Len() int { return int(t.next() - t.first) }

func (t *Table) next() uint64 {
	n := len(t.pages)
	if n == 0 {
		return t.first
	}
	return t.first + uint64(n-1)*PageRows + uint64(len(t.pages[n-1].rows))
}

func (t *Table) page(n uint64) *page { return t.pages[(n-t.first)/PageRows] }

// Row gives a row by its number, to be read only.
func (t *Table) Row(n uint64) *Row { return &t.page(n).rows[(n-t.first)%PageRows] }

// Has says whether a number is kept.
func (t *Table) Has(n uint64) bool { return n >= t.first && n < t.next() }

func (t *Table) slot(k [16]byte) int {
	return int(binary.LittleEndian.Uint64(k[:]) & uint64(len(t.slots)-1))
}

// Find gives the number of a key's row.
func (t *Table) Find(k [16]byte) (uint64, bool) {
	for i := t.slot(k); t.slots[i] != 0; i = (i + 1) & (len(t.slots) - 1) {
		if n := uint64(t.slots[i] - 1); t.Row(n).Key == k {
			return n, true
		}
	}
	return 0, false
}

// Add puts a row in; its key must not be there.
func (t *Table) Add(r Row) uint64 {
	n := t.next()
	if len(t.pages) == 0 || len(t.pages[len(t.pages)-1].rows) == PageRows {
		t.pages = append(t.pages, &page{})
	}
	p := t.pages[len(t.pages)-1]
	p.rows = append(p.rows, r)
	if r.State == Claimed {
		p.open++
	}
	if (t.used+1)*3 > len(t.slots)*2 {
		t.grow(2 * len(t.slots))
	} else {
		t.index(r.Key, n)
	}
	return n
}

func (t *Table) index(k [16]byte, n uint64) {
	i := t.slot(k)
	for t.slots[i] != 0 {
		i = (i + 1) & (len(t.slots) - 1)
	}
	t.slots[i] = uint32(n) + 1
	t.used++
}

func (t *Table) grow(n int) {
	t.slots, t.used = make([]uint32, n), 0
	for at := t.first; at < t.next(); at++ {
		t.index(t.Row(at).Key, at)
	}
}

// Settle moves a claimed row to its last state, once.
func (t *Table) Settle(n uint64, state uint8, code int, item uint64, size int) bool {
	r, p := t.Row(n), t.page(n)
	if r.State != Claimed {
		return false
	}
	r.State, r.Code, r.Item = state, uint16(code), item
	p.open--
	p.bytes += int64(size)
	t.Bytes += int64(size)
	return true
}

// File gives the pages that became final since it was last asked, by number.
func (t *Table) File() map[uint64][]byte {
	var out map[uint64][]byte
	for i, p := range t.pages {
		if len(p.rows) < PageRows || p.filed || p.open > 0 {
			continue
		}
		p.filed = true
		if out == nil {
			out = map[uint64][]byte{}
		}
		out[t.first/PageRows+uint64(i)] = p.pack()
	}
	return out
}

// Expire takes the oldest page out once all its rows are older than age, and
// gives the answers that nobody needs any more. It does not look at what is
// filed, which each member does when it likes.
func (t *Table) Expire(now, age uint32) (gone uint64, answers []uint64, ok bool) {
	if len(t.pages) < 2 || t.pages[0].open > 0 || now-t.pages[0].rows[PageRows-1].At <= age {
		return 0, nil, false
	}
	p := t.pages[0]
	for i := range p.rows {
		if p.rows[i].Item > 0 {
			answers = append(answers, p.rows[i].Item)
		}
		t.forget(p.rows[i].Key)
	}
	gone = t.first / PageRows
	t.pages = append([]*page(nil), t.pages[1:]...)
	t.first += PageRows
	t.Bytes -= p.bytes
	return gone, answers, true
}

// forget takes a key out of the slots and closes the hole it leaves.
func (t *Table) forget(k [16]byte) {
	mask := len(t.slots) - 1
	i := t.slot(k)
	for t.slots[i] != 0 && t.Row(uint64(t.slots[i]-1)).Key != k {
		i = (i + 1) & mask
	}
	if t.slots[i] == 0 {
		return
	}
	t.used--
	for j := i; ; {
		t.slots[i] = 0
		for {
			j = (j + 1) & mask
			if t.slots[j] == 0 {
				return
			}
			home := t.slot(t.Row(uint64(t.slots[j] - 1)).Key)
			if (j-home)&mask >= (j-i)&mask {
				break
			}
		}
		t.slots[i] = t.slots[j]
		i = j
	}
}

func (p *page) pack() []byte {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+len(p.rows)*rowBytes), uint64(p.bytes))
	for _, r := range p.rows {
		b = append(append(b, r.Key[:]...), r.Hash[:]...)
		b = binary.LittleEndian.AppendUint64(b, r.Item)
		b = binary.LittleEndian.AppendUint32(b, r.At)
		b = binary.LittleEndian.AppendUint16(b, r.Code)
		b = append(b, r.State)
	}
	return b
}

// ErrPage says that a page does not read.
var ErrPage = errors.New("keys: a page does not read")

func unpack(b []byte) (*page, error) {
	if len(b) < 8 || (len(b)-8)%rowBytes != 0 || len(b) > 8+PageRows*rowBytes {
		return nil, ErrPage
	}
	p := &page{bytes: int64(binary.LittleEndian.Uint64(b))}
	p.rows = make([]Row, 0, PageRows)
	for b = b[8:]; len(b) > 0; b = b[rowBytes:] {
		var r Row
		copy(r.Key[:], b)
		copy(r.Hash[:], b[16:])
		r.Item = binary.LittleEndian.Uint64(b[24:])
		r.At = binary.LittleEndian.Uint32(b[32:])
		r.Code = binary.LittleEndian.Uint16(b[36:])
		r.State = b[38]
		if r.State == Claimed {
			p.open++
		}
		p.rows = append(p.rows, r)
	}
	return p, nil
}

// Snapshot is the table as a snapshot has it: filed pages by number, the others
// whole.
type Snapshot struct {
	First uint64            `json:"first"`
	Pages uint64            `json:"pages"`
	Whole map[uint64][]byte `json:"whole"`
}

// Snapshot writes the table.
func (t *Table) Snapshot() Snapshot {
	d := Snapshot{t.first, uint64(len(t.pages)), map[uint64][]byte{}}
	for i, p := range t.pages {
		if !p.filed {
			d.Whole[t.first/PageRows+uint64(i)] = p.pack()
		}
	}
	return d
}

// Needs names the pages that lie on the blob store.
func (d Snapshot) Needs() []uint64 {
	var out []uint64
	for i := uint64(0); i < d.Pages; i++ {
		if n := d.First/PageRows + i; d.Whole[n] == nil {
			out = append(out, n)
		}
	}
	return out
}

// Load reads a snapshot, with the filed pages from the blob store.
func Load(d Snapshot, filed func(uint64) []byte) (*Table, error) {
	if d.First%PageRows != 0 || d.Pages > 1<<22 {
		return nil, ErrPage
	}
	t := New()
	t.first = d.First
	for i := uint64(0); i < d.Pages; i++ {
		n := d.First/PageRows + i
		b, whole := d.Whole[n]
		if !whole {
			b = filed(n)
		}
		p, err := unpack(b)
		if err != nil || i+1 < d.Pages && len(p.rows) != PageRows || len(p.rows) == 0 {
			return nil, ErrPage
		}
		p.filed = !whole
		t.pages = append(t.pages, p)
		t.Bytes += p.bytes
	}
	size := len(t.slots)
	for t.Len()*3 >= size*2 {
		size *= 2
	}
	t.grow(size)
	return t, nil
}

// Items gives where the answers of all rows lie, and the filed pages.
func (t *Table) Items() (answers, filed []uint64) {
	for i, p := range t.pages {
		for j := range p.rows {
			if p.rows[j].Item > 0 {
				answers = append(answers, p.rows[j].Item)
			}
		}
		if p.filed {
			filed = append(filed, t.first/PageRows+uint64(i))
		}
	}
	return
}

// Open gives the numbers of the rows that are still claimed.
func (t *Table) Open() []uint64 {
	var out []uint64
	for i, p := range t.pages {
		if p.open == 0 {
			continue
		}
		for j := range p.rows {
			if p.rows[j].State == Claimed {
				out = append(out, t.first+uint64(i)*PageRows+uint64(j))
			}
		}
	}
	return out
}
