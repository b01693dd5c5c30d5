package scale

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Config are the options of a run.
type Config struct {
	Axis    string // only this one; all of them where it is empty
	Whole   bool   // one fleet of Nodes and Engines through changes and losses
	Nodes   int
	Engines int
	From    string // a folder of kept slopes: what each role would spend at full size
	Folder  string // for slopes as JSON and plots; none where it is empty
	Out     io.Writer
	Notes   io.Writer
}

// Beyond says that a run does not fit on this machine.
type Beyond struct{ Need, Have float64 } // bytes

// Error tells both in GB.
func (b Beyond) Error() string {
	return fmt.Sprintf("this would need about %.1f GB of memory, and half of this machine's is %.1f GB; nothing was started", b.Need/1e9, b.Have/1e9)
}

// Bytes that a hollow fleet takes in memory: the heap of a node against nodes,
// engines (after a roll-out) and routes, and what a list takes on its way.
const (
	nodeBytes   = 190e3 // a node that knows nobody
	seatBytes   = 710   // a peer that a node knows
	engineBytes = 1250  // an engine that a node knows
	routeBytes  = 1000  // a route of the configuration in force
	rowBytes    = 114   // an engine in a list on its way
	spareShare  = 1.35  // what was not collected yet, beside what lives
)

// Need tells how many bytes of memory a fleet would take here.
func Need(s Size) float64 {
	n, e := float64(s.Nodes), float64(s.Engines)
	return 100e6 + spareShare*n*(nodeBytes+n*seatBytes+e*(engineBytes+rowBytes)+float64(s.Routes)*routeBytes)
}

// half is half of the machine's memory, in bytes.
func half() float64 {
	var i unix.Sysinfo_t
	if unix.Sysinfo(&i) != nil {
		return 2e9
	}
	return float64(i.Totalram) * float64(i.Unit) / 2
}

// Fits refuses a fleet that would take more than half of the machine's memory.
func Fits(s Size) error {
	if need, have := Need(s), half(); need > have {
		return Beyond{need, have}
	}
	return nil
}

// Run carries out what is asked for, on Workers processors at most.
func Run(config Config) error {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(Workers))
	if config.Whole {
		return whole(config)
	}
	if config.From != "" {
		s, err := Load(config.From)
		if err != nil {
			return err
		}
		return Forecast(config.Out, s, Wanted)
	}
	var all []Slope
	known := false
	tell := func(s string) { fmt.Fprintln(config.Notes, s) }
	for _, axis := range Axes {
		if config.Axis != "" && config.Axis != axis.Name {
			continue
		}
		known = true
		for _, x := range axis.Values {
			if err := Fits(axis.Base(x)); err != nil {
				return err
			}
		}
		s, err := axis.Measure(tell)
		if err != nil {
			return err
		}
		table(config.Out, axis.Name+", a "+axis.Unit, s)
		all = append(all, s...)
	}
	for _, extra := range Extras {
		if config.Axis != "" && config.Axis != extra.Name {
			continue
		}
		known = true
		s, err := extra.Measure()
		if err != nil {
			return err
		}
		table(config.Out, extra.Name, s)
		all = append(all, s...)
	}
	if !known {
		return errors.Errorf("no such axis %q", config.Axis)
	}
	return keep(config.Folder, all)
}

// round3 writes a number with about three digits.
func round3(x float64) string {
	if x == 0 {
		return "0"
	}
	if a := math.Abs(x); a >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

func table(to io.Writer, title string, s []Slope) {
	if len(s) == 0 {
		return
	}
	fmt.Fprintf(to, "\n## %s\n\n| role | what, a %s | each one more, or each square | at none | R2 | worst | measured |\n|---|---|---|---|---|---|---|\n", title, s[0].Per)
	for _, row := range s {
		most := 0.0
		var points []string
		for _, p := range row.Points {
			most = max(most, math.Abs(p.Y))
			points = append(points, round3(p.X)+": "+round3(p.Y))
		}
		if most == 0 {
			continue
		}
		slope := round3(row.Slope)
		if row.Power == 2 {
			slope += " (square)"
		}
		fmt.Fprintf(to, "| %s | %s | %s | %s | %.3f | %.0f%% | %s |\n", row.Role, row.What, slope, round3(row.Base), row.R2, 100*row.Worst, strings.Join(points, ", "))
	}
}

// drawn are the slopes that have a plot of their own, by axis, role and cost.
var drawn = map[string]string{
	"nodes/dispatcher/bytes_out":      "bytes a second that a node sends",
	"nodes/dispatcher/cpu_ms":         "processor time of a node, ms a second",
	"nodes/store leader/cpu_ms":       "processor time of the store's leader, ms a second",
	"nodes/store leader/bytes_out":    "bytes a second that the store's leader sends",
	"list-change/dispatcher/in.fleet": "bytes to a node for two changes of the list",
	"routes/dispatcher/in.told":       "bytes to a node for a changed configuration",
	"weights/dispatcher/in.fleet":     "bytes to a node for a weight roll-out",
	"weights/coordinator/cpu_ms":      "processor time of the coordinator for a weight roll-out, ms",
	"items/store leader/cpu_ms":       "processor time of the store's leader for a lot, ms",
	"items/lot owner/cpu_ms":          "processor time of a lot's owner, ms",
	"engines/fleet/heap a node":       "memory of a node, bytes",
	"requests/lot owner/cpu_ms":       "processor time of a node for requests, ms a second",
	"restarts/dispatcher/bytes_in":    "bytes to a node in the 6 s of some restarts",
	"refill/fleet/a voter again, s":   "seconds until a blank store votes again",
	"voters/store leader/bytes_out":   "bytes that the leader sends for 512 results",
}

// keep writes slopes and plots into a folder.
func keep(folder string, all []Slope) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "scale")
	}
	by := map[string][]Slope{}
	for _, s := range all {
		by[s.Axis] = append(by[s.Axis], s)
		if title := drawn[s.Axis+"/"+s.Role+"/"+s.What]; title != "" {
			if err := draw(folder, title, s); err != nil {
				return err
			}
		}
	}
	for axis, s := range by {
		var lines []string // one slope each
		for _, x := range s {
			b, err := json.Marshal(x)
			if err != nil {
				return errors.Wrap(err, "scale")
			}
			lines = append(lines, string(b))
		}
		if err := os.WriteFile(filepath.Join(folder, axis+".json"), []byte("[\n"+strings.Join(lines, ",\n")+"\n]\n"), 0o644); err != nil {
			return errors.Wrap(err, "scale")
		}
	}
	return nil
}

// draw plots the points and the line of a slope.
func draw(folder, title string, slope Slope) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text = title, slope.Unit
	chart.Title.Padding = vg.Points(6)
	chart.Y.Min = 0
	var pts plotter.XYs
	for _, x := range slope.Points {
		pts = append(pts, plotter.XY{X: x.X, Y: x.Y})
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	last := slope.Points[len(slope.Points)-1].X
	var bend plotter.XYs
	for i := range 41 {
		x := last * float64(i) / 40
		bend = append(bend, plotter.XY{X: x, Y: slope.At(x)})
	}
	line, err := plotter.NewLine(bend)
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	chart.Add(plotter.NewGrid(), line, dots)
	name := strings.NewReplacer(",", "", " ", "-", ".", "-", "_", "-", "'", "").Replace(slope.Axis + "-" + slope.Role + "-" + slope.What)
	return errors.Wrap(chart.Save(12*vg.Centimeter, 8*vg.Centimeter, filepath.Join(folder, name+".svg")), "scale")
}
