// Package tacklimit decides which requests of a service may start, which wait
// and which are refused at once.
//
// A Gate serves one service on one entry VM. It starts no more requests than
// there are slots, keeps the rest in a bounded queue with a deadline each,
// starts urgent requests first, holds every team to its quota and shares what
// is left evenly among the teams that wait. What cannot start before its
// deadline is refused when it arrives, with the time after which to come back.
package tacklimit

import (
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
	// defaultQueue is the longest queue of a Gate with a zero Settings.
	defaultQueue = 4096
	// reserveDivisor is the part of the slots that only urgent requests may
	// fill: one of 32, and one at least where there are two.
	reserveDivisor = 32
	// lowerDivisor is the part of the slots that the lower classes may hold
	// while a higher class could fill them all.
	lowerDivisor = 16
	// lowerInterval is how often a lower class gets a start while a higher
	// one could fill all slots.
	lowerInterval = tackclock.Second
	classes       = 3
)

// ranks lists the classes from the first served to the last.
var ranks = [classes]tackid.Class{tackid.ClassUrgent, tackid.ClassNormal, tackid.ClassBatch}

type (
	// Decision is what a Gate says of a request that is offered.
	Decision uint8

	// Request is a request that asks to start. The ID is unique among those
	// that wait or run. A zero Deadline means that the caller waits for ever.
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
		// Queue is the largest number of requests that wait.
		Queue int
	}

	// Gate admits the requests of one service. Its zero value has no slots
	// and queues everything until SetCapacity. It is not safe for concurrent
	// use. The slices that its methods return are valid until the next call.
	Gate struct {
		Settings Settings

		capacity int
		quotas   map[tackid.Team]int

		entries map[uint64]*entry
		teams   map[tackid.Team]*team
		fair    [classes]fairQueue
		running [classes]int
		waiting [classes]int
		lastRun [classes]tackclock.Time
		wheel   wheel
		drain   drain
		stale   []uint64
		started []uint64
		expired []uint64
		free    *entry
	}

	// entry is a request that waits or runs.
	entry struct {
		Request
		team    *team
		running bool
		started tackclock.Time
		// giveUp is when a request that still waits cannot be answered in
		// time any more; zero if there is no deadline.
		giveUp tackclock.Time
		// prev and next link the entries of a lane, later and earlier those
		// of a bucket of the wheel.
		prev, next     *entry
		earlier, later *entry
	}
)

// Offer asks whether a request may start now. A queued request starts or
// expires by a later Release or Tick.
func (g *Gate) Offer(now tackclock.Time, r Request) Verdict {
	if r.Deadline != 0 && !now.Before(r.Deadline) {
		return g.refuse(now, r, CodeDeadlinePassed, 0)
	}
	if g.entries[r.ID] != nil {
		return g.refuse(now, r, CodeDuplicate, 0)
	}
	t := g.teamOf(r.Team)
	if g.startsAtOnce(now, t, r) {
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
	e := g.entries[id]
	if e == nil || !e.running {
		return g.started
	}
	g.running[e.Class]--
	g.drain.released(now, e)
	e.team.released(g, e.Class)
	g.remove(e)
	g.startWaiting(now)
	return g.started
}

// Cancel takes a request that waits out of the queue and reports whether it
// did; after that it is never started. A request that runs must be released.
func (g *Gate) Cancel(_ tackclock.Time, id uint64) bool {
	e := g.entries[id]
	if e == nil || e.running {
		return false
	}
	g.unqueue(e)
	g.remove(e)
	return true
}

// Tick starts what may start and gives up what cannot be answered in time any
// more. It is called every few tens of milliseconds, and after SetCapacity and
// SetQuotas.
func (g *Gate) Tick(now tackclock.Time) (started, expired []uint64) {
	g.started = g.started[:0]
	g.expired = append(g.expired[:0], g.stale...)
	g.stale = g.stale[:0]
	g.wheel.advance(now, func(e *entry) {
		g.expired = append(g.expired, e.ID)
		g.unqueue(e)
		g.remove(e)
	})
	g.startWaiting(now)
	g.expired = append(g.expired, g.stale...)
	g.stale = g.stale[:0]
	return g.started, g.expired
}

// SetCapacity sets the number of slots. Requests that run keep theirs when the
// number falls.
func (g *Gate) SetCapacity(n int) {
	g.capacity = max(n, 0)
}

// SetQuotas sets the number of slots that each team may hold at once. A team
// that is missing or has zero is bounded by its fair share alone.
func (g *Gate) SetQuotas(quotas map[tackid.Team]int) {
	g.quotas = quotas
	for _, t := range g.teams {
		t.setQuota(g, quotas[t.name])
	}
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int {
	n := 0
	for _, w := range g.waiting {
		n += w
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

// startsAtOnce reports whether a request that arrives now may overtake the
// queue: a slot is free and nothing of its class or a higher one could use it.
func (g *Gate) startsAtOnce(now tackclock.Time, t *team, r Request) bool {
	if t.blocked() || !g.slotFor(now, r) {
		return false
	}
	for _, class := range ranks {
		if !g.fair[class].empty() {
			return false
		}
		if class == r.Class {
			return true
		}
	}
	return true
}

// slotFor reports whether a slot is free that the request may take.
func (g *Gate) slotFor(now tackclock.Time, r Request) bool {
	if g.Running() >= g.capacity {
		return false
	}
	if r.Class == tackid.ClassUrgent {
		return true
	}
	lower := g.running[tackid.ClassNormal] + g.running[tackid.ClassBatch]
	return lower < g.capacity-g.reserve() || g.drain.short(now, r)
}

// reserve is the number of slots that long work of the lower classes must not
// fill. Without it a flood of slow batch requests takes every slot at once,
// and an urgent request that comes next waits until the first of them ends,
// however long that is.
func (g *Gate) reserve() int {
	if g.capacity < 2 {
		return 0
	}
	return max(1, g.capacity/reserveDivisor)
}

// startWaiting fills the free slots from the queue.
func (g *Gate) startWaiting(now tackclock.Time) {
	for g.Running() < g.capacity {
		e := g.choose(now)
		if e == nil {
			return
		}
		g.unqueue(e)
		if e.giveUp != 0 && !now.Before(e.giveUp) {
			g.stale = append(g.stale, e.ID)
			g.remove(e)
			continue
		}
		g.start(now, e)
		g.started = append(g.started, e.ID)
	}
}

// choose returns the request that starts next, or nil. The highest class that
// waits goes first, unless a lower one is due.
func (g *Gate) choose(now tackclock.Time) *entry {
	for i := len(ranks) - 1; i > 0; i-- {
		if e := g.first(now, ranks[i]); e != nil && g.due(now, ranks[i]) {
			return e
		}
	}
	for _, class := range ranks {
		if e := g.first(now, class); e != nil {
			return e
		}
	}
	return nil
}

// first returns the request of a class that is next in its fair order, or nil
// if none may take a slot.
func (g *Gate) first(now tackclock.Time, class tackid.Class) *entry {
	l := g.fair[class].first()
	if l == nil || !g.slotFor(now, l.head.Request) {
		return nil
	}
	return l.head
}

// due reports whether a lower class must get a start ahead of a higher one. A
// higher class that fills all slots would otherwise starve it for ever. The
// class is kept to a small part of the slots, since requests that run long
// would take over all of them one start at a time.
func (g *Gate) due(now tackclock.Time, class tackid.Class) bool {
	return g.running[class] < max(1, g.capacity/lowerDivisor) && now.Sub(g.lastRun[class]) >= lowerInterval
}

// start gives the entry a slot.
func (g *Gate) start(now tackclock.Time, e *entry) {
	e.running = true
	e.started = now
	g.running[e.Class]++
	g.lastRun[e.Class] = now
	g.drain.start(now, e.Class)
	e.team.started(g, e.Class)
}

// enqueue puts the entry at the end of its team's lane.
func (g *Gate) enqueue(now tackclock.Time, e *entry) {
	if g.waiting[e.Class] == 0 {
		g.drain.backlog(now, e.Class)
	}
	g.waiting[e.Class]++
	e.team.push(g, e)
	if e.Deadline != 0 {
		e.giveUp = max(e.Deadline.Add(-g.drain.shortest()), now+1)
		g.wheel.add(now, e)
	}
}

// unqueue takes the entry out of its lane.
func (g *Gate) unqueue(e *entry) {
	g.waiting[e.Class]--
	if g.waiting[e.Class] == 0 {
		g.drain.idle(e.Class)
	}
	e.team.drop(g, e)
	if e.giveUp != 0 {
		g.wheel.remove(e)
	}
}

func (g *Gate) newEntry(r Request, t *team) *entry {
	if g.entries == nil {
		g.entries = make(map[uint64]*entry)
	}
	e := g.free
	if e == nil {
		e = new(entry)
	} else {
		g.free = e.next
	}
	*e = entry{Request: r, team: t}
	g.entries[r.ID] = e
	return e
}

// remove forgets an entry that neither waits nor runs.
func (g *Gate) remove(e *entry) {
	delete(g.entries, e.ID)
	g.forget(e.team)
	*e = entry{Request: e.Request, next: g.free}
	g.free = e
}
