package route

import (
	"math/rand"
	"slices"

	"fernlink/api"
)

// Turns shares the requests of split routes out among their pools, by smooth weighted
// round robin: at any time each pool has had its share of this node's requests to within
// one. Each node begins at a point of its own, so that a fleet's nodes don't all begin
// with the same pool.
type Turns struct {
	random *rand.Rand
	routes map[string]*turn // by the route's name
}

// turn is one route's state: what each pool is owed, in shares of a request.
type turn struct {
	split []api.Share
	owed  []int
	total int
}

// turnsMost bounds the routes whose state is kept; beyond it all begin anew.
const turnsMost = 4096

// stepsMost bounds how far into a round a node begins.
const stepsMost = 1000

// NewTurns has given no turn.
func NewTurns(random *rand.Rand) *Turns {
	return &Turns{random: random, routes: map[string]*turn{}}
}

// Pick gives the pool of one request.
func (t *Turns) Pick(r *Route) string {
	if len(r.Split) == 0 {
		return r.Pool
	}
	state := t.routes[r.Name]
	if state == nil || !slices.Equal(state.split, r.Split) {
		state = t.begin(r)
	}
	if state.total == 0 {
		return r.Pool
	}
	return state.split[state.next()].Pool
}

// begin makes a route's state, some way into its round.
func (t *Turns) begin(r *Route) *turn {
	if len(t.routes) >= turnsMost {
		clear(t.routes)
	}
	state := &turn{split: r.Split, owed: make([]int, len(r.Split))}
	for _, part := range r.Split {
		state.total += part.Share
	}
	if state.total > 0 {
		for range t.random.Intn(min(state.total, stepsMost)) {
			state.next()
		}
	}
	t.routes[r.Name] = state
	return state
}

// next gives the turn to the pool that is owed the most, the first of equals.
func (s *turn) next() int {
	best := 0
	for i, part := range s.split {
		s.owed[i] += part.Share
		if s.owed[i] > s.owed[best] {
			best = i
		}
	}
	s.owed[best] -= s.total
	return best
}
