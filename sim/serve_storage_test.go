package sim

import (
	"fmt"
	"testing"
	"time"
)

// owner waits for a storage machine that owns lots.
func (s *Site) owner(t *testing.T) *Host {
	t.Helper()
	if !s.w.Until(20*time.Second, func() bool { return len(s.Owners()) > 0 }) {
		t.Fatal("no storage machine owns a lot")
	}
	return s.Owners()[0]
}

// wantGroups fails where too few of the groups that trainers wanted were whole.
func (s *Site) wantGroups(t *testing.T, share float64) {
	t.Helper()
	if met, wanted := s.Count["groups met"], s.Count["groups wanted"]; wanted == 0 || float64(met) < share*float64(wanted) {
		t.Errorf("%d of %d groups were whole in time, want %.2f of them", met, wanted, share)
	}
}

// Given storage machines, when lots are handed in, then those machines run all
// items once the first lots are over.
func TestSiteStorageMachinesRunLots(t *testing.T) {
	t.Parallel()
	s := site(t, 31, FourZones)
	s.w.Run(8 * time.Second)
	before := s.Count["items from machines that serve clients"]
	s.w.Run(12 * time.Second)
	if n := s.Count["items from machines that serve clients"] - before; n > 0 {
		t.Errorf("machines that serve clients sent %d items", n)
	}
	s.wantCount(t, "items from storage machines")
	s.wantGroups(t, 0.9)
	s.over(t)
}

// emptiedWithin is the time in which a machine is emptied: an operator who asks each
// emptyPause hears so with the second answer.
const emptiedWithin = 2*emptyPause + 250*time.Millisecond

// Given a storage machine that runs lots, when an operator empties it, then its
// lots go to others first, and trainers notice little, wherever gossip goes.
func TestSiteAnEmptiedMachineHandsItsLotsOn(t *testing.T) {
	t.Parallel()
	for _, seed := range []int64{32, 33, 37, 39, 41} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			emptiesMachines(t, seed)
		})
	}
}

// emptiesMachines plays a site whose two storage machines are emptied in turn.
func emptiesMachines(t *testing.T, seed int64) {
	s := site(t, seed, FourZones)
	for _, e := range append(s.Pool("llm"), s.Pool("llm2")...) {
		e.Slow = 8
	}
	s.w.Run(5 * time.Second)
	for range 2 {
		emptied := s.Count["machines emptied"]
		s.Empty(s.owner(t))
		if !s.w.Until(emptiedWithin, func() bool { return s.Count["machines emptied"] > emptied }) {
			t.Errorf("the machine is not emptied within %v", emptiedWithin)
		}
		s.w.Run(8 * time.Second)
	}
	if s.Count["machines emptied"] < 2 {
		t.Errorf("%d machines were emptied, want 2", s.Count["machines emptied"])
	}
	s.wantCount(t, "items from machines that serve clients")
	s.wantGroups(t, 0.85)
	s.over(t)
}

// Given storage machines that run lots, when those are killed, wiped, frozen or
// stopped, then others run the lots, and none is lost.
func TestSiteLostStorageMachines(t *testing.T) {
	t.Parallel()
	s := site(t, 33, FourZones)
	for _, trouble := range []func(*Host){
		func(h *Host) { s.Kill(h, false, false, 2*time.Second) },
		func(h *Host) { s.Kill(h, true, true, 2*time.Second) },
		func(h *Host) { s.Freeze(h, 4*time.Second) },
		func(h *Host) { s.Term(h, time.Second, nil) },
	} {
		trouble(s.owner(t))
		s.w.Run(7 * time.Second)
	}
	s.wantGroups(t, 0.7)
	s.over(t)
}

// Given storage machines, when all are lost at once, then machines that serve
// clients run the lots, and hand later ones back.
func TestSiteAllStorageMachinesLost(t *testing.T) {
	t.Parallel()
	s := site(t, 34, LittleSite)
	s.w.Run(5 * time.Second)
	for _, h := range s.Storage() {
		s.Kill(h, true, true, 6*time.Second)
	}
	s.w.Run(12 * time.Second)
	s.wantCount(t, "items from machines that serve clients")
	s.owner(t)
	s.over(t)
}

// Given a site whose only storage machine was emptied and taken away, when operators
// go on asking after it, then they are answered, and the day goes on.
func TestSiteOperatorsAskAfterAStorageMachineThatIsGone(t *testing.T) {
	t.Parallel()
	s := site(t, 35, LittleSite)
	for _, h := range s.Storage() {
		s.Empty(h)
	}
	if !s.w.Until(20*time.Second, func() bool { return len(s.Storage()) == 0 }) {
		t.Fatal("the storage machine is not emptied")
	}
	s.Hammer(s.Core()[0], s.w.Now+2*time.Second)
	s.w.Run(3 * time.Second)
	s.over(t)
}
