package tackforecast

import "auburntack/core/tackclock"

const (
	// shapeBefore is the time before the begin of a burst that its shape includes: the
	// part of the rise before the begin is detected.
	shapeBefore = 2 * tackclock.Second
	// shapeWidth is the resolution of a shape, and shapeSize the number of its parts: 62 s
	// after the begin. Later parts of longer bursts are not learned.
	shapeWidth = 500 * tackclock.Millisecond
	shapeSize  = 128
)

// shape is the work of a burst by the time since its begin.
type shape [shapeSize]float64

func (s *shape) add(sinceBegin tackclock.Duration, work float64) {
	if i := shapeIndex(sinceBegin); i >= 0 && i < shapeSize {
		s[i] += work
	}
}

// shapeIndex returns the index of the part that holds the time, which may not exist.
func shapeIndex(sinceBegin tackclock.Duration) int {
	x := sinceBegin + shapeBefore
	if x < 0 {
		return -1
	}
	return int(x / shapeWidth)
}

// average moves s by the given part of the difference towards other.
func (s *shape) average(other *shape, part float64) {
	for i := range s {
		s[i] += (other[i] - s[i]) * part
	}
}

// highest returns the highest rate in millicores between two times since the begin.
// Neighbouring parts are averaged, since one holds few jobs of a queue of large ones.
func (s *shape) highest(from, to tackclock.Duration) float64 {
	best := 0.0
	for i := max(shapeIndex(from), 1); i <= min(shapeIndex(to), shapeSize-2); i++ {
		best = max(best, (s[i-1]+2*s[i]+s[i+1])/float64(4*shapeWidth))
	}
	return best
}
