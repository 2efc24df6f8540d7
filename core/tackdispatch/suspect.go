package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// stallAfter is the time without progress after which an item counts as stalled, and
	// stallParts the divisor of its estimate that gives the least such time for long
	// items. A worker lists whole percent several times a second.
	stallAfter = 900 * tackclock.Millisecond
	stallParts = 8
	// slowFactor is how many times slower than expected an item must be to count as slow.
	// Estimates are off by up to a half; workers that became slow are four to eight times
	// as slow.
	slowFactor = 4
	// minSlowItems is how many items must be slow at once, and they must be at least half
	// of those that can be judged, for their worker to count as slow. Some items take
	// several times their estimate by themselves.
	minSlowItems = 2
	// minJudgeAfter is how long an item must have run at the least before its speed is
	// judged.
	minJudgeAfter = 500 * tackclock.Millisecond
	// suspectFor is how long a worker that was found faulty gets nothing new. The time
	// doubles with each further finding, up to suspectMost.
	suspectFor  = 2 * tackclock.Second
	suspectMost = 8 * tackclock.Second
	// minFailedJobs is how many jobs must fail on a worker, with none completed in
	// between, for the worker to be at fault. A job that can never succeed fails
	// everywhere.
	minFailedJobs = 3
	// restartTime is the cost of a stop and a new start: most of a second on the slower
	// site, and a heartbeat.
	restartTime = 1200 * tackclock.Millisecond
	// maxUntilListed is how long after its start a run is listed at the latest, unless the
	// heartbeat was held up: a heartbeat interval of a busy worker, and some for the way.
	maxUntilListed = 500 * tackclock.Millisecond
)

// suspicion is the evidence that a worker is faulty. Heartbeats do not show it: a worker
// may fail, stall or slow down all that it runs and still send them.
type suspicion struct {
	until    tackclock.Time
	duration tackclock.Duration
	// failed holds the jobs that have failed on the worker since one was last completed.
	failed map[tackjob.ID]bool
}

// suspect withholds new items from the worker for a while.
func (d *Dispatcher) suspect(now tackclock.Time, w *worker, reason string) {
	s := &w.suspicion
	if now < s.until {
		return
	}
	s.duration = min(suspectMost, max(suspectFor, 2*s.duration))
	s.until = now.Add(s.duration)
	d.updateTotals(now, w)
	d.noteWorker(now, EventSuspected, w, reason)
}

// recordOutcome counts the end of a run for or against its worker.
func (d *Dispatcher) recordOutcome(now tackclock.Time, w *worker, e *Ended) {
	s := &w.suspicion
	switch e.Kind {
	case EndDone:
		s.failed = nil
		if now >= s.until {
			s.duration = 0
		}
	case EndFailed:
		if s.failed == nil {
			s.failed = make(map[tackjob.ID]bool)
		}
		s.failed[e.Item.Job] = true
		if len(s.failed) >= minFailedJobs {
			d.suspect(now, w, "several jobs failed on it")
		}
	}
}

// inspect examines a worker's runs for those that are stalled or slow, and starts their
// items elsewhere where that is sooner.
func (d *Dispatcher) inspect(now tackclock.Time, w *worker) {
	judged := 0
	evidence := 0
	var slow []*run
	guessed := make(map[*openStep]bool)
	for _, r := range w.runs {
		if r.stopping || !r.listed || r.step.LongRunning || r.step.BestEffort || r.step.Gang || r.pace < fullPace {
			continue
		}
		if r.stalled(now) {
			d.suspect(now, w, "an item makes no progress")
			d.replace(now, r, "no progress")
			continue
		}
		if now.Sub(r.listedAt) < r.minJudgeTime() {
			continue
		}
		judged++
		if !r.slow(now) {
			continue
		}
		slow = append(slow, r)
		if r.comparable() || !guessed[r.step] {
			evidence++
		}
		guessed[r.step] = true
	}
	if evidence < minSlowItems || 2*len(slow) < judged {
		return
	}
	d.suspect(now, w, "most items are slow")
	for _, r := range slow {
		if r.soonerElsewhere(now) {
			d.replace(now, r, "slow on this worker")
		}
	}
}

// replace starts an item elsewhere: as a copy where that is allowed, so that the run goes
// on, otherwise after stopping the run.
func (d *Dispatcher) replace(now tackclock.Time, r *run, reason string) {
	if !d.copy(now, r, reason) {
		d.stop(now, r, reason)
	}
}

// sample is the shortest time that an item of a step took, and the worker that ran it.
type sample struct {
	took   tackclock.Duration
	worker *worker
}

// recordSample records the duration of an item of the step that is done. The heartbeat that
// first listed the run may have been held up, and the next one read right after it. So the
// duration is also taken from the start, which is not known of a run that was taken over.
func (s *openStep) recordSample(now tackclock.Time, r *run) {
	if !r.listed || r.startPercent >= 100 || r.listedAt <= r.started {
		return
	}
	took := max(1, now.Sub(r.listedAt)*100/tackclock.Duration(100-r.startPercent), now.Sub(r.started)-maxUntilListed)
	if s.quickest.worker == nil || took < s.quickest.took {
		s.quickest = sample{took: took, worker: r.worker}
	}
}

// comparable reports whether another worker has completed an item of the run's step.
//
// An estimate may be several times too low, and the items of a step share it. Judged by
// the estimate alone, sound workers that held items of one such step got nothing new for
// seconds: 47 times in half a minute without faults, 145 times in one with faults.
// Comparing with other workers raised the net gain under faults from 0.449 to 0.501 (49
// VMs, 15 paired runs, standard error of the difference 0.012).
func (r *run) comparable() bool {
	return r.step.quickest.worker != nil && r.step.quickest.worker != r.worker
}

// expected returns how long the run should take: as long as the same step's items took on
// other workers, or its estimate.
func (r *run) expected() tackclock.Duration {
	if r.comparable() {
		return r.step.quickest.took
	}
	return r.step.Estimate
}

// minJudgeTime returns how long the run must have lasted for its speed to be judged.
func (r *run) minJudgeTime() tackclock.Duration {
	return max(minJudgeAfter, r.expected()/2)
}

func (r *run) stalled(now tackclock.Time) bool {
	return now.Sub(r.progressAt) > max(stallAfter, r.step.Estimate/stallParts)
}

// slow reports whether the run is far slower than expected.
func (r *run) slow(now tackclock.Time) bool {
	ran := now.Sub(r.listedAt)
	return ran*tackclock.Duration(100-r.startPercent) > slowFactor*r.expected()*tackclock.Duration(max(1, r.percent-r.startPercent))
}

// soonerElsewhere reports whether the item, stopped and started again on a sound worker,
// would end sooner than here. A stop takes up to a second.
func (r *run) soonerElsewhere(now tackclock.Time) bool {
	ran := now.Sub(r.listedAt)
	done := max(1, r.percent-r.startPercent)
	left := ran * tackclock.Duration(100-r.percent) / tackclock.Duration(done)
	again := r.expected()
	if r.checkpoint != "" {
		again = r.expected() * tackclock.Duration(100-r.percent) / 100
	}
	return left > again*3/2+restartTime
}
