package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"fernlink/config"
	"fernlink/core/ledger"
	"fernlink/shell/daemon"
	"fernlink/shell/logging"
)

// Exit codes of a node. A node that a failure stops ends with the daemon's own.
const (
	exitFailed = 1 // it could not start or stop
	exitUsage  = 2 // flags or settings are wrong
)

// Bounds of a stop: the node bounds its own part of it far below them.
const (
	stopMost = 70 * time.Second
	hookMost = stopMost + 5*time.Second
)

// newProcess takes the process's signals and opens its log. It comes before anything
// that may take time, and nothing after it writes to standard error in another way.
func newProcess() daemon.Process {
	return daemon.Process{Signals: daemon.TakeSignals(), Log: logging.Open(os.Stderr)}
}

// rereadFile reads settings again where their file has changed since the last look.
func rereadFile(path string, read func() (config.Config, []ledger.Fault, error)) daemon.SettingsReader {
	var last []byte
	return func() (config.Config, bool) {
		raw, err := os.ReadFile(path)
		if err != nil || bytes.Equal(raw, last) {
			return config.Config{}, false
		}
		last = raw
		settings, bad, err := read()
		return settings, err == nil && len(bad) == 0
	}
}

// start runs one node until it is told to stop, and gives the code to end with.
func start(settings config.Config, platform daemon.Platform, process daemon.Process, profiles string) (code int) {
	failures := process.Log
	measured, err := profile(profiles, cmp.Or(settings.Name, settings.Addr))
	if err != nil {
		return failed(failures, err)
	}
	defer func() {
		if err := measured(); err != nil {
			code = max(code, failed(failures, err))
		}
	}()
	app := fx.New(fx.NopLogger, daemon.Module(settings, platform, process), fx.StopTimeout(hookMost))
	if err := app.Err(); err != nil {
		if errors.Is(dig.RootCause(err), daemon.ErrStopped) {
			return 0
		}
		return failed(failures, dig.RootCause(err))
	}
	if err := app.Start(context.Background()); err != nil {
		return failed(failures, err)
	}
	select {
	case <-process.Signals.Stop:
	case halt := <-app.Wait():
		code = halt.ExitCode
	}
	ctx, quit := context.WithTimeout(context.Background(), stopMost)
	defer quit()
	if err := app.Stop(ctx); err != nil {
		return failed(failures, err)
	}
	return code
}

// failed tells a failure and gives its exit code.
func failed(to io.Writer, err error) int {
	fmt.Fprintln(to, "fernlink:", err)
	return exitFailed
}
