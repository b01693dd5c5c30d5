package main

import (
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// bindProfile adds the flag for profiles, which the usual help leaves out.
func bindProfile(s *flaggy.Subcommand, dir *string) {
	s.String(dir, "", "profile", "folder for profiles of processor and heap, written at the end")
	s.Flags[len(s.Flags)-1].Hidden = true
}

// profile begins to measure, and gives what ends it: the files cpu-NAME.pprof
// and heap-NAME.pprof in the folder. Without a folder both do nothing.
func profile(dir, name string) (func() error, error) {
	if dir == "" {
		return func() error { return nil }, nil
	}
	name = strings.NewReplacer("/", "-", ":", "-").Replace(name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	cpu, err := os.Create(filepath.Join(dir, "cpu-"+name+".pprof"))
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	if err := pprof.StartCPUProfile(cpu); err != nil {
		_ = cpu.Close()
		return nil, errors.Wrap(err, "profile")
	}
	return func() error {
		pprof.StopCPUProfile()
		if err := cpu.Close(); err != nil {
			return errors.Wrap(err, "profile")
		}
		heap, err := os.Create(filepath.Join(dir, "heap-"+name+".pprof"))
		if err != nil {
			return errors.Wrap(err, "profile")
		}
		runtime.GC() // what is in use, not what waits to be freed
		if err := pprof.WriteHeapProfile(heap); err != nil {
			_ = heap.Close()
			return errors.Wrap(err, "profile")
		}
		return errors.Wrap(heap.Close(), "profile")
	}, nil
}
