package scale

import (
	"fmt"
	"runtime"
	"sort"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Axis is one size that is varied alone. Run brings its load about in a fleet
// that serves, and gives the simulated time that the counts are of; Totals says
// that they are given whole, not for each second of it.
type Axis struct {
	Name   string
	Unit   string
	Values []float64
	Totals bool
	Base   func(x float64) Size
	Run    func(w *World, x float64, more map[string]float64) time.Duration
}

func small(nodes, engines int) Size {
	return Size{Stores: 3, Coords: 2, Nodes: nodes, Engines: engines, Models: 4, Regions: 3, Zones: 6, Routes: 20, Swap: time.Second}
}

// still lets a fleet be as it is.
func still(d time.Duration) func(*World, float64, map[string]float64) time.Duration {
	return func(w *World, _ float64, _ map[string]float64) time.Duration {
		w.Run(d)
		return d
	}
}

// Axes are all that can be varied.
var Axes = []Axis{
	{Name: "nodes", Unit: "node", Values: []float64{25, 50, 100, 150, 200},
		Base: func(x float64) Size { return small(int(x), 100) }, Run: still(5 * time.Second)},
	{Name: "engines", Unit: "engine", Values: []float64{250, 500, 1000, 2000},
		Base: func(x float64) Size { return small(12, int(x)) }, Run: still(5 * time.Second)},
	{Name: "list-change", Unit: "engine on the list", Values: []float64{250, 500, 1000, 2000}, Totals: true,
		Base: func(x float64) Size { return small(12, int(x)) },
		Run: func(w *World, _ float64, _ map[string]float64) time.Duration {
			w.Out.replace(3) // two changes of the list: it drains, and another takes its place
			w.Run(3 * time.Second)
			return 3 * time.Second
		}},
	{Name: "zones", Unit: "zone", Values: []float64{3, 6, 12, 24},
		Base: func(x float64) Size { s := small(48, 100); s.Zones = int(x); return s }, Run: still(5 * time.Second)},
	{Name: "regions", Unit: "region", Values: []float64{1, 3, 6, 9},
		Base: func(x float64) Size {
			s := small(36, 100)
			s.Regions, s.Zones, s.Stores = int(x), 18, 9
			return s
		},
		Run: func(w *World, _ float64, more map[string]float64) time.Duration {
			more["in force everywhere, s"] = w.change(2, 20).Seconds()
			w.Run(4 * time.Second)
			return 4 * time.Second
		}},
	{Name: "voters", Unit: "voter", Values: []float64{3, 5, 7, 9}, Totals: true,
		Base: func(x float64) Size { s := small(16, 200); s.Stores, s.Zones = int(x), 9; return s },
		Run:  func(w *World, _ float64, more map[string]float64) time.Duration { return w.lot(more, 512, 4, 64) }},
	{Name: "routes", Unit: "route in a changed configuration", Values: []float64{100, 200, 400, 800, 1600}, Totals: true,
		Base: func(x float64) Size { return small(12, 100) },
		Run: func(w *World, x float64, more map[string]float64) time.Duration {
			more["bytes of the configuration"] = float64(len(plan(2, 4, int(x))))
			more["in force everywhere, s"] = w.change(2, int(x)).Seconds()
			w.Run(time.Second)
			return time.Second
		}},
	{Name: "changes", Unit: "change of a configuration of 100 routes a second", Values: []float64{1, 2, 4, 8},
		Base: func(float64) Size { return small(12, 100) },
		Run: func(w *World, x float64, _ map[string]float64) time.Duration {
			n := int(5 * x)
			for i := range n {
				w.After(time.Duration(float64(i)/x*1e9), func() {
					w.Ask(ledger.PutPlan{Version: uint64(i + 2), Read: uint64(i + 1), Request: fmt.Sprint("p", i+2), Doc: plan(uint64(i+2), 4, 100)}, nil)
				})
			}
			w.Run(5 * time.Second)
			return 5 * time.Second
		}},
	{Name: "open-lots", Unit: "open lot", Values: []float64{8, 16, 32, 64},
		Base: func(float64) Size { return small(12, 200) },
		Run: func(w *World, x float64, more map[string]float64) time.Duration {
			w.lots(int(x), 16, 1, 64, more)
			w.Clear()
			w.Run(5 * time.Second)
			return 5 * time.Second
		}},
	{Name: "items", Unit: "item of a lot", Values: []float64{256, 512, 1024, 2048, 4096}, Totals: true,
		Base: func(float64) Size { s := small(12, 400); s.Models = 1; return s },
		Run:  func(w *World, x float64, more map[string]float64) time.Duration { return w.lot(more, int(x), 4, 64) }},
	{Name: "text", Unit: "byte of each of 512 items' texts", Values: []float64{256, 1024, 2048, 4096}, Totals: true,
		Base: func(float64) Size { s := small(12, 400); s.Models = 1; return s },
		Run:  func(w *World, x float64, more map[string]float64) time.Duration { return w.lot(more, 512, 4, int(x)/4) }},
	{Name: "events", Unit: "event of each of 512 items", Values: []float64{4, 8, 16, 32}, Totals: true,
		Base: func(float64) Size { s := small(12, 400); s.Models = 1; return s },
		Run:  func(w *World, x float64, more map[string]float64) time.Duration { return w.lot(more, 512, int(x), 16) }},
	{Name: "restarts", Unit: "node restarted", Values: []float64{1, 2, 4, 8, 16}, Totals: true,
		Base: func(float64) Size { return small(48, 400) },
		Run: func(w *World, x float64, _ map[string]float64) time.Duration {
			for i := range int(x) {
				h := w.Hosts[len(w.Hosts)-1-i]
				w.After(time.Duration(i)*200*time.Millisecond, h.Kill)
				w.After(time.Duration(i)*200*time.Millisecond+time.Second, h.Start)
			}
			w.Run(6 * time.Second)
			return 6 * time.Second
		}},
	{Name: "refill", Unit: "byte of each of 2048 items' texts that a blank store lacks", Values: []float64{2048, 4096, 8192, 16384, 32768}, Totals: true,
		Base: func(float64) Size { s := small(12, 400); s.Models = 1; return s },
		Run: func(w *World, x float64, more map[string]float64) time.Duration {
			w.lot(more, 2048, 4, int(x)/4)
			var lost *Host
			for _, h := range w.Hosts {
				if h.Has("store") && h != w.lead {
					lost = h
				}
			}
			lost.Kill()
			w.Run(time.Second) // its machine comes back with an empty disk
			w.Clear()
			from, out := w.Now, w.out
			lost.Start()
			w.Until(2*time.Minute, func() bool { return w.out > out })
			more["a voter again, s"] = (w.Now - from).Seconds()
			more["bytes on its disk"] = 0
			for _, b := range lost.blobs {
				more["bytes on its disk"] += float64(len(b))
			}
			more["bytes to it"] = float64(lost.Spent.Heard)
			return w.Now - from
		}},
	{Name: "requests", Unit: "request a second at one node", Values: []float64{25, 50, 100, 200, 400},
		Base: func(float64) Size { s := small(12, 200); s.Models = 1; return s },
		Run: func(w *World, x float64, more map[string]float64) time.Duration {
			h, n, good := w.owner(), int(5*x), 0
			for i := range n {
				w.After(time.Duration(float64(i)/x*1e9), func() {
					h.Call(flow.Call{Name: "request", Host: callHost, Verb: "POST", Path: "/v1/", Body: make([]byte, 512), Query: map[string]string{},
						Fields: []flow.Field{{Name: "Attempt-Id", Value: fmt.Sprint("a", i)}, {Name: "Time-Left-Ms", Value: "4000"}}}, func(r flow.Reply) {
						if r.Code == 200 {
							good++
						}
					})
				})
			}
			w.Run(5 * time.Second)
			more["answered, share"] = float64(good) / float64(n)
			return 5 * time.Second
		}},
	{Name: "pool", Unit: "engine of the pool, at 100 requests a second", Values: []float64{50, 200, 400, 800},
		Base: func(x float64) Size { s := small(12, int(x)); s.Models = 1; return s },
		Run: func(w *World, _ float64, _ map[string]float64) time.Duration {
			h := w.owner()
			for i := range 500 {
				w.After(time.Duration(i)*Round, func() {
					h.Call(flow.Call{Name: "request", Host: callHost, Verb: "POST", Path: "/v1/", Body: make([]byte, 512), Query: map[string]string{},
						Fields: []flow.Field{{Name: "Attempt-Id", Value: fmt.Sprint("a", i)}, {Name: "Time-Left-Ms", Value: "4000"}}}, nil)
				})
			}
			w.Run(5 * time.Second)
			return 5 * time.Second
		}},
	{Name: "weights", Unit: "engine that takes new weights in 1 s", Values: []float64{100, 200, 400, 800, 1600}, Totals: true,
		Base: func(x float64) Size { return small(12, int(x)) },
		Run: func(w *World, _ float64, more map[string]float64) time.Duration {
			d := w.weights(2)
			more["all engines, s"] = d.Seconds()
			more["orders"] = float64(w.Out.Orders)
			return d
		}},
}

// owner is the node that takes lots and requests: the last one.
func (w *World) owner() *Host { return w.Hosts[len(w.Hosts)-1] }

// change puts a configuration, and gives how long after its putting it was in
// force at every node.
func (w *World) change(version uint64, routes int) time.Duration {
	from := w.Now
	w.putPlan(version, routes, nil)
	w.Until(time.Minute, func() bool { return w.All(func(h *Host) bool { return h.Plan >= version }) })
	return w.Now - from
}

// putPlan puts a configuration, and does f once that is acknowledged.
func (w *World) putPlan(version uint64, routes int, f func()) {
	w.Ask(ledger.PutPlan{Version: version, Read: version - 1, Request: fmt.Sprint("p", version), Doc: plan(version, w.Size.Models, routes)}, func(ledger.Result) {
		if f != nil {
			f()
		}
	})
}

// weights names a version of all models' weights, and gives how long it took
// until all engines had it.
func (w *World) weights(v int) time.Duration {
	from := w.Now
	for i := range w.Size.Models {
		w.Ask(ledger.PutTarget{Pool: model(i), Revision: v}, nil)
	}
	w.Until(2*time.Minute, func() bool { return w.Out.allHold(v) })
	return w.Now - from
}

func lotBody(id string, items int) []byte {
	type row struct {
		InstanceId, GroupId, Path string
		Headers                   map[string]string
		Body                      []byte
		Tokens                    int
	}
	var doc struct {
		Model                          string
		TrainStep, MinVersion, Desired int
		Requests                       []row
	}
	doc.Model, doc.Desired = model(0), items/8
	for i := range items {
		doc.Requests = append(doc.Requests, row{fmt.Sprintf("%s-%05d", id, i), fmt.Sprintf("g%04d", i/8), "/v1/sample/",
			map[string]string{"Token-Counts": "100,200"}, []byte(strings.Repeat("p", 256)), 300})
	}
	b, _ := json.Marshal(doc)
	return b
}

// lot hands a lot in at the owner and waits until all its results are listed.
func (w *World) lot(more map[string]float64, items, events, text int) time.Duration {
	return w.lots(1, items, events, text, more)
}

func (w *World) lots(count, items, events, text int, more map[string]float64) time.Duration {
	from, h := w.Now, w.owner()
	w.Out.Events, w.Out.Text, w.Out.Takes = events, text, 50*time.Millisecond
	done := 0
	for i := range count {
		id := fmt.Sprintf("lot-%d", i)
		h.Call(flow.Call{Name: "request", Host: lotHost, Verb: "POST", Path: "/lots/", Body: lotBody(id, items), Query: map[string]string{},
			Fields: []flow.Field{{Name: "Attempt-Id", Value: id}}}, func(r flow.Reply) {
			if r.Code != 202 {
				more["refused lots"]++
				return
			}
			w.listed(id, items, func() { done++ })
		})
	}
	w.Until(2*time.Minute, func() bool { return done == count })
	more["seconds until all is listed"] = (w.Now - from).Seconds()
	return w.Now - from
}

// listed does f once a lot's results are all listed. It asks with no bytes to
// read, so that asking costs little.
func (w *World) listed(id string, items int, f func()) {
	w.Ask(ledger.ReadLot{Lot: id, From: items, Bytes: 1}, func(r ledger.Result) {
		var x struct{ Listed int }
		if json.Unmarshal(r.Body, &x) == nil && x.Listed >= items {
			f()
			return
		}
		w.After(20*Round, func() { w.listed(id, items, f) })
	})
}

// Ready starts a fleet with its first configuration and says whether every node
// serves. Stores come first, so that the rest joins a cluster that stands.
func (w *World) Ready() bool {
	for _, h := range w.Hosts {
		if h.Has("store") {
			h.Start()
		}
	}
	if !w.Until(20*time.Second, func() bool { return w.lead != nil }) {
		return false
	}
	for _, h := range w.Hosts {
		if h.Has("coordinator") {
			h.Start()
		}
	}
	if !w.Until(20*time.Second, func() bool { return w.acts != nil }) {
		return false
	}
	for i, h := range w.Hosts {
		if !h.Has("store") && !h.Has("coordinator") {
			w.After(time.Duration(i)*Round/4, h.Start)
		}
	}
	w.Run(time.Duration(len(w.Hosts)) * Round / 4)
	w.putPlan(1, w.Size.Routes, nil)
	return w.Until(time.Minute, func() bool {
		return w.All(func(h *Host) bool { return h.Plan >= 1 && h.Serving })
	})
}

// Measured is what one run came to: by role, then by what.
type Measured map[string]map[string]float64

// roleOf are the parts that are told apart. The owner is one dispatcher among
// them that takes lots and requests.
var roleOf = []struct {
	name string
	is   func(*World, *Host) bool
}{
	{"store leader", func(w *World, h *Host) bool { return h == w.lead }},
	{"store follower", func(w *World, h *Host) bool { return h.Has("store") && h != w.lead }},
	{"coordinator", func(w *World, h *Host) bool { return h == w.acts }},
	{"lot owner", func(w *World, h *Host) bool { return h == w.owner() }},
	{"dispatcher", func(w *World, h *Host) bool {
		return !h.Has("store") && !h.Has("coordinator") && h != w.owner()
	}},
}

// measure gives each role's mean since the counts were cleared.
func (w *World) measure(window time.Duration, totals bool) Measured {
	measured := Measured{}
	per := 1 / window.Seconds()
	if totals {
		per = 1
	}
	for _, role := range roleOf {
		sum, hosts := map[string]float64{}, 0.0
		for _, h := range w.Hosts {
			if !h.Up || !role.is(w, h) {
				continue
			}
			hosts++
			spent := &h.Spent
			sum["cpu_ms"] += float64(spent.CPU) / 1e6 * per
			sum["lines_out"] += float64(spent.Out) * per
			sum["lines_in"] += float64(spent.In) * per
			sum["bytes_out"] += float64(spent.Sent) * per
			sum["bytes_in"] += float64(spent.Heard) * per
			sum["calls"] += float64(spent.Sends) * per
			sum["list_bytes"] += float64(spent.Reads) * per
			sum["longest_turn_ms"] += float64(spent.Turn) / 1e6
			sum["disk_bytes"] += float64(spent.Bytes) * per
			for k, v := range spent.Kinds {
				sum["out."+k] += float64(v) * per
			}
			for k, v := range spent.KindsIn {
				sum["in."+k] += float64(v) * per
			}
		}
		for k := range sum {
			sum[k] /= hosts
		}
		measured[role.name] = sum
	}
	return measured
}

// heap is what lives after a collection, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// shelved counts the bytes that would lie on disks.
func (w *World) shelved() (n float64) {
	for _, h := range w.Hosts {
		for _, b := range h.blobs {
			n += float64(len(b))
		}
	}
	return n
}

// Slope is one role's cost against one size.
type Slope struct {
	Axis string `json:"axis"`
	Unit string `json:"unit"`
	Per  string `json:"per"` // second, or run
	Role string `json:"role"`
	What string `json:"what"`
	Fit
}

// Measure varies one size alone and fits a line for each role and cost.
func (a Axis) Measure(progress func(string)) ([]Slope, error) {
	points := map[[2]string][]Point{}
	for i, size := range a.Values {
		before := heap()
		world := New(a.Base(size))
		if !world.Ready() {
			return nil, fmt.Errorf("scale: %s at %v: the fleet does not serve", a.Name, size)
		}
		world.Run(3 * time.Second)
		world.Clear()
		more := map[string]float64{}
		window := a.Run(world, size, more)
		got := world.measure(window, a.Totals)
		more["heap a node"] = (heap() - before - world.shelved()) / float64(len(world.Hosts))
		got["fleet"] = more
		for role, m := range got {
			for what, v := range m {
				k := [2]string{role, what}
				for len(points[k]) < i { // not seen at smaller sizes
					points[k] = append(points[k], Point{X: a.Values[len(points[k])]})
				}
				points[k] = append(points[k], Point{size, v})
			}
		}
		for k, p := range points {
			if len(p) <= i {
				points[k] = append(p, Point{X: size})
			}
		}
		progress(fmt.Sprintf("%s = %v is done", a.Name, size))
		runtime.KeepAlive(world)
	}
	per := "second"
	if a.Totals {
		per = "run"
	}
	var slopes []Slope
	for k, p := range points {
		slopes = append(slopes, Slope{a.Name, a.Unit, per, k[0], k[1], Line(p)})
	}
	sort.Slice(slopes, func(i, j int) bool {
		if slopes[i].Role != slopes[j].Role {
			return slopes[i].Role < slopes[j].Role
		}
		return slopes[i].What < slopes[j].What
	})
	return slopes, nil
}
