package scale

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Given points on a known line, when they are fitted, then the line comes back;
// a point beside it shows in the spread.
func TestLine(t *testing.T) {
	f := Line([]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Base-3) > 1e-9 || f.R2 < 0.999999 || f.Worst > 1e-9 || math.Abs(f.At(100)-203) > 1e-6 {
		t.Errorf("%+v", f)
	}
	if f := Line([]Point{{1, 4}, {2, 4}, {3, 4}, {4, 4}}); f.Slope != 0 || f.Base != 4 || f.R2 != 1 {
		t.Errorf("flat: %+v", f)
	}
	if f := Line([]Point{{1, 1}, {2, 9}, {3, 2}, {4, 8}}); f.R2 > 0.6 || f.Worst < 0.1 {
		t.Errorf("scattered: %+v", f)
	}
}

// Given a small hollow fleet, when it starts, then every node serves the first
// configuration, takes the next, and engines take new weights.
func TestHollowFleet(t *testing.T) {
	world := New(small(10, 30))
	if !world.Ready() {
		t.Fatal("it does not serve")
	}
	if d := world.change(2, 40); !world.All(func(h *Host) bool { return h.Plan == 2 }) {
		t.Errorf("the configuration is not in force everywhere after %v", d)
	}
	if d := world.weights(2); !world.Out.allHold(2) {
		t.Errorf("not all engines have the weights after %v", d)
	}
	more := map[string]float64{}
	if d := world.lot(more, 64, 2, 16); d.Seconds() > 60 || more["refused lots"] > 0 {
		t.Errorf("the lot is not listed: %v %v", d, more)
	}
}

// Given points on a square, when they are fitted, then the square is told.
func TestSquare(t *testing.T) {
	f := Line([]Point{{10, 203}, {20, 803}, {40, 3203}, {80, 12803}})
	if f.Power != 2 || math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Base-3) > 1e-6 || math.Abs(f.At(840)-(2*840*840+3)) > 1 {
		t.Errorf("%+v", f)
	}
}

// Given sizes beyond the machine, when a run is asked for, then it says what it
// would need and starts nothing.
func TestBeyondTheMachine(t *testing.T) {
	var text strings.Builder
	err := Run(Config{Whole: true, Nodes: 84_000, Engines: 10_000_000, Out: &text, Notes: &text})
	var b Beyond
	if !errors.As(err, &b) || b.Need <= b.Have || !strings.Contains(err.Error(), "nothing was started") {
		t.Errorf("%v", err)
	}
	if text.Len() > 0 {
		t.Errorf("it began: %s", text.String())
	}
	for _, p := range []Config{{Whole: true, Nodes: 3, Engines: 100}, {Whole: true, Nodes: 840, Engines: 0}, {Axis: "no such"}} {
		p.Out, p.Notes = &text, &text
		if err := Run(p); err == nil || text.Len() > 0 {
			t.Errorf("%+v: %v, %s", p, err, text.String())
		}
	}
}

// Given a small whole fleet, when it goes through changes and losses, then
// nothing is found and every phase has its figures.
func TestSmallWhole(t *testing.T) {
	var out strings.Builder
	size := WholeSize(36, 240)
	size.Routes = 20
	rep := Take(size, &out)
	if len(rep.Bad) > 0 {
		t.Error(rep.Bad)
	}
	if len(rep.Phases) != 7 {
		t.Fatalf("%d phases", len(rep.Phases))
	}
	for _, p := range rep.Phases {
		if p.Seconds <= 0 || p.Bytes == 0 || p.Roles["dispatcher"]["cpu_ms"] <= 0 {
			t.Errorf("%+v", p)
		}
	}
	last := rep.Phases[5].Times
	if last["the lot is whole"] <= 0 || last["(nodes lost)"] < 2 || last["(engines lost)"] != 10 {
		t.Errorf("%v", last)
	}
}

// Given one axis, when it is measured and kept, then its slopes read back and
// every cost of the page's table names a slope that an axis has.
func TestAxisIsKept(t *testing.T) {
	a := Axes[1]
	a.Values = []float64{50, 100, 150, 200}
	s, err := a.Measure(func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := keep(folder, s); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(filepath.Join(folder, "engines.json")); err != nil || !strings.Contains(string(b), "heap a node") {
		t.Errorf("%v", err)
	}
	if _, err := os.Stat(filepath.Join(folder, "engines-fleet-heap-a-node.svg")); err != nil {
		t.Error(err)
	}
	names := map[string]bool{}
	for _, n := range axisNames() {
		names[n] = true
	}
	for _, r := range rows {
		if axis, _, _ := strings.Cut(r.key, "/"); !names[axis] {
			t.Errorf("%s: no such axis", r.key)
		}
	}
}
