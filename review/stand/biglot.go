//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["biglot"] = bigLotCase }

// The lot that the case is about: its size in bytes is under MaxBodyBytes (33,554,432).
const (
	bigItems     = 4000
	bigBody      = 5955            // bytes of an item's body before base64
	bigHeaders   = 12              // headers of the trainer's own on each item
	smallItems   = 40              // of the lot that takes its place without the trouble
	bigTries     = 3               // nodes that the second lot is sent to, one after the other
	calmTime     = 6 * time.Second // between the last of them and the end of the first lot
	ackTime      = 4 * time.Second
	cancelTime   = 3 * time.Second
	endedFor     = 10 * time.Second // how long the end of the first lot is asked for and watched
	firstGroups  = 190
	firstSize    = 8
	firstTokens  = 39
	firstPerItem = 30 * time.Millisecond // between events
)

// bigLotCase hands in one large lot while a step is under way, then ends the step and
// changes the configuration.
func bigLotCase(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec, 3, true, func(_, path string) time.Duration { return 10 * time.Millisecond })
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	for _, e := range f.engines {
		e.eventGap = firstPerItem
	}
	// A step is handed in and begins to run.
	first := "1a41e09b52d6a3f8"
	doc, ids := lotDoc(first, firstGroups, firstSize, 64, firstTokens, 1, 0)
	if code, text, err := putLot(f.edges[0], first, doc, 5*time.Second); code != 202 {
		return failed, fmt.Errorf("first lot: %d %s %v", code, text, err)
	}
	rec.note("lot %s of %d items was accepted", first, len(ids))
	time.Sleep(3 * time.Second)
	code, page, err := readLot(f.edges[1], first, 0, 2*time.Second)
	rec.note("lot %s: %d, %d results of %d, %v", first, code, page.NextToken, page.Total, err)
	if code != 200 || page.NextToken == 0 {
		return failed, fmt.Errorf("the first lot does not run")
	}
	// Another trainer hands in a lot.
	second := "7c41e09b52d6a3f8"
	items := smallItems
	if trouble {
		items = bigItems
	}
	big, _ := lotDoc(second, items, 1, bigBody, 8, 1, bigHeaders)
	rec.note("lot %s of %d items and %d bytes is handed in", second, items, len(big))
	if len(big) > 33554432 {
		return failed, fmt.Errorf("the lot is over MaxBodyBytes")
	}
	var all sync.WaitGroup
	for n := range bigTries {
		m := f.edges[n]
		code, text, err := putLot(m, second, big, 5*time.Second)
		rec.note("lot %s at %s: %d %.60s %v", second, m.name, code, text, err)
		if code == 202 || code/100 == 4 && code != 429 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(calmTime)
	// The trainer ends its step, and the operator changes the configuration.
	asked := time.Now()
	var acknowledged time.Time
	var mu sync.Mutex
	all.Add(2)
	go func() {
		defer all.Done()
		for n := 0; time.Since(asked) < endedFor; n++ {
			m := f.edges[n%len(f.edges)]
			code, _, text, err := call("DELETE", m.front(), "/lots/"+first, hostName, nil, "", 1500*time.Millisecond)
			rec.note("end of lot %s at %s: %d %.60s %v", first, m.name, code, text, err)
			if code == 200 {
				mu.Lock()
				acknowledged = time.Now()
				mu.Unlock()
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	var configTook time.Duration
	go func() {
		defer all.Done()
		if err := f.putConfig(3, 5, configuration(), endedFor); err != nil {
			rec.note("ACKS: %v within %v", err, endedFor)
		}
		configTook = time.Since(asked)
	}()
	before := map[string]int{}
	var late time.Duration
	time.Sleep(100 * time.Millisecond)
	for time.Since(asked) < endedFor+time.Second {
		mu.Lock()
		at := acknowledged
		mu.Unlock()
		bound := asked.Add(ackTime + cancelTime) // an end without an answer counts after AckMs
		if !at.IsZero() {
			bound = at.Add(cancelTime)
		}
		if time.Now().Before(bound) {
			for _, id := range ids {
				before[id] = f.runs.count(id)
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for _, id := range ids {
			if n := f.runs.count(id); n > before[id] {
				before[id] = n
				if late == 0 {
					late = time.Since(bound)
				}
				rec.note("UNASKED: item %s began to run %.3f s after the end of its lot counts as acknowledged and CancelMs is over", id, time.Since(bound).Seconds())
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	rec.note("the configuration took %.1f s", configTook.Seconds())
	// Whether it stays so.
	code, page, err = readLot(f.edges[1], first, 0, 2*time.Second)
	rec.note("lot %s: %d, %d results of %d, %v", first, code, page.NextToken, page.Total, err)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
