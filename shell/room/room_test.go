package room

import (
	"context"
	"sync"
	"testing"
	"time"
)

// Given a room, when many take of it at once, then the sum stays within its bound, what was
// added counts, and what is freed can be taken again.
func TestTheSumStaysWithinTheBound(t *testing.T) {
	r := New(100)
	var all sync.WaitGroup
	for range 50 {
		all.Add(1)
		go func() {
			defer all.Done()
			for range 200 {
				if r.Take(30) {
					if held := r.Held(); held > 100 {
						t.Errorf("%d are held", held)
					}
					r.Free(30)
				}
			}
		}()
	}
	all.Wait()
	r.Add(120)
	if r.Held() != 120 || r.Take(1) {
		t.Errorf("%d are held, and more is taken", r.Held())
	}
}

// Given a room that is full, when somebody waits for it, then it has its part once that is
// free, and one that is larger than the room is taken alone; a wait ends with its context.
func TestAWaitEnds(t *testing.T) {
	r := New(100)
	r.Add(80)
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	if r.Wait(ctx, 30) == nil {
		t.Error("it was taken beyond the bound")
	}
	taken := make(chan error, 2)
	go func() { taken <- r.Wait(context.Background(), 30) }()
	go func() { time.Sleep(20 * time.Millisecond); r.Free(80) }()
	if err := <-taken; err != nil || r.Held() != 30 {
		t.Errorf("%v, %d are held", err, r.Held())
	}
	go func() { taken <- r.Wait(context.Background(), 1000) }()
	time.Sleep(20 * time.Millisecond)
	r.Free(30)
	if err := <-taken; err != nil || r.Held() != 1000 {
		t.Errorf("%v, %d are held", err, r.Held())
	}
}
