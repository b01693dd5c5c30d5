//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"sync"
	"syscall"
	"time"
)

func init() { cases["orders"] = orders }

// Times of a round: how long the path to an engine holds one order, and how soon after that
// order the machine that gave it is stopped in order.
const (
	orderHeld   = 600 * time.Millisecond
	stopAfter   = 10 * time.Millisecond
	orderRounds = 8
)

// orders: the machine that gives orders to engines is stopped in order while one of its
// orders is still on its way. No engine may get that order after one of the next holder.
func orders(f *fleet, trouble bool) int {
	f.fenced, f.engines.unfenced = false, true
	if f.startAll() != nil || !f.putConfig(0, 1, appRoute("r-app", "/book/", "idempotent"), lotRoute("r-0", "/sync/")) || !f.waitReady(20*time.Second) {
		return notRun
	}
	time.Sleep(4 * time.Second) // somebody holds the orders by now
	for n := range orderRounds {
		if code := f.orderRound(n+2, trouble); code != held {
			return code
		}
	}
	return held
}

func (f *fleet) orderRound(version int, trouble bool) int {
	var holder *machine
	for end := time.Now().Add(8 * time.Second); holder == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		holder = f.actingCoordinator()
	}
	if holder == nil {
		note("nobody holds the orders")
		return notRun
	}
	f.engines.mu.Lock()
	f.engines.orders = nil
	f.engines.mu.Unlock()
	var once sync.Once
	sent := make(chan struct{})
	f.engines.hold = func(order []byte) time.Duration {
		hold := time.Duration(0)
		if trouble && bytes.Contains(order, []byte("Revision")) {
			once.Do(func() {
				hold = orderHeld
				close(sent)
			})
		}
		return hold
	}
	if !f.nameVersion(version) {
		return notRun
	}
	if trouble {
		select {
		case <-sent:
		case <-time.After(3 * time.Second):
			return notRun
		}
		time.Sleep(stopAfter)
		holder.asked = true
		holder.signal(syscall.SIGTERM)
		note("%s, which gives the orders, gets SIGTERM while its first order of version %d is on its way", holder.name, version)
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && !f.engines.allHold(version); {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(orderHeld)
	result := f.checkFences()
	if trouble {
		<-holder.ended
		if f.write(holder, false) != nil || f.start(holder) != nil {
			return notRun
		}
		time.Sleep(5 * time.Second)
	}
	return result
}

// checkFences holds the orders of each engine against each other.
func (f *fleet) checkFences() int {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	result := held
	newest := map[string]orderNote{}
	for _, o := range f.engines.orders {
		note("order of version %d reached %s at %.3f s: fence %d, owner %s", o.revision, o.engine, o.at.Sub(record.began).Seconds(), o.fence, o.owner)
		before, any := newest[o.engine]
		if any && o.fence < before.fence {
			note("ONE: %s got fence %d of %s, %v after fence %d of %s", o.engine, o.fence, o.owner, o.at.Sub(before.at).Round(time.Millisecond), before.fence, before.owner)
			result = broken
		}
		if !any || o.fence >= before.fence {
			newest[o.engine] = o
		}
	}
	return result
}

// allHold says whether all engines of the model hold a version.
func (e *engines) allHold(version int) bool {
	for _, x := range e.all {
		x.mu.Lock()
		behind := x.pool == llmPool && x.version < version
		x.mu.Unlock()
		if behind {
			return false
		}
	}
	return true
}

// actingCoordinator gives the machine that gives orders now.
func (f *fleet) actingCoordinator() *machine {
	for _, m := range f.edges()[:3] {
		_, body, _ := call("GET", m.admin()+"/status", "", nil, nil, time.Second)
		var status struct {
			Coordinator struct {
				Acting bool `json:"acting"`
			} `json:"coordinator"`
		}
		if json.Unmarshal(body, &status) == nil && status.Coordinator.Acting {
			return m
		}
	}
	return nil
}
