package serve

import (
	"fmt"
	"testing"
	"time"

	"fernlink/core/flow"
)

// noted gives the notes of failed requests, with their arguments by name.
func (w *world) noted() (found []map[string]any) {
	for _, note := range w.notes {
		if note.Text != "a request failed" {
			continue
		}
		args := map[string]any{"level": note.Level}
		for i := 0; i+1 < len(note.Args); i += 2 {
			args[fmt.Sprint(note.Args[i])] = note.Args[i+1]
		}
		found = append(found, args)
	}
	return found
}

// Given a log at its usual level, when requests fail in each way, then each is noted with
// what traces it: its name, route, engine, what its last send showed, and how long it took.
func TestFailedRequestsAreExplained(t *testing.T) {
	for why, fail := range map[string]func(*world){
		"it may have run":    func(w *world) { w.ask("h", "/o/x", 500); w.fail(w.app()[0], false) },
		"no answer in time":  func(w *world) { w.ask("h", "/o/x", 500) },
		"refused: no engine": func(w *world) { w.list(); w.ask("h", "/a/x", 500) },
		"stream broken": func(w *world) {
			w.ask("h", "/s/x", 500)
			w.head(w.llm()[0], 1)
		},
	} {
		t.Run(why, func(t *testing.T) {
			w := two(t)
			w.notes = nil
			fail(w)
			w.pass(2 * time.Second)
			notes := w.noted()
			w.want(len(notes) == 1, "%d notes: %v", len(notes), w.notes)
			note := notes[0]
			w.want(note["why"] == why && note["level"] == flow.Warn && note["request"] == "t1" && note["route"] != "" && note["unnoted"] == 0, "%v", note)
			if why == "it may have run" {
				w.want(note["evidence"] == "reset" && note["engine"] != "" && note["sends"] == 1, "%v", note)
			}
		})
	}
}

// Given many requests that fail at once, when they are noted, then one a second is, and
// says how many were not.
func TestManyFailuresAreNotedOnce(t *testing.T) {
	w := two(t)
	w.notes = nil
	w.list()
	for range 20 {
		w.ask("h", "/a/x", 500)
	}
	w.pass(500 * time.Millisecond)
	w.want(len(w.noted()) == 1, "%d notes", len(w.noted()))
	w.pass(time.Second)
	w.ask("h", "/a/x", 500)
	w.pass(500 * time.Millisecond)
	notes := w.noted()
	w.want(len(notes) == 2 && notes[1]["unnoted"] == 19, "%v", notes)
}
