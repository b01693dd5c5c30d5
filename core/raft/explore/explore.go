package explore

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Bound ends an exploration.
type Bound struct {
	Depth  int           // actions from the start; the scenario's own when zero
	States int           // states visited; no bound when zero
	Time   time.Duration // no bound when zero
}

// Result is what an exploration found.
type Result struct {
	Scenario    string
	States      int
	Transitions int
	Depth       int  // all states up to so many actions were visited
	Complete    bool // no further state exists within the scenario's limits
	Truncated   bool // a bound ended it before the scenario's depth
	Elapsed     time.Duration
	Violation   error  // the invariant that does not hold, or nil
	Trace       string // how it came to it
}

// String gives the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("%-14s states %9d transitions %10d depth %3d complete %-5v truncated %-5v %8.2f s",
		r.Scenario, r.States, r.Transitions, r.Depth, r.Complete, r.Truncated, r.Elapsed.Seconds())
}

// shards part the set of visited states, so that workers seldom meet.
const shards = 64

type visitedSet [shards]struct {
	sync.Mutex
	hashes map[uint64]struct{}
}

// add notes a state and says whether it is new.
func (v *visitedSet) add(hash uint64) bool {
	shard := &v[hash%shards]
	shard.Lock()
	defer shard.Unlock()
	if _, seen := shard.hashes[hash]; seen {
		return false
	}
	if shard.hashes == nil {
		shard.hashes = map[uint64]struct{}{}
	}
	shard.hashes[hash] = struct{}{}
	return true
}

// explorer is one run.
type explorer struct {
	visited     visitedSet
	states      atomic.Int64
	transitions atomic.Int64
	stop        atomic.Bool
	mutex       sync.Mutex
	violated    *state
	maxStates   int64
	deadline    time.Time
}

// Run explores a scenario breadth first.
func Run(scenario Scenario, bound Bound) Result {
	started := time.Now()
	x := &explorer{maxStates: int64(bound.States)}
	if bound.Time > 0 {
		x.deadline = started.Add(bound.Time)
	}
	depth := bound.Depth
	if depth == 0 {
		depth = scenario.Depth
	}
	result := Result{Scenario: scenario.Name}
	frontier := x.keep(scenario.start())
	for len(frontier) > 0 && result.Depth < depth && !x.stop.Load() {
		frontier = x.level(frontier)
		if !x.stop.Load() {
			result.Depth++
		}
	}
	result.States, result.Transitions = int(x.states.Load()), int(x.transitions.Load())
	result.Elapsed = time.Since(started)
	result.Complete = len(frontier) == 0 && !x.stop.Load()
	result.Truncated = x.stop.Load()
	if x.violated != nil {
		result.Violation, result.Trace = x.violated.violated, x.violated.trace.String()
	}
	return result
}

// level expands the states of one depth and gives the new ones of the next.
func (x *explorer) level(frontier []*state) []*state {
	workers := runtime.GOMAXPROCS(0)
	found := make([][]*state, workers)
	var next atomic.Int64
	var wait sync.WaitGroup
	for worker := range workers {
		wait.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(frontier)) && !x.stop.Load(); i = next.Add(1) - 1 {
				found[worker] = append(found[worker], x.expand(frontier[i])...)
				frontier[i] = nil
			}
		})
	}
	wait.Wait()
	var all []*state
	for _, states := range found {
		all = append(all, states...)
	}
	return all
}

func (x *explorer) expand(s *state) []*state {
	if !x.deadline.IsZero() && time.Now().After(x.deadline) {
		x.stop.Store(true)
		return nil
	}
	successors := s.successors()
	x.transitions.Add(int64(len(successors)))
	var fresh []*state
	for _, next := range successors {
		fresh = append(fresh, x.keep(next)...)
	}
	return fresh
}

// keep checks a state that was not seen before and gives it, or none.
func (x *explorer) keep(s *state) []*state {
	if s.violated == nil && !x.visited.add(s.hash()) {
		return nil
	}
	count := x.states.Add(1)
	s.check()
	if s.violated != nil {
		x.fail(s)
		return nil
	}
	if x.maxStates > 0 && count >= x.maxStates {
		x.stop.Store(true)
	}
	return []*state{s}
}

// fail keeps the first state in which an invariant does not hold.
func (x *explorer) fail(s *state) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.violated == nil {
		x.violated = s
	}
	x.stop.Store(true)
}
