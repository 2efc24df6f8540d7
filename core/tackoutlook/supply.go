package tackoutlook

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
)

type (
	// Supply is what a pool can run from now on: its present cores, and the cores that will
	// come, with their times. Its zero value is empty.
	Supply struct {
		arrivals []arrival // by time
		// yield is the yield in percent by which cores are multiplied, 100 if zero, and sum
		// the millicores without it.
		yield, sum int
	}

	// arrival is capacity that exists from a time on.
	arrival struct {
		at         tackclock.Time
		milliCores int
	}
)

// Add adds cores that are there from a time on.
func (s *Supply) Add(at tackclock.Time, milliCores int) {
	if milliCores <= 0 {
		return
	}
	s.sum += milliCores
	milliCores = milliCores * cmp.Or(s.yield, 100) / 100
	i, _ := slices.BinarySearchFunc(s.arrivals, at, func(a arrival, at tackclock.Time) int { return cmp.Compare(a.at, at) })
	if i < len(s.arrivals) && s.arrivals[i].at == at {
		s.arrivals[i].milliCores += milliCores
		return
	}
	s.arrivals = slices.Insert(s.arrivals, i, arrival{at: at, milliCores: milliCores})
}

// SetYield sets the yield in percent of cores that are added from now on. See Yield.
func (s *Supply) SetYield(percent int) {
	s.yield = percent
}

// Sum returns all millicores that were added, whatever their yield.
func (s *Supply) Sum() int {
	return s.sum
}

// Cores returns the millicores, by their yield, that are there at a time.
func (s *Supply) Cores(at tackclock.Time) int {
	sum := 0
	for _, a := range s.arrivals {
		if a.at <= at {
			sum += a.milliCores
		}
	}
	return sum
}

// Work returns the work that can be done between two times.
func (s *Supply) Work(from, to tackclock.Time) int64 {
	var work int64
	for _, a := range s.arrivals {
		if since := max(from, a.at); since < to {
			work += int64(a.milliCores) * int64(to.Sub(since))
		}
	}
	return work
}

// end returns the first time by which the work can be done, or false if there are no cores.
func (s *Supply) end(from tackclock.Time, work int64) (tackclock.Time, bool) {
	if work <= 0 {
		return from, true
	}
	at, cores := from, int64(0)
	for _, a := range s.arrivals {
		if a.at > at {
			if done := cores * int64(a.at.Sub(at)); done >= work {
				break
			} else {
				work -= done
			}
			at = a.at
		}
		cores += int64(a.milliCores)
	}
	if cores == 0 {
		return 0, false
	}
	return at.Add(tackclock.Duration((work + cores - 1) / cores)), true
}

// Fits reports whether work with a deadline can be done beside everything committed, in the
// order of deadlines, without making committed work late. Committed work that is due later
// and cannot be in time anyway allows nothing before it: the pool is then overcommitted.
func Fits(now tackclock.Time, b *Backlog, s *Supply, due tackclock.Time, work int64) bool {
	due = min(due-due%tackclock.Time(Resolution), now.Add(Horizon))
	if FinishTime(now, b, s, due, work) > due {
		return false
	}
	fits := true
	b.each(now, func(at tackclock.Time, sum int64) bool {
		fits = at <= due || sum+work <= s.Work(now, at)
		return fits
	})
	return fits
}

// MakesLate reports whether committed work that would be in time becomes late if other work
// is served before all of it.
func MakesLate(now tackclock.Time, b *Backlog, s *Supply, work int64) bool {
	late := false
	b.each(now, func(at tackclock.Time, sum int64) bool {
		can := s.Work(now, at)
		late = sum <= can && sum+work > can
		return !late
	})
	return late
}

// FinishTime returns when work with a deadline is done if it is served after everything
// committed that is due before. It returns the horizon if there are no cores.
func FinishTime(now tackclock.Time, b *Backlog, s *Supply, due tackclock.Time, work int64) tackclock.Time {
	end, ok := s.end(now, b.dueBy(now, due)+work)
	if !ok {
		return now.Add(Horizon)
	}
	return end
}
