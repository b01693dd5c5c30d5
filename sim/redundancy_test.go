package sim

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/ledger"
)

// answerBytes is the size of one recorded answer, near the largest that is kept.
const answerBytes = 60 << 10

// fill brings the store's state to a size, by recorded answers.
func (s *lossStory) fill(bytes int) {
	s.Helper()
	c := newCrowd(s.w, &DayReport{Asked: map[string]int{}, Refused: map[string]int{}, Checked: map[string]int{}})
	text := []byte(strings.Repeat("x", answerBytes))
	left, next := bytes/answerBytes, 0
	var record func()
	record = func() {
		if next >= bytes/answerBytes {
			return
		}
		next++
		claim := ledger.Claim{Key: fmt.Sprint("fill-", next), Hash: fmt.Sprint("h", next), Owner: fmt.Sprint("crowd/", next)}
		c.ask(ledger.TakeClaim(claim), func(ask.Answer) {
			claim.State, claim.Code, claim.Type, claim.Body = "done", 200, "text/plain", text
			c.ask(ledger.DoneClaim(claim), func(ask.Answer) {
				left--
				record()
			})
		})
	}
	for range 4 {
		record()
	}
	s.then(s.w.Until(10*time.Minute, func() bool { return left <= 0 }), "the state has its size: %d left", left)
}

// Given a state of 1, 10 or more MB, on disks of a millisecond or of five a write,
// while orders go on, when a voter comes back with an empty disk, then three voters
// hold everything again before the machine counts again (design 4.8).
// REDUNDANCY_MB=60 runs that size too.
func TestTimeToFullRedundancy(t *testing.T) {
	t.Parallel()
	sizes := []int{1, 10}
	if more, err := strconv.Atoi(os.Getenv("REDUNDANCY_MB")); err == nil {
		sizes = append(sizes, more)
	}
	for _, megabytes := range sizes {
		for _, slow := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d MB, disk %v", megabytes, slow), func(t *testing.T) {
				t.Parallel()
				s := &lossStory{story: givenShape(t, int64(460+megabytes), lossShape)}
				s.fill(megabytes << 20)
				for _, h := range s.w.By("store") {
					h.Disk.Slow = slow
				}
				s.version = 1
				s.write()
				s.w.Run(time.Second)
				h := s.follower()
				old := h.ID()
				h.Lose(true)
				h.Disk.Slow = slow
				h.Start()
				from, acked := s.w.Now, s.ackedOrders()
				s.then(s.w.Until(5*budget.Heal, func() bool {
					m := s.members()
					_, was := m[old]
					return m[h.ID()].Voter && !was && s.settled()
				}), "it votes again: %v", s.members())
				took := s.w.Now - from
				t.Logf("full redundancy after %v, %d pieces, %d orders meanwhile", took, s.stats(h).Pulled, s.ackedOrders()-acked)
				if took > syncTime {
					t.Errorf("it took %v, the machine counts again after %v", took, syncTime)
				}
				if s.ackedOrders() == acked {
					t.Error("no order was taken meanwhile")
				}
				s.end()
			})
		}
	}
}

// ackedOrders counts the plans that were acknowledged.
func (s *lossStory) ackedOrders() (count int) {
	for _, x := range s.a.Attempts {
		if x.state == "acked" {
			count++
		}
	}
	return count
}
