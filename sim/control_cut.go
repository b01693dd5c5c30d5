package sim

import (
	"slices"
	"time"
)

// direction says which ways between a control machine and the rest of the core
// are cut.
type direction string

const (
	bothWays direction = "both ways"
	inOnly   direction = "in"
	outOnly  direction = "out"
)

var directions = []direction{bothWays, inOnly, outOnly}

// keepers gives the machines that may keep the state: those of the core, and where
// they carry it better those that stand by.
func (s *Site) keepers() []*Host {
	if s.Shape.wide() {
		return s.w.By("store")
	}
	return s.Core()
}

// cutOff cuts a machine from the other machines that may keep the state. Operators,
// clients and machines without a disk still reach it.
func (s *Site) cutOff(h *Host, manner Manner, way direction, d time.Duration) {
	rest := slices.DeleteFunc(slices.Clone(s.keepers()), func(x *Host) bool { return x == h })
	self := []*Host{h}
	switch way {
	case inOnly:
		s.CutBy(manner, rest, self, false, d)
	case outOnly:
		s.CutBy(manner, self, rest, false, d)
	default:
		s.CutBy(manner, self, rest, true, d)
	}
}

// restartSeededBy starts a machine again whose seeds begin with another.
func (s *Site) restartSeededBy(h, first *Host) {
	seeds := slices.DeleteFunc(slices.Clone(h.Config.Seeds), func(a string) bool { return a == first.Config.Addr })
	h.Config.Seeds = append([]string{first.Config.Addr}, seeds...)
	s.Kill(h, false, false, 500*time.Millisecond)
}

// plan is the version that a machine serves by, 0 where it has none.
func (h *Host) plan() uint64 {
	if h.Node == nil {
		return 0
	}
	return h.Node.Stats(h.clock()).Serve.Plan
}
