package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
)

// backlog is accepted work that is not done, in millicore-milliseconds, by the jobs'
// estimates. Long-running and repeated jobs are not counted.
type backlog struct {
	inTime int64 // of jobs that can still be in time
	late   int64
	// pressing is how many millicores would finish every job that can still be in time
	// within slackPercent of the time that it has left.
	pressing int
}

const (
	// slackPercent is the part of the time until its deadline within which a job should
	// be done, since steps wait for each other and estimates are sometimes too low. With
	// 35 and 70 the net gain under faults was the same within its error of 0.006.
	slackPercent = 50
	// minSlack is the lower bound of that time, about the duration of a move.
	minSlack = 1500 * tackclock.Millisecond
)

// isBatch reports whether the job has no long-running steps and no repeats.
func (o *openJob) isBatch() bool {
	return !o.LongRunning() && o.Repeats == 0
}

// backlogOf computes the backlog from the jobs' deadlines: with jobs run in the order of
// their deadlines, all work that is due by any moment must be done by then.
//
// Load pattern: a queue of long jobs ends its burst as one of short jobs begins its own.
// Both are worth the same per core-second, but the long ones have twice the time. With
// one time limit for all, the long jobs kept VMs that they only need later.
func (d *Dispatcher) backlogOf(now tackclock.Time, p *pool) backlog {
	type due struct {
		at   tackclock.Time
		work int64
	}
	done := p.workDone(now)
	var b backlog
	var dues []due
	for _, o := range d.jobs {
		if o.Service != p.service || !o.isBatch() || d.heldWork(o) {
			continue
		}
		work := max(0, o.workLeft()-done[o])
		if now.Add(o.RemainingCriticalPath(0)) > o.deadline {
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
		within := max(minSlack, x.at.Sub(now)*slackPercent/100)
		b.pressing = max(b.pressing, int(sum/int64(within)))
	}
	return b
}

// workDone returns, by job, the estimated work that the pool's running items have already
// done.
func (p *pool) workDone(now tackclock.Time) map[*openJob]int64 {
	done := make(map[*openJob]int64)
	for _, w := range p.workers {
		for _, r := range w.runs {
			if s := r.step; !s.LongRunning && r.copyReason == "" {
				done[s.job] += int64(max(0, s.Estimate-r.remaining(now))) * int64(s.MilliCores)
			}
		}
	}
	return done
}
