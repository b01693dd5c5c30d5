package main

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// smallPipe is the least that a pipe holds, in bytes.
const smallPipe = 4096

// Given a node whose output nobody reads, or whose reader is gone, when it logs more
// than a pipe takes, then it goes on answering and ends in order.
func TestAnUnreadLogStopsNothing(t *testing.T) {
	for name, reader := range map[string]func(*os.File){
		"nobody reads":       func(*os.File) {},
		"the reader is gone": func(input *os.File) { _ = input.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			input, output, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer input.Close()
			if _, err := unix.FcntlInt(output.Fd(), unix.F_SETPIPE_SZ, smallPipe); err != nil {
				t.Fatal(err)
			}
			running := serve(t, output, "--log-level", "debug")
			_ = output.Close()
			health := running.health()
			running.answers(health)
			reader(input)
			for range smallPipe / 16 { // each refused request is a line of well over 16 bytes
				running.refused("http://" + running.where.Front + "/nothing")
			}
			running.answers(health)
			running.end()
		})
	}
}
