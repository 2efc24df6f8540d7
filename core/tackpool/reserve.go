package tackpool

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// recallTakes is how long a VM takes from the order to leave the standby pool to its
	// first item: a move, its first report, and a round of the planner.
	recallTakes = 2500 * tackclock.Millisecond
	// reserveKnownAfter is how long work must have been wanted for its rise to say
	// anything.
	reserveKnownAfter = 3 * tackclock.Second
	// surplusAfter is how long a VM beyond the reserve is idle before it rests: longer
	// than VMs are between two items.
	surplusAfter = 2500 * tackclock.Millisecond
	// risesKept is for how long a rise counts, at least.
	risesKept = 10 * tackclock.Minute
)

type (
	// Reserve judges how much of its idle VMs a pool must have at hand: as much as the
	// work of any pool rose within the time that a VM takes to come back from rest.
	// Callers do not notice that others rest. Its zero value knows nothing yet.
	//
	// Load pattern: turns of a few seconds that take a small part of a large pool. A VM
	// that is idle for less than the break-even time costs its keep, although no turn
	// ever asked for it.
	Reserve struct {
		pools map[tackid.Service]*wantedLately
		// from is when work was first wanted.
		from tackclock.Time
		// newest is the highest rise since turnedAt, older that of the span before.
		newest, older int
		turnedAt      tackclock.Time
	}

	// wantedLately is what a pool wanted in the last recallTakes.
	wantedLately struct {
		samples []wantedSample
	}

	wantedSample struct {
		at     tackclock.Time
		wanted int // thousandths of a core
	}
)

// Observe takes in what the pools want now.
func (r *Reserve) Observe(now tackclock.Time, p Planner, pools []Pool) {
	p = p.WithDefaults()
	if r.pools == nil {
		r.pools = make(map[tackid.Service]*wantedLately)
	}
	if now.Sub(r.turnedAt) >= risesKept {
		r.turnedAt, r.older, r.newest = now, r.newest, 0
	}
	for i := range pools {
		if pool := &pools[i]; !pool.Standby && len(pool.Demands) > 0 {
			r.observe(now, pool.Service, p.wanted(&pool.Demands[0]))
		}
	}
}

func (r *Reserve) observe(now tackclock.Time, service tackid.Service, wanted int) {
	if wanted > 0 && r.from == 0 {
		r.from = now
	}
	pool := r.pools[service]
	if pool == nil {
		// What is wanted when a leader first looks may have risen just now.
		pool = &wantedLately{samples: []wantedSample{{at: now}}}
		r.pools[service] = pool
	}
	r.newest = max(r.newest, wanted-pool.least(now))
	pool.samples = append(pool.samples, wantedSample{at: now, wanted: wanted})
}

// least is the least that was wanted in the last recallTakes.
func (l *wantedLately) least(now tackclock.Time) int {
	old := 0
	for old < len(l.samples)-1 && now.Sub(l.samples[old].at) > recallTakes {
		old++
	}
	l.samples = append(l.samples[:0], l.samples[old:]...)
	least := l.samples[0].wanted
	for _, s := range l.samples {
		least = min(least, s.wanted)
	}
	return least
}

// WantedFor is for how long there has been work; zero if there was none yet.
func (r *Reserve) WantedFor(now tackclock.Time) tackclock.Duration {
	if r.from == 0 {
		return 0
	}
	return now.Sub(r.from) + 1
}

// MilliCores is how many thousandths of a core each pool must have beside what it is to
// do; zero while that is not known.
func (r *Reserve) MilliCores(now tackclock.Time) int {
	if r.from == 0 || now.Sub(r.from) < reserveKnownAfter {
		return 0
	}
	return max(r.newest, r.older)
}
