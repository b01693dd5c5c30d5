package sim

import (
	"slices"
	"testing"
	"time"

	"fernlink/core/budget"
)

// restartFigures are the times from a start of all machines, one for each
// machine that serves callers, and to the first request served for each site.
type restartFigures struct {
	plans, firstServed []time.Duration
}

// losePowerOfAll takes the power of all machines for 3 s and measures the way back.
func losePowerOfAll(t *testing.T, shape SiteShape, seed int64, slow time.Duration, f *restartFigures) {
	t.Helper()
	const down = 3 * time.Second
	s := site(t, seed, shape)
	s.w.Run(2 * time.Second)
	s.each(func(h *Host) { s.Kill(h, true, false, down) })
	s.w.Run(down - time.Millisecond)
	s.each(func(h *Host) {
		if h.Disk != nil {
			h.Disk.Slow = slow
		}
	})
	from, served := s.w.Now, s.Count["served"]
	first, planned := false, map[*Host]bool{}
	s.w.Until(budget.Heal, func() bool {
		if !first && s.Count["served"] > served {
			first = true
			f.firstServed = append(f.firstServed, s.w.Now-from)
		}
		for _, h := range s.Dispatchers() {
			if !planned[h] && h.plan() > 0 {
				planned[h] = true
				f.plans = append(f.plans, s.w.Now-from)
			}
		}
		return first && len(planned) == len(s.Dispatchers())
	})
	if !first || len(planned) < len(s.Dispatchers()) {
		t.Errorf("seed %d: served %v, %d machines with a plan", seed, first, len(planned))
	}
}

func middleAndMost(list []time.Duration) (middle, most time.Duration) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)-1]
}

// Given all machines without power, when they are back, then each has a plan
// that a majority confirmed within half of the time that service may take, also
// where each write takes 0.1 s.
func TestPlansAfterALossOfAll(t *testing.T) {
	t.Parallel()
	for _, slow := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
		for name, shape := range map[string]SiteShape{"three": LittleSite, "four": FourZones} {
			t.Run(name+" "+slow.String(), func(t *testing.T) {
				t.Parallel()
				var f restartFigures
				for seed := range int64(3) {
					losePowerOfAll(t, shape, 800+seed, slow, &f)
				}
				middle, most := middleAndMost(f.plans)
				firstMiddle, firstMost := middleAndMost(f.firstServed)
				t.Logf("a plan after %v, at most %v; the first request served after %v, at most %v", middle, most, firstMiddle, firstMost)
				if most > budget.Heal/2 {
					t.Errorf("a machine has no plan for %v", most)
				}
			})
		}
	}
}

// neverBehind fails where a machine that starts serves by an older plan than was
// acknowledged before its start.
func (s *Site) neverBehind(t *testing.T, h *Host, d time.Duration) {
	t.Helper()
	life, newest := h.life, s.newestAt(s.w.Now)
	s.w.Every(5*time.Millisecond, func() bool {
		if !h.Up || h.life == life {
			newest = max(newest, s.newestAt(s.w.Now))
			return true
		}
		if v := h.plan(); v > 0 {
			if int(v) < newest {
				t.Errorf("%s serves by version %d from its start on, and %d was acknowledged before", h.Name, v, newest)
			}
			return false
		}
		return true
	})
	s.w.Run(d)
}

// onlyReaches cuts a machine from all of the core but one.
func (s *Site) onlyReaches(h, only *Host, d time.Duration) {
	rest := slices.DeleteFunc(s.Core(), func(x *Host) bool { return x == only || x == h })
	s.Cut([]*Host{h}, rest, true, d)
}

// Given a control machine that is cut off while changes go on, when a machine
// starts that reaches only this one, or whose seeds begin with it, then it serves
// by no plan that is older than what was acknowledged.
func TestStartBesideACutMachine(t *testing.T) {
	t.Parallel()
	for name, reach := range map[string]bool{"reaches only the one": true, "reaches all": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := site(t, 781, LittleSite)
			cut, starts := s.w.Leader(), s.edge()
			s.cutOff(cut, Silent, bothWays, cutFor20)
			s.changesElsewhere(cut, time.Second, s.w.Now+8*time.Second)
			s.w.Run(8 * time.Second)
			if reach {
				s.onlyReaches(starts, cut, 8*time.Second)
			}
			s.restartSeededBy(starts, cut)
			s.neverBehind(t, starts, 10*time.Second)
			if starts.plan() == 0 && !reach {
				t.Error("it serves by no plan, and a majority can be reached")
			}
			s.w.Run(12 * time.Second)
			s.over(t)
		})
	}
}

// Given a store whose disk is put back as it was before some changes, when a
// machine starts that reaches only this one, then it serves by no old plan.
func TestStartBesideAStoreWithOldState(t *testing.T) {
	t.Parallel()
	s := site(t, 783, LittleSite)
	core := s.Core()
	old := core[slices.IndexFunc(core, func(h *Host) bool { return h != s.w.Leader() })]
	starts := s.edge()
	copied := old.Disk.Copy()
	s.changesElsewhere(old, time.Second, s.w.Now+6*time.Second)
	s.w.Run(7 * time.Second)
	s.Touch(old)
	old.Kill()
	old.Disk = copied
	s.Start(old)
	s.cutOff(old, Silent, bothWays, cutFor20) // nobody tells it what it lacks
	s.onlyReaches(starts, old, 6*time.Second)
	s.restartSeededBy(starts, old)
	s.neverBehind(t, starts, 10*time.Second)
	s.Touch(old)
	old.Lose(true)
	s.Start(old) // an empty one takes its place
	if starts.plan() == 0 {
		t.Error("it serves by no plan, and a majority can be reached")
	}
	s.over(t)
}
