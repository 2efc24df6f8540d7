// Package tacklimit implements admission control: it decides which requests of
// a service start, which wait and which are refused at once.
//
// A Gate serves one service on one peer. It runs no more requests at once than
// it has slots and keeps the rest in a bounded queue. Urgent requests start
// first, no team exceeds its quota, and the remaining slots are shared evenly
// among the teams that wait. A request that is not expected to start in time
// for its deadline is refused when it arrives, with the time to wait before a
// retry.
package tacklimit

import (
	"maps"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// Admitted is the decision on a request that may start now.
	Admitted Decision = iota
	// Queued is the decision on a request that waits.
	Queued
	// Refused is the decision on a request that will not be run.
	Refused
)

const (
	// defaultQueueLimit is the queue limit of a Gate with zero Settings.
	defaultQueueLimit = 4096
	// minRoomDivisor gives the part of the queue limit that every team may
	// always have waiting.
	minRoomDivisor = 256
	// lowerClassDivisor gives the part of the slots that the lower classes
	// may hold while a higher class could fill them all.
	lowerClassDivisor = 16
	// lowerClassInterval is how often a request of a lower class starts while
	// a higher class could fill all slots.
	lowerClassInterval = tackclock.Second
	numClasses         = 3
)

// classOrder lists the classes by priority, highest first.
var classOrder = [numClasses]tackid.Class{tackid.ClassUrgent, tackid.ClassNormal, tackid.ClassBatch}

type (
	// Decision is the decision of a Gate on an offered request.
	Decision uint8

	// Request is a request that asks to start. The ID is unique among the
	// requests that wait or run. A zero Deadline means no deadline.
	Request struct {
		ID       uint64
		Team     tackid.Team
		Class    tackid.Class
		Deadline tackclock.Time
	}

	// Verdict is the decision on a request. Refusal is set if it is Refused.
	Verdict struct {
		Decision Decision
		Refusal  RefusedError
	}

	// Settings are the tunables of a Gate. A zero field takes its default.
	Settings struct {
		// Queue is the number of requests that may wait. Every team may have
		// a few waiting in any case, even beyond that.
		Queue int
	}

	// Gate admits the requests of one service. Its zero value has no slots
	// and queues all requests until SetCapacity is called. It is not safe for
	// concurrent use. The slices that its methods return are valid until the
	// next call.
	Gate struct {
		Settings Settings
		// Quotas may be shared with the Gates of other services, so that the
		// quota of a team applies to all of them together. If it is nil, the
		// Gate uses quotas of its own.
		Quotas *Quotas

		capacity int

		entries    table
		teams      map[tackid.Team]*team
		parked     []*team
		fairQueues [numClasses]fairQueue
		running    [numClasses]int
		waiting    [numClasses]int
		lastStarts [numClasses]tackclock.Time
		wheel      wheel
		stats      serviceStats
		urgentPeak peak
		stale      []uint64
		started    []uint64
		expired    []uint64
	}

	// entry is a request that waits or runs.
	entry struct {
		Request
		team    *team
		running bool
		// stale reports whether the request was next in the queue when it was
		// already too late to start it. The next Tick reports it as expired.
		stale   bool
		started tackclock.Time
		// expiry is when a request that still waits can no longer be answered
		// in time; zero if there is no deadline.
		expiry tackclock.Time
		// prev and next link the entries of a subqueue, wheelPrev and
		// wheelNext those of a bucket of the wheel, chain those of a cell of
		// the table.
		prev, next           *entry
		wheelPrev, wheelNext *entry
		chain                *entry
	}
)

// Offer asks whether a request may start now. A queued request is started by a
// later Release or Tick, or expired by a Tick.
func (g *Gate) Offer(now tackclock.Time, r Request) Verdict {
	if r.Deadline != 0 && !now.Before(r.Deadline) {
		return g.refuse(now, r, CodeDeadlinePassed, 0)
	}
	if g.entries.get(r.ID) != nil {
		return g.refuse(now, r, CodeDuplicate, 0)
	}
	t := g.teamOf(r.Team)
	if g.startsAtOnce(now, t, r) && g.quotas().acquire(t.name) {
		e := g.newEntry(r, t)
		g.start(now, e)
		return Verdict{Decision: Admitted}
	}
	if code, wait := g.admitToQueue(now, t, r); code != CodeNone {
		g.forget(t)
		return g.refuse(now, r, code, wait)
	}
	g.enqueue(now, g.newEntry(r, t))
	return Verdict{Decision: Queued}
}

// Release ends a request that was admitted or started, however it ended, and
// returns the requests that start in its place.
func (g *Gate) Release(now tackclock.Time, id uint64) (started []uint64) {
	g.started = g.started[:0]
	e := g.entries.get(id)
	if e == nil || !e.running {
		return g.started
	}
	g.running[e.Class]--
	g.stats.recordRelease(now, e)
	g.quotas().release(e.team.name)
	e.team.released(g, e.Class)
	g.remove(e)
	g.startWaiting(now)
	return g.started
}

// Cancel removes a waiting request from the queue and reports whether it did; a
// cancelled request is never started. A request that runs must be released.
func (g *Gate) Cancel(_ tackclock.Time, id uint64) bool {
	e := g.entries.get(id)
	if e == nil || e.running {
		return false
	}
	if !e.stale {
		g.unqueue(e)
	}
	g.remove(e)
	return true
}

// Tick starts the requests that may start and expires those that can no longer
// be answered in time. It must be called every few tens of milliseconds, and
// after SetCapacity and SetQuotas.
func (g *Gate) Tick(now tackclock.Time) (started, expired []uint64) {
	g.started = g.started[:0]
	g.expired = g.expired[:0]
	g.unpark()
	g.wheel.advance(now, func(e *entry) {
		g.expired = append(g.expired, e.ID)
		g.unqueue(e)
		g.remove(e)
	})
	g.startWaiting(now)
	g.expireStale()
	return g.started, g.expired
}

// SetCapacity sets the number of slots. Running requests keep their slots when
// the number decreases.
func (g *Gate) SetCapacity(n int) {
	g.capacity = max(n, 0)
}

// SetQuotas sets the number of slots that each team may hold at once, over all
// Gates that share the Quotas. A team that is missing or has zero is limited
// only by its fair share. A peer that divides quotas with other peers calls
// Quotas.Set with its parts instead.
func (g *Gate) SetQuotas(quotas map[tackid.Team]int) {
	bounds := maps.Clone(quotas)
	maps.DeleteFunc(bounds, func(_ tackid.Team, slots int) bool { return slots == 0 })
	g.quotas().Set(bounds)
}

// quotas returns the Quotas in use, and allocates them if there are none.
func (g *Gate) quotas() *Quotas {
	if g.Quotas == nil {
		g.Quotas = new(Quotas)
	}
	return g.Quotas
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int {
	n := 0
	for _, w := range g.waiting {
		n += w
	}
	return n
}

// WaitingOf returns the number of requests of a team that wait.
func (g *Gate) WaitingOf(team tackid.Team) int {
	t := g.teams[team]
	if t == nil {
		return 0
	}
	n := 0
	for i := range t.subqueues {
		n += t.subqueues[i].length
	}
	return n
}

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int {
	n := 0
	for _, r := range g.running {
		n += r
	}
	return n
}

// startsAtOnce reports whether a request that arrives now may start ahead of all
// waiting requests: a slot is free for it, no waiting request of a higher class
// may take that slot, and its team comes first in the fair order of its class.
func (g *Gate) startsAtOnce(now tackclock.Time, t *team, r Request) bool {
	if t.parked || !g.hasSlotFor(now, t, r) {
		return false
	}
	for _, class := range classOrder {
		if class == r.Class {
			break
		}
		if g.first(now, class) != nil {
			return false
		}
	}
	next := g.fairQueues[r.Class].first()
	if next == nil {
		return true
	}
	own := &t.subqueues[r.Class]
	return own.length == 0 && (own.running < next.running || g.first(now, r.Class) == nil)
}

// startWaiting starts waiting requests on the free slots.
func (g *Gate) startWaiting(now tackclock.Time) {
	for g.Running() < g.capacity {
		e := g.choose(now)
		if e == nil {
			return
		}
		if e.expiry != 0 && !now.Before(e.expiry) {
			g.unqueue(e)
			e.stale = true
			g.stale = append(g.stale, e.ID)
			continue
		}
		if !g.quotas().acquire(e.team.name) {
			g.park(e.team)
			continue
		}
		g.unqueue(e)
		g.start(now, e)
		g.started = append(g.started, e.ID)
	}
}

// expireStale expires the requests that startWaiting found too late to start,
// unless they were cancelled since.
func (g *Gate) expireStale() {
	for _, id := range g.stale {
		if e := g.entries.get(id); e != nil && e.stale {
			g.expired = append(g.expired, id)
			g.remove(e)
		}
	}
	g.stale = g.stale[:0]
}

// choose returns the request to start next, or nil. It prefers the highest class
// with waiting requests, unless a lower one is due.
func (g *Gate) choose(now tackclock.Time) *entry {
	for i := len(classOrder) - 1; i > 0; i-- {
		if e := g.firstDue(now, classOrder[i]); e != nil {
			return e
		}
	}
	for _, class := range classOrder {
		if e := g.first(now, class); e != nil {
			return e
		}
	}
	return nil
}

// first returns the request of a class that is next in its fair order, or nil
// if none may take a slot.
func (g *Gate) first(now tackclock.Time, class tackid.Class) *entry {
	q := g.fairQueues[class].first()
	if q == nil || !g.hasSlotFor(now, q.team, q.head.Request) {
		return nil
	}
	return q.head
}

// firstDue returns the request of a lower class that must start ahead of a
// higher class, or nil. It prevents starvation by a higher class that could fill
// all slots. The class is limited to a small part of the slots, since long
// requests would otherwise take over all slots one start at a time. While the
// lower classes together hold less than that part, the reserves don't apply to
// them, because a flood of urgent requests would keep the reserves to itself.
func (g *Gate) firstDue(now tackclock.Time, class tackid.Class) *entry {
	part := max(1, g.capacity/lowerClassDivisor)
	if g.running[class] >= part || now.Sub(g.lastStarts[class]) < lowerClassInterval {
		return nil
	}
	if q := g.fairQueues[class].first(); q != nil && g.lowerRunning() < part {
		return q.head
	}
	return g.first(now, class)
}

// lowerRunning returns the number of slots that the lower classes hold.
func (g *Gate) lowerRunning() int {
	return g.running[tackid.ClassNormal] + g.running[tackid.ClassBatch]
}

// start assigns a slot to the entry.
func (g *Gate) start(now tackclock.Time, e *entry) {
	e.running = true
	e.started = now
	g.running[e.Class]++
	g.lastStarts[e.Class] = now
	g.stats.recordStart(now, e.Class)
	if e.Class == tackid.ClassUrgent {
		g.urgentPeak.add(now, g.running[e.Class])
	}
	e.team.started(g, e.Class)
}

// enqueue appends the entry to its team's subqueue.
func (g *Gate) enqueue(now tackclock.Time, e *entry) {
	if g.waiting[e.Class] == 0 {
		g.stats.beginBacklog(now, e.Class)
	}
	g.waiting[e.Class]++
	e.team.push(g, e)
	if e.Deadline != 0 {
		e.expiry = max(latestStart(now, e.Deadline, 2*g.stats.meanServiceTime()), now+1)
		g.wheel.add(now, e)
	}
}

// unqueue removes the entry from its subqueue.
func (g *Gate) unqueue(e *entry) {
	g.waiting[e.Class]--
	if g.waiting[e.Class] == 0 {
		g.stats.endBacklog(e.Class)
	}
	e.team.drop(g, e)
	if e.expiry != 0 {
		g.wheel.remove(e)
	}
}

func (g *Gate) newEntry(r Request, t *team) *entry {
	e := g.entries.add(r)
	e.team = t
	return e
}

// remove deletes an entry that neither waits nor runs.
func (g *Gate) remove(e *entry) {
	t := e.team
	g.entries.remove(e)
	g.forget(t)
}
