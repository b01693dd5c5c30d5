package site

import (
	"context"
	"math/rand"
	"time"
)

// Bounds of a pause in a stream, as an engine makes it that has put a request back, and the
// event before which it comes.
const (
	shortestPause = 150 * time.Millisecond
	longestPause  = 900 * time.Millisecond
	pauseBefore   = 5
)

// pauseWhileFull has some engines pause amid streams while the others of their pool are full.
func pauseWhileFull(s *soak, random *rand.Rand, length time.Duration) {
	engines := s.enginesOf("llm")
	if len(engines) < 2 {
		return
	}
	at := random.Intn(len(engines))
	s.note("engine %s pauses in streams, the others are full", engines[at].id)
	for i, e := range engines {
		crowded := i != at && random.Intn(4) > 0
		e.mu.Lock()
		e.pauses, e.crowded = i == at, crowded
		e.mu.Unlock()
	}
	time.Sleep(length)
	for _, e := range engines {
		e.mu.Lock()
		e.pauses, e.crowded = false, false
		e.mu.Unlock()
	}
}

// repeatAnswers has whole answers of some engines come again, while they fail a part.
func repeatAnswers(s *soak, random *rand.Rand, length time.Duration) {
	engines := append(s.enginesOf("llm"), s.enginesOf("app")...)
	s.note("answers come again")
	for _, e := range engines {
		if random.Intn(3) == 0 {
			continue
		}
		e.mu.Lock()
		e.repeats, e.failEach, e.delay = true, 2+random.Intn(3), longestRepeat
		e.mu.Unlock()
	}
	time.Sleep(length)
	for _, e := range engines {
		e.mu.Lock()
		e.repeats, e.failEach, e.delay = false, 0, 0
		e.mu.Unlock()
	}
}

// enginesOf gives the engines of a pool.
func (s *site) enginesOf(pool string) []*engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*engine
	for _, e := range s.engines {
		if e.pool == pool {
			out = append(out, e)
		}
	}
	return out
}

// pause holds a stream up, and says whether its caller is still there.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(shortestPause + time.Duration(rand.Int63n(int64(longestPause-shortestPause)))):
		return true
	}
}

// brokenOff judges a stream that was begun and ended early. A process that is killed, or frozen,
// owes nothing; one that goes on, or stops in order, owes what an engine is at work on.
func (d *day) brokenOff(m *machine, p *process, id string, sent time.Time, limit time.Duration) {
	took := time.Since(sent)
	if took >= limit || m.wasFrozen(sent) {
		return
	}
	p.endsWithin(stopGrace)
	if p.killed.Load() || p.isOver() && !p.endedInOrder() {
		return
	}
	d.t.mu.Lock()
	ended := d.t.ends[id]
	runs := d.t.runs[id]
	d.t.mu.Unlock()
	if ended {
		return
	}
	d.t.bad("LOST: the stream %s at %s was broken off after %v; it was at %d engines, and none had ended it", id, m.name, took.Round(time.Millisecond), runs)
}
