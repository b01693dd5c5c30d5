package sim

import (
	"math/rand"
	"testing"
	"time"
)

// underTrouble plays one trouble again and again on sites of so many seeds.
func underTrouble(t *testing.T, shape SiteShape, trouble func(*Site, *rand.Rand) bool, seeds int64, want ...string) {
	t.Helper()
	met := map[string]int{}
	for seed := range seeds {
		s := site(t, 400+seed, shape)
		for range 6 {
			trouble(s, s.w.Rand)
			s.w.Run(s.seconds(s.w.Rand, 3, 6))
		}
		s.w.Run(6 * time.Second)
		s.over(t)
		for kind, n := range s.Count {
			met[kind] += n
		}
	}
	for _, kind := range want {
		if met[kind] == 0 {
			t.Errorf("no %s came about: %v", kind, met)
		}
	}
}

// Given trainers that begin on routes the moment that these are acknowledged, also where they
// were taken away before, then no lot is given up before its route has ended.
func TestSiteLotsOnNewRoutes(t *testing.T) {
	t.Parallel()
	underTrouble(t, LittleSite, lotsOnNewRoutes, 4, "lots", "results complete")
}

// Given engines that pause amid streams while the others are full, then no stream is broken off
// whose engine is at work.
func TestSitePausesWhileFull(t *testing.T) {
	t.Parallel()
	underTrouble(t, LittleSite, pausesWhileFull, 3, "served", "turned away 503")
}

// Given engines whose whole answers come again on kept connections while they fail a part, then
// no answer is taken for that of another try.
func TestSiteRepeatedAnswers(t *testing.T) {
	t.Parallel()
	underTrouble(t, LittleSite, repeatedAnswers, 3, "answers repeated", "results complete")
}

// Given orders that stay on their way while their holder stops, freezes or is cut off, where
// engines don't check fences, then no older holder's order follows a newer one's.
func TestSiteOrdersOnALongWay(t *testing.T) {
	t.Parallel()
	shape := LittleSite
	shape.Fenced = false
	underTrouble(t, shape, ordersOnALongWay, 3, "orders")
}

// Given configurations that grow by thousands of routes, when all machines are told of them at
// once, then no machine makes as many copies for them.
func TestSiteLargePlans(t *testing.T) {
	t.Parallel()
	underTrouble(t, FourZones, largePlans, 1, "large configurations")
}
