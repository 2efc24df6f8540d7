// Package tackconfine decides whether the starts of a queue's items are confined to a
// small part of a pool, because some of them crash the workers that start them.
//
// Load pattern: the jobs of one queue arrive many times a second, and every item of a
// quarter of them crashes its worker as it starts. Rules for single items bear two or
// three crashes each. Over a dozen items in each job and five such jobs a second, these
// rules lose most of the pool, and with it the work of other queues.
//
// While a queue is confined, each of its jobs is tried with one item, its canary, on a
// worker that is exposed for this purpose. The other items of the job start after the
// canary has survived.
package tackconfine

import (
	"slices"

	"auburntack/core/tackclock"
)

const (
	// SurvivedAfter is how long a worker must list a canary for it to have survived: two
	// heartbeats of a worker with free capacity, as for the short trials of package
	// tackcrash.
	SurvivedAfter = 300 * tackclock.Millisecond
	// window is the time within which more than one worker must crash at a start. VMs
	// that fail by themselves do so less often, and a crashed one is back within it.
	window      = 5 * tackclock.Second
	crashLimit  = 2
	calmFor     = 10 * tackclock.Second // without a crash, until release
	longCalm    = tackclock.Minute      // the same while suspects wait
	overdueTime = 2 * tackclock.Second  // until a canary that has not survived delays the release

	// exposedParts is the divisor of a pool's workers that gives how many are exposed at
	// a time. lostParts limits how many of them may be lost within lostFor, the time that
	// a VM needs to come back. Fewer than a quarter would not suffice to try the jobs of
	// a queue of which a quarter are at fault; with more, other queues lose VMs that they
	// need.
	exposedParts = 8
	// maxExposed limits them in a large pool. A canary takes a third of a second, so these
	// try some 180 jobs a second.
	maxExposed = 64
	lostParts  = 4
	lostFor    = 4 * tackclock.Second

	// decisiveTries is the number of tried jobs from which the share of those at fault
	// is known, and decisiveShare the divisor of the tried jobs that must be at fault for
	// the crash of a canary to count in full. A worker fails by itself during the tenth
	// of a second of a canary's start far less often than that.
	decisiveTries = 8
	decisiveShare = 10
	// soundShare is the divisor of the tried jobs that gives how many may be at fault
	// for canaries to follow each other on a worker without waiting. One at fault takes
	// four with it that have not survived yet, which is less than it saves.
	soundShare = 5
)

type (
	// Unit is the evidence about items that behave alike: those of a queue with the same
	// image. Its zero value is not confined.
	Unit struct {
		crashes  []crash
		confined bool
		// canaries are those under way, with the times of their starts.
		canaries map[uint64]tackclock.Time
		// survivedAt is when a canary last survived. tried and crashed count the canaries
		// with a result since the unit was confined.
		survivedAt     tackclock.Time
		tried, crashed int
	}

	// crash is the crash of a worker at a start of an item.
	crash struct {
		at     tackclock.Time
		vm     string
		worker string
		// shared says that the worker was starting items of other units as well.
		shared bool
	}

	// Losses are the times at which exposed workers were lost. Its zero value is empty.
	Losses []tackclock.Time
)

// Confined reports whether starts are confined.
func (u *Unit) Confined() bool {
	return u.confined
}

// Crashed records that a worker crashed, or fell silent, while it started items of the
// unit, and reports whether the unit is confined from now on. shared says that it was
// starting items of other units as well.
func (u *Unit) Crashed(now tackclock.Time, vm, worker string, shared bool) (begins bool) {
	u.crashes = slices.DeleteFunc(u.crashes, func(c crash) bool { return now.Sub(c.at) >= calmFor || c.worker == worker })
	u.crashes = append(u.crashes, crash{at: now, vm: vm, worker: worker, shared: shared})
	vms := make(map[string]bool)
	for _, c := range u.crashes {
		if now.Sub(c.at) < window {
			vms[c.vm] = true
		}
	}
	if u.confined || len(vms) < crashLimit {
		return false
	}
	u.confined, u.survivedAt, u.tried, u.crashed = true, 0, 0, 0
	return true
}

// Withdraw removes a crash that did not happen: the worker reports again, or its end was
// ordered.
func (u *Unit) Withdraw(worker string) {
	u.crashes = slices.DeleteFunc(u.crashes, func(c crash) bool { return c.worker == worker })
}

// Idle reports whether the unit holds no evidence that still counts.
func (u *Unit) Idle(now tackclock.Time) bool {
	return !u.confined && len(u.canaries) == 0 && !slices.ContainsFunc(u.crashes, func(c crash) bool { return now.Sub(c.at) < calmFor })
}

// Begin records the start of a canary.
func (u *Unit) Begin(now tackclock.Time, run uint64) {
	if u.canaries == nil {
		u.canaries = make(map[uint64]tackclock.Time)
	}
	u.canaries[run] = now
}

// Survived records that a canary has survived its start. If all of a number of canaries
// have, the crashes were the fault of the other units.
func (u *Unit) Survived(now tackclock.Time, run uint64) {
	if _, ok := u.canaries[run]; ok {
		u.survivedAt = now
		u.tried++
		delete(u.canaries, run)
		if u.tried >= decisiveTries && u.crashed == 0 {
			u.crashes = slices.DeleteFunc(u.crashes, func(c crash) bool { return c.shared })
		}
	}
}

// Lost records that the worker of a canary crashed, or may have.
func (u *Unit) Lost(run uint64) {
	if _, ok := u.canaries[run]; ok {
		u.tried++
		u.crashed++
		delete(u.canaries, run)
	}
}

// End records the end of a canary without a result.
func (u *Unit) End(run uint64) {
	delete(u.canaries, run)
}

// Calm reports whether the unit is confined and may be due for release.
func (u *Unit) Calm(now tackclock.Time) bool {
	return u.confined && now.Sub(u.lastCrash()) >= calmFor
}

// lastCrash returns when a worker last crashed, zero if none did.
func (u *Unit) lastCrash() tackclock.Time {
	last := tackclock.Time(0)
	for _, c := range u.crashes {
		last = max(last, c.at)
	}
	return last
}

// Release ends the confinement, and reports so, once no worker has crashed for a while
// and the canaries that were due have survived. waiting says that jobs wait for canaries:
// then one at least must have survived since the last crash. While suspects wait, the queue
// is released only after a longer time: they may wait for reasons of their own.
func (u *Unit) Release(now tackclock.Time, waiting, suspects bool) bool {
	if !u.Calm(now) {
		return false
	}
	last, calm := u.lastCrash(), calmFor
	if suspects {
		calm = longCalm
	}
	if now.Sub(last) < calm || waiting && u.survivedAt <= last {
		return false
	}
	for _, began := range u.canaries {
		if now.Sub(began) > overdueTime {
			return false
		}
	}
	u.confined = false
	return true
}

// Decisive reports whether the crash of a worker at the start of a canary counts in full
// against its item, although the item was no suspect before: so many jobs of the unit are
// at fault that a coincidence is far less likely. A second crash, on another VM, is still
// needed to give the item up.
func (u *Unit) Decisive() bool {
	return u.tried >= decisiveTries && u.crashed*decisiveShare >= u.tried
}

// MostlySound reports whether so few canaries crash their workers that the next one may
// start on a worker before the one before has survived.
func (u *Unit) MostlySound() bool {
	return u.tried >= decisiveTries && u.crashed*soundShare < u.tried
}

// Share returns the counts of tried canaries and of those whose workers crashed.
func (u *Unit) Share() (crashed, tried int) {
	return u.crashed, u.tried
}

// Exposed returns how many workers of a pool are exposed at a time; none in a pool that
// would have no others. If only suspects wait, most tries cost a worker, so there are as
// many as may be lost at a time.
func Exposed(workers int, onlySuspects bool) int {
	parts := exposedParts
	if onlySuspects {
		parts = lostParts
	}
	if workers < 2 {
		return 0
	}
	return min(maxExposed, max(1, workers/parts))
}

// Add records the loss of an exposed worker.
func (l *Losses) Add(now tackclock.Time) {
	*l = append(slices.DeleteFunc(*l, func(at tackclock.Time) bool { return now.Sub(at) >= lostFor }), now)
}

// Replaceable returns how many exposed workers of a pool may be replaced now.
func (l Losses) Replaceable(now tackclock.Time, workers int) int {
	left := max(1, workers/lostParts)
	for _, at := range l {
		if now.Sub(at) < lostFor {
			left--
		}
	}
	return max(0, left)
}
