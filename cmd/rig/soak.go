package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/rig/site"
)

// soakFolder is where logs of a soak go unless a folder is named.
const soakFolder = "run/soak"

// soakSummary gathers the reports of all seeds.
type soakSummary struct {
	Seeds, Asked, Served, Lots, Whole int
	Slowest                           float64
	MostMB                            int
	Found                             []site.SoakReport
	Pairs                             map[string]int
}

// runSoak plays seeds, a few at once, and prints a line for each and a table of pairs.
func runSoak(options *opts) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	folder := options.dir
	if folder == "" {
		folder = soakFolder
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return err
	}
	var kinds []site.Kind
	if options.kinds != "" {
		if kinds, err = site.KindsNamed(options.kinds); err != nil {
			return err
		}
	}
	seeds := make(chan int64)
	go func() {
		defer close(seeds)
		for seed := options.from; seed <= options.to; seed++ {
			seeds <- int64(seed)
		}
	}()
	summary := soakSummary{Pairs: map[string]int{}}
	var failure error
	var mu sync.Mutex
	var all sync.WaitGroup
	for range max(options.jobs, 1) {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed := range seeds {
				report, err := site.Soak(site.SoakConfig{Bin: filepath.Dir(self), Folder: filepath.Join(folder, fmt.Sprintf("seed-%d", seed)), Seed: seed, Rounds: options.rounds, Machines: options.machines, Kinds: kinds})
				mu.Lock()
				summary.add(report)
				if err != nil {
					failure = errors.Wrapf(err, "seed %d", seed)
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	summary.print()
	if failure == nil && len(summary.Found) > 0 {
		failure = errors.Errorf("%d of %d seeds found something", len(summary.Found), summary.Seeds)
	}
	return failure
}

func (s *soakSummary) add(report site.SoakReport) {
	s.Seeds++
	s.Asked += report.Asked
	s.Served += report.Served
	s.Lots += report.Lots
	s.Whole += report.Whole
	s.Slowest = max(s.Slowest, report.Slowest)
	s.MostMB = max(s.MostMB, report.MostMB)
	for pair, n := range report.Pairs {
		s.Pairs[pair] += n
	}
	if len(report.Found) > 0 {
		s.Found = append(s.Found, report)
	}
	line, _ := json.Marshal(report)
	fmt.Println(string(line))
}

// print prints how often each pair of troubles overlapped, and what was found.
func (s *soakSummary) print() {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	header := []string{""}
	for kind := range site.Kinds {
		header = append(header, site.Kind(kind).String())
	}
	fmt.Fprintln(table, strings.Join(header, "\t"))
	var missing []string
	for row := range site.Kinds {
		cells := []string{site.Kind(row).String()}
		for column := range row {
			name := site.PairName(site.Kind(row), site.Kind(column))
			if s.Pairs[name] == 0 {
				missing = append(missing, name)
			}
			cells = append(cells, fmt.Sprint(s.Pairs[name]))
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
	sort.Strings(missing)
	fmt.Printf("%d seeds, %d requests asked, %d served, %d lots, %d read whole, slowest recovery %.1f s, %d MB at most, %d pairs never overlapped %v\n",
		s.Seeds, s.Asked, s.Served, s.Lots, s.Whole, s.Slowest, s.MostMB, len(missing), missing)
	for _, report := range s.Found {
		fmt.Printf("seed %d (%s):\n", report.Seed, report.Folder)
		for _, found := range report.Found {
			fmt.Println("  " + found)
		}
	}
}
