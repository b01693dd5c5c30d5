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

// Given a learner whose log is a few entries short and stands still, when it is to
// be promoted, then that is refused: what counts is what was committed an election
// timeout ago, not a number of entries.
func TestStalledLearnerIsNotPromoted(t *testing.T) {
	t.Parallel()
	s := &lossStory{story: givenShape(t, 445, Small)}
	s.changing = s.follower()
	n := s.fresh("learner", 1, s.changing.Config.Area)
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "it is a learner")
	s.w.Run(2 * time.Second)
	s.version = 1
	s.write()
	s.w.Net.Split([]string{n.Name}, s.w.others(n.Name))
	s.w.Run(850 * time.Millisecond)
	r := s.ask(s.disp(0), Call("store.vote", map[string]string{"id": n.ID()}, nil))
	s.then(r.Code == 409 && !s.members()[n.ID()].Voter, "refused: %d %s", r.Code, r.Body)
	s.w.Net.Heal()
	s.w.Run(2 * time.Second)
	r = s.ask(s.disp(0), Call("store.vote", map[string]string{"id": n.ID()}, nil))
	s.then(r.Code == 200, "granted once it has caught up: %d %s", r.Code, r.Body)
	s.end()
}
