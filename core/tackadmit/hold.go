package tackadmit

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

// hold adds a promise.
func (p *Pool) hold(h *held) {
	if p.byJob == nil {
		p.byJob = make(map[tackjob.ID]*held)
	}
	p.byJob[h.Job] = h
	p.reserve(h, h.Work)
}

// Drop removes the promise for a job, if there is one.
func (p *Pool) Drop(id tackjob.ID) {
	if h := p.byJob[id]; h != nil {
		delete(p.byJob, id)
		p.reserve(h, -h.Work)
	}
}

// reserve adds to the sums over the promises.
func (p *Pool) reserve(h *held, work int64) {
	p.told += work
	if h.unreserved {
		return
	}
	p.promised.of(h.Priority).Add(h.Due, work)
	if h.again {
		p.broken += work
	}
}

// Expire periodically drops the promises whose callers are not expected any more, and
// returns how many there were.
func (p *Pool) Expire(now tackclock.Time) int {
	if now < p.expireAt {
		return 0
	}
	p.expireAt = now.Add(expireInterval)
	n := 0
	for id, h := range p.byJob {
		if now > h.until() {
			p.Drop(id)
			if h.early == 0 && h.told > 0 {
				p.habit.missed()
			}
			if h.promised {
				n++
			}
		}
	}
	return n
}

// Restore adds a promise that a new leader finds in its log.
func (p *Pool) Restore(x Promise) {
	p.hold(&held{Promise: x, promised: true})
}

// Unlogged returns up to limit promises that are to be written to the log, since the last
// call, without those that were dropped meanwhile.
func (p *Pool) Unlogged(limit int) []Promise {
	var list []Promise
	for n, x := range p.unlogged {
		if len(list) == limit {
			p.unlogged = p.unlogged[n:]
			return list
		}
		if h := p.byJob[x.Job]; h != nil && h.Promise == x {
			list = append(list, x)
		}
	}
	p.unlogged = nil
	return list
}
