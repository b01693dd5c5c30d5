package web

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the bodies that a process has in its memory, in bytes.
const (
	bodiesMost  = 16 << 20  // of large ones, where the process's memory is not known
	bodiesPart  = 4         // the part of the process's memory that they may take otherwise
	countedFrom = 4 << 10   // a smaller body is none of them: the connections bound these
	chunkBytes  = 256 << 10 // by which a body of unknown length grows
)

// bodies counts the bytes of large bodies in memory: from when their first bytes have come
// until they are answered. Those that were only announced don't count, so that nobody takes
// room by a promise.
type bodies struct {
	most  int64 // 0 where the process's memory is not known
	bytes atomic.Int64

	mu      sync.Mutex
	growing []*heldBody // those of unknown length, in the order of their coming
}

// begin and end say that a body of unknown length is being read.
func (b *bodies) begin(body *heldBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.growing = append(b.growing, body)
}

func (b *bodies) end(body *heldBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.growing = slices.DeleteFunc(b.growing, func(x *heldBody) bool { return x == body })
}

// isOldest says whether a body came before all others of unknown length.
func (b *bodies) isOldest(body *heldBody) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.growing) > 0 && b.growing[0] == body
}

// room says whether a body of an announced size may be read: beyond the bound a request is
// refused before that. Where the process's memory is not known, a body is taken whatever
// its size where no other is.
func (b *bodies) room(size int64) bool {
	return size <= prealloc || b.fits(b.bytes.Load(), size)
}

func (b *bodies) fits(held, size int64) bool {
	if b.most > 0 {
		return held+size <= b.most
	}
	return held == 0 || held+size <= bodiesMost
}

// heldBody is what one body takes of the room.
type heldBody struct {
	of    *bodies
	bytes int64
}

var errNoRoom = errors.New("web: no room for the body")

// grow takes room for more of a body, or gives errNoRoom.
func (h *heldBody) grow(size int) error {
	more := int64(size)
	for {
		all := h.of.bytes.Load()
		if !h.of.fits(all-h.bytes, h.bytes+more) {
			return errNoRoom
		}
		if h.of.bytes.CompareAndSwap(all, all+more) {
			h.bytes += more
			return nil
		}
	}
}

// free gives the room back, once the body is not in use any more.
func (h *heldBody) free() {
	h.of.bytes.Add(-h.bytes)
	h.bytes = 0
}

// read takes a body of a size in bytes, below zero when that is unknown. Its memory is taken
// from the room before it is filled; what comes first is not, so that a length that was only
// announced takes none.
func (h *heldBody) read(input io.Reader, size, most int64) ([]byte, error) {
	if size > most {
		return nil, errLarge
	}
	first := make([]byte, min(uint64(size), uint64(most)+1, prealloc)) // a size below zero is a large one here
	n, err := fill(input, first)
	first = first[:n]
	if int64(n) > most {
		return nil, errLarge
	}
	if n >= countedFrom {
		if err := h.grow(n); err != nil {
			return nil, err
		}
	}
	switch {
	case size >= 0 && int64(n) == size || size < 0 && err == io.EOF:
		return first, nil
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case size >= 0:
		return h.readSized(input, first, int(size))
	}
	return h.readChunks(input, first, most)
}

// fill reads until a buffer is full or there is no more. Only the input's own io.EOF is the
// body's end: one that broke off gives another.
func fill(input io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = input.Read(buffer[n:])
		n += more
	}
	return n, err
}

// readSized reads the rest of a body of a known size.
func (h *heldBody) readSized(input io.Reader, first []byte, size int) ([]byte, error) {
	if err := h.grow(size - len(first)); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(input, body[copy(body, first):])
	return body, err
}

// growOldest is grow for a body of unknown length. Several that grow at once could fill the
// room with halves of each: the oldest waits for the others, which are refused.
func (h *heldBody) growOldest(size int) error {
	for end := time.Now().Add(oldestWait); ; time.Sleep(oldestAgain) {
		err := h.grow(size)
		if err == nil || !h.of.isOldest(h) || time.Now().After(end) {
			return err
		}
	}
}

// oldestWait is how long the oldest body waits for room, and oldestAgain how often it looks.
const (
	oldestWait  = time.Second
	oldestAgain = 2 * time.Millisecond
)

// readChunks reads the rest of a body of unknown length.
func (h *heldBody) readChunks(input io.Reader, first []byte, most int64) ([]byte, error) {
	h.of.begin(h)
	defer h.of.end(h)
	chunks, size := [][]byte{first}, int64(len(first))
	for {
		if err := h.growOldest(chunkBytes); err != nil {
			return nil, err
		}
		chunk := make([]byte, chunkBytes)
		n, err := fill(input, chunk)
		chunks = append(chunks, chunk[:n])
		if size += int64(n); size > most {
			return nil, errLarge
		}
		if err == io.EOF {
			return joined(chunks, int(size)), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// joined makes one body of its chunks, each of which is let go as it is copied.
func joined(chunks [][]byte, size int) []byte {
	body := make([]byte, 0, size)
	for i, chunk := range chunks {
		body = append(body, chunk...)
		chunks[i] = nil
	}
	return body
}
