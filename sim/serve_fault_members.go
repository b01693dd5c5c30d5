package sim

import (
	"math/rand"
	"time"
)

// slowFor gives a core machine a slow disk and a thin link at once for a while. It is
// not held to what machines in touch are held to meanwhile.
func (s *Site) slowFor(h *Host, d time.Duration) {
	s.troubled[h] = true
	s.coreBad = s.w.Now
	s.w.slowDownFor(h, d)
	s.w.After(d, func() {
		delete(s.troubled, h)
		s.coreBad = s.w.Now
	})
}

// slowMember is a core machine whose disk and link are slow at once.
func slowMember(s *Site, r *rand.Rand) bool {
	return s.onCore(r, func(h *Host) { s.slowFor(h, s.seconds(r, 2, 8)) })
}

// restartTwice takes a core machine's power, and once more soon after it is back.
func restartTwice(s *Site, r *rand.Rand) bool {
	return s.onCore(r, func(h *Host) {
		first := s.seconds(r, 0.2, 6)
		s.Kill(h, true, false, first)
		s.w.After(first+s.seconds(r, 0, 0.5), func() { s.Kill(h, true, false, s.seconds(r, 0, 1)) })
	})
}

// wipeSlow takes a core machine's disk; it comes back slow.
func (s *Site) wipeSlow(r *rand.Rand, h *Host) {
	away := s.seconds(r, 0.2, 4)
	s.Kill(h, true, true, away)
	slow := s.seconds(r, 2, 10)
	s.slowFor(h, away+slow)
	if r.Intn(2) == 0 {
		s.w.damagePieces(away + slow)
	}
}

// wipedWhileSlow is a core machine that is wiped and comes back slow.
func wipedWhileSlow(s *Site, r *rand.Rand) bool {
	return s.onCore(r, func(h *Host) { s.wipeSlow(r, h) })
}

// restartAmidFetch has a core machine that was wiped and is slow lose its power amid
// its fetch of the leader's snapshot.
func restartAmidFetch(s *Site, r *rand.Rand) bool {
	return s.onCore(r, func(h *Host) {
		s.wipeSlow(r, h)
		s.w.amidFetch(h, func() {
			s.w.Mark("power amid a fetch", "%s", h.Name)
			s.Kill(h, true, false, s.seconds(r, 0, 1))
		})
	})
}
