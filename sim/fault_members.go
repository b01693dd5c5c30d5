package sim

import "time"

// Troubles of a member that has to catch up: its disk and its link are slow at once,
// it starts several times in a row, and it does so amid its fetch of a snapshot.

// A disk that is thirty times slower than the others, and a link that carries about
// twice as much as ten changes a second of some 23 KB each.
const (
	slowDisk = 30 * time.Millisecond
	thinLink = 480_000
)

// slowDown gives a machine a slow disk and a thin link at once.
func (w *World) slowDown(h *Host) {
	h.Disk.Slow = slowDisk
	w.Net.Thin(h.Name, thinLink)
}

// speedUp undoes that, also where a start with an empty disk came in between.
func (w *World) speedUp(h *Host) {
	h.Disk.Slow = 0
	w.Net.Thin(h.Name, 0)
}

// slowDownFor slows a machine for a while, some more than others.
func (w *World) slowDownFor(h *Host, d time.Duration) {
	w.slowDown(h)
	h.Disk.Slow = w.between(slowDisk/6, 6*slowDisk)
	w.Net.Thin(h.Name, int(w.between(thinLink/4, thinLink)))
	w.After(d, func() { w.speedUp(h) })
}

// slowMember is a store machine whose disk and link are slow at once.
func (w *World) slowMember() {
	h, d := w.anyHost("store"), w.between(time.Second, 6*time.Second)
	w.Mark("slow-member", "%s for %v", h.Name, d)
	w.slowDownFor(h, d)
}

// restartTwice takes a store machine's power, and once more soon after it is back.
func (w *World) restartTwice() {
	h := w.anyHost("store")
	first, second := w.between(200*time.Millisecond, 3*time.Second), w.between(0, time.Second)
	between := w.between(0, 500*time.Millisecond)
	w.Mark("restart-twice", "%s for %v, and %v later for %v", h.Name, first, between, second)
	w.powerFor(h, first)
	w.After(first+between, func() { w.powerFor(h, second) })
}

// powerFor takes a machine's power for a while.
func (w *World) powerFor(h *Host, d time.Duration) {
	h.Lose(false)
	w.After(d, h.Start)
}

// wipedWhileSlow takes a store machine's disk; it comes back slow. It gives the
// machine, or nil where the fleet is not whole enough to lose a disk.
func (w *World) wipedWhileSlow() *Host {
	h := w.anyHost("store")
	if !w.mayLoseDisk() || !h.Up {
		return nil
	}
	w.lost, w.lostAt = w.lost+1, w.Now
	away, slow := w.between(200*time.Millisecond, 3*time.Second), w.between(2*time.Second, 10*time.Second)
	w.Mark("wiped-while-slow", "%s, blank at its address after %v, slow for %v", h.Name, away, slow)
	h.Lose(true)
	w.slowDownFor(h, away+slow)
	if w.Rand.Intn(2) == 0 {
		w.damagePieces(away + slow)
	}
	w.After(away, h.Start)
	return h
}

// amidFetch waits until a machine fetches a snapshot, and then a little; it gives up
// after a while.
func (w *World) amidFetch(h *Host, then func()) {
	limit := w.Now + 8*time.Second
	w.Every(tick, func() bool {
		if w.Now > limit {
			return false
		}
		if !h.Up || !h.Node.Stats(h.clock()).Store.Pulling {
			return true
		}
		w.After(w.between(0, 300*time.Millisecond), then)
		return false
	})
}

// restartAmidFetch has a machine that was wiped and is slow lose its power amid its
// fetch of the leader's snapshot.
func (w *World) restartAmidFetch() {
	h := w.wipedWhileSlow()
	if h == nil {
		return
	}
	w.amidFetch(h, func() {
		d := w.between(0, time.Second)
		w.Mark("restart-amid-fetch", "%s for %v", h.Name, d)
		w.powerFor(h, d)
	})
}

// damagePieces has pieces of snapshots damaged on their way for a while.
func (w *World) damagePieces(d time.Duration) {
	w.Mark("damaged-pieces", "for %v", d)
	w.Net.Damage = w.damagedPiece
	w.After(d, func() { w.Net.Damage = nil })
}
