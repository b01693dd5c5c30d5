package sim

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/node"
)

// Grace is how long a process may take to end once it was told to.
const Grace = 8 * time.Second

// Kill ends a machine's process, with its power or its disk where said, and
// starts it again.
func (s *Site) Kill(h *Host, power, wipe bool, down time.Duration) {
	s.Touch(h)
	if power || wipe {
		h.Lose(wipe)
	} else {
		h.Kill()
	}
	s.w.After(down, func() { s.Start(h) })
}

// Start starts a machine again.
func (s *Site) Start(h *Host) {
	if h.Retired {
		return
	}
	s.Touch(h)
	h.Start()
}

// Freeze stops a machine for a while.
func (s *Site) Freeze(h *Host, d time.Duration) {
	s.Touch(h)
	h.Freeze(d)
	s.w.After(d, func() { s.Touch(h) })
}

// Term stops a process in order and starts it again after a while.
func (s *Site) Term(h *Host, down time.Duration, then func()) {
	s.met(h)
	s.planned[h] = s.w.Now
	life := h.life
	h.Stop()
	began := s.w.Now
	s.w.Every(20*time.Millisecond, func() bool {
		if h.Up && h.life == life && s.w.Now-began < Grace {
			return true
		}
		if h.Up && h.life == life {
			s.Count["stops that took too long"]++
			h.Kill()
		}
		s.w.After(down, func() {
			s.met(h)
			h.Start()
			if then != nil {
				then()
			}
		})
		return false
	})
}

// Roll stops and starts machines one after the other.
func (s *Site) Roll(hosts []*Host, pause time.Duration) {
	if len(hosts) == 0 {
		return
	}
	s.Term(hosts[0], time.Second, func() { s.w.After(pause, func() { s.Roll(hosts[1:], pause) }) })
}

// otherPool is whose engines get the addresses of a pool's engines that are gone.
var otherPool = map[string]string{"app": "other", "other": "app", "llm": "app", "llm2": "llm"}

// Replace puts an empty machine at another address in a core machine's place,
// and names it to all as a seed.
func (s *Site) Replace(h *Host) *Host {
	s.Touch(h)
	h.Lose(true)
	h.Retired = true
	x := s.Add(h.Config.Roles, h.Config.Zone, true)
	s.reseed(h, x)
	s.Touch(x)
	return x
}

// ReplaceAsPlanned adds a machine, and stops the one whose place it takes for good
// once the new one counts.
func (s *Site) ReplaceAsPlanned(h *Host, then func(successor *Host)) {
	x := s.Add(h.Config.Roles, h.Config.Zone, true)
	var stop func()
	stop = func() {
		if s.lostBeside(h) { // an operator takes no machine away while another is lost
			s.w.After(time.Second, stop)
			return
		}
		s.met(h)
		s.planned[h] = s.w.Now
		h.Stop()
		began := s.w.Now
		s.w.Every(20*time.Millisecond, func() bool {
			if h.Up && s.w.Now-began < Grace {
				return true
			}
			s.met(h)
			h.Lose(true)
			h.Retired = true
			s.reseed(h, x)
			then(x)
			return false
		})
	}
	s.w.After(counts, stop)
}

// lostBeside says whether a machine that keeps the state, other than one, is lost just now.
func (s *Site) lostBeside(h *Host) bool {
	keepers := s.keepers()
	return !s.w.Repaired() || len(s.up(keepers)) < len(keepers) && h.works()
}

// counts is the time after which a machine that is new or back counts again.
const counts = 4200 * time.Millisecond

// loseAnother has a core machine that is not the first meet trouble, where no other
// trouble of the storm came in between.
func (s *Site) loseAnother(r *rand.Rand, first *Host) {
	s.onCore(r, func(h *Host) {
		if h == first {
			return
		}
		switch r.Intn(4) {
		case 0:
			s.Kill(h, r.Intn(2) == 0, false, s.seconds(r, 0.5, 4))
		case 1:
			s.Freeze(h, s.seconds(r, 0.3, 4))
		case 2:
			s.Cut([]*Host{h}, s.others(h), true, s.seconds(r, 2, 4))
		default:
			s.Kill(h, true, true, s.seconds(r, 0.5, 4))
		}
	})
}

// wipeWith takes the disks of a storage machine and of another one, at once.
func (s *Site) wipeWith(r *rand.Rand, h *Host, down time.Duration) {
	all := s.up(s.Storage())
	if !h.works() || len(all) < len(s.Storage()) || !s.w.Repaired() {
		return // other trouble came in between
	}
	all = slices.DeleteFunc(all, func(x *Host) bool { return x == h })
	s.Kill(h, true, true, down)
	s.Kill(all[r.Intn(len(all))], true, true, down)
}

// reseed names a machine to all as a seed in another's place.
func (s *Site) reseed(h, x *Host) {
	old := h.Config.Addr
	for _, o := range s.w.Hosts {
		o.Config.Seeds = slices.Clone(o.Config.Seeds)
		for i, a := range o.Config.Seeds {
			if a == old {
				o.Config.Seeds[i] = x.Config.Addr
			}
		}
		if o.Up {
			o.offer(o.life, flow.Event{Seeds: o.Config.Seeds})
		}
	}
}

// Add puts a further machine into the fleet.
func (s *Site) Add(roles []string, zone string, disk bool) *Host {
	n := len(s.w.Hosts)
	p := node.Config{Addr: siteHost(n) + ":7000", Web: siteHost(n) + ":7001", Zone: zone, Seeds: s.w.Hosts[0].Config.Seeds, Keep: 256, Want: s.Shape.voters(), Bounds: ledger.Usual, Codec: &s.codec, LotKeep: 2 * time.Minute, Roles: roles}
	p.Name, p.Cpu, p.LinkMbps = fmt.Sprintf("more-%d", n), s.Shape.EdgeCpu, s.Shape.CoreLink
	if disk {
		p.Cpu, p.DiskMB = s.Shape.CoreCpu, s.Shape.CoreDisk
	}
	if slices.Contains(roles, "reserve") {
		p.LinkMbps, p.DiskMB = s.Shape.ReserveLink, s.Shape.ReserveDisk
	}
	h := s.w.AddHost(p.Name, p, disk)
	h.Start()
	s.Touch(h)
	return h
}

// Cut cuts the ways from some machines to others, and joins them later.
func (s *Site) Cut(from, to []*Host, both bool, d time.Duration) {
	s.CutBy(Silent, from, to, both, d)
}

// CutBy cuts the ways from some machines to others in a manner, and joins them
// later.
func (s *Site) CutBy(manner Manner, from, to []*Host, both bool, d time.Duration) {
	var touched []*Host
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			s.w.Net.CutBy(manner, a.Name, b.Name)
			if both {
				s.w.Net.CutBy(manner, b.Name, a.Name)
			}
			touched = append(touched, a, b)
		}
	}
	touch := func() {
		core := 0
		for _, h := range touched {
			if h.Has("store") {
				core++
			}
		}
		if core > 1 {
			s.coreBad = s.w.Now
		}
	}
	touch()
	s.w.After(d, func() {
		for _, a := range from {
			for _, b := range to {
				s.w.Net.Join(a.Name, b.Name)
				s.w.Net.Join(b.Name, a.Name)
			}
		}
		touch()
	})
}

// Dispatchers gives the machines that serve callers.
func (s *Site) Dispatchers() []*Host { return s.w.By("dispatcher") }

// Release replaces the engines of a pool one after the other.
func (s *Site) Release(pool string, reuse bool) {
	var next func(list []*SiteEngine)
	next = func(list []*SiteEngine) {
		if len(list) == 0 || s.off {
			return
		}
		e := list[0]
		if !e.Up {
			next(list[1:])
			return
		}
		e.Replace(false)
		e.Retire(func() {
			if reuse {
				s.w.After(2*time.Second, func() {
					s.AddEngine(otherPool[e.Pool], e.Zone, e.Addr)
				})
			}
			next(list[1:])
		})
	}
	next(s.Pool(pool))
}

// hideList has nobody answer for the platform's list for a while.
func (s *Site) hideList(d time.Duration) {
	from := s.w.Now
	s.Dark = true
	s.w.After(d, func() {
		s.Dark = false
		s.hidden = append(s.hidden, span{from, s.w.Now})
	})
}

// span is a time from one moment to another.
type span struct{ from, to time.Duration }

// listedSince is for how long the list has been there for all to read since a moment.
func (s *Site) listedSince(from time.Duration) time.Duration {
	sum := s.w.Now - from
	for _, x := range s.hidden {
		sum -= max(0, x.to-max(x.from, from))
	}
	return sum
}

func (s *Site) up(list []*Host) []*Host {
	var out []*Host
	for _, h := range list {
		if h.works() {
			out = append(out, h)
		}
	}
	return out
}

func (s *Site) others(h *Host) []*Host {
	var out []*Host
	for _, x := range s.w.Hosts {
		if x != h && !x.Retired {
			out = append(out, x)
		}
	}
	return out
}
