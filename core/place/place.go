// Package place chooses the engine for one generation (design 8.2). It keeps no state:
// a policy gets what is to be placed and the usable engines, and gives an index. core/disp
// calls it; a new policy is one function and one row in Policies.
package place

import (
	"fernlink/core/prefix"
	"fernlink/core/sorted"
)

// Seat is one usable engine as a policy sees it.
type Seat struct {
	ID    string
	Zone  string
	Busy  int // generations on it, as reported or as known here, the greater
	Slots int
	Local int // blocks of the prompt held there, by this dispatcher's own table
	Index int // the same by the index's advice
}

// Want is what is to be placed.
type Want struct {
	Name   string // the group, for rendezvous
	Blocks int
	Dice   uint64
}

// Policy gives the place of the chosen seat, or -1 for none now.
type Policy func(Want, []Seat) int

// Policies by name; a plan names one (design 6.1).
var Policies = map[string]Policy{
	"prefix": Prefix,
	"random": Random,
	"least":  Least,
}

// Names lists the policies.
func Names() []string {
	return sorted.Keys(Policies)
}

func free(s Seat) bool { return s.Busy < s.Slots }

// Bound is how far above the mean usage a seat may be taken by rendezvous.
const Bound = 1.25

// Prefix takes the longest local hit, else the index's, else rendezvous
// bounded by usage.
func Prefix(want Want, seats []Seat) int {
	if i := longest(seats, func(s Seat) int { return s.Local }); i >= 0 {
		return i
	}
	if i := longest(seats, func(s Seat) int { return s.Index }); i >= 0 {
		return i
	}
	busy, slots := 1, 0
	for _, s := range seats {
		busy += s.Busy
		slots += s.Slots
	}
	best := -1
	for i, s := range seats {
		over := float64(s.Busy+1)*float64(slots) > Bound*float64(busy)*float64(s.Slots)+float64(slots)
		if !free(s) || over {
			continue
		}
		if best < 0 || prefix.Weight(want.Name, s.ID) > prefix.Weight(want.Name, seats[best].ID) {
			best = i
		}
	}
	if best < 0 {
		return Least(want, seats)
	}
	return best
}

func longest(seats []Seat, of func(Seat) int) int {
	best := -1
	for i, s := range seats {
		if of(s) == 0 || !free(s) {
			continue
		}
		if best < 0 || of(s) > of(seats[best]) || of(s) == of(seats[best]) && s.Busy < seats[best].Busy {
			best = i
		}
	}
	return best
}

// Random is a baseline.
func Random(want Want, seats []Seat) int {
	var open []int
	for i, s := range seats {
		if free(s) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	return open[want.Dice%uint64(len(open))]
}

// Least is a baseline: the seat with the smallest share of its slots taken.
func Least(_ Want, seats []Seat) int {
	best := -1
	for i, s := range seats {
		if !free(s) {
			continue
		}
		if best < 0 || s.Busy*seats[best].Slots < seats[best].Busy*s.Slots {
			best = i
		}
	}
	return best
}
