package sim

import (
	"testing"
	"time"

	"fernlink/core/budget"
)

// Given a state of a few MB, when a voter comes back at its address with an empty
// disk, then it votes again under its new identity, and the old one is out,
// within 2.5 s of its first word (design 4.8).
func TestWipedVoterIsBackInTime(t *testing.T) {
	t.Parallel()
	for seed := int64(400); seed < 410; seed++ {
		s := given(t, seed)
		s.train("one")
		s.a.Consume(50 * time.Millisecond)
		s.bulky(6)
		s.digested()
		h := s.follower()
		old := h.ID()
		h.Lose(true)
		h.Start()
		from := s.w.Now
		s.then(s.w.Until(2*budget.Heal, func() bool {
			m := s.members()
			_, was := m[old]
			return m[h.ID()].Voter && !was && s.settled()
		}), "it votes again: %v", s.members())
		took := s.w.Now - from
		t.Logf("seed %d: %v, %d pieces", seed, took, s.stats(h).Pulled)
		if took > 2500*time.Millisecond {
			t.Errorf("seed %d: it took %v", seed, took)
		}
		s.end()
	}
}
