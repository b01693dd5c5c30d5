package sim

import (
	"testing"
	"time"
)

// Given forty configurations and as many versions of weights that were acknowledged,
// when all machines lost power and the platform's callers send each of them again, to
// any machine, then none is refused and the newest configuration stands.
func TestSiteOrdersAreKnownAgain(t *testing.T) {
	t.Parallel()
	s := site(t, 251, LittleSite)
	const changes = 40
	for i := range changes {
		done := false
		s.Configure(s.Newest().Rev, s.change(s.w.Rand), 10*time.Second, func(*siteConfig) { done = true })
		s.Name(s.named[siteModel]+1, nil)
		if !s.w.Until(15*time.Second, func() bool { return done }) {
			t.Fatalf("change %d has no answer", i)
		}
		s.w.Run(200 * time.Millisecond)
	}
	newest := s.Newest().Rev
	s.each(func(h *Host) { s.Kill(h, true, false, time.Second) })
	s.closed = s.w.Now + time.Second
	s.w.Run(time.Second + s.Bounds.Recover)
	for _, c := range s.Configs {
		if c.State == cfgTaken {
			s.Again(c)
			s.w.Run(50 * time.Millisecond)
		}
	}
	for _, v := range s.noted {
		s.NameAgain(v)
		s.w.Run(50 * time.Millisecond)
	}
	s.w.Run(2 * time.Second)
	if s.Newest().Rev != newest {
		t.Errorf("version %d was the newest, now it is %d", newest, s.Newest().Rev)
	}
	if s.Count["configs again 200"] < changes || s.Count["versions again 200"] < changes {
		t.Errorf("too few were acknowledged again: %v", s.Count)
	}
	s.over(t)
}
