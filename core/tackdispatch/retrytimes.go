package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// retryTimeKept is how long after its assigned time a refused caller is still
	// expected.
	retryTimeKept = 2 * tackclock.Second
	// maxRetryAfter is the longest delay that callers are told.
	maxRetryAfter = tackclock.Minute
)

type (
	// retryTimes are the times at which refused callers were told to retry.
	//
	// Load pattern: for seconds a queue submits several times what its pool can run. If
	// all callers refused at one moment were told when there will be room for one of
	// them, they would return together, and all but one would be refused again. Each
	// caller is therefore given a time of its own, after those of the callers before it.
	// The zero value is empty.
	retryTimes struct {
		byJob map[tackjob.ID]retryTime
		// work is the total work of these jobs, in millicore-milliseconds.
		work     int64
		expireAt tackclock.Time
	}

	retryTime struct {
		at   tackclock.Time
		work int64
	}
)

// assign returns when the caller of a job should retry: at earliest, or as much later as
// the cores need for the jobs of the callers before it. A caller that returns before its
// time keeps that time.
func (x *retryTimes) assign(now tackclock.Time, spec *tackjob.Spec, earliest tackclock.Time, milliCores int) tackclock.Time {
	x.expire(now)
	if before, known := x.byJob[spec.ID]; known && before.at > now {
		return before.at
	}
	x.drop(spec.ID)
	if x.byJob == nil {
		x.byJob = make(map[tackjob.ID]retryTime)
	}
	next := retryTime{at: min(earliest.Add(timeFor(x.work, milliCores)), now.Add(maxRetryAfter)), work: spec.Work()}
	x.byJob[spec.ID] = next
	x.work += next.work
	return next.at
}

// drop removes the time of a job, if it has one.
func (x *retryTimes) drop(id tackjob.ID) {
	x.work -= x.byJob[id].work
	delete(x.byJob, id)
}

// expire periodically drops the times of callers that did not return.
func (x *retryTimes) expire(now tackclock.Time) {
	if now < x.expireAt {
		return
	}
	x.expireAt = now.Add(retryTimeKept)
	for id, told := range x.byJob {
		if now.Sub(told.at) > retryTimeKept {
			x.drop(id)
		}
	}
}
