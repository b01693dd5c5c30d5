//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["abandoned"] = abandoned }

// Times of a round: how long the storage machine stands still, when the lot comes after the
// configuration's acknowledgement, and the pause between two rounds.
const (
	freezeTime  = 700 * time.Millisecond
	lotAfterAck = 150 * time.Millisecond
	roundPause  = 3 * time.Second
	rounds      = 10
	lotsEach    = 3
)

// abandoned: the operator adds a route for lots, and a trainer hands in a lot there, while
// the storage machine that runs the service's lots stands still for a moment. A lot that was
// accepted must not be given up at once.
func abandoned(f *fleet, trouble bool) int {
	routes := []route{appRoute("r-app", "/book/", "idempotent"), lotRoute("r-0", "/sync0/")}
	if f.startAll() != nil || !f.putConfig(0, 1, routes...) || !f.waitReady(20*time.Second) {
		return notRun
	}
	for n := 1; n <= rounds; n++ {
		code := f.abandonedRound(n, &routes, trouble)
		if code != held {
			return code
		}
		time.Sleep(roundPause)
	}
	return held
}

func (f *fleet) abandonedRound(n int, routes *[]route, trouble bool) int {
	edges := f.edges()
	before := newLot(fmt.Sprintf("/sync%d/", n-1), n-1, 1, 2, 4, 600)
	if before.send(edges[3+n%3], 2*time.Second) != 202 || len(before.readAll(edges[4], 10*time.Second)) != len(before.items) {
		return notRun
	}
	owner := f.ownerOfLots()
	before.end(edges[5])
	if owner == nil {
		note("no storage machine owns the lot")
		return notRun
	}
	time.Sleep(time.Second)
	if trouble {
		owner.signal(syscall.SIGSTOP)
		note("round %d: %s stands still", n, owner.name)
	}
	frozen := time.Now()
	*routes = append(*routes, lotRoute(fmt.Sprintf("r-%d", n), fmt.Sprintf("/sync%d/", n)))
	acked := f.putConfig(n, n+1, *routes...)
	since := time.Now()
	time.Sleep(lotAfterAck)
	next := make([]*lot, lotsEach)
	accepted := true
	for i := range next {
		next[i] = newLot(fmt.Sprintf("/sync%d/", n), n, 1, 1, 4, 16)
		code := 0
		for try := 0; code != 202 && try < 5; try++ {
			code = next[i].send(edges[3+(i+try)%3], 2*time.Second)
		}
		accepted = accepted && code == 202
	}
	time.Sleep(max(0, freezeTime-time.Since(frozen)))
	if trouble {
		owner.signal(syscall.SIGCONT)
		note("%s goes on after %v", owner.name, time.Since(frozen).Round(time.Millisecond))
	}
	if !acked || !accepted {
		return notRun
	}
	result := held
	for _, l := range next {
		result = max(result, f.checkKept(l, since.Add(lotAfterAck)))
	}
	return result
}

// checkKept reads a lot and ends it: an item may be complete, and nothing else.
func (f *fleet) checkKept(l *lot, handedIn time.Time) int {
	given, whole := 0, 0
	for _, r := range l.readAll(f.edges()[4], 20*time.Second) {
		if r.State == "abandoned" {
			given++
			note("item %s is abandoned, read %v after its lot was handed in; it was at engines %d times", r.InstanceId, time.Since(handedIn).Round(time.Millisecond), len(f.engines.runsOf(r.InstanceId)))
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

// ownerOfLots gives the storage machine that owns an open lot.
func (f *fleet) ownerOfLots() *machine {
	for _, m := range f.storages() {
		if m.lotsOwned() > 0 {
			return m
		}
	}
	return nil
}
