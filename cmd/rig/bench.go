package main

import (
	"fmt"
	"runtime"
	"sort"
	"sync"
	"time"

	"fernlink/core/place"
	"fernlink/sim"
)

// benchCase is one load under one placement policy.
type benchCase struct{ load, policy string }

// bench runs each load under each policy on the same seeds and prints medians.
func bench(options *opts) error {
	shape := map[string]sim.Shape{"fibrarmor": sim.FibrArmor, "waterland": sim.Waterland}[options.shape]
	if shape.Stores == 0 {
		return fmt.Errorf("no shape %q", options.shape)
	}
	figures := runBench(options, shape)
	fmt.Println("| load | policy | step s | hit rate | prefill tokens a result | runs a result | thrown tokens a result | idle | writes a result | lines/s | KB/s | wrong |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, load := range sim.Loads {
		for _, policy := range place.Names() {
			if runs := figures[benchCase{load.Name, policy}]; len(runs) > 0 {
				printBench(load.Name, policy, runs)
			}
		}
	}
	return nil
}

// runBench runs all cases, as many at a time as there are processors.
func runBench(options *opts, shape sim.Shape) map[benchCase][]sim.Figures {
	figures := map[benchCase][]sim.Figures{}
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan bool, runtime.NumCPU())
	run := func(load sim.Load, policy string, seed int) {
		defer running.Done()
		measured := sim.Bench(int64(seed), shape, load, policy, time.Duration(options.seconds)*time.Second)
		<-slots
		mu.Lock()
		defer mu.Unlock()
		key := benchCase{load.Name, policy}
		figures[key] = append(figures[key], measured)
	}
	for _, load := range sim.Loads {
		if options.load != "" && options.load != load.Name {
			continue
		}
		for _, policy := range place.Names() {
			for seed := options.from; seed <= options.to; seed++ {
				running.Add(1)
				slots <- true
				go run(load, policy, seed)
			}
		}
	}
	running.Wait()
	return figures
}

// printBench prints the medians of one case's runs.
func printBench(load, policy string, runs []sim.Figures) {
	median := func(of func(sim.Figures) float64) float64 {
		var values []float64
		for _, figures := range runs {
			values = append(values, of(figures))
		}
		sort.Float64s(values)
		return values[len(values)/2]
	}
	wrong := 0
	for _, figures := range runs {
		wrong += figures.Wrong
	}
	fmt.Printf("| %s | %s | %.2f | %.3f | %.1f | %.2f | %.1f | %.2f | %.2f | %.0f | %.0f | %d |\n", load, policy,
		median(func(f sim.Figures) float64 { return f.Step }), median(func(f sim.Figures) float64 { return f.HitRate }),
		median(func(f sim.Figures) float64 { return f.Prefill }), median(func(f sim.Figures) float64 { return f.Runs }),
		median(func(f sim.Figures) float64 { return f.Thrown }), median(func(f sim.Figures) float64 { return f.Idle }),
		median(func(f sim.Figures) float64 { return f.Writes }), median(func(f sim.Figures) float64 { return f.Lines }),
		median(func(f sim.Figures) float64 { return f.Bytes / 1000 }), wrong)
}
