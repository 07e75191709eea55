package scale

import (
	"errors"
	"maps"
	"math"
	"slices"
)

// Line is the least-squares fit cost = Intercept + Slope·size, with the standard errors of both coefficients.
type Line struct {
	Intercept    float64 `json:"a"`
	Slope        float64 `json:"b"`
	InterceptErr float64 `json:"err_a"`
	SlopeErr     float64 `json:"err_b"`
	RSquared     float64 `json:"r2"` // share of the variance that the line explains
	PointCount   int     `json:"n"`
	MinSize      float64 `json:"from"`
	MaxSize      float64 `json:"to"`
	// SlopeChange is the slope of the upper half of the sizes minus that of the lower half, as a share of Slope.
	SlopeChange float64 `json:"bend"`
}

// ErrTooFewSizes is returned by FitLine for points of fewer than three sizes, for which the standard error of a slope
// has no meaning.
var ErrTooFewSizes = errors.New("scale: points have fewer than three sizes")

// Point is a measured cost at a size.
type Point struct{ Size, Cost float64 }

// FitLine fits a line to points by least squares. The points must have at least three distinct sizes.
func FitLine(points []Point) (Line, error) {
	sizes := map[float64]bool{}
	for _, p := range points {
		sizes[p.Size] = true
	}
	if len(sizes) < 3 {
		return Line{}, ErrTooFewSizes
	}
	l := leastSquares(points)
	middle := medianSize(sizes)
	var low, high []Point
	for _, p := range points {
		if p.Size <= middle {
			low = append(low, p)
		}
		if p.Size >= middle {
			high = append(high, p)
		}
	}
	if distinctSizes(low) > 1 && distinctSizes(high) > 1 && l.Slope != 0 {
		l.SlopeChange = (leastSquares(high).Slope - leastSquares(low).Slope) / l.Slope
	}
	return l, nil
}

// medianSize returns the median of the sizes or, if their number is even, the larger of the two middle sizes.
func medianSize(sizes map[float64]bool) float64 {
	all := slices.Sorted(maps.Keys(sizes))
	return all[len(all)/2]
}

func distinctSizes(points []Point) int {
	sizes := map[float64]bool{}
	for _, p := range points {
		sizes[p.Size] = true
	}
	return len(sizes)
}

// leastSquares fits a line to points by least squares. It leaves SlopeChange zero.
func leastSquares(points []Point) Line {
	n := float64(len(points))
	l := Line{PointCount: len(points), MinSize: math.Inf(1), MaxSize: math.Inf(-1)}
	var meanSize, meanCost float64
	for _, p := range points {
		meanSize += p.Size / n
		meanCost += p.Cost / n
		l.MinSize = min(l.MinSize, p.Size)
		l.MaxSize = max(l.MaxSize, p.Size)
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.Size - meanSize) * (p.Size - meanSize)
		sxy += (p.Size - meanSize) * (p.Cost - meanCost)
		syy += (p.Cost - meanCost) * (p.Cost - meanCost)
	}
	l.Slope = sxy / sxx
	l.Intercept = meanCost - l.Slope*meanSize
	residual := max(0, syy-l.Slope*sxy)
	if syy > 0 {
		l.RSquared = 1 - residual/syy
	}
	if n > 2 {
		variance := residual / (n - 2)
		l.SlopeErr = math.Sqrt(variance / sxx)
		l.InterceptErr = math.Sqrt(variance * (1/n + meanSize*meanSize/sxx))
	}
	return l
}

// CostAt returns the fitted cost at a size.
func (l Line) CostAt(size float64) float64 { return l.Intercept + l.Slope*size }

// ExtrapolationFactor returns the ratio of a size to the largest measured size.
func (l Line) ExtrapolationFactor(size float64) float64 { return size / l.MaxSize }
