package sim

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// Given fleets under random faults, when all are over, then nothing that must
// never happen did, and service is back in time. STORM_FROM and STORM_TO run
// other seeds; scripts/sweep runs many.
func TestStorm(t *testing.T) {
	t.Parallel()
	from, to := int64(18), int64(28) // all that is asked for below comes near in them
	if s := os.Getenv("STORM_FROM"); s != "" {
		from, _ = strconv.ParseInt(s, 10, 64)
		to, _ = strconv.ParseInt(os.Getenv("STORM_TO"), 10, 64)
	}
	sum := Sweep(from, to, 10, runtime.NumCPU())
	for _, o := range sum.Found {
		t.Errorf("seed %d: %q\nfaults: %q", o.Seed, o.Bad, o.Marks)
	}
	if sum.Listed == 0 {
		t.Error("no result was listed at all")
	}
	for _, k := range []string{"keys said again", "orders said again", "bookings refused", "plans acked", "plans lost", "plans invalid", "weight orders", "resumed", "twins", "failed_runs", "judge_failures", "hits_expected"} {
		if sum.Risks[k] == 0 {
			t.Errorf("the storms never came near: %s", k)
		}
	}
	for _, kind := range []string{"slow-member", "restart-twice", "wiped-while-slow", "restart-amid-fetch", "damaged-pieces"} {
		if sum.Faults[kind] == 0 {
			t.Errorf("the storms never had this fault: %s", kind)
		}
	}
}
