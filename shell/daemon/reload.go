package daemon

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/shell/run"
)

// reloadEvery is how often the settings are looked at without a signal.
const reloadEvery = budget.FailureTimeout

// SeedReader gives the seeds that the settings name, and whether they changed since the
// last call. Settings that can't be read whole have not changed.
type SeedReader func() ([]string, bool)

// reload tells the node of new seeds when the settings change, by SIGHUP or
// without. Seeds that can't be read leave the old ones in force.
func reload(ctx context.Context, seeds SeedReader, signals <-chan os.Signal, loop *run.Loop, logger log.Logger) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
		}
		if s, changed := seeds(); changed {
			_ = level.Info(logger).Log("part", "daemon", "msg", "settings name other seeds", "seeds", len(s))
			loop.Put(flow.Event{Seeds: s})
		}
	}
}
