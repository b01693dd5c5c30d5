package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"fernlink/config"
	"fernlink/platform"
	"fernlink/shell/daemon"
)

// serveFlags are those of `fernlink serve`.
type serveFlags struct{ settings, level, profile string }

func (v *serveFlags) bind(s *flaggy.Subcommand) {
	s.String(&v.level, "", "log-level", "error, warn, info or debug (warn)")
	bindProfile(s, &v.profile)
	s.String(&v.settings, "s", "settings", "settings file; $"+platform.SettingsEnv+" where it is not given")
}

// gcPercent is how much the heap may grow between collections: memory is dearer
// here than processor time (docs/measurements.md).
const gcPercent = 30

var levels = map[string]bool{"error": true, "warn": true, "info": true, "debug": true}

// memoryPart is the share of the machine's memory that the heap may fill.
const memoryPart = 0.6

// read gives the config of the settings, or says all that is wrong with them.
func (v *serveFlags) read(failures io.Writer) (config.Config, bool) {
	if v.settings == "" {
		fmt.Fprintln(failures, "fernlink: name the settings file with --settings or in $"+platform.SettingsEnv)
		return config.Config{}, false
	}
	p, bad, err := platform.Settings(v.settings)
	if err != nil {
		fmt.Fprintln(failures, "fernlink:", err)
		return p, false
	}
	for _, f := range bad {
		fmt.Fprintf(failures, "fernlink: settings %s: %s\n", cmp.Or(f.At, v.settings), f.Text)
	}
	if p.LogLevel = cmp.Or(v.level, "warn"); !levels[p.LogLevel] {
		fmt.Fprintf(failures, "fernlink: --log-level is error, warn, info or debug, not %q\n", p.LogLevel)
		return p, false
	}
	return p, len(bad) == 0
}

func (v *serveFlags) run() int {
	if v.settings == "" {
		v.settings = os.Getenv(platform.SettingsEnv)
	}
	p, ok := v.read(os.Stderr)
	if !ok {
		return 2
	}
	if p.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(p.MemoryMB<<20) * memoryPart))
	}
	debug.SetGCPercent(gcPercent)
	t := platform.Codec(p.Platform)
	last, _ := os.ReadFile(v.settings)
	seeds := func() ([]string, bool) {
		b, changed := platform.Changed(v.settings, last)
		if !changed {
			return nil, false
		}
		last = b
		q, bad, err := platform.Settings(v.settings)
		return q.Seeds, err == nil && len(bad) == 0 && len(q.Seeds) > 0
	}
	return start(p, daemon.Platform{Codec: &t, Listeners: platform.Listeners(p), Seeds: seeds}, v.profile, os.Stderr)
}
