//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["stop"] = stopCase }

// Times of the case, counted from the SIGTERM.
const (
	bookings    = 24
	firstAgain  = 3200 * time.Millisecond // the first kept connection is used again
	betweenEach = 160 * time.Millisecond
	bookingWork = 400 * time.Millisecond
	bookingMost = 2000 * time.Millisecond // the client's deadline
)

// stopCase stops an edge machine in order while a long stream is under way there and
// clients have connections that they kept. Each booking that comes on one of these is to
// be answered, or its connection closed before it was passed on.
func stopCase(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec, 3, true, func(_, path string) time.Duration {
		if strings.HasPrefix(path, oncePath) {
			return bookingWork
		}
		return 25 * time.Millisecond
	})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	node := f.edges[3]
	head := func(id string, most time.Duration) map[string]string {
		return map[string]string{"Attempt-Id": id, "Time-Left-Ms": fmt.Sprint(most.Milliseconds())}
	}
	// Clients open their connections and use them once.
	var conns []*kept
	for i := range bookings {
		c, err := dial(node.front())
		if err != nil {
			return failed, err
		}
		defer c.Close()
		id := fmt.Sprintf("a%015x", i)
		code, _, _, err := exchange(c, "POST", appPath+"x", hostName, head(id, time.Second), "warm "+id, 2*time.Second, false)
		if code != 200 {
			return failed, fmt.Errorf("first request of connection %d: %d %v", i, code, err)
		}
		conns = append(conns, c)
	}
	// A long stream begins: it lasts beyond the stop.
	streamDone := make(chan string, 1)
	go func() {
		h := head("5000000000000001", 20*time.Second)
		h["Model"], h["Token-Counts"], h["Prompt-Prefix"] = modelName, "400,1700", "5a01:300,77aa:100"
		code, _, text, err := call("POST", node.front(), chatPath+"s", hostName, h, "stream", 20*time.Second)
		streamDone <- fmt.Sprintf("the stream got %d, %d bytes, %v", code, len(text), err)
	}()
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	over := make(chan struct{})
	if trouble {
		go func() { f.stop(node); close(over) }()
	} else {
		close(over)
	}
	type outcome struct {
		id          string
		sent, ended time.Duration
		code        int
		err         error
	}
	outcomes := make([]outcome, bookings)
	var all sync.WaitGroup
	for i, c := range conns {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Until(began.Add(firstAgain + time.Duration(i)*betweenEach)))
			id := fmt.Sprintf("b%015x", i)
			o := outcome{id: id, sent: time.Since(began)}
			rec.note("client %d sends %s on its kept connection, %.3f s after the SIGTERM", i, id, o.sent.Seconds())
			o.code, _, _, o.err = exchange(c, "POST", oncePath+"x", hostName, head(id, bookingMost), "book "+id, bookingMost+500*time.Millisecond, false)
			o.ended = time.Since(began)
			rec.note("client %d: %s got %d, %v, %.3f s after it was sent", i, id, o.code, o.err, (o.ended - o.sent).Seconds())
			outcomes[i] = o
		}()
	}
	all.Wait()
	<-over
	select {
	case text := <-streamDone:
		rec.note("%s", text)
	case <-time.After(8 * time.Second):
		rec.note("the stream has not ended")
	}
	lost, answered := 0, 0
	for _, o := range outcomes {
		ran := f.runs.count(o.id)
		switch {
		case o.err == nil && o.code != 0:
			answered++
			if ran > 1 || (o.code == 503 || o.code == 429) && ran > 0 {
				rec.note("%s got %d and ran %d times", o.id, o.code, ran)
				return broken, nil
			}
		case ran > 0 && o.ended-o.sent < bookingMost:
			lost++
			rec.note("LOST: %s was sent %.3f s after the SIGTERM, was passed on to an engine (%d runs), and its connection ended without an answer after %.3f s", o.id, o.sent.Seconds(), ran, (o.ended - o.sent).Seconds())
		}
	}
	rec.note("%d of %d bookings were answered, %d were passed on to an engine and got no answer", answered, bookings, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
