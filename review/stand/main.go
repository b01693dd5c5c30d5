//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is what a case came to.
type verdict int

// Exit codes of a case.
const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

var cases = map[string]func(*record, bool) (verdict, error){}

// limit is how long a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(int(failed))
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(limit, func() {
		rec.note("the case took too long")
		os.Exit(int(failed)) // the processes end with their parent
	})
	outcome, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		outcome = failed
	}
	words := map[verdict]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}
	rec.note("%s", words[outcome])
	fmt.Println(words[outcome])
	os.Exit(int(outcome))
}

// begin starts a fleet with engines and its first configuration.
func begin(rec *record, plainEdges int, storage bool, work func(id, path string) time.Duration) (*fleet, error) {
	f, err := newFleet(rec, plainEdges, storage)
	if err != nil {
		return f, err
	}
	zones := []string{"rennes", "brest", "vannes"}
	for i := range 3 {
		if _, err := f.addEngine(appPool, zones[i], work); err != nil {
			return f, err
		}
	}
	for i := range 6 {
		if _, err := f.addEngine(llmPool, zones[i%3], work); err != nil {
			return f, err
		}
	}
	if err := f.launchAll(); err != nil {
		return f, err
	}
	if err := f.putConfig(0, 3, configuration(), 20*time.Second); err != nil {
		return f, err
	}
	return f, f.waitReady(15 * time.Second)
}
