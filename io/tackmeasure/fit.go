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

	// Fit is the straight line that is nearest to some points by least
	// squares. Residual is the greatest distance of a point from it, in the
	// unit of the values.
	Fit struct {
		Slope     float64
		Intercept float64
		Residual  float64
		Points    int
	}
)

// NewFit returns the line through points. With fewer than two sizes it is flat
// and goes through the mean.
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
