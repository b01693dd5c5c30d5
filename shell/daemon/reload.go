package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/shell/run"
)

// reloadEvery is how often the settings are looked at without a signal.
const reloadEvery = budget.FailureTimeout

// reload tells the node of new seeds when the settings change, by SIGHUP or
// without. Seeds that can't be read leave the old ones in force.
func reload(ctx context.Context, seeds func() ([]string, bool), loop *run.Loop, logger log.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
		}
		if s, changed := seeds(); changed {
			_ = level.Info(logger).Log("part", "daemon", "msg", "settings name other seeds", "seeds", len(s))
			loop.Put(flow.Event{Seeds: s})
		}
	}
}
