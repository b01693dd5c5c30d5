package sim

import (
	"time"

	"fernlink/core/flow"
)

// As in shell/link: lines with entries and long lines go by a connection of
// their own, on which so many may wait.
const (
	bulkBytes = 16 << 10
	bulkQueue = 64
)

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
	thin        map[string]int               // bytes a second of bulk, to and from an end
	lanes       map[string]*lane
}

// lane is the bulk connection from one end to another over a thin link.
type lane struct {
	waiting []parcel
	busy    bool
}

type parcel struct {
	size    int
	deliver func()
}

// Thin gives an end's link a rate in bytes a second, both ways; 0 ends that.
func (n *Net) Thin(end string, rate int) {
	if rate == 0 {
		delete(n.thin, end)
		return
	}
	n.thin[end] = rate
}

// rate gives the bytes a second between two ends, or 0 where nothing limits them.
func (n *Net) rate(from, to string) int {
	a, b := n.thin[from], n.thin[to]
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Line sends a line between peers. Over a thin link bulk takes its time, one
// line after the other; of those that wait the oldest is dropped for the newest.
func (n *Net) Line(from, to string, line flow.Line, deliver func()) {
	bulk := line.Kind == flow.Entries || len(line.Body) > bulkBytes
	key := from + ">" + to
	if !bulk || n.rate(from, to) == 0 && n.lanes[key] == nil {
		n.Send(from, to, deliver)
		return
	}
	l := n.lanes[key]
	if l == nil {
		l = &lane{}
		n.lanes[key] = l
	}
	l.waiting = append(l.waiting, parcel{len(line.Body), deliver})
	if len(l.waiting) > bulkQueue {
		l.waiting = l.waiting[1:]
	}
	n.carry(from, to, l)
}

// carry moves the lane's first parcel, and then the next.
func (n *Net) carry(from, to string, l *lane) {
	if l.busy {
		return
	}
	if len(l.waiting) == 0 {
		delete(n.lanes, from+">"+to)
		return
	}
	first := l.waiting[0]
	l.waiting, l.busy = l.waiting[1:], true
	took := time.Duration(0)
	if rate := n.rate(from, to); rate > 0 {
		took = time.Duration(first.size) * time.Second / time.Duration(rate)
	}
	n.w.After(took, func() {
		l.busy = false
		n.Send(from, to, first.deliver)
		n.carry(from, to, l)
	})
}

// Cut stops everything from one end to another, one way.
func (n *Net) Cut(from, to string) { n.cut[from+">"+to] = true }

// Join undoes a cut.
func (n *Net) Join(from, to string) { delete(n.cut, from+">"+to) }

// Heal undoes all cuts.
func (n *Net) Heal() { n.cut, n.thin, n.Late, n.Twice = map[string]bool{}, map[string]int{}, 0, 0 }

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
