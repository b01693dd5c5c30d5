package sim

import (
	"fmt"
	"testing"
	"time"
)

// Given five voters, when one is gone for good and an empty machine that replaces it at
// another address counts, then two more may lose their disks while all others lose power:
// wherever the learners stand, a lost voter's vote has moved by then.
func TestSiteALostVoterHasNoVoteOnceItsSuccessorCounts(t *testing.T) {
	t.Parallel()
	for _, seed := range []int64{3, 5, 9, 18} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := site(t, seed, WideStores)
			s.w.Run(15 * time.Second)
			voters := s.voterHosts()
			if len(voters) != WideStores.voters() {
				t.Fatalf("%d voters", len(voters))
			}
			lost, wiped := voters[len(voters)-1], voters[:WideStores.Losses]
			s.Replace(lost)
			s.w.Run(counts)
			s.losePower(wiped, 2*time.Second)
			s.closed = s.w.Now + 2*time.Second
			s.w.Run(2*time.Second + s.Bounds.Recover + 8*time.Second)
			s.over(t)
		})
	}
}
