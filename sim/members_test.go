package sim

import (
	"testing"
	"time"

	"fernlink/core/budget"
)

// Given a wiped voter that is back and votes again, when it is lost once more at
// that very moment, then orders go on: the two others are all that was needed
// throughout (design 4.8).
func TestFreshVoterLostAtOnce(t *testing.T) {
	t.Parallel()
	for seed := int64(440); seed < 443; seed++ {
		s := &lossStory{story: givenShape(t, seed, lossShape)}
		s.bulk(2)
		s.write()
		s.changing = s.follower()
		s.changing.Lose(true)
		s.changing.Start()
		s.then(s.w.Until(budget.Heal, func() bool { return s.members()[s.changing.ID()].Voter }), "it votes: %v", s.members())
		s.w.killFor(s.changing, 8*time.Second)
		stood, ok := s.ordersBack(budget.Heal)
		s.then(ok && stood < time.Second, "orders go on: %v %v", stood, s.members())
		s.then(s.w.Until(3*budget.Heal, func() bool { return s.w.Repaired() && s.settled() }), "all is whole again: %v", s.members())
		s.end()
	}
}
