package sim

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// Given a site under random troubles, when its day is over, then none of its
// rules was broken. SITE_FROM and SITE_TO run other seeds; scripts/sweep runs
// many.
func TestSiteStorm(t *testing.T) {
	t.Parallel()
	from, to := int64(1), int64(6)
	if s := os.Getenv("SITE_FROM"); s != "" {
		from, _ = strconv.ParseInt(s, 10, 64)
		to, _ = strconv.ParseInt(os.Getenv("SITE_TO"), 10, 64)
	}
	sum := SiteSweep(from, to, 10, runtime.NumCPU())
	for _, o := range sum.Found {
		t.Errorf("seed %d: %q\nfaults: %q", o.Seed, o.Bad, o.Marks)
	}
	t.Logf("%v", sum.Risks)
}

// Given a seed, when its storm is played again, then all happens as before.
func TestSiteReplays(t *testing.T) {
	t.Parallel()
	a, b := SiteStorm(3, 4), SiteStorm(3, 4)
	if a.Trace != b.Trace {
		t.Errorf("seed 3 came to %x and to %x", a.Trace, b.Trace)
	}
}
