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

// Manner is what becomes of the lines of a link that is cut.
type Manner string

// Manners of a cut. A shell tells its core nothing of a peer's connection, so
// to a core they differ in which lines arrive and when.
const (
	Silent  Manner = "silent"  // lines are lost from the cut on
	Reset   Manner = "reset"   // those that were on their way are lost, too
	Refused Manner = "refused" // lines are lost for a while after the join, too: the peer is tried again with a pause
	Held    Manner = "held"    // the newest lines wait and arrive after the join
)

// Manners lists them all.
var Manners = []Manner{Silent, Reset, Refused, Held}

// heldMost is how many lines a link that is cut keeps, as the queue of a peer
// does (design 5.1); retryPause is the longest pause before a peer that refused
// is tried again.
const (
	heldMost   = 512
	retryPause = 500 * time.Millisecond
)

// link is the state of one direction between two ends that was ever cut.
type link struct {
	manner Manner
	resets int           // counts the resets, so that lines on their way are known as lost
	opens  time.Duration // nothing passes before
	held   []func()
}

// Net is the virtual network between named ends: hosts by peer address,
// engines by id, and "outside" for callers.
type Net struct {
	w           *World
	cut         map[string]bool
	links       map[string]*link
	last        map[string]time.Duration
	Least, Most time.Duration
	Late        float64                      // share of lines that come late by up to a second
	Twice       float64                      // share of lines that come twice
	Count       func(kind string, bytes int) // sees each line between peers
	Damage      func(flow.Line) flow.Line    // what becomes of a line between peers on its way
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
func (n *Net) Cut(from, to string) { n.CutBy(Silent, from, to) }

// CutBy stops everything from one end to another, one way, in a manner.
func (n *Net) CutBy(manner Manner, from, to string) {
	key := from + ">" + to
	n.cut[key] = true
	if manner == Silent && n.links[key] == nil {
		return
	}
	l := n.link(key)
	l.manner = manner
	if manner == Reset {
		l.resets++
	}
}

func (n *Net) link(key string) *link {
	if n.links[key] == nil {
		n.links[key] = &link{manner: Silent}
	}
	return n.links[key]
}

// Join undoes a cut.
func (n *Net) Join(from, to string) {
	key := from + ">" + to
	if !n.cut[key] {
		return
	}
	delete(n.cut, key)
	l := n.links[key]
	if l == nil {
		return
	}
	if l.manner == Refused {
		l.opens = n.w.Now + n.w.between(0, retryPause)
	}
	held := l.held
	l.held = nil
	for _, deliver := range held {
		n.w.After(n.Lag(from, to), deliver)
	}
}

// Heal undoes all cuts; nothing that was held arrives.
func (n *Net) Heal() {
	n.cut, n.links, n.thin = map[string]bool{}, map[string]*link{}, map[string]int{}
	n.Late, n.Twice, n.Damage = 0, 0, nil
}

// passes says whether a line that is sent now arrives, and keeps it where the
// link holds its lines.
func (n *Net) passes(from, to string, deliver func()) bool {
	key := from + ">" + to
	l := n.links[key]
	if l == nil {
		return !n.cut[key]
	}
	if !n.cut[key] {
		return n.w.Now >= l.opens
	}
	if l.manner == Held {
		l.held = append(l.held, deliver)
		l.held = l.held[max(0, len(l.held)-heldMost):]
	}
	return false
}

// unlessReset gives a delivery that doesn't come about after a reset.
func (n *Net) unlessReset(from, to string, deliver func()) func() {
	l := n.links[from+">"+to]
	resets := 0
	if l != nil {
		resets = l.resets
	}
	return func() {
		if l := n.links[from+">"+to]; l != nil && l.resets > resets {
			return
		}
		deliver()
	}
}

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
	if !n.passes(from, to, f) {
		return
	}
	f = n.unlessReset(from, to, f)
	d := n.Lag(from, to)
	if n.Late > 0 && n.w.Rand.Float64() < n.Late {
		d += n.w.between(0, time.Second)
	}
	n.w.After(d, f)
	if n.Twice > 0 && n.w.Rand.Float64() < n.Twice {
		n.w.After(d+n.w.between(0, 500*time.Millisecond), f)
	}
}
