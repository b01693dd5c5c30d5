package site

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// memoryLookEvery is how often the processes' memory is looked at.
const memoryLookEvery = 20 * time.Millisecond

// residentMB is the memory of a process in MB, 0 where it is gone.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := bytes.Cut(status, []byte("VmRSS:"))
	if fields := bytes.Fields(rest); found && len(fields) > 0 {
		kilobytes, _ := strconv.Atoi(string(fields[0]))
		return kilobytes >> 10
	}
	return 0
}

// watchMemory finds processes that have more memory than their machine, each once.
func (s *soak) watchMemory(running func() bool) {
	told := map[*process]bool{}
	for ; running(); time.Sleep(memoryLookEvery) {
		for _, m := range s.machines {
			process := m.current()
			if process == nil || process.isOver() {
				continue
			}
			now := residentMB(process.cmd.Process.Pid)
			s.report.MostMB = max(s.report.MostMB, now)
			if now > s.memoryMB && !told[process] {
				told[process] = true
				s.t.bad("FAULT: %s has %d MB of %d", m.name, now, s.memoryMB)
			}
		}
	}
}
