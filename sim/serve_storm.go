package sim

import (
	"math/rand"
	"slices"
	"sort"
	"time"
)

// Traffic starts clients and trainers.
func (s *Site) Traffic() {
	for zi, z := range s.Shape.Zones {
		s.w.Every(90*time.Millisecond+time.Duration(zi)*7*time.Millisecond, func() bool {
			n := s.Newest()
			if s.off || n == nil {
				return !s.off
			}
			r := n.Routes[s.w.Rand.Intn(len(n.Routes))]
			if r.Kind == "sampling" || r.Kind == "streaming" && s.w.Rand.Intn(3) == 0 {
				return true
			}
			limit, tries := 1500*time.Millisecond, 1
			if r.Kind == "streaming" {
				limit = 8 * time.Second
			}
			if s.closed > 0 && s.w.Now > s.closed+s.Bounds.Recover {
				s.Count["asked after the end of a closing fault"]++
			}
			s.Ask(z, r, limit, tries)
			return true
		})
	}
	s.RepeatOrders(600 * time.Millisecond)
	s.AddTrainer(s.Shape.Zones[0], 8, 3, 6, 4*time.Second, 5*time.Second)
	s.AddTrainer(s.Shape.Zones[1], 4, 4, 4, 5*time.Second, 6*time.Second).Rewards = true
}

// Begin has the first configuration taken and lets traffic start.
func (s *Site) Begin() bool {
	s.w.Run(3 * time.Second)
	first := s.Configure(0, func([]siteRoute) []siteRoute { return s.baseRoutes() }, 20*time.Second, nil)
	if !s.w.Until(25*time.Second, func() bool { return first.State == cfgTaken }) {
		s.wrong("CONFIG", "the first configuration was never taken: %s", first.State)
		return false
	}
	s.w.Run(2 * time.Second)
	s.Traffic()
	s.w.Run(4 * time.Second)
	return true
}

// End ends traffic and checks all that is left to be checked.
func (s *Site) End() {
	s.off = true
	s.w.Run(10 * time.Second)
	s.ReadBack(s.w.Now + 2*s.Bounds.Contact)
	s.final()
	if s.Count["denied"] > 5+s.Count["asked"]/500 {
		s.wrong("DENIED", "%d of %d requests", s.Count["denied"], s.Count["asked"])
	}
	if a := s.Count["asked after the end of a closing fault"]; a > 20 && 4*s.Count["served after the end of a closing fault"] < a {
		s.wrong("RECOVER", "%d of %d are served after a closing fault", s.Count["served after the end of a closing fault"], a)
	}
	if s.Count["served"] == 0 {
		s.wrong("RECOVER", "nothing was served")
	}
	s.one()
}

// one checks the orders that each engine got.
func (s *Site) one() {
	for _, e := range s.Engines {
		owner := map[uint64]string{}
		var fence uint64
		last := map[string]orderSeen{}
		before := ""
		for _, o := range e.Ordered {
			if w := owner[o.Fence]; w != "" && w != o.Owner {
				s.wrong("ONE", "%s has orders of %s and %s under fence %d", e.ID, w, o.Owner, o.Fence)
			}
			owner[o.Fence] = o.Owner
			if o.Fence < fence && !s.Shape.Fenced {
				s.wrong("ONE", "%s has an order under fence %d after %d", e.ID, o.Fence, fence)
			}
			fence = max(fence, o.Fence)
			if x, again := last[o.Owner]; again && before != o.Owner && o.At-x.At < s.Bounds.Lease {
				s.wrong("ONE", "%s and %s take turns at %s", before, o.Owner, e.ID)
			}
			before, last[o.Owner] = o.Owner, o
		}
	}
}

// SiteClosing are the faults that a day may end with.
var SiteClosing = []siteFault{
	{"power of all", func(s *Site, _ *rand.Rand) bool {
		s.each(func(h *Host) { s.Kill(h, true, false, 3*time.Second) })
		return true
	}},
	{"kill of all", func(s *Site, _ *rand.Rand) bool {
		s.each(func(h *Host) { s.Kill(h, false, false, 3*time.Second) })
		return true
	}},
	{"one wiped, the others without power, right after an acknowledgement", func(s *Site, r *rand.Rand) bool {
		return s.wipeAfterAck(r, func() []*Host { return s.wiped(r) })
	}},
	{"the oldest disks wiped, the others without power, right after an acknowledgement", func(s *Site, r *rand.Rand) bool {
		return s.wipeAfterAck(r, s.oldest)
	}},
}

// wipeAfterAck takes the power of all machines, and the disks of some, right after a
// configuration was acknowledged.
func (s *Site) wipeAfterAck(r *rand.Rand, wiped func() []*Host) bool {
	n := s.Newest()
	done := false
	s.Configure(n.Rev, s.change(r), 10*time.Second, func(*siteConfig) {
		done = true
		s.losePower(wiped(), 3*time.Second)
	})
	s.w.Until(12*time.Second, func() bool { return done })
	return true
}

// wiped picks machines that lose their disks at once: as many as may, of those that
// keep the state.
func (s *Site) wiped(r *rand.Rand) []*Host {
	from := s.Core()
	if s.Shape.wide() {
		from = s.Storage()
	}
	from = slices.Clone(from)
	r.Shuffle(len(from), func(a, b int) { from[a], from[b] = from[b], from[a] })
	return from[:s.losses()]
}

func (s *Site) each(f func(*Host)) {
	for _, h := range s.w.Hosts {
		if !h.Retired {
			f(h)
		}
	}
}

// SiteStorm runs a site under random troubles; every other one ends with a
// closing fault.
func SiteStorm(seed int64, faults int) Outcome {
	shape := []SiteShape{LittleSite, FourZones, WideStores, FourZones, LittleSite, WideStores}[seed%6]
	shape.Single = seed%3 != 0
	shape.Fenced = seed%4 != 3
	s := BuildSite(seed, shape)
	w := s.w
	s.Rough = seed%4 != 0
	if s.Begin() {
		for range faults {
			f := SiteFaults[w.Rand.Intn(len(SiteFaults))]
			if f.do(s, w.Rand) {
				w.Mark(f.kind, "")
			}
			gap := w.between(200*time.Millisecond, 4*time.Second)
			if w.Rand.Intn(3) == 0 {
				gap += 6 * time.Second // so that some are in touch while trouble lasts
			}
			w.Run(gap)
		}
		if seed%2 == 0 {
			w.Run(12 * time.Second)
		} else {
			w.Until(time.Minute, s.allCount)
			f := SiteClosing[w.Rand.Intn(len(SiteClosing))]
			w.Mark(f.kind, "")
			f.do(s, w.Rand)
			s.closed = w.Now + 3*time.Second
			w.Run(3*time.Second + s.Bounds.Recover + 8*time.Second)
		}
		s.End()
	}
	return Outcome{Seed: seed, Bad: w.Bad, Marks: w.Marks, Kinds: w.Kinds, Listed: s.Count["results complete"], Steps: s.Count["lots"], Trace: w.Trace, Risks: s.Count}
}

// SiteSweep runs storms on sites over many seeds, several at a time.
func SiteSweep(from, to int64, faults, tasks int) Summary {
	seeds, out := make(chan int64), make(chan Outcome)
	for range tasks {
		go func() {
			for x := range seeds {
				out <- SiteStorm(x, faults)
			}
		}()
	}
	go func() {
		for x := from; x <= to; x++ {
			seeds <- x
		}
		close(seeds)
	}()
	sum := Summary{Faults: map[string]int{}, Risks: map[string]int{}}
	for x := from; x <= to; x++ {
		o := <-out
		sum.Seeds++
		sum.Steps += o.Steps
		sum.Listed += o.Listed
		for k, n := range o.Kinds {
			sum.Faults[k] += n
		}
		for k, n := range o.Risks {
			sum.Risks[k] += n
		}
		if len(o.Bad) > 0 {
			sum.Found = append(sum.Found, o)
		}
	}
	sort.Slice(sum.Found, func(a, b int) bool { return sum.Found[a].Seed < sum.Found[b].Seed })
	return sum
}
