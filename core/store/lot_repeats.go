// Lots that are handed in again (design 8.7).

package store

import (
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
)

// lotRepeats are the lots that are on their way into the log, and who handed one of
// them in again meanwhile. A trainer that hears nothing for a second or two goes to
// another node; were each such try an entry of its own, a leader whose link is full
// would send the lot to all members once more for each.
type lotRepeats struct {
	underWay map[ledger.LotName]uint64 // the index of its entry
	waiting  map[uint64][]wait         // by that index
}

func newLotRepeats() lotRepeats {
	return lotRepeats{underWay: map[ledger.LotName]uint64{}, waiting: map[uint64][]wait{}}
}

// open says whether a try is one of those that wait.
func (r *lotRepeats) open(w wait) bool {
	for _, waiting := range r.waiting {
		for _, other := range waiting {
			if w.same(other) {
				return true
			}
		}
	}
	return false
}

// putLot takes a hand-in: a repeat is answered from the ledger, or with the entry that
// is under way. All else is written.
func (s *Store) putLot(w wait, out *flow.Outbox) {
	name, isPacked := ledger.NameOfLot(w.ask.Body)
	if !isPacked {
		s.write(w, s.command(w), out)
		return
	}
	if result, isKnown := s.ledger.RepeatedLot(name); isKnown {
		s.counts["lots_repeated"]++
		s.reply(w, result, out)
		return
	}
	if at, isUnderWay := s.lotRepeats.underWay[name]; isUnderWay {
		s.counts["lots_repeated"]++
		s.lotRepeats.waiting[at] = append(s.lotRepeats.waiting[at], w)
		return
	}
	w.lot = name
	s.write(w, s.command(w), out)
}

// forget ends what an entry stood for; answer gets those who waited for it.
func (r *lotRepeats) forget(at uint64, w wait, answer func(wait)) {
	waiting := r.waiting[at]
	delete(r.underWay, w.lot)
	delete(r.waiting, at)
	for _, other := range waiting {
		answer(other)
	}
}

// lotApplied answers those who handed in again what an entry has brought. Only the
// first is told that the lot is fresh.
func (s *Store) lotApplied(at uint64, w wait, result ledger.Result, out *flow.Outbox) {
	if repeated, isKnown := s.ledger.RepeatedLot(w.lot); isKnown {
		result = repeated
	}
	s.lotRepeats.forget(at, w, func(other wait) { s.reply(other, result, out) })
}

// voidLotRepeats sends those who wait elsewhere: the entry's fate is not known here.
func (s *Store) voidLotRepeats(out *flow.Outbox) {
	for _, at := range sorted.Keys(s.lotRepeats.waiting) {
		for _, w := range s.lotRepeats.waiting[at] {
			s.retry(w, out)
		}
	}
	s.lotRepeats = newLotRepeats()
}
