package tackplace

import (
	"math"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// minMeasurements is the number of measurements of a kind of tasks from
	// which on they are used in place of the declared sizes.
	minMeasurements = 8
	// sampleWeight is the weight of a new measurement in the mean.
	sampleWeight = 0.1
	// memoryPeakDecay is the factor by which a measurement decreases the memory
	// peak before it, so that a single outlier is forgotten over time.
	memoryPeakDecay = 0.999
	// usageMargin is the factor by which the memory set aside exceeds the memory
	// measured, and by which the cores in use must exceed the declared cores
	// to count as more than declared.
	usageMargin = 1.1
	// minCoresFactor and maxCoresFactor bound the cores set aside for each
	// declared core.
	minCoresFactor = 0.25
	maxCoresFactor = 4
)

type (
	// taskKind identifies the tasks that are assumed to be alike: those of one
	// team on one pool.
	taskKind struct {
		team tackid.Team
		pool tackid.Pool
	}

	// usageRatios are the ratios of measured sizes and run times to declared
	// ones.
	usageRatios struct {
		cores      mean
		minutes    mean
		memoryPeak float64 // the decaying peak
		n          int
	}

	// mean is an exponentially weighted mean with the mean absolute deviation
	// from it.
	mean struct {
		n         int
		value     float64
		deviation float64
	}

	// resources is an amount of each resource of a worker.
	resources struct {
		cores        float64
		memoryMB     int
		accelerators int
	}
)

func (m *mean) add(x float64) {
	m.n++
	w := max(sampleWeight, 1/float64(m.n))
	m.deviation += w * (math.Abs(x-m.value) - m.deviation)
	if m.n == 1 {
		m.deviation = 0
	}
	m.value += w * (x - m.value)
}

func (n resources) wholeCores() int {
	return max(1, int(math.Ceil(n.cores)))
}

// ratiosOf returns the ratios of the tasks that are like row.
func (p *Placer) ratiosOf(row *tackfleet.Task) *usageRatios {
	k := taskKind{row.Team, row.Pool}
	r := p.learned[k]
	if r == nil {
		r = new(usageRatios)
		p.learned[k] = r
	}
	return r
}

// estimate returns the resources to set aside for a task that has not been
// measured.
//
// Cores can be overcommitted for a while, so the learned ratio is preferred to
// the declared cores. Memory can't: a worker that runs out of memory kills
// tasks, so at least the declared memory is set aside.
func (p *Placer) estimate(row *tackfleet.Task) resources {
	n := resources{float64(row.Cores), row.MemoryMB, row.Accelerators}
	r := p.ratiosOf(row)
	if r.n < minMeasurements {
		return n
	}
	n.cores *= r.coresFactor()
	n.memoryMB = int(float64(n.memoryMB) * max(1, r.memoryPeak*usageMargin))
	return n
}

// coresFactor returns the cores to set aside for each declared core: the mean
// ratio plus twice the deviation, but no more than 1 unless the mean clearly
// exceeds the declared cores.
func (r *usageRatios) coresFactor() float64 {
	most := 1.0
	if r.cores.value > usageMargin {
		most = maxCoresFactor
	}
	return min(max(r.cores.value+2*r.cores.deviation, minCoresFactor), most)
}

// learn updates the lease and the ratios from the usage of a running task.
func (t *tick) learn(l *lease, u *Usage) {
	if u.Cores <= 0 && u.MemoryMB <= 0 {
		return
	}
	l.used.known = true
	l.used.cores = u.Cores
	l.used.memoryMB = max(l.used.memoryMB, u.MemoryMB)
	l.need.memoryMB = max(l.need.memoryMB, int(u.MemoryMB*usageMargin))
	r := t.ratiosOf(l.row)
	r.n++
	r.memoryPeak = max(r.memoryPeak*memoryPeakDecay, u.MemoryMB/float64(l.row.MemoryMB))
	if l.throttled > 0 {
		return // the usage is limited by the throttling
	}
	r.cores.add(u.Cores / float64(l.row.Cores))
	least := max(u.Cores, minCoresFactor*float64(l.row.Cores))
	l.need.cores = max(least, min(l.need.cores, t.estimate(l.row).cores))
}

// learnRunTime updates the ratios from the run time of a finished task.
func (t *tick) learnRunTime(l *lease) {
	if l.row.Minutes > 0 && !l.row.Checkpointed {
		took := t.now.Sub(l.row.Started)
		t.ratiosOf(l.row).minutes.add(float64(took) / float64(l.declared()))
	}
}

func (l *lease) declared() tackclock.Duration {
	return tackclock.Duration(l.row.Minutes) * tackclock.Minute
}

// endsWithin reports whether a task is expected to end within d. A task that
// is late by up to a quarter of the expected time is still expected to end;
// nothing can be said about one that is later.
func (t *tick) endsWithin(l *lease, d tackclock.Duration) bool {
	if l.row.Minutes == 0 {
		return false
	}
	expected := float64(l.declared())
	if m := &t.ratiosOf(l.row).minutes; m.n >= minMeasurements {
		expected *= m.value
	}
	left := tackclock.Duration(expected) - t.now.Sub(l.row.Started)
	return left > -tackclock.Duration(expected/4) && left <= d
}
