//go:build review

package main

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["window"] = windowCase }

// Load and length of the case.
const (
	windowEdges   = 8                      // edge machines without a disk, beside three with one
	windowClients = 10                     // of each edge machine
	windowThink   = 100 * time.Millisecond // between a client's answer and its next request
	windowWork    = 10 * time.Millisecond
	windowLength  = 95 * time.Second
	windowGap     = time.Second // between one SIGTERM and the next, at another machine
	slack         = 200 * time.Millisecond
)

// windowCase stops edge machines in turn and starts them again, while clients call them.
func windowCase(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec, windowEdges, true, func(_, path string) time.Duration { return windowWork })
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	rec.quiet(true) // engines' lines of each of some 50,000 requests are left out
	var over atomic.Bool
	var lost, asked, answered, refused, crossed atomic.Int64
	var ids atomic.Int64
	var all sync.WaitGroup
	client := func(m *machine) {
		defer all.Done()
		for !over.Load() {
			time.Sleep(time.Duration(rand.Int63n(int64(2 * windowThink))))
			c, err := dial(m.front())
			if err != nil {
				refused.Add(1)
				continue
			}
			id := fmt.Sprintf("c%015x", ids.Add(1))
			asked.Add(1)
			sent := time.Now()
			code, _, _, err := exchange(c, "POST", oncePath+"x", hostName, map[string]string{"Attempt-Id": id, "Time-Left-Ms": "2000"}, "book "+id, 3*time.Second, false)
			took := time.Since(sent)
			_ = c.Close()
			runs := f.runs.count(id)
			switch {
			case err == nil && code != 0:
				answered.Add(1)
			case runs > 0:
				lost.Add(1)
				rec.note("LOST: %s at %s was passed on to an engine, and got no answer: %v after %.3f s", id, m.name, err, took.Seconds())
			case took > slack:
				lost.Add(1)
				rec.note("LOST: %s at %s was not passed on, and its connection ended without an answer %.3f s after its last byte was sent: %v", id, m.name, took.Seconds(), err)
			default:
				crossed.Add(1)
			}
		}
	}
	for _, m := range f.edges {
		for range windowClients {
			all.Add(1)
			go client(m)
		}
	}
	began, stops := time.Now(), 0
	var rolls sync.WaitGroup
	for n := 0; time.Since(began) < windowLength; n++ {
		m := f.edges[n%len(f.edges)]
		if trouble {
			stops++
			rolls.Add(1)
			go func() {
				defer rolls.Done()
				f.stop(m)
				time.Sleep(200 * time.Millisecond)
				if err := f.launch(m, false); err != nil {
					rec.note("%s: %v", m.name, err)
				}
			}()
		}
		time.Sleep(windowGap)
	}
	rolls.Wait()
	over.Store(true)
	all.Wait()
	rec.note("%d stops; %d requests were sent, %d answered, %d cut within %v without being passed on, %d lost; %d connections were refused", stops, asked.Load(), answered.Load(), crossed.Load(), slack, lost.Load(), refused.Load())
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
