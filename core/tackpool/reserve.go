package tackpool

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// recallDuration is the time from the order that moves a VM out of the standby pool
	// to its first item: a move, its first report, and a round of the planner.
	recallDuration = 2500 * tackclock.Millisecond
	// reserveKnownAfter is how long work must have been wanted before its rise is
	// meaningful.
	reserveKnownAfter = 3 * tackclock.Second
	// riseWindow is the minimum time for which a rise counts.
	riseWindow = 10 * tackclock.Minute
)

type (
	// Reserve determines how much idle capacity a pool must keep ready: as much as the
	// wanted work of any pool has risen within the time that a VM takes to return from
	// the standby pool. With that reserve, callers do not notice that other VMs are
	// parked. Its zero value has observed nothing.
	//
	// Load pattern: bursts of a few seconds that take a small part of a large pool. A VM
	// that is kept idle until the break-even time costs money for that long, although no
	// burst ever required it.
	Reserve struct {
		pools map[tackid.Service]*demandWindow
		// firstWork is when work was first wanted.
		firstWork tackclock.Time
		// currentMax is the highest rise since windowStart, previousMax that of the
		// window before.
		currentMax, previousMax int
		windowStart             tackclock.Time
	}

	// demandWindow is what a pool wanted in the last recallDuration.
	demandWindow struct {
		samples []demandSample
	}

	demandSample struct {
		at     tackclock.Time
		wanted int // millicores
	}
)

// Observe records what the pools want now.
func (r *Reserve) Observe(now tackclock.Time, p Planner, pools []Pool) {
	p = p.WithDefaults()
	if r.pools == nil {
		r.pools = make(map[tackid.Service]*demandWindow)
	}
	if now.Sub(r.windowStart) >= riseWindow {
		r.windowStart, r.previousMax, r.currentMax = now, r.currentMax, 0
	}
	for i := range pools {
		if pool := &pools[i]; !pool.Standby && len(pool.Demands) > 0 {
			r.observe(now, pool.Service, p.wanted(&pool.Demands[0]))
		}
	}
}

func (r *Reserve) observe(now tackclock.Time, service tackid.Service, wanted int) {
	if wanted > 0 && r.firstWork == 0 {
		r.firstWork = now
	}
	pool := r.pools[service]
	if pool == nil {
		// Work that a new leader finds when it first plans may have risen just before.
		pool = &demandWindow{samples: []demandSample{{at: now}}}
		r.pools[service] = pool
	}
	r.currentMax = max(r.currentMax, wanted-pool.minimum(now))
	pool.samples = append(pool.samples, demandSample{at: now, wanted: wanted})
}

// minimum returns the minimum that was wanted in the last recallDuration.
func (l *demandWindow) minimum(now tackclock.Time) int {
	old := 0
	for old < len(l.samples)-1 && now.Sub(l.samples[old].at) > recallDuration {
		old++
	}
	l.samples = append(l.samples[:0], l.samples[old:]...)
	minimum := l.samples[0].wanted
	for _, s := range l.samples {
		minimum = min(minimum, s.wanted)
	}
	return minimum
}

// SinceFirstWork returns the time since work was first wanted; zero if there was none yet.
func (r *Reserve) SinceFirstWork(now tackclock.Time) tackclock.Duration {
	if r.firstWork == 0 {
		return 0
	}
	return now.Sub(r.firstWork) + 1
}

// MilliCores returns the reserve in millicores that each pool must have beyond
// what its work requires; zero while it is not known.
func (r *Reserve) MilliCores(now tackclock.Time) int {
	if r.firstWork == 0 || now.Sub(r.firstWork) < reserveKnownAfter {
		return 0
	}
	return max(r.currentMax, r.previousMax)
}
