package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"fernlink/rig/fleet"
)

func runFleet(options *opts) error {
	names := []string{options.shape}
	if options.shape == "both" {
		names = []string{"fibrarmor", "waterland"}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for _, name := range names {
		shape, ok := fleet.Shapes[name]
		if !ok {
			return fmt.Errorf("no shape %q", name)
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
			fmt.Printf("| %s, %d runs | least | median | most |\n|---|---|---|---|\n", name, runs)
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

// one starts one fleet and keeps it up, drills it or drives it.
func one(options *opts, shape fleet.Shape, bin string) error {
	dir := options.dir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "fernlink-rig-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	began := time.Now()
	started, err := fleet.Start(shape, bin, filepath.Join(dir, shape.Name))
	if err != nil {
		return err
	}
	defer started.Close()
	if err := started.Ready(2 * time.Minute); err != nil {
		return err
	}
	ready := time.Since(began).Seconds()
	switch {
	case options.keep:
		keepUp(started, shape, ready)
		return nil
	case options.drill:
		return options.drillOne(started)
	}
	return options.drive(started, shape, ready)
}

// keepUp says where the fleet listens and waits for an interrupt.
func keepUp(started *fleet.Fleet, shape fleet.Shape, ready float64) {
	fmt.Printf("fleet %s is up in %.1f s; logs in %s\n", shape.Name, ready, started.Dir)
	for _, process := range started.Procs {
		fmt.Printf("  %-10s http://%s\n", process.Name, process.Web)
	}
	fmt.Println("  judge listener", started.Judge)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
}

// drillOne drills one fleet and notes how long each fault took to heal.
func (o *opts) drillOne(started *fleet.Fleet) error {
	drills, err := started.Drills(int64(o.seed))
	for _, drill := range drills {
		o.note(drill)
		if drill.Wrong != "" {
			return fmt.Errorf("%s: %s", drill.Fault, drill.Wrong)
		}
	}
	return err
}

// drive sends a fleet traffic and prints a report.
func (o *opts) drive(started *fleet.Fleet, shape fleet.Shape, ready float64) error {
	report := started.Drive(time.Duration(o.seconds)*time.Second, int64(o.seed))
	report.Ready = ready
	printJSON(report)
	if len(report.Wrong) > 0 || report.Twice > 0 || report.Reused > 0 || report.Listed == 0 {
		return fmt.Errorf("the run of %s found something wrong", shape.Name)
	}
	return nil
}
