package node

import (
	"fernlink/core/serve/engines"
	"fernlink/core/sorted"
)

// gauges are what is told of each engine.
var gauges = []struct {
	name, help string
	of         func(engines.View) float64
}{
	{"engine_usable", "new work may go there", func(v engines.View) float64 { return flag(v.Usable) }},
	{"engine_draining", "the platform takes it away", func(v engines.View) float64 { return flag(v.Draining) }},
	{"engine_under_way_here", "requests of this node there", func(v engines.View) float64 { return float64(v.Mine) }},
	{"engine_under_way_elsewhere", "requests of others there, as far as it is known", func(v engines.View) float64 { return float64(v.Others) }},
	{"engine_slots", "requests that it runs at once", func(v engines.View) float64 { return float64(v.Slots) }},
	{"engine_failures_in_a_row", "failures since its last sign of life", func(v engines.View) float64 { return float64(v.Strikes) }},
	{"engine_pace_seconds", "a smoothed time between events or of an answer", func(v engines.View) float64 { return v.PaceMS / 1000 }},
}

func engineFamilies(views []engines.View) []family {
	if len(views) == 0 {
		return nil
	}
	var out []family
	for _, g := range gauges {
		f := family{name: g.name, help: g.help}
		for _, v := range views {
			f.samples = append(f.samples, sample{[]label{{"engine", v.ID}, {"pool", v.Pool}}, g.of(v)})
		}
		out = append(out, f)
	}
	w := family{name: "engine_weights", help: "version of a model that it holds, as far as it is known"}
	for _, v := range views {
		for _, m := range sorted.Keys(v.Versions) {
			w.samples = append(w.samples, sample{[]label{{"engine", v.ID}, {"model", m}}, float64(v.Versions[m])})
		}
	}
	if len(w.samples) > 0 {
		out = append(out, w)
	}
	return out
}
