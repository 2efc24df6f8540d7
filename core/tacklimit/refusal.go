package tacklimit

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// CodeNone means that the request is not refused.
	CodeNone Code = ""
	// CodeQueueFull refuses a request whose team already has as many
	// requests waiting as it may.
	CodeQueueFull Code = "queue_full"
	// CodeTooLate refuses a request that could not start before its deadline.
	CodeTooLate Code = "too_late"
	// CodeDeadlinePassed refuses a request whose deadline has passed.
	CodeDeadlinePassed Code = "deadline_passed"
	// CodeDuplicate refuses a request with the ID of another that waits or
	// runs.
	CodeDuplicate Code = "duplicate"
)

const (
	// minRetryAfter and maxRetryAfter bound RefusedError.RetryAfter.
	minRetryAfter = tackclock.Second
	maxRetryAfter = tackclock.Minute
	// retryJitterDivisor gives the part of the retry time that is added as
	// jitter, so that callers refused together don't retry together.
	retryJitterDivisor = 4
)

type (
	// Code says why a request was refused.
	Code string

	// RefusedError says that a request was not run and will not be.
	RefusedError struct {
		Code Code
		// RetryAfter is how long to wait before a retry, estimated from the
		// current rate of starts.
		RetryAfter tackclock.Duration
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tacklimit: refused, %s, retry after %v", e.Code, e.RetryAfter)
}

// Err returns the refusal as an error, or nil if the request was not refused.
func (v Verdict) Err() error {
	if v.Decision != Refused {
		return nil
	}
	refusal := v.Refusal
	return &refusal
}

// RetryAfter returns how long the caller of a request that expired in the queue
// should wait before a retry.
func (g *Gate) RetryAfter(now tackclock.Time, r Request) tackclock.Duration {
	return retryAfter(r.ID, g.expectedWait(now, g.teams[r.Team], r.Class))
}

func (g *Gate) refuse(now tackclock.Time, r Request, code Code, wait tackclock.Duration) Verdict {
	if wait == 0 {
		wait = g.expectedWait(now, g.teams[r.Team], r.Class)
	}
	return Verdict{Decision: Refused, Refusal: RefusedError{Code: code, RetryAfter: retryAfter(r.ID, wait)}}
}

// admitToQueue returns the reason why the request may not be queued, or
// CodeNone, and its expected wait.
func (g *Gate) admitToQueue(now tackclock.Time, t *team, r Request) (Code, tackclock.Duration) {
	wait := g.expectedWait(now, t, r.Class)
	if t.subqueues[r.Class].length >= g.room(r.Class) {
		return CodeQueueFull, wait
	}
	if r.Deadline != 0 && now.Add(wait).After(latestStart(now, r.Deadline, g.stats.maxServiceTime())) {
		return CodeTooLate, wait
	}
	return CodeNone, wait
}

// latestStart returns the latest start at which a request with the given service
// time is answered before its deadline, but no less than half of the time left
// until the deadline from now. A request that starts just before its deadline
// takes a slot and is answered too late, and past saturation that would happen
// to all requests.
func latestStart(now, deadline tackclock.Time, serviceTime tackclock.Duration) tackclock.Time {
	return deadline.Add(-min(serviceTime, deadline.Sub(now)/2))
}

// room returns how many requests of a class one team may have waiting: a
// multiple of the free places in the queue, and a few in any case. One team that
// floods the queue is stopped at a part of it, two teams at a smaller part each,
// so that there is always room for another team. With a fixed bound on the queue
// one team could fill it and every other one would be refused.
func (g *Gate) room(class tackid.Class) int {
	limit := g.Settings.Queue
	if limit == 0 {
		limit = defaultQueueLimit
	}
	room := limit - g.Waiting()
	switch class {
	case tackid.ClassUrgent:
		room *= 2
	case tackid.ClassBatch:
		room /= 2
	}
	return max(room, limit/minRoomDivisor, 1)
}

// expectedWait estimates from the current rate of starts how long a request of
// the team and class that arrives now would wait: behind the higher classes, and
// behind its own class in fair order, in which its team gets one turn in as many
// as there are teams waiting. A team at its quota also waits until slots of its
// own are released.
func (g *Gate) expectedWait(now tackclock.Time, t *team, class tackid.Class) tackclock.Duration {
	own := 0
	if t != nil {
		own = t.subqueues[class].length
	}
	ahead := min((own+1)*max(1, g.fairQueues[class].length), g.waiting[class]+1)
	for _, higher := range classOrder {
		if higher == class {
			break
		}
		ahead += g.waiting[higher]
	}
	wait := g.stats.timeForStarts(now, ahead, class, g.capacity)
	if t != nil && t.parked {
		wait = max(wait, g.stats.meanServiceTime()*tackclock.Duration(own+1)/tackclock.Duration(max(t.running, 1)))
	}
	return wait
}

// retryAfter bounds the wait and adds jitter that depends on the request's ID.
func retryAfter(id uint64, wait tackclock.Duration) tackclock.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := max(wait/retryJitterDivisor, 1)
	return wait + tackclock.Duration(id*0x9e3779b97f4a7c15>>33)%jitter
}
