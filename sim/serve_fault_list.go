package sim

import (
	"math/rand"
	"slices"
	"time"
)

// siteFault is one trouble of a storm; it says whether it could come about.
type siteFault struct {
	kind string
	do   func(*Site, *rand.Rand) bool
}

func pick[T any](r *rand.Rand, list []T) (x T, ok bool) {
	if len(list) == 0 {
		return x, false
	}
	return list[r.Intn(len(list))], true
}

func (s *Site) onCore(r *rand.Rand, f func(*Host)) bool {
	if s.w.Leader() == nil || !s.w.Repaired() || len(s.up(s.Core())) < len(s.Core()) {
		return false // one at a time is what the fleet is to survive
	}
	h, ok := pick(r, s.Core())
	if ok {
		f(h)
	}
	return ok
}

// onStorage has a storage machine meet trouble. Where those keep the state, it counts
// as one of the machines that may be lost.
func (s *Site) onStorage(r *rand.Rand, f func(*Host)) bool {
	if s.Shape.wide() && (s.w.Leader() == nil || !s.w.Repaired() || len(s.up(s.Storage())) < len(s.Storage())) {
		return false
	}
	h, ok := pick(r, s.up(s.Storage()))
	if ok {
		f(h)
	}
	return ok
}

func (s *Site) onEdge(r *rand.Rand, f func(*Host)) bool {
	h, ok := pick(r, s.up(s.Dispatchers()))
	if ok && !h.Has("store") {
		f(h)
		return true
	}
	return false
}

func (s *Site) onEngine(r *rand.Rand, f func(*SiteEngine)) bool {
	all := s.Pool([]string{"app", "other", "llm", "llm2"}[r.Intn(4)])
	if len(all) < 2 {
		return false
	}
	f(all[r.Intn(len(all))])
	return true
}

// Change gives configurations: routes are added, moved, split and taken away.
func (s *Site) change(r *rand.Rand) func([]siteRoute) []siteRoute {
	n := r.Intn(6)
	name := s.name("r")
	return func(list []siteRoute) []siteRoute {
		list = slices.Clone(list)
		switch {
		case n == 0 && len(list) > 5:
			list = slices.Delete(list, len(list)-1, len(list))
		case n == 1 && len(list) > 0:
			list[0].Pools = [][]string{{"app"}, {"other"}, {"app", "other"}}[r.Intn(3)]
		case n == 2 || n == 3:
			for i, x := range list {
				if x.Name == []string{"chat", "sync"}[n-2] {
					list[i].Pools = [][]string{{"llm"}, {"llm2"}, {"llm", "llm2"}}[r.Intn(3)]
				}
			}
		default:
			list = append(list, siteRoute{name, siteName, "/" + name + "/", "idempotent", []string{[]string{"app", "other"}[r.Intn(2)]}, false})
		}
		return list
	}
}

func (s *Site) seconds(r *rand.Rand, from, to float64) time.Duration {
	return time.Duration((from + r.Float64()*(to-from)) * 1e9)
}

// SiteFaults are the troubles of a site, as its sheet names them.
var SiteFaults = []siteFault{
	{"kill a core machine", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Kill(h, false, false, s.seconds(r, 0.5, 12)) })
	}},
	{"power of a core machine", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Kill(h, true, false, s.seconds(r, 0.5, 12)) })
	}},
	{"wipe a core machine", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Kill(h, true, true, s.seconds(r, 0.5, 12)) })
	}},
	{"replace a core machine", func(s *Site, r *rand.Rand) bool { return s.onCore(r, func(h *Host) { s.Replace(h) }) }},
	{"replace a core machine as planned, and lose another right after", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) {
			s.ReplaceAsPlanned(h, func(successor *Host) { s.loseAnother(r, successor) })
		})
	}},
	{"wipe a core machine, and lose another once it counts", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) {
			s.Kill(h, true, true, time.Second)
			s.w.After(time.Second+counts, func() { s.loseAnother(r, h) })
		})
	}},
	{"freeze a core machine", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Freeze(h, s.seconds(r, 0.3, 10)) })
	}},
	{"cut a core machine off", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Cut([]*Host{h}, s.others(h), true, s.seconds(r, 2, 18)) })
	}},
	{"cut a core machine one way out", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Cut([]*Host{h}, s.others(h), false, s.seconds(r, 2, 18)) })
	}},
	{"cut a core machine one way in", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) { s.Cut(s.others(h), []*Host{h}, false, s.seconds(r, 2, 18)) })
	}},
	{"cut a control machine off while operators ask it", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) {
			manner, way := Manners[r.Intn(len(Manners))], directions[r.Intn(len(directions))]
			s.w.Mark("control cut", "%s, %s, %s", h.Name, manner, way)
			d := s.seconds(r, 5, 20)
			s.cutOff(h, manner, way, d)
			s.Hammer(h, s.w.Now+d+s.seconds(r, 0, 3))
			if edge, ok := pick(r, s.Dispatchers()); ok && !edge.Has("store") && edge.works() {
				s.restartSeededBy(edge, h)
			}
		})
	}},
	{"cut two core machines from each other", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) {
			x := s.Core()[0]
			if x == h {
				x = s.Core()[1]
			}
			s.Cut([]*Host{h}, []*Host{x}, r.Intn(2) == 0, s.seconds(r, 2, 18))
		})
	}},
	{"slow disk of a core machine", func(s *Site, r *rand.Rand) bool {
		return s.onCore(r, func(h *Host) {
			d := h.Disk
			d.Slow = s.seconds(r, 0.02, 0.3)
			s.troubled[h] = true
			s.coreBad = s.w.Now
			s.w.After(s.seconds(r, 2, 8), func() {
				d.Slow = 0
				delete(s.troubled, h)
				s.coreBad = s.w.Now
			})
		})
	}},
	{"wipe the machine that took a lot or a configuration", func(s *Site, r *rand.Rand) bool {
		if s.w.Leader() == nil || !s.w.Repaired() || len(s.up(s.Core())) < len(s.Core()) {
			return false
		}
		for i := len(s.lots) - 1; i >= 0; i-- {
			if l := s.lots[i]; l.accepted > 0 && l.taker.Has("store") && l.taker.works() {
				s.Kill(l.taker, true, true, s.seconds(r, 0.5, 4))
				return true
			}
		}
		return false
	}},
	{"lines late and twice", func(s *Site, r *rand.Rand) bool {
		s.w.Net.Late, s.w.Net.Twice = 0.02, 0.05
		for _, h := range s.w.Hosts {
			s.troubled[h] = true
		}
		s.w.After(s.seconds(r, 1, 5), func() {
			s.w.Net.Late, s.w.Net.Twice = 0, 0
			s.troubled = map[*Host]bool{}
			for _, h := range s.w.Hosts {
				s.Touch(h)
			}
		})
		return true
	}},
	{"kill an edge machine", func(s *Site, r *rand.Rand) bool {
		return s.onEdge(r, func(h *Host) { s.Kill(h, false, false, s.seconds(r, 0.5, 12)) })
	}},
	{"freeze an edge machine", func(s *Site, r *rand.Rand) bool {
		return s.onEdge(r, func(h *Host) { s.Freeze(h, s.seconds(r, 0.3, 10)) })
	}},
	{"cut an edge machine from the core", func(s *Site, r *rand.Rand) bool {
		return s.onEdge(r, func(h *Host) { s.Cut([]*Host{h}, s.keepers(), r.Intn(2) == 0, s.seconds(r, 2, 18)) })
	}},
	{"stop machines in turn", func(s *Site, r *rand.Rand) bool {
		if s.w.Leader() == nil || !s.w.Repaired() || len(s.up(s.Dispatchers())) < len(s.Dispatchers()) {
			return false
		}
		all := s.Dispatchers()
		r.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		s.Roll(all[:2], s.seconds(r, 0.5, 2))
		return true
	}},
	{"add a machine", func(s *Site, r *rand.Rand) bool {
		if len(s.w.Hosts) > 14 {
			return false
		}
		s.Add([]string{"dispatcher"}, s.Shape.Zones[r.Intn(len(s.Shape.Zones))], false)
		return true
	}},
	{"crash an engine", func(s *Site, r *rand.Rand) bool {
		return s.onEngine(r, func(e *SiteEngine) {
			e.Crash()
			e.Replace(r.Intn(2) == 0)
		})
	}},
	{"dark engine", func(s *Site, r *rand.Rand) bool {
		return s.onEngine(r, func(e *SiteEngine) {
			e.Dark = true
			s.w.After(s.seconds(r, 0.5, 5), func() { e.Dark = false })
		})
	}},
	{"slow engine", func(s *Site, r *rand.Rand) bool {
		return s.onEngine(r, func(e *SiteEngine) {
			e.Slow = 2 + 6*r.Float64()
			s.w.After(s.seconds(r, 2, 8), func() { e.Slow = 1 })
		})
	}},
	{"engine in trouble", func(s *Site, r *rand.Rand) bool {
		return s.onEngine(r, func(e *SiteEngine) {
			e.Cut, e.Garble, e.Surplus, e.Fails = r.Float64()/3, r.Float64()/3, r.Float64()/2, r.Float64()/4
			e.Bare, e.Skips = r.Float64()/4, r.Float64()/20
			s.w.After(s.seconds(r, 2, 8), func() { e.Cut, e.Garble, e.Surplus, e.Fails, e.Bare, e.Skips = 0, 0, 0, 0, 0, 0 })
		})
	}},
	{"release", func(s *Site, r *rand.Rand) bool {
		s.Release([]string{"app", "other", "llm", "llm2"}[r.Intn(4)], r.Intn(2) == 0)
		return true
	}},
	{"engine taken away", func(s *Site, r *rand.Rand) bool {
		return s.onEngine(r, func(e *SiteEngine) {
			if len(s.Pool(e.Pool)) > 2 {
				e.Retire(nil)
			}
		})
	}},
	{"platform away", func(s *Site, r *rand.Rand) bool {
		s.hideList(s.seconds(r, 1, 5))
		return true
	}},
	{"configuration", func(s *Site, r *rand.Rand) bool {
		n := s.Newest()
		if n != nil {
			s.Configure(n.Rev, s.change(r), s.Bounds.Ack, s.shown404)
		}
		return n != nil
	}},
	{"configurations race", func(s *Site, r *rand.Rand) bool {
		n := s.Newest()
		if n == nil {
			return false
		}
		a := s.Configure(n.Rev, s.change(r), s.Bounds.Ack, s.shown404)
		b := s.Configure(n.Rev, s.change(r), s.Bounds.Ack, s.shown404)
		s.w.After(s.Bounds.Ack+2*time.Second, func() {
			if a.State == cfgTaken && b.State == cfgTaken {
				s.wrong("CONFIG", "versions %d and %d on top of %d are both acknowledged", a.Rev, b.Rev, n.Rev)
			}
		})
		return true
	}},
	{"storm of configurations", func(s *Site, r *rand.Rand) bool {
		left := 6
		var next func(*siteConfig)
		next = func(c *siteConfig) {
			n := s.Newest()
			if left--; left > 0 && n != nil && !s.off {
				s.Configure(n.Rev, s.change(r), s.Bounds.Ack, func(c *siteConfig) { s.shown404(c); next(c) })
			}
		}
		next(nil)
		return true
	}},
	{"invalid configurations", func(s *Site, r *rand.Rand) bool {
		for _, f := range []func(map[string]any){
			func(d map[string]any) { d["RouteTable"].([]any)[0].(map[string]any)["Backend"] = "nobody" },
			func(d map[string]any) { d["RouteTable"].([]any)[0].(map[string]any)["LimitMs"] = 0 },
			func(d map[string]any) {
				x := d["RouteTable"].([]any)
				d["RouteTable"] = append(x, x[0])
			},
			func(d map[string]any) { d["Revision"] = 1 },
			func(d map[string]any) { delete(d, "Backends") },
		} {
			s.Invalid(f)
		}
		return true
	}},
	{"empty a storage machine", func(s *Site, r *rand.Rand) bool {
		return s.onStorage(r, s.Empty)
	}},
	{"kill a storage machine", func(s *Site, r *rand.Rand) bool {
		return s.onStorage(r, func(h *Host) {
			wipe := r.Intn(2) == 0
			s.Kill(h, wipe || r.Intn(2) == 0, wipe, s.seconds(r, 0.5, 4))
		})
	}},
	{"freeze a storage machine", func(s *Site, r *rand.Rand) bool {
		return s.onStorage(r, func(h *Host) { s.Freeze(h, s.seconds(r, 0.3, 6)) })
	}},
	{"stop a storage machine", func(s *Site, r *rand.Rand) bool {
		return s.onStorage(r, func(h *Host) { s.Term(h, s.seconds(r, 0.2, 2), nil) })
	}},
	{"cut a storage machine off", func(s *Site, r *rand.Rand) bool {
		return s.Shape.wide() && s.onStorage(r, func(h *Host) { s.Cut([]*Host{h}, s.others(h), r.Intn(2) == 0, s.seconds(r, 2, 8)) })
	}},
	{"replace a storage machine as planned", func(s *Site, r *rand.Rand) bool {
		return s.Shape.wide() && s.onStorage(r, func(h *Host) { s.ReplaceAsPlanned(h, func(*Host) {}) })
	}},
	{"add a storage machine", func(s *Site, r *rand.Rand) bool {
		if !s.Shape.wide() || len(s.Storage()) > 11 {
			return false
		}
		s.Add([]string{"reserve", "worker", "store"}, s.Shape.Zones[r.Intn(len(s.Shape.Zones))], true)
		return true
	}},
	{"wipe two storage machines right after an acknowledgement", func(s *Site, r *rand.Rand) bool {
		n := s.Newest()
		if n == nil || s.Shape.Losses < 2 {
			return false
		}
		return s.onStorage(r, func(h *Host) {
			s.Configure(n.Rev, s.change(r), s.Bounds.Ack, func(c *siteConfig) {
				if c.State == cfgTaken {
					s.wipeWith(r, h, s.seconds(r, 0.5, 4))
				}
			})
		})
	}},
	{"slow disk and thin link of a core machine", slowMember},
	{"restart a core machine twice", restartTwice},
	{"wipe a core machine that comes back slow", wipedWhileSlow},
	{"wipe a core machine, and its power amid its fetch", restartAmidFetch},
	{"replace a machine that keeps the state, and lose as many as may be once it counts", replaceThenLose},
	{"lots on a route the moment that it is acknowledged", lotsOnNewRoutes},
	{"engines pause amid streams while the others are full", pausesWhileFull},
	{"whole answers come again while items are tried again", repeatedAnswers},
	{"orders stay on their way while their holder leaves", ordersOnALongWay},
	{"a configuration of hundreds of routes", largerPlans},
}

// shown404 has each machine asked on the routes that a configuration changed.
func (s *Site) shown404(c *siteConfig) {
	paths := []string{"/never/" + s.name("n")}
	for _, old := range s.Configs {
		if old.Rev != c.Base && old.Rev != c.Rev {
			continue
		}
		for _, r := range old.Routes {
			if r.Kind == "idempotent" {
				paths = append(paths, r.Path+"probe")
			}
		}
	}
	n := 0
	s.w.Every(400*time.Millisecond, func() bool {
		for _, h := range s.Dispatchers() {
			s.Probe(h, siteName, paths[(n+s.w.Rand.Intn(len(paths)))%len(paths)])
		}
		n++
		return n < 10
	})
}
