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
	world := New(grownSize())
	for i, h := range world.Hosts {
		if i < 8 {
			h.Roles = []string{"dispatcher", "store", "coordinator"}
		} else if i >= 66 {
			h.Roles = []string{"reserve"}
		}
	}
	return world
}

// BenchmarkIdleFleet shows the processor time that each role of a fleet without
// any traffic spends in its core.
func BenchmarkIdleFleet(b *testing.B) {
	world := grownWorld()
	for _, h := range world.Hosts {
		h.Start()
	}
	world.Run(5 * time.Second)
	world.Ask(ledger.PutPlan{Version: 1, Request: "p1", Doc: plan(1, 4, 10)}, nil)
	world.Run(3 * time.Second)
	world.Clear()
	b.ResetTimer()
	for range b.N {
		world.Run(10 * time.Second)
	}
	seconds := 10 * float64(b.N)
	sums := map[string]*Spent{}
	count := map[string]float64{}
	for i, host := range world.Hosts {
		role := "dispatcher"
		switch {
		case host == world.lead:
			role = "leader"
		case i < 8:
			role = "voter"
		case i >= 66:
			role = "reserve"
		}
		spent := sums[role]
		if spent == nil {
			spent = &Spent{}
			sums[role] = spent
		}
		count[role]++
		spent.CPU += host.Spent.CPU
		spent.Heard += host.Spent.Heard
		spent.Sent += host.Spent.Sent
		spent.In += host.Spent.In
	}
	if world.lead != nil {
		b.Logf("leader: bytes in %v, out %v, lines %d in, %d out", world.lead.Spent.KindsIn, world.lead.Spent.Kinds, world.lead.Spent.In, world.lead.Spent.Out)
	}
	for role, s := range sums {
		b.ReportMetric(float64(s.CPU)/1e6/seconds/count[role], role+"-ms/s")
		b.ReportMetric(float64(s.Heard+s.Sent)/seconds/count[role]/1000, role+"-kB/s")
		b.ReportMetric(float64(s.In)/seconds/count[role], role+"-lines/s")
	}
}
