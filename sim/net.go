package sim

import "time"

// Net is the virtual network between named ends: hosts by peer address,
// engines by id, and "outside" for callers.
type Net struct {
	w           *World
	cut         map[string]bool
	last        map[string]time.Duration
	Least, Most time.Duration
	Late        float64                      // share of lines that come late by up to a second
	Twice       float64                      // share of lines that come twice
	Count       func(kind string, bytes int) // sees each line between peers
}

// Cut stops everything from one end to another, one way.
func (n *Net) Cut(from, to string) { n.cut[from+">"+to] = true }

// Join undoes a cut.
func (n *Net) Join(from, to string) { delete(n.cut, from+">"+to) }

// Heal undoes all cuts.
func (n *Net) Heal() { n.cut = map[string]bool{}; n.Late, n.Twice = 0, 0 }

// Split cuts two groups from each other, both ways.
func (n *Net) Split(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Cut(x, y)
			n.Cut(y, x)
		}
	}
}

// Open says whether anything passes.
func (n *Net) Open(from, to string) bool { return !n.cut[from+">"+to] }

// Lag is one message's way. Lines between two ends keep their order, as on
// one connection, unless they are made late.
func (n *Net) Lag(from, to string) time.Duration {
	d := n.w.between(n.Least, n.Most)
	at := max(n.w.Now+d, n.last[from+">"+to]+1)
	n.last[from+">"+to] = at
	return at - n.w.Now
}

// Flow is one piece of a connection's bytes: in order, once, if the way is
// open.
func (n *Net) Flow(from, to string, f func()) bool {
	if !n.Open(from, to) {
		return false
	}
	n.w.After(n.Lag(from, to), f)
	return true
}

// Send does f at the other end, if it gets there. Lines between peers may
// come late or twice, since connections break and are made anew.
func (n *Net) Send(from, to string, f func()) {
	if !n.Open(from, to) {
		return
	}
	d := n.Lag(from, to)
	if n.Late > 0 && n.w.Rand.Float64() < n.Late {
		d += n.w.between(0, time.Second)
	}
	n.w.After(d, f)
	if n.Twice > 0 && n.w.Rand.Float64() < n.Twice {
		n.w.After(d+n.w.between(0, 500*time.Millisecond), f)
	}
}
