package tackplace

import (
	"math"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// enough is how many measurements of a kind it takes to go by them
	// rather than by what was declared.
	enough = 8
	// weight is that of a new measurement in the mean.
	weight = 0.1
	// memoryFade is how much of a high mark of memory a new measurement
	// below it leaves, so that one outlier is forgotten in time.
	memoryFade = 0.999
	// spare is what is kept above the memory that was measured, and how far
	// above what was declared the cores in use must be to count as more.
	spare = 1.1
	// leastCores and mostCores bound what is made of declared cores.
	leastCores = 0.25
	mostCores  = 4
)

type (
	// kind is the tasks that are thought to be alike: those of one team on
	// one pool.
	kind struct {
		team tackid.Team
		pool tackid.Pool
	}

	// ratios are how actual sizes and run times relate to declared ones.
	ratios struct {
		cores   mean
		minutes mean
		memory  float64 // the high mark
		n       int
	}

	// mean is a mean that follows what changes, and how far from it things
	// are.
	mean struct {
		n     int
		value float64
		off   float64
	}

	// need is the room that a task takes on a worker.
	need struct {
		cores        float64
		memoryMB     int
		accelerators int
	}
)

func (m *mean) add(x float64) {
	m.n++
	w := max(weight, 1/float64(m.n))
	m.off += w * (math.Abs(x-m.value) - m.off)
	if m.n == 1 {
		m.off = 0
	}
	m.value += w * (x - m.value)
}

func (n need) wholeCores() int {
	return max(1, int(math.Ceil(n.cores)))
}

// ratiosOf returns what is learned of tasks like row.
func (p *Placer) ratiosOf(row *tackfleet.Task) *ratios {
	k := kind{row.Team, row.Pool}
	r := p.learned[k]
	if r == nil {
		r = new(ratios)
		p.learned[k] = r
	}
	return r
}

// needOf returns the room to set aside for a task that has not been measured.
//
// Cores can be shared for a while, so what is learned goes before what was
// declared. Memory can't: a worker that runs out of it kills tasks, so no less
// than what was declared is set aside.
func (p *Placer) needOf(row *tackfleet.Task) need {
	n := need{float64(row.Cores), row.MemoryMB, row.Accelerators}
	r := p.ratiosOf(row)
	if r.n < enough {
		return n
	}
	n.cores *= r.coresFactor()
	n.memoryMB = int(float64(n.memoryMB) * max(1, r.memory*spare))
	return n
}

// coresFactor returns what to set aside for each declared core: the mean and
// what tasks commonly stray from it, but no more than was declared as long as
// the mean is not above it.
func (r *ratios) coresFactor() float64 {
	most := 1.0
	if r.cores.value > spare {
		most = mostCores
	}
	return min(max(r.cores.value+2*r.cores.off, leastCores), most)
}

// learn takes in what a running task uses.
func (t *tick) learn(l *lease, u *Usage) {
	if u.Cores <= 0 && u.MemoryMB <= 0 {
		return
	}
	l.used.known = true
	l.used.cores = u.Cores
	l.used.memoryMB = max(l.used.memoryMB, u.MemoryMB)
	l.need.memoryMB = max(l.need.memoryMB, int(u.MemoryMB*spare))
	r := t.ratiosOf(l.row)
	r.n++
	r.memory = max(r.memory*memoryFade, u.MemoryMB/float64(l.row.MemoryMB))
	if l.throttled > 0 {
		return // what it would use can't be seen
	}
	r.cores.add(u.Cores / float64(l.row.Cores))
	least := max(u.Cores, leastCores*float64(l.row.Cores))
	l.need.cores = max(least, min(l.need.cores, t.needOf(l.row).cores))
}

// learnTime takes in how long a task took.
func (t *tick) learnTime(l *lease) {
	if l.row.Minutes > 0 && !l.row.Checkpointed {
		took := t.now.Sub(l.row.Started)
		t.ratiosOf(l.row).minutes.add(float64(took) / float64(l.declared()))
	}
}

func (l *lease) declared() tackclock.Duration {
	return tackclock.Duration(l.row.Minutes) * tackclock.Minute
}

// endsWithin reports whether a task is expected to end within d. One that is
// a little late is still expected; of one that is very late nothing is known.
func (t *tick) endsWithin(l *lease, d tackclock.Duration) bool {
	if l.row.Minutes == 0 {
		return false
	}
	expected := float64(l.declared())
	if m := &t.ratiosOf(l.row).minutes; m.n >= enough {
		expected *= m.value
	}
	left := tackclock.Duration(expected) - t.now.Sub(l.row.Started)
	return left > -tackclock.Duration(expected/4) && left <= d
}
