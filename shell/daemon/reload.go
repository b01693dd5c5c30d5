package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"fernlink/config"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/shell/clock"
	"fernlink/shell/run"
)

// reloadEvery is how often the settings are looked at without a signal.
const reloadEvery = budget.FailureTimeout

// ExitOtherSettings is the code of a process that started by settings which were not whole
// yet: the next start has the whole ones.
const ExitOtherSettings = 4

// settling is for how long after its start a process ends where its settings turn out to
// be others. Later they are a change that waits for the next start.
const settling = 5 * reloadEvery

// SettingsReader gives the settings as they are now. It says false where they have not
// changed since the last call, or can't be read whole.
type SettingsReader func() (config.Config, bool)

// reloader follows the settings of a running node.
type reloader struct {
	started config.Config // what the node runs by
	began   flow.Time
	process Process
	loop    *run.Loop
	logger  log.Logger
	quit    fx.Shutdowner
}

// run looks at the settings at a SIGHUP, and now and then without.
func (r *reloader) run(ctx context.Context) {
	seeds := r.started.Seeds
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.process.Signals.Reload:
		case <-t.C:
		}
		settings, changed := r.process.Reread()
		if !changed {
			continue
		}
		if len(settings.Seeds) > 0 && !slices.Equal(settings.Seeds, seeds) {
			seeds = settings.Seeds
			_ = level.Info(r.logger).Log("part", "daemon", "msg", "settings name other seeds", "seeds", len(seeds))
			r.loop.Put(flow.Event{Seeds: seeds})
		}
		if what := differs(r.started, settings); what != "" {
			r.other(what)
		}
	}
}

// other takes settings by which another node would have started. Right after a start
// they are the ones that it should have had: without its folder a store would be missing
// from its cluster, and nobody would see why.
func (r *reloader) other(what string) {
	if clock.Now()-r.began > settling {
		_ = level.Warn(r.logger).Log("part", "daemon", "msg", "the settings need a restart", "differs", what)
		return
	}
	_ = level.Error(r.logger).Log("part", "daemon", "msg", "started by settings that were not whole", "differs", what)
	_ = r.quit.Shutdown(fx.ExitCode(ExitOtherSettings))
}

// differs names what makes another node of one, "" where nothing does.
func differs(a, b config.Config) string {
	switch {
	case a.Data != b.Data:
		return "data"
	case !slices.Equal(a.Roles, b.Roles):
		return "roles"
	case a.Addr != b.Addr || a.Web != b.Web || a.Front != b.Front || a.Ready != b.Ready || a.Control != b.Control:
		return "addresses"
	}
	return ""
}
