package main

import (
	"syscall"
	"testing"
)

// Given a node, when SIGHUP comes at any time of its life, or SIGTERM twice, then it
// goes on until it is told to stop, and ends with 0.
func TestSignalsAtAnyTime(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"a reload":           {syscall.SIGHUP},
		"a reload at a stop": {syscall.SIGTERM, syscall.SIGHUP},
		"a second stop":      {syscall.SIGTERM, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlace(t)
			running := program(t, nil, p.alone()...)
			running.answers(p.health())
			for _, s := range signals {
				running.signal(s)
			}
			if signals[0] != syscall.SIGTERM {
				running.answers(p.health())
				running.signal(syscall.SIGTERM)
			}
			if code := running.code(); code != 0 {
				t.Errorf("ended with %d (%s): %s", code, running.cmd.ProcessState, running.output.String())
			}
		})
	}
}
