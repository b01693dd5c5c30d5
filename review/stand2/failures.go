//go:build review

package main

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

func init() { cases["failures"] = failures }

// The doubled answers: how late the second copy comes, how long the second run of such an
// item takes, and how many items of a lot have one.
const (
	copyLate    = 30 * time.Millisecond
	secondRun   = 80 * time.Millisecond
	doubledMost = 7
	failureLots = 6
)

// troubled are the engines that send a copy: half of the eight.
var troubled = []string{
	"Engine-Seal: i-assistant-llm-0.", "Engine-Seal: i-assistant-llm-2.", "Engine-Seal: i-assistant-llm-4.", "Engine-Seal: i-assistant-llm-6.",
}

const (
	itemsBetween = 34 // from one chosen item to the next
)

// failures: the first two runs of a few items are answered with 500, the third would make
// the text. The first of these answers comes a second time on its connection. The copy
// belongs to no request: an item may be given up after MaxTries (3) answers of 500 alone.
func failures(f *fleet, trouble bool) int {
	if f.startAll() != nil || !f.putConfig(0, 1, appRoute("r-app", "/book/", "idempotent"), lotRoute("r-0", "/sync/")) || !f.waitReady(20*time.Second) {
		return notRun
	}
	for n := range failureLots {
		if code := f.failureLot(n, trouble); code != held {
			return code
		}
	}
	return held
}

func (f *fleet) failureLot(n int, trouble bool) int {
	l := newLot("/sync/", n, 1, 30, 8, 600)
	chosen := map[string]bool{}
	for i := range doubledMost {
		chosen[l.items[i*itemsBetween]] = true
	}
	var mu sync.Mutex
	doubled := map[string]bool{}
	f.engines.delay = func(id string, nth int) time.Duration {
		if chosen[id] && nth == 2 {
			return secondRun
		}
		return 0
	}
	f.engines.fails = func(id string, nth int) int {
		if chosen[id] && nth <= 2 {
			return 500
		}
		return 0
	}
	f.engines.again = func(answer []byte) time.Duration {
		inTrouble := slices.ContainsFunc(troubled, func(seal string) bool { return bytes.Contains(answer, []byte(seal)) })
		if !trouble || !inTrouble || !bytes.HasPrefix(answer, []byte("HTTP/1.1 500")) {
			return 0
		}
		mu.Lock()
		defer mu.Unlock()
		for id := range chosen {
			if bytes.Contains(answer, []byte(id)) && !doubled[id] {
				doubled[id] = true
				note("the answer of 500 to %s comes again in %v", id, copyLate)
				return copyLate
			}
		}
		return 0
	}
	if l.send(f.edges()[3], 3*time.Second) != 202 {
		return notRun
	}
	results := l.readAll(f.edges()[4], 15*time.Second)
	result, given := held, 0
	for _, r := range results {
		if r.State == "complete" {
			continue
		}
		given++
		failed := 0
		runs := f.engines.runsOf(r.InstanceId)
		for _, run := range runs {
			if run.failed == 500 {
				failed++
			}
		}
		note("item %s is %s; it ran %d times, %d of them answered with 500; MaxTries is 3", r.InstanceId, r.State, len(runs), failed)
		if failed < 3 {
			result = broken
		}
	}
	note("lot %s: %d of %d listed, %d abandoned; %d answers came twice", l.id, len(results), len(l.items), given, len(doubled))
	l.end(f.edges()[5])
	return result
}
