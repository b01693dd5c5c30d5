//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["deep"] = deepCase }

// Times of the case, and how deep the field is nested that no page names.
const (
	deepLevels   = 9992
	usualLevels  = 10
	closingDown  = 620 * time.Millisecond // down_s of the site's kill_all
	restartDelay = 300 * time.Millisecond
	recoverTime  = 12 * time.Second
	readFor      = 6 * time.Second // the operator and the trainer read after that
)

// putText has the operator send a configuration as it stands, until a clear answer comes.
func (f *fleet) putText(base int, text string, most time.Duration) int {
	for end, n := time.Now().Add(most), 0; time.Now().Before(end); n++ {
		m := f.edges[n%len(f.edges)]
		code, _, answer, err := call("PUT", m.control(), "/config", m.control(), map[string]string{"If-Match": fmt.Sprint(base), "Content-Type": "application/json"}, text, time.Second)
		f.rec.note("configuration on top of %d, %d bytes, at %s: %d %.60s %v", base, len(text), m.name, code, strings.TrimSpace(answer), err)
		if code == 200 || code/100 == 4 && code != 408 && code != 429 {
			return code
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// supervise starts a machine's process again each time that it ends by itself.
func (f *fleet) supervise(m *machine, over *atomic.Bool, ends *atomic.Int64) {
	for !over.Load() {
		select {
		case <-m.ended:
			ends.Add(1)
			time.Sleep(restartDelay)
			if err := f.launch(m, false); err != nil {
				return
			}
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// deepCase has configurations and a lot acknowledged, kills all processes, and reads back
// what was acknowledged.
func deepCase(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec, 3, true, func(_, path string) time.Duration { return 10 * time.Millisecond })
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	rec.quiet(true)
	newest := 3
	levels := usualLevels
	if trouble {
		levels = deepLevels
	}
	// An operator sends a configuration with a field that nobody knows.
	doc := configuration()
	doc["Revision"] = 5
	body, _ := json.Marshal(doc)
	text := `{"Notes":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + "," + string(body[1:])
	rec.note("configuration 5 has a field of %d levels", levels)
	switch code := f.putText(newest, text, 8*time.Second); code {
	case 200:
		newest = 5
		rec.note("configuration 5 is acknowledged")
	case 0:
		rec.note("configuration 5 got no clear answer")
	default:
		rec.note("configuration 5 is refused")
	}
	// Later the operator changes the configuration as usual, and a trainer hands in a lot.
	if err := f.putConfig(newest, 7, configuration(), 8*time.Second); err != nil {
		rec.note("%v", err)
	} else {
		newest = 7
	}
	id := "3b41e09b52d6a3f8"
	lot, ids := lotDoc(id, 10, 8, 200, 9, 1, 0)
	accepted := false
	for n := 0; n < 20 && !accepted; n++ {
		code, text, err := putLot(f.edges[n%len(f.edges)], id, lot, 2*time.Second)
		rec.note("lot %s at %s: %d %.60s %v", id, f.edges[n%len(f.edges)].name, code, strings.TrimSpace(text), err)
		accepted = code == 202
	}
	read := 0
	for end := time.Now().Add(8 * time.Second); accepted && read < len(ids) && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if code, page, _ := readLot(f.edges[1], id, 0, 2*time.Second); code == 200 {
			read = page.NextToken
		}
	}
	rec.note("%d results of the lot's %d were read; the newest configuration that was acknowledged is %d", read, len(ids), newest)
	// The closing fault: all processes are killed.
	for _, m := range f.all() {
		f.kill(m)
	}
	time.Sleep(closingDown)
	var over atomic.Bool
	ends := map[*machine]*atomic.Int64{}
	for _, m := range f.all() {
		if err := f.launch(m, false); err != nil {
			return failed, err
		}
	}
	back := time.Now()
	for _, m := range f.all() {
		ends[m] = &atomic.Int64{}
		go f.supervise(m, &over, ends[m])
	}
	time.Sleep(recoverTime)
	gotConfig, gotLot := 0, -1
	for n := 0; time.Since(back) < recoverTime+readFor; n++ {
		m := f.edges[n%len(f.edges)]
		code, _, answer, err := call("GET", m.control(), "/config", m.control(), nil, "", time.Second)
		var config struct{ Revision int }
		if code == 200 && json.Unmarshal([]byte(answer), &config) == nil {
			gotConfig = max(gotConfig, config.Revision)
		}
		lotCode, page, lotErr := readLot(m, id, 0, time.Second)
		if lotCode == 200 {
			gotLot = max(gotLot, page.NextToken)
		}
		rec.note("%.1f s after the start, at %s: configuration %d, revision %d, %v; lot %d, %d results, %v", time.Since(back).Seconds(), m.name, code, config.Revision, err, lotCode, page.NextToken, lotErr)
		time.Sleep(300 * time.Millisecond)
	}
	over.Store(true)
	time.Sleep(2 * restartDelay)
	for _, m := range f.all() {
		if n := ends[m].Load(); n > 0 {
			rec.note("FAULT: the process of %s ended by itself %d times after its start", m.name, n)
		}
	}
	lost := false
	if gotConfig < newest {
		lost = true
		rec.note("LOST: configuration %d was acknowledged; %d s after the start what is read back is %d (0: nothing)", newest, int(time.Since(back).Seconds()), gotConfig)
	}
	if accepted && gotLot < read {
		lost = true
		rec.note("LOST: the lot was accepted and %d of its results were read; now %d are (-1: it can't be read)", read, gotLot)
	}
	if lost {
		return broken, nil
	}
	return held, nil
}
