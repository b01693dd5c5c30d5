// Command rig is for development only: stand-ins for the outside, and whole
// fleets of separate processes on loopback.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"fernlink/core/ledger"
	"fernlink/core/raft/explore"
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
	rounds, jobs, machines     int
	kinds                      string
	rev                        int
	spread                     []spread
	axis, out, slopes          string
	whole                      bool
	nodes, engines             int
}

// verb is one command of the rig.
type verb struct {
	name, about string
	run         func(*opts) error
}

var verbs = []verb{
	{"engine", "a model engine", engine},
	{"app", "an application engine", app},
	{"judge", "a judge", judge},
	{"list", "the platform's list of engines", list},
	{"soak", "real processes under troubles that overlap, a seed after the other; logs of a seed that finds something stay", runSoak},
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

// Exit codes: something was found or failed, and wrong use or a size beyond the rig.
const (
	exitFound = 1
	exitUsage = 2
)

func main() {
	flaggy.SetName("rig")
	flaggy.SetDescription("stand-ins and whole fleets, for development only")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	options := &opts{
		addr: "127.0.0.1:9000", id: "one", pool: "draft", shape: "fibrarmor", seconds: 20, seed: 1,
		from: 1, to: 100, faults: 10, runs: 1, hours: 24, keys: 6, nodes: 840, engines: 10000, rounds: 4, jobs: 2,
	}
	commands := make([]*flaggy.Subcommand, len(verbs))
	for i, verb := range verbs {
		commands[i] = options.bind(verb)
		flaggy.AttachSubcommand(commands[i], 1)
	}
	flaggy.Parse()
	for i, verb := range verbs {
		if commands[i].Used {
			options.drill = verb.name == "drill"
			os.Exit(exitCode(verb.run(options)))
		}
	}
	flaggy.ShowHelp("")
	os.Exit(exitUsage)
}

// exitCode prints a failure and gives the code to end with.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "rig:", err)
	if errors.As(err, &scale.Beyond{}) {
		return exitUsage
	}
	return exitFound
}

// bind gives a verb its flags.
func (o *opts) bind(verb verb) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(verb.name)
	command.Description = verb.about
	command.String(&o.addr, "", "addr", "IP:port to serve at")
	command.String(&o.id, "", "id", "the engine's id")
	command.String(&o.pool, "", "pool", "the engine's pool")
	command.Int(&o.rev, "", "revision", "weights at the start")
	command.String(&o.shape, "", "shape", "fibrarmor, waterland, or both")
	command.String(&o.dir, "", "dir", "folder for the fleet's files (a temporary one unless said)")
	command.Int(&o.seconds, "", "seconds", "how long to drive")
	command.Int(&o.seed, "", "seed", "seed of the traffic")
	command.String(&o.load, "", "load", "only this load of a bench")
	command.Int(&o.from, "", "from", "first seed of a sweep")
	command.Int(&o.to, "", "to", "last seed of a sweep")
	command.Int(&o.faults, "", "faults", "faults in each storm")
	command.Int(&o.hours, "", "hours", "how long a day is")
	command.Int(&o.keys, "", "keys", "run-once requests a second of a day")
	command.Int(&o.rounds, "", "rounds", "rounds of troubles in each seed of a soak")
	command.Int(&o.jobs, "", "jobs", "seeds of a soak at once")
	command.String(&o.kinds, "", "kinds", "kinds of trouble, separated by commas, that come at once in each round of a soak; none for pairs in turn")
	command.Int(&o.machines, "", "machines", "machines of a soak's fleet, three of them with a disk; 0 for the usual four")
	command.Int(&o.runs, "", "runs", "how many fleets a drill goes through")
	command.String(&o.axis, "", "axis", "only this size of a scale is varied")
	command.String(&o.out, "", "out", "folder for a scale's slopes as JSON and its plots")
	command.String(&o.slopes, "", "slopes", "folder of a scale's kept slopes: what each role would spend at full size")
	command.Bool(&o.whole, "", "whole", "one hollow fleet of --nodes and --engines instead of slopes")
	command.Int(&o.nodes, "", "nodes", "hollow nodes of a whole scale")
	command.Int(&o.engines, "", "engines", "hollow engines of a whole scale")
	command.Bool(&o.keep, "", "keep", "keep the fleet up until interrupted, without traffic")
	return command
}

// printJSON prints a report.
func printJSON(report any) {
	text, _ := json.MarshalIndent(report, "", "  ")
	fmt.Println(string(text))
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
		report, err := site.Day(filepath.Dir(self), dir, troubled, time.Duration(options.seconds)*time.Second)
		printJSON(report)
		if err != nil {
			return err
		}
		if len(report.Wrong) > 0 || report.Served*4 < report.Asked*3 || report.Whole == 0 {
			return fmt.Errorf("the %s day found something wrong", report.Day)
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
	config, ok := days[options.shape]
	if !ok {
		return fmt.Errorf("no shape %q", options.shape)
	}
	config.Seed, config.Hours, config.Keys, config.Faults = int64(options.seed), float64(options.hours), options.keys, 7*time.Minute
	config.Shape.Bounds = ledger.Usual
	if options.hours < 24 { // a shorter run keeps keys and results for as much less
		config.Shape.Bounds.KeyAge = config.Shape.Bounds.KeyAge * int64(options.hours) / 48
		config.Shape.Bounds.Age = config.Shape.Bounds.Age * int64(options.hours) / 24
	}
	config.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
	report := sim.Day(config)
	printJSON(report)
	if len(report.Bad) > 0 {
		return fmt.Errorf("the day of %s found something", options.shape)
	}
	return nil
}

func runScale(o *opts) error {
	return scale.Run(scale.Config{Axis: o.axis, Whole: o.whole, Nodes: o.nodes, Engines: o.engines, From: o.slopes, Folder: o.out, Out: os.Stdout, Notes: os.Stderr})
}

func sweep(o *opts) error {
	sum := sim.Sweep(int64(o.from), int64(o.to), o.faults, runtime.NumCPU())
	printJSON(sum)
	if len(sum.Found) > 0 {
		return fmt.Errorf("%d of %d seeds found something", len(sum.Found), sum.Seeds)
	}
	return nil
}

func sites(o *opts) error {
	sum := sim.SiteSweep(int64(o.from), int64(o.to), o.faults, runtime.NumCPU())
	printJSON(sum)
	if len(sum.Found) > 0 {
		return fmt.Errorf("%d of %d seeds found something", len(sum.Found), sum.Seeds)
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
