package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
)

const (
	// startCrashMemory is for how long a worker that fell silent at a start limits the
	// starts of the others in its pool.
	startCrashMemory = 5 * tackclock.Second
	// fewStarts is the number of unlisted items on a worker after some worker of the pool
	// fell silent at a start; once manyCrashesParts times as many did as the pool has
	// workers, it is one.
	fewStarts        = 4
	manyCrashesParts = 2
	// limitedPollInterval is the interval of the heartbeats of workers whose starts are
	// limited: each carries the starts that had to wait for the ones before.
	limitedPollInterval = 50 * tackclock.Millisecond
)

// startCrashes holds when workers of a pool fell silent while they were starting items.
// Its zero value is empty.
//
// Load pattern: a queue has items that crash each worker that starts them, and a worker
// with room gets a dozen items at once. All that were started together are suspects after
// a crash, and must start again one by one: they come faster than that, and in the end the
// pool's room is free while sound items wait. With few starts at a time, a crash leaves
// few suspects.
type startCrashes []tackclock.Time

func (c *startCrashes) add(now tackclock.Time) {
	*c = append(slices.DeleteFunc(*c, func(at tackclock.Time) bool { return now.Sub(at) >= startCrashMemory }), now)
}

// recent returns the number of workers that fell silent recently.
func (c startCrashes) recent(now tackclock.Time) int {
	n := 0
	for _, at := range c {
		if now.Sub(at) < startCrashMemory {
			n++
		}
	}
	return n
}

// any reports whether a worker fell silent recently.
func (c startCrashes) any(now tackclock.Time) bool {
	return len(c) > 0 && now.Sub(c[len(c)-1]) < startCrashMemory
}

// maxUnlisted returns how many items that it has not listed a worker of the pool may have.
func (p *pool) maxUnlisted(now tackclock.Time) int {
	switch {
	case p.exposure.single:
		return 1
	case !p.startCrashes.any(now):
		return maxStartsInAnswer
	case manyCrashesParts*p.startCrashes.recent(now) < len(p.workers):
		return fewStarts
	}
	return 1
}

// limitStarts limits the starts in the pool of a worker that fell silent at a start.
func (d *Dispatcher) limitStarts(now tackclock.Time, w *worker) {
	p := d.pool(w.service)
	before := p.maxUnlisted(now)
	p.startCrashes.add(now)
	if p.maxUnlisted(now) != before {
		d.noteWorker(now, EventStartsLimited, w, string(w.service))
	}
}

// unlisted returns the number of items that the worker has been ordered to start, or is
// about to be, and has not listed yet.
func (w *worker) unlisted() int {
	n := 0
	for _, r := range w.runs {
		if !r.listed {
			n++
		}
	}
	return n
}

// allSurvived reports whether the worker runs no canary that has yet to survive.
func (w *worker) allSurvived() bool {
	for _, r := range w.runs {
		if r.canary && !r.survived {
			return false
		}
	}
	return true
}

// awaitsListing reports whether starts wait for the worker to list those before.
func (d *Dispatcher) awaitsListing(now tackclock.Time, w *worker) bool {
	p := d.pools[w.service]
	return w.hasTrial() || w.exposed && (!w.allSurvived() || p.hasWaiting()) || p.startCrashes.any(now) && w.acceptsItems(now) && p.hasWaiting()
}
