package route

import (
	"math"
	"math/rand"
	"testing"

	"fernlink/api"
)

// split is a route whose pools get these shares.
func split(shares ...int) *Route {
	r := &Route{Route: api.Route{Name: "r"}}
	for i, share := range shares {
		r.Split = append(r.Split, api.Share{Pool: string(rune('a' + i)), Share: share})
	}
	return r
}

// node gives what picks pools at one node.
func node(random *rand.Rand) func(*Route) string {
	return NewTurns(random).Pick
}

// Bounds of the test: how far a pool's share of some hundred requests may be off.
const (
	nodes      = 11
	requests   = 300
	offAtMost  = 0.03
	luckyDraws = 200
)

// Given a split route and requests that come to any of a fleet's nodes, when a few
// hundred have come, then each pool got its share, whatever the luck.
func TestASplitIsKeptOverAFewHundredRequests(t *testing.T) {
	for _, shares := range [][]int{{1, 1}, {9, 1}, {50, 30, 20}, {0, 7, 3}, {100, 1}} {
		total := 0
		for _, share := range shares {
			total += share
		}
		for seed := range luckyDraws {
			random := rand.New(rand.NewSource(int64(seed)))
			var fleet []func(*Route) string
			for range nodes {
				fleet = append(fleet, node(random))
			}
			r, got := split(shares...), map[string]int{}
			for range requests {
				got[fleet[random.Intn(nodes)](r)]++
			}
			for i, share := range shares {
				want, is := float64(share)/float64(total), float64(got[r.Split[i].Pool])/requests
				if math.Abs(want-is) > offAtMost {
					t.Fatalf("shares %v, seed %d: pool %d got %.3f, not %.3f", shares, seed, i, is, want)
				}
			}
		}
	}
}
