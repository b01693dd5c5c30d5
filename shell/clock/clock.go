// Package clock is the only reader of real time. It counts time spent frozen
// too, so that a machine that wakes knows its lease is over (design 5.2). The shells
// and the rigs call it, the cores never do.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"fernlink/core/flow"
)

// Now is the time since boot, suspended or not.
func Now() flow.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return flow.Time(time.Since(start))
	}
	return flow.Time(t.Nano())
}

var start = time.Now()

// Wall is the wall time in milliseconds. Nothing that must be safe rests on
// it; it dates records only.
func Wall() int64 { return time.Now().UnixMilli() }
