package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
)

// backlog is accepted work that is not done, in milliseconds of thousandths of a
// core, by the estimates. Work that lasts is none.
type backlog struct {
	inTime int64 // of jobs that can still be in time
	late   int64
	// pressing is how many thousandths of a core have every job that can be in
	// time done within a part of the time that it has left.
	pressing int
}

const (
	// slackPercent is the part of the time until its deadline within which a job
	// should be done: steps wait for each other, and estimates are too low at times.
	// With 35 and 70 in its place the net gain under faults was the same within its
	// error of 0.006.
	slackPercent = 50
	// leastSlack bounds that time from below, at about what a move takes.
	leastSlack = 1500 * tackclock.Millisecond
)

// ends reports whether the job is work that ends, and is due at once.
func (o *openJob) ends() bool {
	return !o.LongRunning() && o.Repeats == 0
}

// backlogOf looks at each job's deadline: with jobs taken by their deadlines, what
// is due until any moment must be done until then.
//
// Load pattern: a queue of long jobs has had its turn, and one of short jobs begins
// its own. Both are worth the same a core-second, but the long ones have twice the
// time. With one time for all, the long jobs kept VMs that they need later.
func (d *Dispatcher) backlogOf(now tackclock.Time, p *pool) backlog {
	type due struct {
		at   tackclock.Time
		work int64
	}
	done := p.workDone(now)
	var b backlog
	var dues []due
	for _, o := range d.jobs {
		if o.Service != p.service || !o.ends() {
			continue
		}
		work := max(0, o.workLeft()-done[o])
		if now.Add(o.ChainLeft(0)) > o.deadline {
			b.late += work
			continue
		}
		b.inTime += work
		dues = append(dues, due{at: o.deadline, work: work})
	}
	slices.SortFunc(dues, func(a, b due) int { return cmp.Compare(a.at, b.at) })
	var sum int64
	for _, x := range dues {
		sum += x.work
		within := max(leastSlack, x.at.Sub(now)*slackPercent/100)
		b.pressing = max(b.pressing, int(sum/int64(within)))
	}
	return b
}

// workDone is the part of what the pool's running items take that is done.
func (p *pool) workDone(now tackclock.Time) map[*openJob]int64 {
	done := make(map[*openJob]int64)
	for _, w := range p.workers {
		for _, r := range w.runs {
			if s := r.step; !s.LongRunning && r.copied == "" {
				done[s.job] += int64(max(0, s.Estimate-r.left(now))) * int64(s.MilliCores)
			}
		}
	}
	return done
}
