package site

import (
	"math/rand"
	"time"

	"github.com/go-json-experiment/json/v1"
)

// Bounds of the time that weight orders need to reach their engines.
const (
	shortestWay = 200 * time.Millisecond
	longestWay  = time.Second
)

// longWay has weight orders take a while to reach their engines, and stops the machine that
// gives them while one is on its way. The next holder's orders arrive at once.
func longWay(s *soak, random *rand.Rand, length time.Duration) {
	s.setWay(shortestWay + time.Duration(random.Int63n(int64(longestWay-shortestWay))))
	defer s.setWay(0)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if s.ordersOnTheWay() == 0 {
			continue
		}
		holder := s.actingCoordinator()
		if holder == nil {
			continue
		}
		s.setWay(0)
		s.note("%s, which gives orders, has one on its way", holder.name)
		s.stopOne(holder, random)
		return
	}
}

// setWay sets how long orders that are sent from now on are on their way.
func (s *soak) setWay(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.mu.Lock()
		e.far = length
		e.mu.Unlock()
	}
}

// ordersOnTheWay counts the orders that have not reached their engines.
func (s *soak) ordersOnTheWay() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, e := range s.engines {
		e.mu.Lock()
		sum += e.onTheWay
		e.mu.Unlock()
	}
	return sum
}

// actingCoordinator gives the machine that gives orders, nil where none says so.
func (s *soak) actingCoordinator() *machine {
	for _, m := range s.storeMachines() {
		var status struct {
			Coordinator struct {
				Acting bool `json:"acting"`
			} `json:"coordinator"`
		}
		_, _, body, _ := s.ask("GET", "http://"+m.ip+adminPort+"/status", "", nil, nil, 300*time.Millisecond)
		if json.Unmarshal(body, &status) == nil && status.Coordinator.Acting {
			return m
		}
	}
	return nil
}

// travel holds an order back for as long as it is on its way.
func (e *engine) travel() {
	e.mu.Lock()
	far := e.far
	e.onTheWay++
	e.mu.Unlock()
	time.Sleep(far)
	e.mu.Lock()
	e.onTheWay--
	e.mu.Unlock()
}
