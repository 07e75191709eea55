package scale

import (
	"errors"
	"maps"
	"math"
	"slices"
)

// Line is cost = A + B·x, fitted by least squares, with the standard errors of both.
type Line struct {
	A    float64 `json:"a"`
	B    float64 `json:"b"`
	ErrA float64 `json:"err_a"`
	ErrB float64 `json:"err_b"`
	// R2 is the share of the variance that the line explains, N how many points there were, and From and To their range.
	R2   float64 `json:"r2"`
	N    int     `json:"n"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
	// Bend is by how much the slope of the upper half of the range differs from that of the lower half, as a share of B.
	Bend float64 `json:"bend"`
}

// ErrPoints says that a line can't be fitted: a slope needs three sizes at least.
var ErrPoints = errors.New("scale: fewer than three sizes")

// Point is a measured cost at a size.
type Point struct{ X, Y float64 }

// Fit fits a line.
func Fit(points []Point) (Line, error) {
	sizes := map[float64]bool{}
	for _, p := range points {
		sizes[p.X] = true
	}
	if len(sizes) < 3 {
		return Line{}, ErrPoints
	}
	l := fitted(points)
	middle := middleOf(sizes)
	var low, high []Point
	for _, p := range points {
		if p.X <= middle {
			low = append(low, p)
		}
		if p.X >= middle {
			high = append(high, p)
		}
	}
	if distinct(low) > 1 && distinct(high) > 1 && l.B != 0 {
		l.Bend = (fitted(high).B - fitted(low).B) / l.B
	}
	return l, nil
}

// middleOf is the size in the middle of all, the larger one of two.
func middleOf(sizes map[float64]bool) float64 {
	all := slices.Sorted(maps.Keys(sizes))
	return all[len(all)/2]
}

func distinct(points []Point) int {
	xs := map[float64]bool{}
	for _, p := range points {
		xs[p.X] = true
	}
	return len(xs)
}

func fitted(points []Point) Line {
	n := float64(len(points))
	l := Line{N: len(points), From: math.Inf(1), To: math.Inf(-1)}
	var mx, my float64
	for _, p := range points {
		mx, my = mx+p.X/n, my+p.Y/n
		l.From, l.To = min(l.From, p.X), max(l.To, p.X)
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
		syy += (p.Y - my) * (p.Y - my)
	}
	l.B = sxy / sxx
	l.A = my - l.B*mx
	rest := max(0, syy-l.B*sxy)
	if syy > 0 {
		l.R2 = 1 - rest/syy
	}
	if n > 2 {
		variance := rest / (n - 2)
		l.ErrB = math.Sqrt(variance / sxx)
		l.ErrA = math.Sqrt(variance * (1/n + mx*mx/sxx))
	}
	return l
}

// At is the cost at a size.
func (l Line) At(x float64) float64 { return l.A + l.B*x }

// Beyond is how many times the largest measured size a size is.
func (l Line) Beyond(x float64) float64 { return x / l.To }
