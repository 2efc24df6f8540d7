package tackadmit

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackoutlook"
)

const (
	// Kept is how long after its promised time a caller is still expected.
	Kept = 2 * tackclock.Second
	// MaxPromises limits the promises of one pool. At a hundred refusals per second it is
	// reached after 20 s; later callers are told a time without room.
	MaxPromises = 2000
	// earlyReturns is the number of returns before its time from which on a caller is known
	// to disregard the time. It is then expected within Kept of its last return. Otherwise
	// the room of callers that have given up would stay empty.
	earlyReturns = 2
)

type (
	// Promise is room in a pool that is reserved for a refused caller from a time on.
	Promise struct {
		Job      tackjob.ID     `cbor:"1,keyasint"`
		Service  tackid.Service `cbor:"2,keyasint"`
		At       tackclock.Time `cbor:"3,keyasint"`
		Priority int            `cbor:"4,keyasint,omitempty"`
		// Due is when Work, in millicore-milliseconds, must be done if the caller returns at
		// At.
		Due  tackclock.Time `cbor:"5,keyasint"`
		Work int64          `cbor:"6,keyasint"`
	}

	// Promises are the promises in the log, by job. The zero value is empty.
	Promises struct {
		byJob     map[tackjob.ID]Promise
		byService map[tackid.Service]int
	}

	// held is a promise of a pool.
	held struct {
		Promise
		// early is the number of returns before At, and earlyAt the time of the last one.
		early   int
		earlyAt tackclock.Time
		// told is how long before At the caller was told; zero if an earlier leader told it.
		told tackclock.Duration
		// promised says that the caller is accepted if it returns at At, and unreserved that
		// no room is kept from others until then.
		promised, unreserved bool
		// again says that a promise to the caller was broken before.
		again bool
		// cores are the millicores that the pool could count on when At was told; zero if
		// an earlier leader told it.
		cores int
	}
)

// until returns until when the room is reserved.
func (p *Promise) until() tackclock.Time {
	return p.At.Add(Kept)
}

// until returns until when the caller is expected.
func (h *held) until() tackclock.Time {
	if h.early >= earlyReturns {
		return min(h.Promise.until(), h.earlyAt.Add(Kept))
	}
	return h.Promise.until()
}

// lost reports whether the pool has lost capacity since the promise, or may have.
func (h *held) lost(s *tackoutlook.Supply) bool {
	return h.cores == 0 || s.Sum()*100 < h.cores*lossPercent
}

// Apply adds the promises of a log entry, and removes those that have expired by the time
// of the entry.
func (x *Promises) Apply(list []Promise, now tackclock.Time) {
	x.Expire(now)
	if x.byJob == nil {
		x.byJob, x.byService = make(map[tackjob.ID]Promise), make(map[tackid.Service]int)
	}
	for _, p := range list {
		x.Drop(p.Job)
		if now <= p.until() && x.byService[p.Service] < MaxPromises {
			x.byJob[p.Job] = p
			x.byService[p.Service]++
		}
	}
}

// Drop removes the promise for a job, if there is one.
func (x *Promises) Drop(id tackjob.ID) {
	if p, known := x.byJob[id]; known {
		delete(x.byJob, id)
		x.byService[p.Service]--
	}
}

// Expire removes the promises that have expired.
func (x *Promises) Expire(now tackclock.Time) {
	for id, p := range x.byJob {
		if now > p.until() {
			x.Drop(id)
		}
	}
}

// Len returns the number of promises.
func (x *Promises) Len() int {
	return len(x.byJob)
}

// All returns all promises, for a snapshot and a new leader.
func (x *Promises) All() []Promise {
	list := make([]Promise, 0, len(x.byJob))
	for _, p := range x.byJob {
		list = append(list, p)
	}
	return list
}

// Restore replaces all promises by those of a snapshot.
func (x *Promises) Restore(list []Promise) {
	x.byJob, x.byService = make(map[tackjob.ID]Promise, len(list)), make(map[tackid.Service]int)
	for _, p := range list {
		x.byJob[p.Job] = p
		x.byService[p.Service]++
	}
}
