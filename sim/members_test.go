package sim

import (
	"fmt"
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

// Given a voter that is silent, when an operator takes out the machine that stands
// ready for it, or another voter, then too few would remain: refused, and no trace.
func TestRemovalThatLeavesTooFewIsRefused(t *testing.T) {
	t.Parallel()
	s := given(t, 446)
	quiet := s.follower()
	n := s.fresh("ready", 1, quiet.Config.Area)
	s.then(s.w.Until(10*time.Second, func() bool { return len(s.members()) == 4 }), "it is a learner")
	s.w.Run(2 * time.Second)
	quiet.Freeze(1500 * time.Millisecond)
	s.w.Run(700 * time.Millisecond)
	before := fmt.Sprint(s.members())
	for _, h := range []*Host{n, s.w.Leader()} {
		r := s.ask(s.disp(0), Call("store.remove", map[string]string{"id": h.ID()}, nil))
		s.then(r.Code == 409, "%s stays: %d %s", h.Name, r.Code, r.Body)
	}
	s.then(fmt.Sprint(s.members()) == before, "no trace: %v", s.members())
	s.w.Run(3 * time.Second)
	r := s.ask(s.disp(0), Call("store.remove", map[string]string{"id": n.ID()}, nil))
	s.then(r.Code == 200, "it may go once all voters are heard: %d %s", r.Code, r.Body)
	s.end()
}
