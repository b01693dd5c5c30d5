package sim

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// Troubles in which what one part decides rests on what another has not heard yet, or on what is
// still on its way.

// lotsOnNewRoutes has trainers begin on a route the moment that it is acknowledged; at times it
// was there before and was taken away.
func lotsOnNewRoutes(s *Site, r *rand.Rand) bool {
	newest := s.Newest()
	if newest == nil {
		return false
	}
	name := s.name("n")
	route := siteRoute{name, siteName, "/" + name + "/", "sampling", []string{"llm", "llm2"}, true}
	add := func(list []siteRoute) []siteRoute { return append(slices.Clone(list), route) }
	remove := func(list []siteRoute) []siteRoute {
		return slices.DeleteFunc(slices.Clone(list), func(x siteRoute) bool { return x.Name == name })
	}
	begin := func(c *siteConfig) {
		if c.State != cfgTaken {
			return
		}
		for range 4 {
			s.handInOnce(s.Shape.Zones[r.Intn(len(s.Shape.Zones))], route, c.Rev)
		}
	}
	again := r.Intn(2) == 0
	s.Configure(newest.Rev, add, s.Bounds.Ack, func(c *siteConfig) {
		if !again {
			begin(c)
			return
		}
		if c.State != cfgTaken {
			return
		}
		s.Configure(c.Rev, remove, s.Bounds.Ack, func(c *siteConfig) {
			if c.State == cfgTaken {
				s.Configure(c.Rev, add, s.Bounds.Ack, begin)
			}
		})
	})
	return true
}

// pausesWhileFull has engines of a pool pause amid streams while its other engines are full of
// others' requests.
func pausesWhileFull(s *Site, r *rand.Rand) bool {
	pool := []string{"llm", "llm2"}[r.Intn(2)]
	engines := s.Pool(pool)
	if len(engines) < 2 {
		return false
	}
	at := r.Intn(len(engines))
	engines[at].Pauses = 0.3 + 0.6*r.Float64()
	// The others fill up a little later, so that streams run at this one.
	for i, e := range engines {
		if i != at {
			e.Crowded = r.Intn(4) > 0
		}
	}
	s.w.After(s.seconds(r, 2, 6), func() {
		for _, e := range engines {
			e.Pauses, e.Crowded = 0, false
		}
	})
	return true
}

// repeatedAnswers has whole answers of some engines come again on their kept connections, while
// they fail a part of what they are asked.
func repeatedAnswers(s *Site, r *rand.Rand) bool {
	var some []*SiteEngine
	for _, pool := range []string{"app", "llm", "llm2"} {
		for _, e := range s.Pool(pool) {
			if r.Intn(2) == 0 {
				some = append(some, e)
			}
		}
	}
	for _, e := range some {
		e.Repeats, e.Fails = 0.3+0.6*r.Float64(), 0.5*r.Float64()
	}
	s.w.After(s.seconds(r, 2, 6), func() {
		for _, e := range some {
			e.Repeats, e.Fails = 0, 0
		}
	})
	return len(some) > 0
}

// longestWay is how long the way of an order to its engine takes at most.
const longestWay = 1200 * time.Millisecond

// ordersOnALongWay has weight orders stay on their way to their engines while their holder is
// stopped, freezes or is cut off; those of the next holder arrive at once.
func ordersOnALongWay(s *Site, r *rand.Rand) bool {
	if s.w.Acting() == nil || s.w.Leader() == nil || !s.w.Repaired() || len(s.up(s.Core())) < len(s.Core()) {
		return false
	}
	far := func(d time.Duration) {
		for _, e := range s.Engines {
			e.Far = d
		}
	}
	far(s.seconds(r, 0.1, longestWay.Seconds()))
	kind, freeze, cut := r.Intn(3), s.seconds(r, 1, 6), s.seconds(r, 2, 8)
	until := s.w.Now + 10*time.Second
	s.w.Every(tick, func() bool {
		holder := s.w.Acting()
		if s.w.Now >= until || s.off {
			far(0)
			return false
		}
		if s.ordersOnTheWay == 0 || holder == nil || !holder.works() {
			return true
		}
		far(0)
		switch {
		case !s.w.Repaired() || len(s.up(s.Core())) < len(s.Core()):
			// other trouble came in between
		case kind == 0:
			s.Term(holder, time.Second, nil)
		case kind == 1:
			s.Freeze(holder, freeze)
		default:
			s.Cut([]*Host{holder}, s.others(holder), true, cut)
		}
		return false
	})
	return true
}

// Routes that a large configuration adds: in a story of its own, and amid other troubles, where
// each costs the simulator time for the rest of the storm.
const (
	largePlanRoutes = 1200
	stormPlanRoutes = 300
)

// largePlans has the configuration grow by many routes, and shrink again.
func largePlans(s *Site, r *rand.Rand) bool { return s.growPlan(r, largePlanRoutes) }

// largerPlans does so with fewer routes.
func largerPlans(s *Site, r *rand.Rand) bool { return s.growPlan(r, stormPlanRoutes) }

func (s *Site) growPlan(r *rand.Rand, routes int) bool {
	newest := s.Newest()
	if newest == nil {
		return false
	}
	name := s.name("many")
	add := func(list []siteRoute) []siteRoute {
		list = slices.Clone(list)
		for n := range routes {
			label := fmt.Sprint(name, "-", n)
			list = append(list, siteRoute{label, siteName, "/" + label + "/", "idempotent", []string{"app"}, false})
		}
		return list
	}
	remove := func(list []siteRoute) []siteRoute {
		return slices.DeleteFunc(slices.Clone(list), func(x siteRoute) bool { return strings.HasPrefix(x.Name, name) })
	}
	s.Configure(newest.Rev, add, s.Bounds.Ack, func(c *siteConfig) {
		if c.State == cfgTaken {
			s.Count["large configurations"]++
			s.w.After(s.seconds(r, 1, 3), func() { s.Configure(c.Rev, remove, s.Bounds.Ack, nil) })
		}
	})
	return true
}
