package scale

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// Full is the size to design for (docs/CAPACITY.md). What the users did not name
// is marked as taken.
type Full struct {
	Nodes, Engines, Zones, Regions, Trainers float64
	Requests                                 float64 // a second, all nodes together
	Tokens                                   float64 // a second
	Items                                    float64 // of a step
	Step, Roll                               float64 // seconds between steps, and between weights
	Changes, Restarts                        float64 // a day; the second with failures
	Routes                                   float64 // of a configuration; taken
	Text                                     float64 // bytes of an item's text; taken: four a token
	Voters                                   float64 // taken

	told, sent float64 // copies of a changed configuration to a node, and by the leader, in the runs
}

// Wanted is the users' plan for two years.
var Wanted = Full{Nodes: 840, Engines: 10000, Zones: 24, Regions: 9, Trainers: 12, Requests: 39000, Tokens: 15e6, Items: 16384, Step: 420, Roll: 240,
	Changes: 53000, Restarts: 1800 + 120, Routes: 1000, Text: 4 * 15e6 / 39000, Voters: 5}

const day = 86400

// ListChanges is how often the list changes, a second: each restart or failure
// shows twice, and any machine may have engines.
func (f Full) ListChanges() float64 { return 2 * f.Restarts / day }

// ItemRate is how many items are listed a second.
func (f Full) ItemRate() float64 { return f.Trainers * f.Items / f.Step }

// Slopes are kept slopes by axis, role and cost.
type Slopes map[string]Fit

// Load reads the slopes that a run kept in a folder.
func Load(folder string) (Slopes, error) {
	slopes := Slopes{}
	for _, axis := range axisNames() {
		b, err := os.ReadFile(filepath.Join(folder, axis+".json"))
		if err != nil {
			return nil, errors.Wrap(err, "scale: no slopes there")
		}
		var all []Slope
		if err := json.Unmarshal(b, &all); err != nil {
			return nil, errors.Wrap(err, "scale: "+axis)
		}
		for _, s := range all {
			slopes[s.Axis+"/"+s.Role+"/"+s.What] = s.Fit
		}
	}
	return slopes, nil
}

func axisNames() []string {
	var out []string
	for _, a := range Axes {
		out = append(out, a.Name)
	}
	for _, x := range Extras {
		out = append(out, x.Name)
	}
	return out
}

// row is one cost at full size: a slope, and how many of it there are.
type row struct {
	role, what, key string
	unit            string // bytes/s, ms/s or bytes
	at              func(Fit, Full) float64
	how             string
}

// rate is the slope of a plain line times a size.
func rate(of func(Full) float64) func(Fit, Full) float64 {
	return func(s Fit, f Full) float64 { return line(s.Points, 1).Slope * of(f) }
}

// valueAt is the line's value at a size.
func valueAt(of func(Full) float64) func(Fit, Full) float64 {
	return func(s Fit, f Full) float64 { return s.At(of(f)) }
}

// grown is what a size adds, so many times a second.
func grown(size, often func(Full) float64) func(Fit, Full) float64 {
	return func(s Fit, f Full) float64 { return (s.At(size(f)) - s.Base) * often(f) }
}

func nodesOf(f Full) float64   { return f.Nodes }
func enginesOf(f Full) float64 { return f.Engines }

// changeRate is how many routes a node hears of, a second, each once: how often a
// run tells them to a node depends on how its renewals lie.
func changeRate(f Full) float64   { return f.Routes * f.Changes / day / f.told }
func leaderRoutes(f Full) float64 { return f.Routes * f.Changes / day * f.Nodes / f.sent }
func listRate(f Full) float64     { return f.ListChanges() / 2 } // the run has two changes
func rollRate(f Full) float64     { return 1 / f.Roll }
func requestRate(f Full) float64  { return f.Requests / f.Nodes }

// rows are the costs of each role, in the order of the page.
var rows = []row{
	{"node", "gossip, out", "nodes/dispatcher/out.gossip", "bytes/s", valueAt(nodesOf), "x nodes"},
	{"node", "gossip, in", "nodes/dispatcher/in.gossip", "bytes/s", valueAt(nodesOf), "x nodes"},
	{"node", "renewals' answers, in", "nodes/dispatcher/in.told", "bytes/s", valueAt(nodesOf), "x nodes"},
	{"node", "changed configurations, in", "routes/dispatcher/in.told", "bytes/s", rate(changeRate), "x routes x changes a second, each once"},
	{"node", "the list, in", "list-change/dispatcher/in.fleet", "bytes/s", grown(enginesOf, listRate), "x engines x changes of the list a second"},
	{"node", "weights, in", "weights/dispatcher/in.fleet", "bytes/s", grown(enginesOf, rollRate), "x engines, each roll-out"},
	{"node", "gossip, renewals and ticks", "nodes/dispatcher/cpu_ms", "ms/s", valueAt(nodesOf), "x nodes"},
	{"node", "changed configurations", "routes/dispatcher/cpu_ms", "ms/s", rate(changeRate), "x routes x changes a second"},
	{"node", "the list", "list-change/dispatcher/cpu_ms", "ms/s", grown(enginesOf, listRate), "x engines x changes of the list a second"},
	{"node", "weights", "weights/dispatcher/cpu_ms", "ms/s", grown(enginesOf, rollRate), "x engines, each roll-out"},
	{"node", "callers' requests (not control)", "requests/lot owner/cpu_ms", "ms/s", rate(requestRate), "x requests a second at a node"},
	{"node", "callers' requests, choice of an engine (not control)", "pool/lot owner/cpu_ms", "ms/s",
		func(s Fit, f Full) float64 { return s.Slope / 100 * f.Engines / f.Trainers * requestRate(f) }, "x engines of a pool x requests a second"},
	{"node", "heap for peers", "nodes/fleet/heap a node", "bytes", valueAt(nodesOf), "x nodes"},
	{"node", "heap for engines", "engines/fleet/heap a node", "bytes", rate(enginesOf), "x engines"},
	{"node", "heap for routes", "routes/fleet/heap a node", "bytes", rate(func(f Full) float64 { return f.Routes }), "x routes"},

	{"store leader", "answers to renewals, out", "nodes/store leader/out.told", "bytes/s", valueAt(nodesOf), "x nodes"},
	{"store leader", "gossip, in", "nodes/store leader/in.gossip", "bytes/s", valueAt(nodesOf), "x nodes"},
	{"store leader", "changed configurations, out", "routes/store leader/out.told", "bytes/s", rate(leaderRoutes), "x routes x changes a second x nodes"},
	{"store leader", "items, out to followers", "voters/store leader/out.log", "bytes/s",
		func(s Fit, f Full) float64 { return s.Slope / 512 * f.ItemRate() * (f.Voters - 1) }, "x items a second x followers, texts of 256 bytes"},
	{"store leader", "items' texts, out to followers", "text/store leader/out.log", "bytes/s",
		func(s Fit, f Full) float64 {
			return s.Slope / 512 / 2 * (f.Text - 256) * f.ItemRate() * (f.Voters - 1)
		}, "x further bytes of text x items a second x followers"},
	{"store leader", "renewals and gossip", "nodes/store leader/cpu_ms", "ms/s", valueAt(nodesOf), "x nodes"},
	{"store leader", "changed configurations", "routes/store leader/cpu_ms", "ms/s", rate(leaderRoutes), "x routes x changes a second x nodes"},
	{"store leader", "items", "items/store leader/cpu_ms", "ms/s", rate(Full.ItemRate), "x items a second"},
	{"store leader", "items' texts", "text/store leader/cpu_ms", "ms/s",
		func(s Fit, f Full) float64 { return s.Slope / 512 * (f.Text - 256) * f.ItemRate() }, "x further bytes of text x items a second"},
	{"store leader", "heap for items kept an hour", "things/store/bytes in memory, an item of a kept lot, listed", "bytes",
		func(s Fit, f Full) float64 { return s.Slope * f.ItemRate() * 3600 }, "x items of an hour"},

	{"store follower", "gossip, in", "nodes/store follower/in.gossip", "bytes/s", valueAt(nodesOf), "x nodes"},
	{"store follower", "gossip", "nodes/store follower/cpu_ms", "ms/s", valueAt(nodesOf), "x nodes"},
	{"store follower", "items", "items/store follower/cpu_ms", "ms/s", rate(Full.ItemRate), "x items a second"},
	{"store follower", "items, to disk", "items/store follower/disk_bytes", "bytes/s", rate(Full.ItemRate), "x items a second, texts of 256 bytes"},
	{"store follower", "items' texts, to disk", "text/store follower/disk_bytes", "bytes/s",
		func(s Fit, f Full) float64 { return s.Slope / 512 * (f.Text - 256) * f.ItemRate() }, "x further bytes of text x items a second"},

	{"coordinator", "the list, read", "engines/coordinator/list_bytes", "bytes/s", valueAt(enginesOf), "x engines"},
	{"coordinator", "the list, out", "list-change/coordinator/out.fleet", "bytes/s",
		func(s Fit, f Full) float64 { return s.Slope / 8 * f.Nodes * f.Engines * listRate(f) }, "x engines x nodes x changes of the list a second"},
	{"coordinator", "weights, out", "weights/coordinator/out.fleet", "bytes/s",
		func(s Fit, f Full) float64 { return s.Slope / 8 * f.Nodes * f.Engines * rollRate(f) }, "x engines x nodes, each roll-out"},
	{"coordinator", "reading the list", "engines/coordinator/cpu_ms", "ms/s", valueAt(enginesOf), "x engines"},
	{"coordinator", "a roll-out, ms in all", "weights/coordinator/cpu_ms", "ms", valueAt(enginesOf), "x engines, 12 nodes"},

	{"lot owner", "items", "items/lot owner/cpu_ms", "ms/s", rate(func(f Full) float64 { return f.Items / f.Step }), "x items a second of one trainer"},
	{"lot owner", "events of items", "events/lot owner/cpu_ms", "ms/s",
		func(s Fit, f Full) float64 { return s.Slope / 512 * f.Text / 4 * f.Items / f.Step }, "x tokens of an item x items a second of one trainer"},
	{"lot owner", "items, out to the leader", "items/lot owner/out.ask", "bytes/s", rate(func(f Full) float64 { return f.Items / f.Step }), "x items a second of one trainer, texts of 256 bytes"},
	{"lot owner", "heap for items of a step", "things/lot owner/bytes in memory, an item that is not listed", "bytes", rate(func(f Full) float64 { return f.Items }), "x items of a step"},
}

// Forecast writes what each role would spend at a size, from kept slopes.
func Forecast(to io.Writer, s Slopes, full Full) error {
	full.told = line(s["routes/dispatcher/in.told"].Points, 1).Slope / s["routes/fleet/bytes of the configuration"].Slope
	full.sent = line(s["routes/store leader/out.told"].Points, 1).Slope / s["routes/fleet/bytes of the configuration"].Slope
	fmt.Fprintf(to, "| role | cost | slope (axis/role/what) | R2 | how often | at full size |\n|---|---|---|---|---|---|\n")
	for _, row := range rows {
		fit, ok := s[row.key]
		if !ok {
			return errors.Errorf("scale: no slope %s", row.key)
		}
		slope := round3(fit.Slope)
		if fit.Power == 2 {
			slope += " (square)"
		}
		fmt.Fprintf(to, "| %s | %s | %s, `%s` | %.3f | %s | %s |\n", row.role, row.what, slope, row.key, fit.R2, row.how, human(row.at(fit, full), row.unit))
	}
	return nil
}

// human writes a value with its unit in a size that reads.
func human(number float64, unit string) string {
	if unit == "ms/s" || unit == "ms" {
		return fmt.Sprintf("%s %s", round3(number), unit)
	}
	for _, u := range []struct {
		most float64
		name string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if number >= u.most {
			return fmt.Sprintf("%s %s%s", round3(number/u.most), u.name, unit)
		}
	}
	return round3(number) + " " + unit
}
