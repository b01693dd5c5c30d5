// Command rig is for development only: stand-ins for the outside, and whole
// fleets of separate processes on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"fernlink/core/ledger"
	"fernlink/core/place"
	"fernlink/core/raft/explore"
	"fernlink/rig/fleet"
	"fernlink/rig/scale"
	"fernlink/rig/serve"
	"fernlink/rig/site"
	"fernlink/rig/standin"
	"fernlink/sim"
)

type opts struct {
	addr, id, pool, shape, dir string
	load                       string
	seconds                    int
	seed, from, to, faults     int
	runs, hours, keys          int
	keep, drill                bool
	rev                        int
	spread                     []spread
	axis, out, slopes          string
	whole                      bool
	nodes, engines             int
}

func main() {
	flaggy.SetName("rig")
	flaggy.SetDescription("stand-ins and whole fleets, for development only")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	options := &opts{addr: "127.0.0.1:9000", id: "one", pool: "draft", shape: "fibrarmor", seconds: 20, seed: 1, rev: 0, from: 1, to: 100, faults: 10, runs: 1, hours: 24, keys: 6, nodes: 840, engines: 10000}
	verbs := []struct {
		name, about string
		run         func(*opts) error
	}{
		{"engine", "a model engine", engine},
		{"app", "an application engine", app},
		{"judge", "a judge", judge},
		{"list", "the platform's list of engines", list},
		{"platform", "a calm and a troubled day on the users' platform: real processes, stand-ins on loopback", platform},
		{"fleet", "a whole fleet: drive it for a while and report, or keep it up", runFleet},
		{"bench", "placement policies side by side in the simulator, on the same seeds", bench},
		{"explore", "states of core/raft, visited one by one, for so many seconds a scenario", exploreRaft},
		{"sweep", "storms over many seeds in the simulator", sweep},
		{"sites", "storms over many seeds on the users' platform, in the simulator", sites},
		{"day", "hours at a deployment's whole rates of keys, steps and results on simulated stores, with faults", day},
		{"scale", "how each role's cost grows, on hollow fleets in one process; --whole takes one large fleet through changes and losses", runScale},
		{"drill", "a whole fleet: kill and freeze its processes and time the healing", runFleet},
	}
	subs := make([]*flaggy.Subcommand, len(verbs))
	for i, v := range verbs {
		command := flaggy.NewSubcommand(v.name)
		command.Description = v.about
		command.String(&options.addr, "", "addr", "IP:port to serve at")
		command.String(&options.id, "", "id", "the engine's id")
		command.String(&options.pool, "", "pool", "the engine's pool")
		command.Int(&options.rev, "", "revision", "weights at the start")
		command.String(&options.shape, "", "shape", "fibrarmor, waterland, or both")
		command.String(&options.dir, "", "dir", "folder for the fleet's files (a temporary one unless said)")
		command.Int(&options.seconds, "", "seconds", "how long to drive")
		command.Int(&options.seed, "", "seed", "seed of the traffic")
		command.String(&options.load, "", "load", "only this load of a bench")
		command.Int(&options.from, "", "from", "first seed of a sweep")
		command.Int(&options.to, "", "to", "last seed of a sweep")
		command.Int(&options.faults, "", "faults", "faults in each storm")
		command.Int(&options.hours, "", "hours", "how long a day is")
		command.Int(&options.keys, "", "keys", "run-once requests a second of a day")
		command.Int(&options.runs, "", "runs", "how many fleets a drill goes through")
		command.String(&options.axis, "", "axis", "only this size of a scale is varied")
		command.String(&options.out, "", "out", "folder for a scale's slopes as JSON and its plots")
		command.String(&options.slopes, "", "slopes", "folder of a scale's kept slopes: what each role would spend at full size")
		command.Bool(&options.whole, "", "whole", "one hollow fleet of --nodes and --engines instead of slopes")
		command.Int(&options.nodes, "", "nodes", "hollow nodes of a whole scale")
		command.Int(&options.engines, "", "engines", "hollow engines of a whole scale")
		command.Bool(&options.keep, "", "keep", "keep the fleet up until interrupted, without traffic")
		flaggy.AttachSubcommand(command, 1)
		subs[i] = command
	}
	flaggy.Parse()
	for i, v := range verbs {
		if subs[i].Used {
			options.drill = v.name == "drill"
			if err := v.run(options); err != nil {
				fmt.Fprintln(os.Stderr, "rig:", err)
				if errors.As(err, &scale.Beyond{}) {
					os.Exit(2)
				}
				os.Exit(1)
			}
			return
		}
	}
	flaggy.ShowHelp("")
	os.Exit(2)
}

func inc() string { return fmt.Sprintf("%d-%d", time.Now().UnixNano(), os.Getpid()) }

func engine(o *opts) error {
	return serve.Run(o.addr, serve.NewEngine(standin.NewEngine(o.id, inc(), o.pool, o.rev)))
}

func app(o *opts) error { return serve.Run(o.addr, serve.App(standin.NewApp(o.id, inc()))) }

func judge(o *opts) error { return serve.Run(o.addr, serve.Judge(standin.NewJudge())) }

func list(o *opts) error { return serve.Run(o.addr, serve.Platform(&standin.Platform{})) }

// platform runs a calm day and a troubled one, each for so many seconds.
func platform(options *opts) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir := options.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "fernlink-rig-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	for _, troubled := range []bool{false, true} {
		rep, err := site.Day(filepath.Dir(self), dir, troubled, time.Duration(options.seconds)*time.Second)
		b, _ := json.MarshalIndent(rep, "", "  ")
		fmt.Println(string(b))
		if err != nil {
			return err
		}
		if len(rep.Wrong) > 0 || rep.Served*4 < rep.Asked*3 || rep.Whole == 0 {
			return fmt.Errorf("the %s day found something wrong", rep.Day)
		}
	}
	return nil
}

// bench runs each load under each policy on the same seeds and prints medians.
func bench(options *opts) error {
	shape := map[string]sim.Shape{"fibrarmor": sim.FibrArmor, "waterland": sim.Waterland}[options.shape]
	if shape.Stores == 0 {
		return fmt.Errorf("no shape %q", options.shape)
	}
	policies := place.Names()
	type key struct{ load, policy int }
	got := map[key][]sim.Figures{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan bool, runtime.NumCPU())
	for i, load := range sim.Loads {
		if options.load != "" && options.load != load.Name {
			continue
		}
		for j, p := range policies {
			for s := options.from; s <= options.to; s++ {
				wg.Add(1)
				free <- true
				go func() {
					defer wg.Done()
					f := sim.Bench(int64(s), shape, load, p, time.Duration(options.seconds)*time.Second)
					<-free
					mu.Lock()
					got[key{i, j}] = append(got[key{i, j}], f)
					mu.Unlock()
				}()
			}
		}
	}
	wg.Wait()
	fmt.Println("| load | policy | step s | hit rate | prefill tokens a result | runs a result | thrown tokens a result | idle | writes a result | lines/s | KB/s | wrong |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i, load := range sim.Loads {
		for j, p := range policies {
			fs := got[key{i, j}]
			if len(fs) == 0 {
				continue
			}
			mid := func(of func(sim.Figures) float64) float64 {
				var v []float64
				for _, f := range fs {
					v = append(v, of(f))
				}
				sort.Float64s(v)
				return v[len(v)/2]
			}
			wrong := 0
			for _, f := range fs {
				wrong += f.Wrong
			}
			fmt.Printf("| %s | %s | %.2f | %.3f | %.1f | %.2f | %.1f | %.2f | %.2f | %.0f | %.0f | %d |\n", load.Name, p,
				mid(func(f sim.Figures) float64 { return f.Step }), mid(func(f sim.Figures) float64 { return f.HitRate }),
				mid(func(f sim.Figures) float64 { return f.Prefill }), mid(func(f sim.Figures) float64 { return f.Runs }),
				mid(func(f sim.Figures) float64 { return f.Thrown }), mid(func(f sim.Figures) float64 { return f.Idle }),
				mid(func(f sim.Figures) float64 { return f.Writes }), mid(func(f sim.Figures) float64 { return f.Lines }),
				mid(func(f sim.Figures) float64 { return f.Bytes / 1000 }), wrong)
		}
	}
	return nil
}

// days are what the two deployments' trainers ask of the stores.
var days = map[string]sim.DayConfig{
	"fibrarmor": {Shape: sim.FibrArmor, Every: 6 * time.Second, Groups: 24, Samples: 4, Text: 384},
	"waterland": {Shape: sim.Waterland, Every: 5 * time.Second, Groups: 16, Samples: 3, Text: 512},
}

func day(options *opts) error {
	p, ok := days[options.shape]
	if !ok {
		return fmt.Errorf("no shape %q", options.shape)
	}
	p.Seed, p.Hours, p.Keys, p.Faults = int64(options.seed), float64(options.hours), options.keys, 7*time.Minute
	p.Shape.Bounds = ledger.Usual
	if options.hours < 24 { // a shorter run keeps keys and results for as much less
		p.Shape.Bounds.KeyAge = p.Shape.Bounds.KeyAge * int64(options.hours) / 48
		p.Shape.Bounds.Age = p.Shape.Bounds.Age * int64(options.hours) / 24
	}
	p.Progress = func(s string) { fmt.Fprintln(os.Stderr, s) }
	rep := sim.Day(p)
	b, _ := json.MarshalIndent(rep, "", "  ")
	fmt.Println(string(b))
	if len(rep.Bad) > 0 {
		return fmt.Errorf("the day of %s found something", options.shape)
	}
	return nil
}

func runScale(o *opts) error {
	return scale.Run(scale.Config{Axis: o.axis, Whole: o.whole, Nodes: o.nodes, Engines: o.engines, From: o.slopes, Folder: o.out, Out: os.Stdout, Notes: os.Stderr})
}

func sweep(o *opts) error {
	sum := sim.Sweep(int64(o.from), int64(o.to), o.faults, runtime.NumCPU())
	b, _ := json.MarshalIndent(sum, "", "  ")
	fmt.Println(string(b))
	if len(sum.Found) > 0 {
		return fmt.Errorf("%d of %d seeds found something", len(sum.Found), sum.Seeds)
	}
	return nil
}

func sites(o *opts) error {
	sum := sim.SiteSweep(int64(o.from), int64(o.to), o.faults, runtime.NumCPU())
	b, _ := json.MarshalIndent(sum, "", "  ")
	fmt.Println(string(b))
	if len(sum.Found) > 0 {
		return fmt.Errorf("%d of %d seeds found something", len(sum.Found), sum.Seeds)
	}
	return nil
}

func runFleet(options *opts) error {
	names := []string{options.shape}
	if options.shape == "both" {
		names = []string{"fibrarmor", "waterland"}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for _, n := range names {
		shape, ok := fleet.Shapes[n]
		if !ok {
			return fmt.Errorf("no shape %q", n)
		}
		runs := 1
		if options.drill {
			runs = options.runs
		}
		options.spread = nil
		for i := 0; i < runs; i++ {
			if err := one(options, shape, filepath.Dir(self)); err != nil {
				return err
			}
		}
		if options.drill {
			fmt.Printf("| %s, %d runs | least | median | most |\n|---|---|---|---|\n", n, runs)
			for _, d := range options.spread {
				sort.Float64s(d.heal)
				fmt.Printf("| %s | %.1f | %.1f | %.1f |\n", d.fault, d.heal[0], d.heal[len(d.heal)/2], d.heal[len(d.heal)-1])
			}
		}
	}
	return nil
}

// spread is one drill's seconds over several runs.
type spread struct {
	fault string
	heal  []float64
}

func (o *opts) note(d fleet.Drill) {
	for i := range o.spread {
		if o.spread[i].fault == d.Fault {
			o.spread[i].heal = append(o.spread[i].heal, d.Heal)
			return
		}
	}
	o.spread = append(o.spread, spread{d.Fault, []float64{d.Heal}})
}

func one(options *opts, shape fleet.Shape, bin string) error {
	dir := options.dir
	if dir == "" {
		tmp, err := os.MkdirTemp("", "fernlink-rig-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	}
	began := time.Now()
	f, err := fleet.Start(shape, bin, filepath.Join(dir, shape.Name))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Ready(2 * time.Minute); err != nil {
		return err
	}
	ready := time.Since(began).Seconds()
	if options.keep {
		fmt.Printf("fleet %s is up in %.1f s; logs in %s\n", shape.Name, ready, f.Dir)
		for _, p := range f.Procs {
			fmt.Printf("  %-10s http://%s\n", p.Name, p.Web)
		}
		fmt.Println("  judge listener", f.Judge)
		c := make(chan os.Signal, 1)
		signal.Notify(c, os.Interrupt, syscall.SIGTERM)
		<-c
		return nil
	}
	if options.drill {
		ds, err := f.Drills(int64(options.seed))
		for _, d := range ds {
			options.note(d)
			if d.Wrong != "" {
				return fmt.Errorf("%s: %s", d.Fault, d.Wrong)
			}
		}
		return err
	}
	rep := f.Drive(time.Duration(options.seconds)*time.Second, int64(options.seed))
	rep.Ready = ready
	b, _ := json.MarshalIndent(rep, "", "  ")
	fmt.Println(string(b))
	if len(rep.Wrong) > 0 || rep.Twice > 0 || rep.Reused > 0 || rep.Listed == 0 {
		return fmt.Errorf("the run of %s found something wrong", shape.Name)
	}
	return nil
}

// exploreRaft explores the long scenarios, each for so many seconds.
func exploreRaft(o *opts) error {
	limit := time.Duration(o.seconds) * time.Second
	for _, scenario := range explore.Long() {
		result := explore.Run(scenario, explore.Bound{Time: limit})
		fmt.Println(result)
		if result.Violation != nil {
			return errors.Wrap(result.Violation, result.Trace)
		}
	}
	return nil
}
