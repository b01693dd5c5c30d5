// Package sim is the one simulator (design 3.2): the real cores and the real
// wiring over a virtual clock, network and disk, all from one seed.
package sim

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
	"time"
)

// World is virtual time and everything in it.
type World struct {
	Seed int64
	Rand *rand.Rand
	Now  time.Duration

	queue    events
	seq      uint64
	Net      Net
	Hosts    []*Host
	at       map[string]*Host // by peer address
	web      map[string]*Host
	Out      *Outside
	Voters   int    // wanted, 0 for the usual number
	Trace    uint64 // hash of all that happened, to prove replays
	Marks    []string
	Kinds    map[string]int // faults caused, by kind
	orders   []givenOrder   // that were acknowledged to operators
	repeats  int            // of them
	requests int            // request ids that operators made up
	lost     int            // store machines lost with their disks
	lostAt   time.Duration
	mended   time.Duration
	Bad      []string // what checkers found
}

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// New is an empty world.
func New(seed int64) *World {
	w := &World{Seed: seed, Rand: rand.New(rand.NewSource(seed)), at: map[string]*Host{}, web: map[string]*Host{}, Kinds: map[string]int{}}
	w.Net = Net{w: w, cut: map[string]bool{}, links: map[string]*link{}, thin: map[string]int{}, lanes: map[string]*lane{}, last: map[string]time.Duration{}, Least: 200 * time.Microsecond, Most: 3 * time.Millisecond}
	return w
}

// After does f later.
func (w *World) After(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now + max(d, 0), w.seq, f})
}

// Every does f again and again until it says stop.
func (w *World) Every(d time.Duration, f func() bool) {
	w.After(d, func() {
		if f() {
			w.Every(d, f)
		}
	})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = end
}

// Until lets time pass until ok, at most d, and says whether it came to be.
func (w *World) Until(d time.Duration, ok func() bool) bool {
	end := w.Now + d
	for w.Now < end {
		if ok() {
			return true
		}
		w.Run(min(20*time.Millisecond, end-w.Now))
	}
	return ok()
}

// Wrong notes something that must never happen.
func (w *World) Wrong(format string, a ...any) {
	if len(w.Bad) < 20 {
		w.Bad = append(w.Bad, fmt.Sprintf("%v ", w.Now)+fmt.Sprintf(format, a...))
	}
}

// Mark notes what was done to the fleet.
func (w *World) Mark(kind, format string, a ...any) {
	w.Kinds[kind]++
	w.Marks = append(w.Marks, fmt.Sprintf("%v %s ", w.Now, kind)+fmt.Sprintf(format, a...))
}

func (w *World) trace(parts ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, w.Trace, w.Now)
	fmt.Fprint(h, parts...)
	w.Trace = h.Sum64()
}

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.Rand.Int63n(int64(b-a)+1))
}
