// Plans and weights that come again while their first sending is under way, or after
// it was acknowledged (design 4.7). Lots: lot_repeats.go.

package store

import (
	"crypto/sha256"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
)

// repeatsMost bounds the orders whose text is remembered; an older one that comes
// again is written again, and the ledger finds it out.
const repeatsMost = 256

// orderText stands for all that an order says.
type orderText [sha256.Size]byte

// repeats remembers which entries the latest orders went into. An order that is
// said again gets no entry of its own: with slow commits each repeat would make the
// next one slower, and none would be answered within its caller's patience.
type repeats struct {
	index  map[orderText]uint64
	oldest []orderText       // in the order of their coming
	joined map[uint64][]wait // repeats by the entry that they wait for
	proved map[uint64]wait   // repeats by the read that proves their answer
}

func newRepeats() repeats {
	return repeats{index: map[orderText]uint64{}, joined: map[uint64][]wait{}, proved: map[uint64]wait{}}
}

func textOf(kind ledger.Kind, body []byte) orderText {
	hash := sha256.New()
	hash.Write([]byte(kind))
	hash.Write([]byte{0})
	hash.Write(body)
	return orderText(hash.Sum(nil))
}

// note remembers an order's entry.
func (r *repeats) note(text orderText, index uint64) {
	if _, known := r.index[text]; !known {
		r.oldest = append(r.oldest, text)
	}
	r.index[text] = index
	if len(r.oldest) > repeatsMost {
		delete(r.index, r.oldest[0])
		r.oldest = r.oldest[1:]
	}
}

// open says whether a try of a repeat is under way.
func (r *repeats) open(w wait) bool {
	for _, waits := range r.joined {
		for _, other := range waits {
			if w.same(other) {
				return true
			}
		}
	}
	for _, other := range r.proved {
		if w.same(other) {
			return true
		}
	}
	return false
}

// order writes an order, unless its text is in the log already: a repeat waits for
// that entry, or for a read that proves the answer where it is applied.
func (s *Store) order(w wait, out *flow.Outbox) {
	text := textOf(w.ask.Kind, w.ask.Body)
	index, known := s.repeats.index[text]
	switch {
	case known && index > s.ledger.Index:
		s.repeats.joined[index] = append(s.repeats.joined[index], w)
	case known:
		s.proveRepeat(w, out)
	default:
		s.writeOrder(w, text, out)
	}
}

// largeOrderFrom is the size of an order in bytes from which one is written at a time: each
// member has its text several times over until it is applied.
const largeOrderFrom = 1 << 20

func (s *Store) writeOrder(w wait, text orderText, out *flow.Outbox) {
	large := len(w.ask.Body) >= largeOrderFrom
	if large && s.largeOrder > s.ledger.Index {
		s.refuse(w, largeUnderWay, out)
		return
	}
	index, ok := s.write(w, s.command(w), out)
	if !ok {
		return
	}
	s.repeats.note(text, index)
	if large {
		s.largeOrder = index
	}
}

func (s *Store) proveRepeat(w wait, out *flow.Outbox) {
	s.token++
	s.counts["reads"]++
	if !s.raft.Read(s.token) {
		s.retry(w, out)
		return
	}
	s.repeats.proved[s.token] = w
}

// answerJoined answers the repeats that waited for an entry: as repeats where it was
// taken, by the same refusal where it was not.
func (s *Store) answerJoined(index uint64, first ledger.Result, out *flow.Outbox) {
	waits := s.repeats.joined[index]
	delete(s.repeats.joined, index)
	for _, w := range waits {
		res, known := s.ledger.Known(w.ask.Kind, w.ask.Body)
		if !known {
			res = first
		}
		s.reply(w, res, out)
	}
}

// answerProved answers a repeat as the ledger does for an order that it knows. What
// it does not know was refused before, and is judged again.
func (s *Store) answerProved(w wait, out *flow.Outbox) {
	if res, known := s.ledger.Known(w.ask.Kind, w.ask.Body); known {
		s.reply(w, res, out)
		return
	}
	s.writeOrder(w, textOf(w.ask.Kind, w.ask.Body), out)
}

// voidRepeats sends those who wait elsewhere.
func (s *Store) voidRepeats(out *flow.Outbox) {
	for _, index := range sorted.Keys(s.repeats.joined) {
		s.retryJoined(index, out)
	}
	for _, token := range sorted.Keys(s.repeats.proved) {
		s.retry(s.repeats.proved[token], out)
	}
	s.repeats, s.largeOrder = newRepeats(), 0
}

func (s *Store) retryJoined(index uint64, out *flow.Outbox) {
	for _, w := range s.repeats.joined[index] {
		s.retry(w, out)
	}
	delete(s.repeats.joined, index)
}
