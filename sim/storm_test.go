package sim

import (
	"os"
	"strconv"
	"testing"
)

// Given a fleet under random faults, when all are over, then nothing that
// must never happen did, and service is back in time. STORM_SEEDS=from-to
// sweeps other seeds.
func TestStorm(t *testing.T) {
	from, to := int64(1), int64(8)
	if s := os.Getenv("STORM_FROM"); s != "" {
		from, _ = strconv.ParseInt(s, 10, 64)
		to, _ = strconv.ParseInt(os.Getenv("STORM_TO"), 10, 64)
	}
	for seed := from; seed <= to; seed++ {
		o := Storm(seed, ShapeOf(seed), 10)
		if len(o.Bad) > 0 {
			t.Errorf("seed %d: %q\nfaults: %q", seed, o.Bad, o.Marks)
		}
	}
}
