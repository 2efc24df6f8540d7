package tacklimit

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// shortServiceTime is how long a request may hold a slot of the urgent
	// reserve: an urgent request that waits for that slot still starts within
	// 2.3 s.
	shortServiceTime = 2 * tackclock.Second
	// generationSize is the number of releases in one generation of a
	// recentMax, and so the least number that its maximum covers.
	generationSize = 64
	// maxSampleAge is how old the last release may be for the recent service
	// times to predict the next one.
	maxSampleAge = tackclock.Second
	// minRateAge is how long requests of a class must have been waiting
	// before the measured start rate of the class is used.
	minRateAge = tackclock.Second / 2
	// rateWindow is the shortest time for which a start counts in the rate of
	// its class.
	rateWindow = 4 * tackclock.Second
	// meanWeight is the weight of the newest sample in the moving average of
	// service times.
	meanWeight = 1.0 / 16
)

type (
	// serviceStats measures service times and start rates, which tell how
	// fast slots are freed.
	serviceStats struct {
		// mean is the moving average of service times in milliseconds, zero
		// before the first release.
		mean float64
		all  recentMax
		// urgent and lower cover the urgent and all other requests.
		urgent, lower recentMax
		rates         [numClasses]startRate
	}

	// recentMax is the largest service time among the last releases. It is
	// kept in two generations, so that old samples expire.
	recentMax struct {
		current, previous tackclock.Duration
		count             int
		full              bool
		last              tackclock.Time
	}

	// startRate counts the starts of a class since requests of it began to
	// wait.
	startRate struct {
		since  tackclock.Time
		starts float64
	}
)

// recordStart counts a start of the class.
func (s *serviceStats) recordStart(now tackclock.Time, class tackid.Class) {
	r := &s.rates[class]
	if r.since == 0 {
		return
	}
	r.starts++
	if elapsed := now.Sub(r.since); elapsed > 2*rateWindow {
		r.since = now.Add(-elapsed / 2)
		r.starts /= 2
	}
}

// beginBacklog records that the first request of the class is queued.
func (s *serviceStats) beginBacklog(now tackclock.Time, class tackid.Class) {
	s.rates[class] = startRate{since: now}
}

// endBacklog records that no request of the class is queued any more.
func (s *serviceStats) endBacklog(class tackid.Class) {
	s.rates[class] = startRate{}
}

// recordRelease records the service time of a request that ended.
func (s *serviceStats) recordRelease(now tackclock.Time, e *entry) {
	took := max(now.Sub(e.started), 0)
	if s.mean == 0 {
		s.mean = float64(took)
	}
	s.mean += meanWeight * (float64(took) - s.mean)
	s.all.add(now, took)
	s.recentMaxOf(e.Class).add(now, took)
}

// meanServiceTime returns the expected service time, or zero before the first
// release.
func (s *serviceStats) meanServiceTime() tackclock.Duration {
	return tackclock.Duration(s.mean)
}

// maxServiceTime returns the largest recent service time, or zero if there are
// too few samples.
func (s *serviceStats) maxServiceTime() tackclock.Duration {
	if !s.all.full {
		return 0
	}
	return max(s.all.current, s.all.previous)
}

// isShort reports whether the request is expected to release its slot soon:
// either its deadline is near, or all recent requests of its kind were short.
func (s *serviceStats) isShort(now tackclock.Time, r Request) bool {
	if r.Deadline != 0 && r.Deadline.Sub(now) <= shortServiceTime {
		return true
	}
	m := s.recentMaxOf(r.Class)
	if !m.full || now.Sub(m.last) > maxSampleAge {
		return false
	}
	return max(m.current, m.previous) <= shortServiceTime/2
}

func (s *serviceStats) recentMaxOf(class tackid.Class) *recentMax {
	if class == tackid.ClassUrgent {
		return &s.urgent
	}
	return &s.lower
}

// timeForStarts estimates how long the given number of starts of the class will
// take. It uses the start rate of the class once that has been measured for a
// while, since higher classes may leave the class only a part of the slots, and
// the mean service time otherwise.
func (s *serviceStats) timeForStarts(now tackclock.Time, starts int, class tackid.Class, capacity int) tackclock.Duration {
	interval := s.mean / float64(max(capacity, 1))
	r := &s.rates[class]
	if elapsed := now.Sub(r.since); r.since != 0 && elapsed >= minRateAge {
		interval = float64(elapsed) / max(r.starts, 1)
	}
	return tackclock.Duration(interval * float64(starts))
}

func (m *recentMax) add(now tackclock.Time, took tackclock.Duration) {
	m.last = now
	m.current = max(m.current, took)
	m.count++
	if m.count < generationSize {
		return
	}
	m.previous, m.current, m.count = m.current, took, 0
	m.full = true
}
