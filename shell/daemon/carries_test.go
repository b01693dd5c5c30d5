package daemon

import (
	"testing"

	"fernlink/config"
)

// Given the settings of a machine, when a node is made, then it tells its link and disk
// unless it may be lost beside all machines that may.
func TestOnlyCountedMachinesSayWhatTheyCarry(t *testing.T) {
	for name, c := range map[string]struct {
		counted    bool
		losses     int
		link, disk int
	}{
		"counted":     {true, 2, 600, 440},
		"not counted": {false, 2, 0, 0},
		"no budget":   {false, 0, 600, 440},
	} {
		link, disk := carries(config.Config{Counted: c.counted, CoreLosses: c.losses, LinkMbps: 600, DiskMB: 440})
		if link != c.link || disk != c.disk {
			t.Errorf("%s: %d Mbit/s, %d MB", name, link, disk)
		}
	}
}
