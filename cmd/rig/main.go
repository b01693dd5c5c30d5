// Command rig is for development only: stand-ins for the outside, and whole
// fleets of separate processes on loopback.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"fernlink/rig/fleet"
	"fernlink/rig/serve"
	"fernlink/rig/standin"
	"fernlink/sim"
)

type opts struct {
	addr, id, pool, shape, dir string
	seconds                    int
	seed, from, to, faults     int
	keep, drill                bool
	rev                        int
}

func main() {
	flaggy.SetName("rig")
	flaggy.SetDescription("stand-ins and whole fleets, for development only")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	o := &opts{addr: "127.0.0.1:9000", id: "one", pool: "draft", shape: "fibrarmor", seconds: 20, seed: 1, rev: 0, from: 1, to: 100, faults: 10}
	verbs := []struct {
		name, about string
		run         func(*opts) error
	}{
		{"engine", "a model engine", engine},
		{"app", "an application engine", app},
		{"judge", "a judge", judge},
		{"platform", "the platform's list of engines", platform},
		{"fleet", "a whole fleet: drive it for a while and report, or keep it up", runFleet},
		{"sweep", "storms over many seeds in the simulator", sweep},
		{"drill", "a whole fleet: kill and freeze its processes and time the healing", runFleet},
	}
	subs := make([]*flaggy.Subcommand, len(verbs))
	for i, v := range verbs {
		s := flaggy.NewSubcommand(v.name)
		s.Description = v.about
		s.String(&o.addr, "", "addr", "IP:port to serve at")
		s.String(&o.id, "", "id", "the engine's id")
		s.String(&o.pool, "", "pool", "the engine's pool")
		s.Int(&o.rev, "", "revision", "weights at the start")
		s.String(&o.shape, "", "shape", "fibrarmor, waterland, or both")
		s.String(&o.dir, "", "dir", "folder for the fleet's files (a temporary one unless said)")
		s.Int(&o.seconds, "", "seconds", "how long to drive")
		s.Int(&o.seed, "", "seed", "seed of the traffic")
		s.Int(&o.from, "", "from", "first seed of a sweep")
		s.Int(&o.to, "", "to", "last seed of a sweep")
		s.Int(&o.faults, "", "faults", "faults in each storm")
		s.Bool(&o.keep, "", "keep", "keep the fleet up until interrupted, without traffic")
		flaggy.AttachSubcommand(s, 1)
		subs[i] = s
	}
	flaggy.Parse()
	for i, v := range verbs {
		if subs[i].Used {
			o.drill = v.name == "drill"
			if err := v.run(o); err != nil {
				fmt.Fprintln(os.Stderr, "rig:", err)
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

func platform(o *opts) error { return serve.Run(o.addr, serve.Platform(&standin.Platform{})) }

func sweep(o *opts) error {
	sum := sim.Sweep(int64(o.from), int64(o.to), o.faults, runtime.NumCPU())
	b, _ := json.MarshalIndent(sum, "", "  ")
	fmt.Println(string(b))
	if len(sum.Found) > 0 {
		return fmt.Errorf("%d of %d seeds found something", len(sum.Found), sum.Seeds)
	}
	return nil
}

func runFleet(o *opts) error {
	names := []string{o.shape}
	if o.shape == "both" {
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
		if err := one(o, shape, filepath.Dir(self)); err != nil {
			return err
		}
	}
	return nil
}

func one(o *opts, shape fleet.Shape, bin string) error {
	dir := o.dir
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
	if o.keep {
		fmt.Printf("fleet %s is up in %.1f s; logs in %s\n", shape.Name, ready, f.Dir)
		for _, p := range f.Procs {
			fmt.Printf("  %-10s http://%s\n", p.Name, p.Web)
		}
		fmt.Println("  judge door", f.Judge)
		c := make(chan os.Signal, 1)
		signal.Notify(c, os.Interrupt, syscall.SIGTERM)
		<-c
		return nil
	}
	if o.drill {
		ds, err := f.Drills(int64(o.seed))
		b, _ := json.MarshalIndent(map[string]any{"shape": shape.Name, "drills": ds}, "", "  ")
		fmt.Println(string(b))
		for _, d := range ds {
			if d.Wrong != "" {
				return fmt.Errorf("%s: %s", d.Fault, d.Wrong)
			}
		}
		return err
	}
	rep := f.Drive(time.Duration(o.seconds)*time.Second, int64(o.seed))
	rep.Ready = ready
	b, _ := json.MarshalIndent(rep, "", "  ")
	fmt.Println(string(b))
	if len(rep.Wrong) > 0 || rep.Twice > 0 || rep.Reused > 0 || rep.Listed == 0 {
		return fmt.Errorf("the run of %s found something wrong", shape.Name)
	}
	return nil
}
