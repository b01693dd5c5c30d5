package daemon

import (
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"fernlink/core/budget"
	"fernlink/shell/disk"
)

// ErrStopped says that the process was told to stop before it had started.
var ErrStopped = errors.New("daemon: told to stop while it started")

// roomRetry is how long a full disk is left alone before a start tries it again.
const roomRetry = budget.FailureTimeout / 4

// waitForRoom tries something again for as long as the disk has no room for it (design 4.6).
type waitForRoom struct {
	stop   <-chan os.Signal
	logger log.Logger
}

// retry gives the first result that is not a want of room, or ErrStopped.
func (w waitForRoom) retry(try func() error) error {
	for said := false; ; {
		err := try()
		if !disk.NoRoom(err) {
			return err
		}
		if !said {
			_ = level.Warn(w.logger).Log("part", "daemon", "msg", "the disk has no room; the start waits for some", "failure", err)
			said = true
		}
		select {
		case <-w.stop:
			return ErrStopped
		case <-time.After(roomRetry):
		}
	}
}
