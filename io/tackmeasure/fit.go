package tackmeasure

import (
	"fmt"
	"math"
)

type (
	// Point is one measured value at a size.
	Point struct {
		Size  float64
		Value float64
	}

	// Fit is a straight line fitted to points by least squares. Residual is the maximum
	// difference between a value and the line.
	Fit struct {
		Slope     float64
		Intercept float64
		Residual  float64
		Points    int
	}
)

// NewFit fits a line to points. If the points have fewer than two different sizes, the line is
// the mean of the values, with slope zero.
func NewFit(points []Point) Fit {
	f := Fit{Points: len(points)}
	if len(points) == 0 {
		return f
	}
	var size, value float64
	for _, p := range points {
		size += p.Size / float64(len(points))
		value += p.Value / float64(len(points))
	}
	var both, squares float64
	for _, p := range points {
		both += (p.Size - size) * (p.Value - value)
		squares += (p.Size - size) * (p.Size - size)
	}
	if squares > 0 {
		f.Slope = both / squares
	}
	f.Intercept = value - f.Slope*size
	for _, p := range points {
		f.Residual = max(f.Residual, math.Abs(p.Value-f.At(p.Size)))
	}
	return f
}

// At returns the value of the line at size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// String returns the line with its residual.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g x size, residual %.3g, %d points", f.Intercept, f.Slope, f.Residual, f.Points)
}
