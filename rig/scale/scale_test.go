package scale

import (
	"math"
	"testing"
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
	w := New(small(10, 30))
	if !w.Ready() {
		t.Fatal("it does not serve")
	}
	if d := w.change(2, 40); !w.All(func(h *Host) bool { return h.Plan == 2 }) {
		t.Errorf("the configuration is not in force everywhere after %v", d)
	}
	if d := w.weights(2); !w.Out.allHold(2) {
		t.Errorf("not all engines have the weights after %v", d)
	}
	more := map[string]float64{}
	if d := w.lot(more, 64, 2, 16); d.Seconds() > 60 || more["refused lots"] > 0 {
		t.Errorf("the lot is not listed: %v %v", d, more)
	}
}
