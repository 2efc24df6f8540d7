package tacklimit

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// shortWork is how long work may hold a slot of the urgent reserve: an
	// urgent request waits for it and still starts within 2.3 s.
	shortWork = 2 * tackclock.Second
	// generation is how many releases a span looks back, at least.
	generation = 64
	// fresh is how old the last release may be for its time of service to say
	// something about the next.
	fresh = tackclock.Second
	// settled is how long a class must have waited before its own rate of
	// starts is believed.
	settled = tackclock.Second / 2
	// window is how long starts count in the rate of a class, at least.
	window = 4 * tackclock.Second
	// meanShare is the part of the newest release in the mean.
	meanShare = 1.0 / 16
)

type (
	// drain measures how fast slots come free.
	drain struct {
		// mean is the time of service in milliseconds, zero before the first
		// release.
		mean float64
		all  span
		// urgent and lower are the spans of urgent and of all other requests.
		urgent, lower span
		rates         [classes]rate
	}

	// span is the largest time of service of the last releases, kept in two
	// generations so that old ones fade.
	span struct {
		now, old tackclock.Duration
		count    int
		full     bool
		last     tackclock.Time
	}

	// rate counts the starts of a class since it began to wait.
	rate struct {
		since  tackclock.Time
		starts float64
	}
)

// start counts a start of the class.
func (d *drain) start(now tackclock.Time, class tackid.Class) {
	r := &d.rates[class]
	if r.since == 0 {
		return
	}
	r.starts++
	if elapsed := now.Sub(r.since); elapsed > 2*window {
		r.since = now.Add(-elapsed / 2)
		r.starts /= 2
	}
}

// backlog notes that the class begins to wait.
func (d *drain) backlog(now tackclock.Time, class tackid.Class) {
	d.rates[class] = rate{since: now}
}

// idle notes that none of the class waits any more.
func (d *drain) idle(class tackid.Class) {
	d.rates[class] = rate{}
}

// released learns the time of service of a request.
func (d *drain) released(now tackclock.Time, e *entry) {
	took := max(now.Sub(e.started), 0)
	if d.mean == 0 {
		d.mean = float64(took)
	}
	d.mean += meanShare * (float64(took) - d.mean)
	d.all.add(now, took)
	d.spanOf(e.Class).add(now, took)
}

// typical is the time of service to expect, zero if nothing is known.
func (d *drain) typical() tackclock.Duration {
	return tackclock.Duration(d.mean)
}

// longest is the largest recent time of service, zero if too little is known.
func (d *drain) longest() tackclock.Duration {
	if !d.all.full {
		return 0
	}
	return max(d.all.now, d.all.old)
}

// short reports whether the request will give its slot back soon: its deadline
// says so, or all recent work of its kind did.
func (d *drain) short(now tackclock.Time, r Request) bool {
	if r.Deadline != 0 && r.Deadline.Sub(now) <= shortWork {
		return true
	}
	s := d.spanOf(r.Class)
	if !s.full || now.Sub(s.last) > fresh {
		return false
	}
	return max(s.now, s.old) <= shortWork/2
}

func (d *drain) spanOf(class tackid.Class) *span {
	if class == tackid.ClassUrgent {
		return &d.urgent
	}
	return &d.lower
}

// timeFor is how long the given number of starts of the class will take. The
// class's own rate counts if it has been waiting for a while, since higher
// classes may leave it only a part; else the mean time of service does.
func (d *drain) timeFor(now tackclock.Time, starts int, class tackid.Class, capacity int) tackclock.Duration {
	interval := d.mean / float64(max(capacity, 1))
	r := &d.rates[class]
	if elapsed := now.Sub(r.since); r.since != 0 && elapsed >= settled {
		interval = float64(elapsed) / max(r.starts, 1)
	}
	return tackclock.Duration(interval * float64(starts))
}

func (s *span) add(now tackclock.Time, took tackclock.Duration) {
	s.last = now
	s.now = max(s.now, took)
	s.count++
	if s.count < generation {
		return
	}
	s.old, s.now, s.count = s.now, took, 0
	s.full = true
}
