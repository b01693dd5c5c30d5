//go:build review

package main

import (
	"fmt"
	"os"
)

// Codes by which a case ends.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name. Each gives its code; trouble says whether the disruption is
// to come.
var cases = map[string]func(f *fleet, trouble bool) int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "stand2 CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordFile string) int {
	run := cases[name]
	if run == nil {
		return notRun
	}
	var err error
	if record.file, err = os.Create(recordFile); err != nil {
		return notRun
	}
	defer record.file.Close()
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return notRun
	}
	if os.Getenv("STAND2_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	f, err := newFleet(root, dir, 3)
	if err != nil {
		note("could not begin: %v", err)
		return notRun
	}
	defer f.close()
	code := run(f, os.Getenv("TROUBLE") != "0")
	note("result: %d (0 held, 1 broken, 2 not run)", code)
	return code
}
