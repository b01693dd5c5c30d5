// Package room counts what a process holds of the bodies of others against a bound, so that
// their sum stays within its memory however many there are. shell/web takes room for what
// clients send and for answers that they have not read yet, shell/outcall for answers of
// engines that it reads. It has no goroutine of its own.
package room

import (
	"context"
	"sync/atomic"
	"time"
)

// Room is a bound in bytes, and what is held of it. The zero value is not of use.
type Room struct {
	most int64
	held atomic.Int64
}

// New makes a room of so many bytes.
func New(most int64) *Room { return &Room{most: most} }

// Most is its bound in bytes.
func (r *Room) Most() int64 { return r.most }

// Held is what is held, in bytes. It may be more than the bound, by what was added.
func (r *Room) Held() int64 { return r.held.Load() }

// Take takes so many bytes, where that leaves the sum within the bound.
func (r *Room) Take(bytes int64) bool {
	for {
		held := r.held.Load()
		if held+bytes > r.most {
			return false
		}
		if r.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Add takes so many bytes whatever is held: they are in memory already.
func (r *Room) Add(bytes int64) { r.held.Add(bytes) }

// Free gives so many bytes back.
func (r *Room) Free(bytes int64) { r.held.Add(-bytes) }

// again is how often a wait looks for room.
const again = 5 * time.Millisecond

// Wait takes so many bytes once there is room, or gives the context's error. What is larger
// than the whole room is taken once nothing else is held.
func (r *Room) Wait(ctx context.Context, bytes int64) error {
	for !r.Take(bytes) {
		if bytes > r.most && r.held.CompareAndSwap(0, bytes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(again):
		}
	}
	return nil
}
