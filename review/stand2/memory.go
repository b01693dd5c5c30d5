//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

// The configurations: how many routes each has with and without the disruption, how many
// there are, and how far apart.
const (
	routesMany   = 30000
	routesFew    = 300
	configsSent  = 8
	configPause  = 4 * time.Second
	memoryEdge   = 284 // MB, as the settings say
	memoryLook   = 10 * time.Millisecond
	restartPause = 300 * time.Millisecond
	endsMost     = 3 // in a day, on two machines or half of the core
)

// memory: the operator sends valid configurations with many routes. The stand-in for the
// platform ends a process that has more memory than its machine allows, and starts it again.
func memory(f *fleet, trouble bool) int {
	routes := []route{appRoute("r-app", "/book/", "idempotent"), lotRoute("r-0", "/sync/")}
	if f.startAll() != nil || !f.putConfig(0, 1, routes...) || !f.waitReady(20*time.Second) {
		return notRun
	}
	ends := f.watchMemory()
	many := routesFew
	if trouble {
		many = routesMany
	}
	for i := range many {
		routes = append(routes, appRoute(fmt.Sprintf("r-x%d", i), fmt.Sprintf("/x%d/", i), "idempotent"))
	}
	acked := 0
	for n := range configsSent {
		if time.Since(record.began) > 80*time.Second {
			break
		}
		began := time.Now()
		if f.putConfig(acked+1, acked+2, routes...) {
			acked++
		}
		note("configuration of %d routes, number %d: acknowledged %d so far, after %v", len(routes), n+1, acked, time.Since(began).Round(time.Millisecond))
		time.Sleep(configPause)
	}
	core, others := 0, 0
	for i, m := range f.machines {
		count := ends.of(m)
		note("%s: its process was over MemoryMb %d times; %d MB at most", m.name, count, ends.peak(m))
		if count >= endsMost {
			if i < 3 {
				core++
			}
			others++
		}
	}
	if core >= 2 || others >= 2 {
		return broken
	}
	return held
}

// memoryEnds counts the processes that were over their machine's memory.
type memoryEnds struct {
	mu     sync.Mutex
	counts map[string]int
	peaks  map[string]int
}

func (e *memoryEnds) of(m *machine) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[m.name]
}

func (e *memoryEnds) peak(m *machine) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peaks[m.name]
}

// watchMemory ends each edge process that goes over MemoryMb, and starts it again.
func (f *fleet) watchMemory() *memoryEnds {
	ends := &memoryEnds{counts: map[string]int{}, peaks: map[string]int{}}
	for _, m := range f.edges() {
		go func() {
			for ; ; time.Sleep(memoryLook) {
				used := m.residentMB()
				ends.mu.Lock()
				ends.peaks[m.name] = max(ends.peaks[m.name], used)
				ends.mu.Unlock()
				if used <= memoryEdge || f.over.Load() {
					continue
				}
				m.kill()
				ends.mu.Lock()
				ends.counts[m.name]++
				ends.mu.Unlock()
				note("%s has %d MB of %d and is ended", m.name, used, memoryEdge)
				time.Sleep(restartPause)
				if f.over.Load() || f.write(m, false) != nil || f.start(m) != nil {
					return
				}
			}
		}()
	}
	return ends
}

// residentMB is the memory that a machine's process has now.
func (m *machine) residentMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kB >> 10
		}
	}
	return 0
}
