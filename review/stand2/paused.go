//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["paused"] = paused }

// The streams: how many clients have one at each machine, how many events each has and how
// far apart, and the one pause in it, as an engine makes that has put a request back.
const (
	streamsEach  = 18
	streamEvents = 140
	streamGap    = 15 * time.Millisecond
	pauseAt      = 70
	pauseLength  = 250 * time.Millisecond
	pausedBelow  = '8' // the first digit of a stream that has a pause: half of them
	streamLimit  = 10 * time.Second
	filledAfter  = 3 * time.Second
	graceTime    = 8 * time.Second
	stopGap      = 1300 * time.Millisecond
)

// streamNote is what a client saw of one stream.
type streamNote struct {
	id          string
	at          *machine
	sent, ended time.Time
	status      int
	events      int
	whole       bool
}

// paused: resumable streams, some with a pause, run on engines that are full; three machines
// are stopped in order, one after the other. Their streams have all of GraceS to end.
func paused(f *fleet, trouble bool) int {
	stream := route{"Label": "r-st", "Hostname": siteHost, "PathPrefix": "/st/", "RouteKind": "streaming", "LimitMs": streamLimit.Milliseconds(), "TargetMs": 500, "Rank": 1, "Backend": llmPool,
		"MaxTries": 3, "Sticky": true, "Resumable": true}
	f.engines.pace = streamGap
	f.engines.events = func(string) int { return streamEvents }
	f.engines.pause = func(id string, event int) time.Duration {
		if event == pauseAt && id[0] < pausedBelow {
			return pauseLength
		}
		return 0
	}
	if f.startAll() != nil || !f.putConfig(0, 1, appRoute("r-app", "/book/", "idempotent"), stream) || !f.waitReady(20*time.Second) {
		return notRun
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	over := began.Add(filledAfter + 3*stopGap + 3*time.Second)
	var mu sync.Mutex
	var seen []streamNote
	var wg sync.WaitGroup
	for _, m := range f.edges() {
		for range streamsEach {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(rand.Int63n(int64(filledAfter))))
				for time.Now().Before(over) {
					s := readStream(m)
					if s.status == 200 {
						mu.Lock()
						seen = append(seen, s)
						mu.Unlock()
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	time.Sleep(filledAfter)
	stops := map[*machine]time.Time{}
	for _, m := range f.edges()[3:] {
		if trouble {
			stops[m] = time.Now()
			m.asked = true
			m.signal(syscall.SIGTERM)
			note("%s gets SIGTERM", m.name)
		}
		time.Sleep(stopGap)
	}
	wg.Wait()
	lost, cut := 0, 0
	for _, s := range seen {
		if s.whole {
			continue
		}
		cut++
		runs := f.engines.runsOf(s.id)
		ownEnd := false
		for _, run := range runs {
			ownEnd = ownEnd || run.done
		}
		note("stream %s at %s: broken off %v after it was sent, with %d of %d events; it was at engines %d times, and none broke it off", s.id, s.at.name,
			s.ended.Sub(s.sent).Round(time.Millisecond), s.events, streamEvents, len(runs))
		term, stopped := stops[s.at]
		around := stopped && s.ended.After(term) && s.ended.Before(term.Add(graceTime*5/6))
		if around && len(runs) > 0 && !ownEnd && s.ended.Sub(s.sent) < streamLimit {
			note("LOST: %s, %v after the SIGTERM", s.id, s.ended.Sub(term).Round(time.Millisecond))
			lost++
		}
	}
	note("%d streams, %d of them broken off by the system, %d of these lost around the stop", len(seen), cut, lost)
	if lost > 0 {
		return broken
	}
	return held
}

// readStream asks a machine for one stream and reads it to its end.
func readStream(m *machine) streamNote {
	s := streamNote{id: newID(), at: m}
	defer func() { s.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", m.ip+frontPort, time.Second)
	if err != nil {
		return s
	}
	defer conn.Close()
	s.sent = time.Now()
	_ = conn.SetDeadline(s.sent.Add(streamLimit + time.Second))
	if _, err := fmt.Fprintf(conn, "POST /st/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: %d\r\nModel: %s\r\nToken-Counts: 1016,240\r\nPrompt-Prefix: %s:1016\r\nContent-Length: 2\r\n\r\nhi",
		siteHost, s.id, streamLimit.Milliseconds(), model, s.id[:6]); err != nil {
		return s
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return s
	}
	s.status = res.StatusCode
	body, err := io.ReadAll(res.Body)
	s.events = strings.Count("\n"+string(body), "\nid: ")
	s.whole = err == nil
	s.ended = time.Now()
	return s
}
