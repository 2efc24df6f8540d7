package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// comeBackKept is for how long after his time a refused caller is waited for.
	comeBackKept = 2 * tackclock.Second
	// latestComeBack bounds what callers are told.
	latestComeBack = tackclock.Minute
)

type (
	// comeBackTimes are the times at which refused callers were told to come back.
	//
	// Load pattern: a queue asks several times what its pool does for seconds. Were all
	// callers of a moment told when there is room for one of them, they would come back
	// together, and all but one be refused again. So each is told a time of his own, after
	// those of the callers before him. The zero value has told none.
	comeBackTimes struct {
		byJob map[tackjob.ID]comeBackTime
		// work is what the jobs of all of them take, in milliseconds of thousandths of a
		// core.
		work     int64
		expireAt tackclock.Time
	}

	comeBackTime struct {
		at   tackclock.Time
		work int64
	}
)

// assign returns when the caller of a job is to come back: at earliest, or as much later as
// the cores need for the jobs of those before him. Who comes back before his time keeps it.
func (x *comeBackTimes) assign(now tackclock.Time, spec *tackjob.Spec, earliest tackclock.Time, milliCores int) tackclock.Time {
	x.expire(now)
	if before, known := x.byJob[spec.ID]; known && before.at > now {
		return before.at
	}
	x.drop(spec.ID)
	if x.byJob == nil {
		x.byJob = make(map[tackjob.ID]comeBackTime)
	}
	next := comeBackTime{at: min(earliest.Add(timeFor(x.work, milliCores)), now.Add(latestComeBack)), work: spec.Work()}
	x.byJob[spec.ID] = next
	x.work += next.work
	return next.at
}

// drop forgets the time of a job, if it has one.
func (x *comeBackTimes) drop(id tackjob.ID) {
	x.work -= x.byJob[id].work
	delete(x.byJob, id)
}

// expire drops the times of callers who did not come back, now and then.
func (x *comeBackTimes) expire(now tackclock.Time) {
	if now < x.expireAt {
		return
	}
	x.expireAt = now.Add(comeBackKept)
	for id, told := range x.byJob {
		if now.Sub(told.at) > comeBackKept {
			x.drop(id)
		}
	}
}
