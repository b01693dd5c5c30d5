package invariant

import (
	"strings"
	"testing"
)

// Given a monitor, when promises are found broken, then each is counted by its name and
// waits once for the log, and what waits is bounded.
func TestViolationsAreCountedAndKeptOnce(t *testing.T) {
	monitor := NewMonitor()
	for range 3 * pendingMost {
		monitor.Violated(VoteChanged, "term", 7)
	}
	monitor.Violated(TwoLeaders)
	counts := monitor.Counts()
	if counts[VoteChanged] != 3*pendingMost || counts[TwoLeaders] != 1 || counts[PlanWentBack] != 0 || len(counts) != len(Names) {
		t.Errorf("counts %v", counts)
	}
	pending := monitor.Pending()
	if len(pending) != pendingMost || pending[0].String() != "invariant violated: vote_changed [term 7]" {
		t.Errorf("%d pending, first %v", len(pending), pending[0])
	}
	if again := monitor.Pending(); len(again) != 0 {
		t.Errorf("taken twice: %v", again)
	}
}

// Given no monitor, when a promise is found broken, then the test that runs fails with
// its name.
func TestWithoutAMonitorAViolationPanics(t *testing.T) {
	defer func() {
		found, _ := recover().(string)
		if !strings.Contains(found, string(PlanWentBack)) {
			t.Errorf("panicked with %q", found)
		}
	}()
	var none *Monitor
	none.Violated(PlanWentBack, "version", 3)
}
