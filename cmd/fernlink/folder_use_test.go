package main

import (
	"strings"
	"syscall"
	"testing"
)

// Given a store that runs, frozen so that its own files stand still, when a second
// process is started on its data folder, with its ports or with others, then the second
// ends with 1 and says why, no file has changed, and the first goes on.
func TestASecondProcessLeavesTheFolderAlone(t *testing.T) {
	for name, second := range map[string]func(place) place{
		"the same ports": func(p place) place { return p },
		"other ports": func(p place) place {
			other := newPlace(t)
			other.data = p.data
			return other
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := newPlace(t)
			running := program(t, nil, first.alone()...)
			running.answers(first.health())
			running.signal(syscall.SIGSTOP)
			before := contents(t, first.data)
			late := program(t, nil, second(first).alone()...)
			code := late.code()
			if code != 1 || !strings.Contains(late.output.String(), "in use") {
				t.Errorf("the second process ended with %d: %s", code, late.output.String())
			}
			after := contents(t, first.data)
			for file, was := range before {
				if after[file] != was {
					t.Errorf("%s was changed", file)
				}
			}
			if len(after) != len(before) {
				t.Errorf("%d files became %d", len(before), len(after))
			}
			running.signal(syscall.SIGCONT)
			running.answers(first.health())
		})
	}
}
