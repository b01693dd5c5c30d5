//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["abandoned"] = abandoned }

// Times of a round: when trainers begin with a route after its acknowledgement, without and
// with the disruption, and for how long they try.
const (
	calmAfterAck  = 3 * time.Second
	tryPause      = 3 * time.Millisecond
	trySpan       = 500 * time.Millisecond
	abandonRounds = 15
)

// abandoned: the operator adds a route for lots, and trainers hand in lots there as soon as
// it is acknowledged. A lot that was accepted must not be given up.
func abandoned(f *fleet, trouble bool) int {
	routes := []route{appRoute("r-app", "/book/", "idempotent"), lotRoute("r-0", "/sync0/")}
	if f.startAll() != nil || !f.putConfig(0, 1, routes...) || !f.waitReady(20*time.Second) {
		return notRun
	}
	time.Sleep(4 * time.Second)
	accepted := 0
	for n := 1; n <= abandonRounds; n++ {
		routes = append(routes, lotRoute(fmt.Sprintf("r-%d", n), fmt.Sprintf("/sync%d/", n)))
		if !f.putConfig(n, n+1, routes...) {
			return notRun
		}
		acked := time.Now()
		if !trouble {
			time.Sleep(calmAfterAck)
		}
		lots := f.handIn(n)
		accepted += len(lots)
		result := held
		for _, l := range lots {
			result = max(result, f.checkKept(l, acked))
		}
		if result != held {
			return result
		}
		time.Sleep(time.Second)
	}
	if accepted == 0 {
		return notRun
	}
	return held
}

// handIn has a trainer at each edge machine hand in a lot on the route of a round. A lot that
// is answered with 404 is not sent again; the trainer goes on with another.
func (f *fleet) handIn(n int) (accepted []*lot) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range f.edges() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for end := time.Now().Add(trySpan); time.Now().Before(end); time.Sleep(tryPause) {
				l := newLot(fmt.Sprintf("/sync%d/", n), n, 1, 1, 4, 16)
				if l.send(m, 2*time.Second) == 202 {
					mu.Lock()
					accepted = append(accepted, l)
					mu.Unlock()
					return
				}
			}
		}()
	}
	wg.Wait()
	return accepted
}

// checkKept reads a lot and ends it: an item may be complete, and nothing else.
func (f *fleet) checkKept(l *lot, acked time.Time) int {
	given, whole := 0, 0
	for _, r := range l.readAll(f.edges()[4], 20*time.Second) {
		if r.State == "abandoned" {
			given++
			note("item %s is abandoned, read %v after the configuration's acknowledgement; it was at engines %d times", r.InstanceId, time.Since(acked).Round(time.Millisecond), len(f.engines.runsOf(r.InstanceId)))
		} else {
			whole++
		}
	}
	note("lot %s of %d items on a route with MaxWaitS 40 that no configuration took back: %d complete, %d abandoned", l.id, len(l.items), whole, given)
	l.end(f.edges()[5])
	switch {
	case given > 0:
		return broken
	case whole < len(l.items):
		note("not all was listed in 20 s")
	}
	return held
}
