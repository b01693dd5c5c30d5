package sim

import (
	"testing"
	"time"
)

// Given an engine that a weight order reaches seconds late, after the order was sent again and a
// newer version was taken, then it brings no older version back.
func TestSiteALateOrderDoesNotBringOldWeightsBack(t *testing.T) {
	t.Parallel()
	s := site(t, 19, LittleSite)
	engine := s.Pool("llm")[0]
	engine.Far = 7 * time.Second
	if !s.w.Until(20*time.Second, func() bool { return s.ordersOnTheWay > 0 }) {
		t.Fatal("no order is on its way")
	}
	s.w.Run(100 * time.Millisecond)
	engine.Far = 0 // the next ones arrive at once
	s.w.Run(16 * time.Second)
	back := 0
	for i, o := range engine.Ordered {
		if i > 0 && o.Rev < engine.Ordered[i-1].Rev && o.Code == 202 {
			back++
		}
	}
	if back > 0 {
		t.Errorf("%d orders brought an older version back: %+v", back, engine.Ordered)
	}
	s.over(t)
}
