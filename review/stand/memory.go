//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

// Lots of the case, and how the platform bounds memory.
const (
	memoryLimitMB = 284 // Limits.MemoryMb of every edge machine of the small deployments
	memoryItems   = 400
	memoryBody    = 60_500 // bytes of an item's body before base64: the lot has 32.4 MB
	usualBody     = 600    // the same without the trouble: the lot has 0.4 MB
	lotEvery      = 5 * time.Second
	lotDeadline   = 8 * time.Second // for how long one lot is handed in
	memoryLength  = 70 * time.Second
	faultEnds     = 3 // ends of one machine's process that count as a fault
	faultMachines = 2 // machines on which that has to happen
)

// residentMB is the memory of a machine's process.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n / 1024
		}
	}
	return 0
}

// watchMemory kills a machine's process where it goes over MemoryMb, and starts it again
// after a short delay, as the platform does. It returns once over is set.
func (f *fleet) watchMemory(m *machine, over *atomic.Bool, ends *atomic.Int64) {
	most := 0
	for !over.Load() {
		time.Sleep(10 * time.Millisecond)
		n := residentMB(m.cmd.Process.Pid)
		most = max(most, n)
		if n <= memoryLimitMB {
			continue
		}
		f.rec.note("%s has %d MB of %d: the platform kills it", m.name, n, memoryLimitMB)
		m.expected = true
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.ended
		ends.Add(1)
		time.Sleep(300 * time.Millisecond)
		if err := f.launch(m, false); err != nil {
			f.rec.note("%s: %v", m.name, err)
			return
		}
	}
	f.rec.note("the most that was seen of %s between kills is %d MB", m.name, min(most, memoryLimitMB))
}

// memoryCase hands in a lot each few seconds, whose size is within MaxBodyBytes.
func memoryCase(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec, 3, true, func(_, path string) time.Duration { return 10 * time.Millisecond })
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	rec.quiet(true)
	var over atomic.Bool
	var watchers sync.WaitGroup
	ends := map[*machine]*atomic.Int64{}
	for _, m := range f.edges {
		ends[m] = &atomic.Int64{}
		watchers.Add(1)
		go func() { defer watchers.Done(); f.watchMemory(m, &over, ends[m]) }()
	}
	body := usualBody
	if trouble {
		body = memoryBody
	}
	taken, try := 0, 0
	began := time.Now()
	for step := 0; time.Since(began) < memoryLength; step++ {
		id := fmt.Sprintf("%016x", 0x7c41e09b52d60000+step)
		doc, _ := lotDoc(id, memoryItems/8, 8, body, 8, 1, 0)
		since := time.Now()
		for time.Since(since) < lotDeadline && time.Since(began) < memoryLength {
			m := f.edges[try%len(f.edges)]
			try++
			code, text, err := putLot(m, id, doc, 5*time.Second)
			rec.note("lot %s of %d bytes at %s: %d %.60s %v", id, len(doc), m.name, code, strings.TrimSpace(text), err)
			if code == 202 {
				taken++
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(max(0, lotEvery-time.Since(since)))
		for k := range 6 { // the trainer ends its step
			if code, _, _, _ := call("DELETE", f.edges[k].front(), "/lots/"+id, hostName, nil, "", 1500*time.Millisecond); code == 200 {
				break
			}
		}
	}
	over.Store(true)
	watchers.Wait()
	machines := 0
	for _, m := range f.edges {
		n := ends[m].Load()
		rec.note("the process of %s was killed for its memory %d times", m.name, n)
		if n >= faultEnds {
			machines++
		}
	}
	rec.note("%d lots were taken; %d machines' processes ended %d times or more", taken, machines, faultEnds)
	if machines >= faultMachines {
		return broken, nil
	}
	return held, nil
}
