package main

import (
	"fmt"
	"testing"
	"time"

	"fernlink/platform"
	"fernlink/shell/web"
)

// Guards against a process that is killed amid a stop in order, since it lasts longer than
// the platform lets it.
//
// Given a platform's grace period, when a process of it stops, then what its core may take and
// what its last answers may take to be read fit into that.
func TestAStopFitsTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{3 * time.Second, 8 * time.Second, 30 * time.Second} {
		read, bad, err := platform.Settings(settings(t, fmt.Sprintf("Bounds.GraceS=%v", grace.Seconds())))
		if err != nil || len(bad) > 0 {
			t.Fatal(err, bad)
		}
		if most := time.Duration(read.Stop)*time.Second + web.CloseMost; most >= grace {
			t.Errorf("a stop may take %v of %v", most, grace)
		}
	}
}
