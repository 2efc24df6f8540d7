package tacklimit

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// CodeNone is the code of no refusal.
	CodeNone Code = ""
	// CodeQueueFull refuses a request whose team has filled its part of the
	// queue.
	CodeQueueFull Code = "queue_full"
	// CodeTooLate refuses a request that could not start before its deadline.
	CodeTooLate Code = "too_late"
	// CodeDeadlinePassed refuses a request whose deadline has gone by.
	CodeDeadlinePassed Code = "deadline_passed"
	// CodeDuplicate refuses a request whose ID waits or runs already.
	CodeDuplicate Code = "duplicate"
)

const (
	// minRetryAfter and maxRetryAfter bound what a refusal tells the caller.
	minRetryAfter = tackclock.Second
	maxRetryAfter = tackclock.Minute
	// spread is the part of the time by which refusals differ, so that those
	// refused together do not come back together.
	spread = 4
)

type (
	// Code says why a request was refused.
	Code string

	// RefusedError says that a request was not run and will not be.
	RefusedError struct {
		Code Code
		// RetryAfter is when to come back, by the present drain rate.
		RetryAfter tackclock.Duration
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tacklimit: refused, %s, retry after %v", e.Code, e.RetryAfter)
}

// Err returns the refusal as an error, or nil.
func (v Verdict) Err() error {
	if v.Decision != Refused {
		return nil
	}
	refusal := v.Refusal
	return &refusal
}

// RetryAfter returns when a request of the team and class that was given up
// in the queue should come back.
func (g *Gate) RetryAfter(now tackclock.Time, r Request) tackclock.Duration {
	return retryAfter(r.ID, g.expectedWait(now, g.teams[r.Team], r.Class))
}

func (g *Gate) refuse(now tackclock.Time, r Request, code Code, wait tackclock.Duration) Verdict {
	if wait == 0 {
		wait = g.expectedWait(now, g.teams[r.Team], r.Class)
	}
	return Verdict{Decision: Refused, Refusal: RefusedError{Code: code, RetryAfter: retryAfter(r.ID, wait)}}
}

// admitToQueue returns why the request may not wait, or CodeNone, and the wait
// that is expected.
func (g *Gate) admitToQueue(now tackclock.Time, t *team, r Request) (Code, tackclock.Duration) {
	wait := g.expectedWait(now, t, r.Class)
	if t.lanes[r.Class].length >= g.room(r.Class) {
		return CodeQueueFull, wait
	}
	if r.Deadline != 0 && now.Add(wait).After(lastStart(now, r.Deadline, g.drain.longest())) {
		return CodeTooLate, wait
	}
	return CodeNone, wait
}

// lastStart is the latest start for a request that takes as long as given to be
// answered in time, though a caller is given half of its patience in any case. A
// request that starts just before its deadline takes a slot, is answered too
// late, and past saturation all of them would be.
func lastStart(now, deadline tackclock.Time, takes tackclock.Duration) tackclock.Time {
	return deadline.Add(-min(takes, deadline.Sub(now)/2))
}

// room is how many requests of a class one team may have waiting: a multiple
// of the free part of the queue, and a few in any case. One team that floods
// stops at a part of the queue and two at less each, and there is always room
// for the next; with a plain bound one team fills the queue and every other one
// is refused.
func (g *Gate) room(class tackid.Class) int {
	limit := g.Settings.Queue
	if limit == 0 {
		limit = defaultQueue
	}
	room := limit - g.Waiting()
	switch class {
	case tackid.ClassUrgent:
		room *= 2
	case tackid.ClassBatch:
		room /= 2
	}
	return max(room, limit/sureDivisor, 1)
}

// expectedWait is how long a request of the team and class that came now would
// wait, by the present drain rate: behind the higher classes, and behind its
// own class in fair order, of which its team gets one turn in as many as there
// are teams waiting. A team at its quota waits for slots of its own.
func (g *Gate) expectedWait(now tackclock.Time, t *team, class tackid.Class) tackclock.Duration {
	own := 0
	if t != nil {
		own = t.lanes[class].length
	}
	ahead := min((own+1)*max(1, g.fair[class].lanes), g.waiting[class]+1)
	for _, higher := range ranks {
		if higher == class {
			break
		}
		ahead += g.waiting[higher]
	}
	wait := g.drain.timeFor(now, ahead, class, g.capacity)
	if t != nil && t.parked {
		wait = max(wait, g.drain.typical()*tackclock.Duration(own+1)/tackclock.Duration(max(t.running, 1)))
	}
	return wait
}

// retryAfter bounds the time and spreads it by the request's ID.
func retryAfter(id uint64, wait tackclock.Duration) tackclock.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	part := max(wait/spread, 1)
	return wait + tackclock.Duration(id*0x9e3779b97f4a7c15>>33)%part
}
