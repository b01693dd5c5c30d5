// Package scale measures how a fleet's cost grows (docs/CAPACITY.md): hollow
// nodes are real cores in one process on a virtual clock, hollow engines are rows
// that answer. Each size is varied alone, and a line is fitted through what each
// role spent.
package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at one size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a line through points: Slope for each unit of X to the Power of 1 or 2,
// Base at none, and how much of the spread the line explains (R2, 1 is all of it).
type Fit struct {
	Power  int     `json:"power"`
	Slope  float64 `json:"slope"`
	Base   float64 `json:"base"`
	R2     float64 `json:"r2"`
	Worst  float64 `json:"worst_residual"` // the largest distance from the line, as a share of the largest value
	Points []Point `json:"points"`
}

// Line fits a line by least squares, over sizes as they are and over their
// squares, and gives the one that is clearly the better, the plain one in doubt.
// Values that are all the same are flat, with R2 of 1.
func Line(points []Point) Fit {
	one, two := line(points, 1), line(points, 2)
	if two.R2 > one.R2 && one.R2 < 0.99 && 1-two.R2 < (1-one.R2)/2 {
		return two
	}
	return one
}

func line(points []Point, power int) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	least, most := points[0].Y, points[0].Y
	for i, p := range points {
		xs[i], ys[i] = math.Pow(p.X, float64(power)), p.Y
		least, most = min(least, p.Y), max(most, p.Y)
	}
	fit := Fit{Points: points, R2: 1, Power: power}
	if least == most {
		fit.Base = least
		return fit
	}
	fit.Base, fit.Slope = stat.LinearRegression(xs, ys, nil, false)
	fit.R2 = stat.RSquared(xs, ys, nil, fit.Base, fit.Slope)
	for _, p := range points {
		d := p.Y - fit.At(p.X)
		fit.Worst = max(fit.Worst, max(d, -d)/max(most, -least))
	}
	return fit
}

// At gives the line's value at a size.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*math.Pow(x, float64(f.Power)) }
