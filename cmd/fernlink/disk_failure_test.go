package main

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failedDiskMost is how long a process may take to end once its disk has failed.
const failedDiskMost = 3 * time.Second

// Given a store whose disk fails, when it is to save something, then its process ends with
// 3 and the reason at once, so that its supervisor can go on.
func TestAFailedDiskEndsTheProcessAtOnce(t *testing.T) {
	running := serve(t, nil, "--log-level", "info")
	running.logs("took up serving")
	if err := os.RemoveAll(running.where.Data); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	running.putPlan()
	if code := running.code(); code != 3 || !strings.Contains(running.output.String(), "stopped by a failure") {
		t.Errorf("ended with %d: %s", code, running.output.String())
	}
	if took := time.Since(began); took > failedDiskMost {
		t.Errorf("it took %v to end", took)
	}
}

// Given a process that may not write larger files, when its log grows beyond that, then it
// says that its disk is full, as it does for any other want of room, and goes on once there
// is room again.
func TestALimitOnFilesIsAFullDisk(t *testing.T) {
	running := serve(t, nil, "--log-level", "info")
	running.logs("took up serving")
	running.limitFiles(1)
	running.putPlan()
	running.logs("the disk has no room")
	running.answers(running.health())
	running.limitFiles(unix.RLIM_INFINITY)
	running.logs("plan in force")
}

// anyPlan is a plan that a new cluster takes.
const anyPlan = `{"read":0,"request":"r","plan":{"pools":[{"name":"app","kind":"app"}],"routes":[]}}`

// putPlan puts it, whatever comes of it.
func (s served) putPlan() {
	s.t.Helper()
	request, err := http.NewRequest("PUT", "http://"+s.where.Web+"/v1/plan", strings.NewReader(anyPlan))
	if err != nil {
		s.t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// limitFiles bounds how many bytes a file of the process may have from now on.
func (c *child) limitFiles(bytes uint64) {
	c.t.Helper()
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		c.t.Fatal(err)
	}
}

// Given a process that starts while its disk has no room, when there is room again, then it
// has waited for it and starts; it does not end again and again meanwhile.
func TestAStartWaitsForRoomOnItsDisk(t *testing.T) {
	t.Setenv(smallFiles, "1")
	running := serve(t, nil, "--log-level", "info")
	running.logs("no room")
	running.limitFiles(unix.RLIM_INFINITY)
	running.answers(running.health())
}

// Given a process that waits for room at its start, when it is told to stop, then it ends
// with 0 at once, as one that has started does.
func TestAStartThatWaitsForRoomHeedsAStop(t *testing.T) {
	t.Setenv(smallFiles, "1")
	waiting := serve(t, nil, "--log-level", "info")
	waiting.logs("no room")
	waiting.end()
}
