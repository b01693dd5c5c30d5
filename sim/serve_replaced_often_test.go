package sim

import (
	"fmt"
	"testing"
	"time"
)

// loseAgainAndAgain has as many machines as may be lost at once replaced at other
// addresses, wiped or without power, again and again as soon as all count.
func (s *Site) loseAgainAndAgain(t *testing.T, d time.Duration) (losses int) {
	t.Helper()
	r, w := s.w.Rand, s.w
	for end := w.Now + d; w.Now < end; {
		if !w.Until(30*time.Second, s.allCount) {
			t.Fatal("not all machines count any more")
		}
		for range s.losses() {
			from := s.voterHosts()
			if leader := w.Leader(); leader != nil && r.Intn(4) == 0 {
				from = []*Host{leader}
			}
			if len(from) == 0 || r.Intn(4) == 0 {
				from = s.up(s.keepers())
			}
			h := from[r.Intn(len(from))]
			if r.Intn(4) > 0 {
				s.Replace(h)
			} else {
				s.Kill(h, true, r.Intn(2) == 0, s.seconds(r, 0.2, 2))
			}
			losses++
			w.Run(s.seconds(r, 0, 2))
		}
	}
	if !w.Until(30*time.Second, s.allCount) {
		t.Fatal("not all machines count any more")
	}
	return losses
}

// Given a long day on which machines that keep the state are lost again and again, never
// more at once than may be, when as many disks are lost at its end and all power, then a
// store leads and has all: machines that are gone keep neither votes nor places.
func TestSiteLostMachinesKeepNeitherVotesNorPlaces(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := site(t, seed, []SiteShape{FourZones, WideStores, WideStores, LittleSite, WideStores, WideStores}[seed%6])
			losses := s.loseAgainAndAgain(t, 90*time.Second)
			s.losePower(s.oldest(), 2*time.Second)
			s.closed = s.w.Now + 2*time.Second
			s.w.Run(2*time.Second + s.Bounds.Recover + 8*time.Second)
			t.Logf("%d losses", losses)
			s.over(t)
		})
	}
}
