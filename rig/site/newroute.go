package site

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

// lotsAtOnce is how many trainers begin on a new route at once, each at a machine of its own.
const lotsAtOnce = 3

// newRoutes adds routes for lots one after the other, and has trainers begin on each the moment
// that it is acknowledged.
func newRoutes(s *soak, random *rand.Rand, length time.Duration) {
	var lots sync.WaitGroup
	defer lots.Wait()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		name := s.id("new")
		if !s.addRoute(name, random.Intn(2) == 0) {
			return
		}
		first := random.Intn(len(s.machines))
		var these sync.WaitGroup
		for n := range lotsAtOnce {
			lots.Add(1)
			these.Add(1)
			go func() {
				defer lots.Done()
				defer these.Done()
				s.lotOn(name, first+n)
			}()
		}
		lots.Add(1)
		go func() {
			defer lots.Done()
			these.Wait()
			s.changing.Lock()
			defer s.changing.Unlock()
			s.extra = slices.DeleteFunc(s.extra, func(x string) bool { return x == name })
		}()
	}
}

// addRoute adds a route for lots; with again it is taken away and added once more.
func (s *soak) addRoute(name string, again bool) bool {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.note("new route %s, taken away and added again: %v", name, again)
	without := s.extra
	with := append(slices.Clone(without), name)
	steps := [][]string{with}
	if again {
		steps = [][]string{with, without, with}
	}
	for _, s.extra = range steps {
		if err := s.put(s.config+1, "app", 3*recoverBound); err != nil {
			s.t.bad("CONFIG: %v", err)
			return false
		}
		s.acknowledge()
	}
	return true
}

// lotOn hands a lot in on a new route, first at one machine, and reads it to its end.
func (s *soak) lotOn(name string, first int) {
	run := &lotRun{day: s.day, id: s.id("l"), step: 1, tokens: map[string]int{}, listed: map[string]bool{}, route: name, first: first, began: time.Now()}
	run.play()
}

// lateRoute says whether a machine may still answer that it does not know the lot's route.
func (r *lotRun) lateRoute(code int) bool {
	return r.route != syncRoute && code == 404 && time.Since(r.began) < applyBound
}

// syncRoute is the route that the usual trainers use.
const syncRoute = "sync"

func (r *lotRun) path(rest string) string { return fmt.Sprint("/", r.route, "/", rest) }
