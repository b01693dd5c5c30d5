package sim

import (
	"math/rand"
	"slices"
	"time"
)

// What the platform lets a fleet lose at once. A machine that keeps the state counts as
// lost while it is in trouble, and until a while after it is back or new (counts).

// losses is how many machines that keep the state may be lost at once.
func (s *Site) losses() int { return max(s.Shape.Losses, 1) }

// isCounted says whether a machine counts as there.
func (s *Site) isCounted(h *Host) bool {
	return h.works() && !s.troubled[h] && s.w.Now-s.cause[h] > counts
}

// lostNow counts the machines that keep the state and count as lost.
func (s *Site) lostNow() (lost int) {
	for _, h := range s.keepers() {
		if !s.isCounted(h) {
			lost++
		}
	}
	return lost
}

// allCount says that as many machines may be lost as ever.
func (s *Site) allCount() bool { return s.lostNow() == 0 }

// electionMost is how long a store may go without a leader while every machine counts.
const electionMost = 3 * time.Second

// checkLeader finds that nobody leads the store although every machine counts.
func (s *Site) checkLeader() {
	if s.w.Leader() != nil || !s.allCount() || s.Newest() == nil {
		s.ledAt = s.w.Now
		return
	}
	if s.w.Now-s.ledAt > electionMost {
		s.wrong("RECOVER", "no store leads for %v although every machine counts", s.w.Now-s.ledAt)
		s.ledAt = s.w.Now
	}
}

// checkVoters finds a membership that would not survive the loss of as many machines as
// may be lost now.
func (s *Site) checkVoters() {
	if !s.allCount() {
		s.weak = false
		return
	}
	voters, sound := 0, 0
	for _, m := range s.membership() {
		if !m.Voter {
			continue
		}
		voters++
		if h := s.w.hostOf(m.ID); h != nil && h.works() {
			sound++
		}
	}
	weak := voters > 0 && 2*(sound-s.losses()) <= voters
	if weak && !s.weak {
		s.wrong("RECOVER", "%d of %d voters are there although every machine counts, and %d may be lost", sound, voters, s.losses())
	}
	s.weak = weak
}

// oldest gives as many machines that keep the state as may be lost: those whose disks have
// lasted longest.
func (s *Site) oldest() []*Host {
	from := s.Core()
	if s.Shape.wide() {
		from = s.Storage()
	}
	from = slices.Clone(from)
	slices.SortStableFunc(from, func(a, b *Host) int { return int(a.diskSince - b.diskSince) })
	return from[:s.losses()]
}

// losePower takes the power of all machines at once, and the disks of some.
func (s *Site) losePower(wiped []*Host, down time.Duration) {
	s.each(func(h *Host) { s.Kill(h, true, slices.Contains(wiped, h), down) })
}

// replaceThenLose replaces a machine that keeps the state by an empty one at another
// address. Once that counts, as many disks are lost as may be, and all power.
func replaceThenLose(s *Site, r *rand.Rand) bool {
	if s.w.Leader() == nil || !s.allCount() {
		return false
	}
	h, ok := pick(r, s.voterHosts())
	if !ok {
		return false
	}
	s.Replace(h)
	limit := s.w.Now + 4*counts
	s.w.Every(tick, func() bool {
		if s.w.Now > limit || s.off {
			return false
		}
		if !s.allCount() {
			return true
		}
		s.w.Mark("as many lost once a successor counts", "")
		s.losePower(s.oldest(), time.Second)
		return false
	})
	return true
}

// voterHosts gives the machines whose stores vote, by the leader's membership.
func (s *Site) voterHosts() []*Host {
	var voters []*Host
	for _, m := range s.membership() {
		if h := s.w.hostOf(m.ID); m.Voter && h != nil {
			voters = append(voters, h)
		}
	}
	return voters
}
