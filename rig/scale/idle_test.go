package scale

import (
	"testing"
	"time"

	"fernlink/core/ledger"
)

// grownSize is a fleet of 66 serving machines and 12 that stand by.
func grownSize() Size {
	return Size{Stores: 5, Coords: 3, Nodes: 78, Engines: 42, Models: 4, Regions: 1, Zones: 4, Routes: 10, Swap: time.Second}
}

func grownWorld() *World {
	w := New(grownSize())
	for i, h := range w.Hosts {
		if i < 8 {
			h.Roles = []string{"dispatcher", "store", "coordinator"}
		} else if i >= 66 {
			h.Roles = []string{"reserve"}
		}
	}
	return w
}

// BenchmarkIdleFleet shows the processor time that each role of a fleet without
// any traffic spends in its core.
func BenchmarkIdleFleet(b *testing.B) {
	w := grownWorld()
	for _, h := range w.Hosts {
		h.Start()
	}
	w.Run(5 * time.Second)
	w.Ask(ledger.PutPlan{Version: 1, Request: "p1", Doc: plan(1, 4, 10)}, nil)
	w.Run(3 * time.Second)
	w.Clear()
	b.ResetTimer()
	for range b.N {
		w.Run(10 * time.Second)
	}
	seconds := 10 * float64(b.N)
	sums := map[string]*Spent{}
	count := map[string]float64{}
	for i, h := range w.Hosts {
		role := "dispatcher"
		switch {
		case h == w.lead:
			role = "leader"
		case i < 8:
			role = "voter"
		case i >= 66:
			role = "reserve"
		}
		s := sums[role]
		if s == nil {
			s = &Spent{}
			sums[role] = s
		}
		count[role]++
		s.CPU += h.Spent.CPU
		s.Heard += h.Spent.Heard
		s.Sent += h.Spent.Sent
		s.In += h.Spent.In
	}
	if w.lead != nil {
		b.Logf("leader: bytes in %v, out %v, lines %d in, %d out", w.lead.Spent.KindsIn, w.lead.Spent.Kinds, w.lead.Spent.In, w.lead.Spent.Out)
	}
	for role, s := range sums {
		b.ReportMetric(float64(s.CPU)/1e6/seconds/count[role], role+"-ms/s")
		b.ReportMetric(float64(s.Heard+s.Sent)/seconds/count[role]/1000, role+"-kB/s")
		b.ReportMetric(float64(s.In)/seconds/count[role], role+"-lines/s")
	}
}
