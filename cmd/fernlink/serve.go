package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"fernlink/config"
	"fernlink/core/ledger"
	"fernlink/core/serve/policy"
	"fernlink/platform"
	"fernlink/shell/daemon"
)

// serveFlags are those of `fernlink serve`.
type serveFlags struct{ settings, level, listen, profile, without string }

func (v *serveFlags) bind(s *flaggy.Subcommand) {
	s.String(&v.level, "", "log-level", "error, warn, info or debug (warn)")
	s.String(&v.listen, "", "listen", "IP:port where peers reach this process, if a relay stands at the address that they are told")
	s.String(&v.without, "", "without", "for measurements: mechanisms to leave out, with commas (design 12.11)")
	bindProfile(s, &v.profile)
	s.String(&v.settings, "s", "settings", "settings file; $"+platform.SettingsEnv+" where it is not given")
}

// gcPercent is how much the heap may grow between collections: memory is dearer
// here than processor time (docs/measurements.md).
const gcPercent = 30

var levels = map[string]bool{"error": true, "warn": true, "info": true, "debug": true}

// memoryPart is the share of the machine's memory that the heap may fill.
const memoryPart = 0.6

// Settings that are wrong, or end amid a line, may be in the middle of being written: they
// are looked at again.
const (
	settledMost  = time.Second / 2       // for so long where they stay wrong
	settledAgain = 50 * time.Millisecond // after so long
)

// settled reads the settings until they are sound and whole as far as can be told, or
// have been wrong for a while. A file without a last end of line is taken for whole once
// it has not changed between two looks.
func (v *serveFlags) settled() (config.Config, []ledger.Fault, error) {
	var last []byte
	for end := time.Now().Add(settledMost); ; time.Sleep(settledAgain) {
		raw, _ := os.ReadFile(v.settings)
		settings, bad, err := platform.Settings(v.settings)
		whole := bytes.HasSuffix(raw, []byte("\n")) || last != nil && bytes.Equal(raw, last)
		if err != nil || len(bad) == 0 && whole || time.Now().After(end) {
			return settings, bad, err
		}
		last = raw
	}
}

// read gives the config of the settings, or says all that is wrong with them.
func (v *serveFlags) read(failures io.Writer) (config.Config, bool) {
	if v.settings == "" {
		fmt.Fprintln(failures, "fernlink: name the settings file with --settings or in $"+platform.SettingsEnv)
		return config.Config{}, false
	}
	settings, bad, err := v.settled()
	if err != nil {
		fmt.Fprintln(failures, "fernlink:", err)
		return settings, false
	}
	for _, f := range bad {
		fmt.Fprintf(failures, "fernlink: settings %s: %s\n", cmp.Or(f.At, v.settings), f.Text)
	}
	if settings.LogLevel = cmp.Or(v.level, "warn"); !levels[settings.LogLevel] {
		fmt.Fprintf(failures, "fernlink: --log-level is error, warn, info or debug, not %q\n", settings.LogLevel)
		return settings, false
	}
	settings.Listen = v.listen
	return settings, len(bad) == 0
}

func (v *serveFlags) run() int {
	if v.settings == "" {
		v.settings = os.Getenv(platform.SettingsEnv)
	}
	process := newProcess()
	defer process.Log.Close()
	settings, ok := v.read(process.Log)
	if !ok {
		return exitUsage
	}
	policies, err := policy.Without(strings.FieldsFunc(v.without, func(r rune) bool { return r == ',' }))
	if err != nil {
		fmt.Fprintln(process.Log, "fernlink:", err)
		return exitUsage
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryPart))
	}
	debug.SetGCPercent(gcPercent)
	codec := platform.Codec(settings.Platform)
	process.Reread = rereadFile(v.settings, func() (config.Config, []ledger.Fault, error) { return platform.Settings(v.settings) })
	return start(settings, daemon.Platform{Codec: &codec, Listeners: platform.Listeners(settings), Policies: policies}, process, v.profile)
}
