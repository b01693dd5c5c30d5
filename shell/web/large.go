package web

import (
	"context"
	"time"
)

// A large call that is rewritten, such as a configuration, takes many times its size while it is
// read. One is under way at a time; the others wait with their bodies, which have a bound of
// their own.
const (
	largeCall     = 1 << 20 // bytes of a body
	largeCallWait = time.Second
)

// takeLarge waits until no other large call is under way, and says whether that came about.
func (w *Web) takeLarge(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, largeCallWait)
	defer stop()
	select {
	case w.large <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// freeLarge lets the next large call go on.
func (w *Web) freeLarge() { <-w.large }
