package scale

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// Phase is one part of a whole run. Seconds are simulated: the virtual clock
// does not count processor time, which is told beside them.
type Phase struct {
	Name    string             `json:"name"`
	Seconds float64            `json:"seconds"`
	Times   map[string]float64 `json:"times,omitempty"` // seconds from the phase's start
	Lines   int64              `json:"lines"`
	Bytes   int64              `json:"bytes"`     // between nodes
	List    int64              `json:"list"`      // bytes of the list that were read
	Roles   Measured           `json:"roles"`     // totals
	Longest map[string]float64 `json:"longest"`   // turn of any host of a role, in ms of processor time
	Heap    float64            `json:"heap"`      // bytes, at the end
	Wall    float64            `json:"wall_time"` // seconds that the phase took here
}

// Whole is what became of a whole run.
type Whole struct {
	Size   Size    `json:"size"`
	Phases []Phase `json:"phases"`
	Bad    []string
}

// WholeSize is the fleet of a whole run.
func WholeSize(nodes, engines int) Size {
	return Size{Stores: 5, Coords: 3, Nodes: nodes, Engines: engines, Models: 12, Regions: 9, Zones: 24, Routes: 1000, Lazy: true, Swap: time.Second}
}

type wholeRun struct {
	w    *World
	rep  Whole
	out  io.Writer
	from time.Duration // of the phase
}

// phase runs one part and keeps what it came to.
func (r *wholeRun) phase(name string, f func(times map[string]float64)) {
	world, from, began := r.w, r.w.Now, time.Now()
	r.from = from
	world.Clear()
	read := world.Out.Read
	phase := Phase{Name: name, Times: map[string]float64{}, Longest: map[string]float64{}}
	f(phase.Times)
	window := world.Now - from
	phase.Seconds, phase.Wall, phase.List = window.Seconds(), time.Since(began).Seconds(), world.Out.Read-read
	phase.Roles = world.measure(window, true)
	for _, h := range world.Hosts {
		phase.Lines += h.Spent.Out
		phase.Bytes += h.Spent.Sent
		for _, x := range roleOf {
			if h.Up && x.is(world, h) {
				phase.Longest[x.name] = max(phase.Longest[x.name], float64(h.Spent.Turn)/1e6)
			}
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	phase.Heap = float64(m.HeapAlloc)
	r.rep.Phases = append(r.rep.Phases, phase)
	debug.FreeOSMemory()
	fmt.Fprintf(r.out, "\n## %s\n\n%.2f s simulated, %.0f s here; %d lines, %.1f MB between nodes, %.1f MB of the list read; heap %.2f GB\n", name, phase.Seconds, phase.Wall, phase.Lines, float64(phase.Bytes)/1e6, float64(phase.List)/1e6, phase.Heap/1e9)
	for _, k := range sortedKeys(phase.Times) {
		fmt.Fprintf(r.out, "- %s: %.2f\n", k, phase.Times[k])
	}
	fmt.Fprintf(r.out, "\n| role | processor ms | longest turn, ms | lines out | bytes out | bytes in | largest kinds in |\n|---|---|---|---|---|---|---|\n")
	for _, role := range roleOf {
		spent := phase.Roles[role.name]
		if len(spent) == 0 {
			continue
		}
		var kinds []string
		for _, k := range sortedKeys(spent) {
			if kind, ok := strings.CutPrefix(k, "in."); ok && spent[k] > spent["bytes_in"]/50 {
				kinds = append(kinds, kind+" "+round3(spent[k]))
			}
		}
		fmt.Fprintf(r.out, "| %s | %s | %s | %s | %s | %s | %s |\n", role.name, round3(spent["cpu_ms"]), round3(phase.Longest[role.name]), round3(spent["lines_out"]), round3(spent["bytes_out"]), round3(spent["bytes_in"]), strings.Join(kinds, ", "))
	}
}

func sortedKeys(m map[string]float64) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	for i := range keys {
		for j := i; j > 0 && keys[j] < keys[j-1]; j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
		}
	}
	return keys
}

func (r *wholeRun) bad(format string, a ...any) {
	r.rep.Bad = append(r.rep.Bad, fmt.Sprintf(format, a...))
	fmt.Fprintf(r.out, "\n**"+format+"**\n", a...)
}

// reach notes when shares of the nodes have a configuration in force.
func (r *wholeRun) reach(version uint64, times map[string]float64, most time.Duration) {
	world, from := r.w, r.from
	ok := world.Until(most, func() bool {
		have, all := 0, 0
		for _, h := range world.Hosts {
			if h.Up && h.Has("dispatcher") {
				all++
				if h.Plan >= version {
					have++
				}
			}
		}
		for _, s := range []struct {
			name  string
			share float64
		}{{"in force at the first node", 0}, {"at half of the nodes", 0.5}, {"at 99 of 100", 0.99}, {"everywhere", 1}} {
			if _, known := times[s.name]; !known && have > 0 && float64(have) >= s.share*float64(all) {
				times[s.name] = (world.Now - from).Seconds()
			}
		}
		return have == all
	})
	if !ok {
		r.bad("the configuration %d is not in force everywhere after %v", version, most)
	}
}

func (r *wholeRun) put(version uint64, times map[string]float64) {
	w, from := r.w, r.w.Now
	w.putPlan(version, w.Size.Routes, func() { times["acknowledged"] = (w.Now - from).Seconds() })
}

// whole takes one fleet through a configuration change, a weight roll-out, its
// leader's loss and a zone's loss.
func whole(config Config) error {
	size := WholeSize(config.Nodes, config.Engines)
	if err := size.check(); err != nil {
		return err
	}
	if err := Fits(size); err != nil {
		return err
	}
	rep := Take(size, config.Out)
	if config.Folder != "" {
		if err := os.MkdirAll(config.Folder, 0o755); err != nil {
			return errors.Wrap(err, "scale")
		}
		b, _ := json.MarshalIndent(rep, "", " ")
		if err := os.WriteFile(filepath.Join(config.Folder, fmt.Sprintf("whole-%d-%d.json", config.Nodes, config.Engines)), append(b, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "scale")
		}
	}
	if len(rep.Bad) > 0 {
		return errors.Errorf("scale: %s", strings.Join(rep.Bad, "; "))
	}
	return nil
}

// check refuses a size that is none.
func (s Size) check() error {
	if s.Nodes < s.Stores+s.Coords+s.Zones {
		return errors.Errorf("scale: at least %d nodes are needed", s.Stores+s.Coords+s.Zones)
	}
	if s.Engines < s.Models {
		return errors.Errorf("scale: at least %d engines are needed", s.Models)
	}
	return nil
}

// Take takes a fleet of a size through the phases, and tells out of each.
func Take(size Size, out io.Writer) Whole {
	// What lives is most of what may be taken: collecting often is the price.
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(half() * 9 / 10)))
	world := New(size)
	run := &wholeRun{w: world, rep: Whole{Size: size}, out: out}
	fmt.Fprintf(out, "# %d hollow nodes, %d hollow engines, %d regions, %d zones, %d routes; all simulated times are without processor time\n",
		size.Nodes, size.Engines, size.Regions, size.Zones, size.Routes)
	ready := false
	run.phase("cold start until every node serves", func(map[string]float64) { ready = world.Ready() })
	if !ready {
		run.bad("the fleet does not serve")
		return run.rep
	}
	world.Run(time.Second / 2)
	run.phase("quiet, 1 s", func(map[string]float64) { world.Run(time.Second) })
	run.phase("a changed configuration", func(t map[string]float64) {
		run.put(2, t)
		run.reach(2, t, time.Minute)
	})
	run.phase("new weights on all engines", func(t map[string]float64) {
		d := world.weights(2)
		t["all engines"] = d.Seconds()
		if !world.Out.allHold(2) {
			run.bad("not all engines have the weights after %v", d)
		}
	})
	run.phase("the leader is lost, and a configuration is put at once", func(t map[string]float64) {
		from := world.Now
		world.lead.Kill()
		run.put(3, t)
		world.Until(20*time.Second, func() bool { return world.lead != nil })
		t["another leads"] = (world.Now - from).Seconds()
		run.reach(3, t, time.Minute)
	})
	run.zone()
	run.phase("two changes of the list, 2 s", func(map[string]float64) {
		world.Out.replace(7)
		world.Run(2 * time.Second)
	})
	return run.rep
}

// zone loses the acting coordinator's zone, which owns a lot that is under way.
func (r *wholeRun) zone() {
	world := r.w
	if world.acts == nil {
		world.Until(20*time.Second, func() bool { return world.acts != nil })
	}
	if world.acts == nil {
		r.bad("no coordinator acts before the zone's loss")
		return
	}
	zone := world.acts.Zone
	var owner *Host
	for _, h := range world.Hosts {
		if h.Up && h.Zone == zone && !h.Has("store") && !h.Has("coordinator") {
			owner = h
		}
	}
	if owner == nil {
		r.bad("no node of zone %d can own a lot", zone)
		return
	}
	const items = 1024
	r.phase("a zone is lost: its nodes, engines, the acting coordinator, and the owner of a lot", func(took map[string]float64) {
		listed, taken := false, false
		world.Out.Events, world.Out.Text, world.Out.Takes = 8, 64, 500*time.Millisecond
		owner.Call(flow.Call{Name: "request", Host: lotHost, Verb: "POST", Path: "/lots/", Body: lotBody("zone-lot", items), Query: map[string]string{},
			Fields: []flow.Field{{Name: "Attempt-Id", Value: "zone-lot"}}}, func(p flow.Reply) { taken = p.Code == 202 })
		if !world.Until(10*time.Second, func() bool { return taken }) {
			r.bad("the lot was not taken")
			return
		}
		from, nodes := world.Now, 0
		r.from = from
		world.Clear()
		for _, h := range world.Hosts {
			if h.Zone == zone && h.Up {
				h.Kill()
				nodes++
			}
		}
		took["(nodes lost)"], took["(engines lost)"] = float64(nodes), float64(world.Out.lose(zone))
		world.listed("zone-lot", items, func() { listed = true; took["the lot is whole"] = (world.Now - from).Seconds() })
		r.put(4, took)
		r.reach(4, took, time.Minute)
		world.Until(30*time.Second, func() bool { return world.acts != nil })
		took["another coordinator acts"] = (world.Now - from).Seconds()
		if !world.Until(time.Minute, func() bool { return listed }) {
			r.bad("the lot is not whole a minute after its owner's zone was lost")
		}
	})
}
