// Package tacklimit decides which requests of a service may start, which wait
// and which are refused at once.
//
// A Gate serves one service on one peer. It starts no more requests than
// there are slots, keeps the rest in a bounded queue with a deadline each,
// starts urgent requests first, holds every team to its quota and shares what
// is left evenly among the teams that wait. What cannot start before its
// deadline is refused when it arrives, with the time after which to come back.
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
	// defaultQueue is the longest queue of a Gate with a zero Settings.
	defaultQueue = 4096
	// sureDivisor is the part of the queue that every team may always fill.
	sureDivisor = 256
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
		// Queue is the number of requests that may wait, beyond a few that
		// every team may always have waiting.
		Queue int
	}

	// Gate admits the requests of one service. Its zero value has no slots
	// and queues everything until SetCapacity. It is not safe for concurrent
	// use. The slices that its methods return are valid until the next call.
	Gate struct {
		Settings Settings
		// Quotas is shared with the Gates of other services, so that a team
		// is bounded over all of them. A Gate without has its own.
		Quotas *Quotas

		capacity int

		entries table
		teams   map[tackid.Team]*team
		parked  []*team
		fair    [classes]fairQueue
		running [classes]int
		waiting [classes]int
		lastRun [classes]tackclock.Time
		wheel   wheel
		drain   drain
		urgent  peak
		stale   []uint64
		started []uint64
		expired []uint64
	}

	// entry is a request that waits or runs.
	entry struct {
		Request
		team    *team
		running bool
		// stale says that it left the queue too late to start, which the next
		// Tick reports.
		stale   bool
		started tackclock.Time
		// giveUp is when a request that still waits cannot be answered in
		// time any more; zero if there is no deadline.
		giveUp tackclock.Time
		// prev and next link the entries of a lane, later and earlier those
		// of a bucket of the wheel, chain those of a cell of the table.
		prev, next     *entry
		earlier, later *entry
		chain          *entry
	}
)

// Offer asks whether a request may start now. A queued request starts or
// expires by a later Release or Tick.
func (g *Gate) Offer(now tackclock.Time, r Request) Verdict {
	if r.Deadline != 0 && !now.Before(r.Deadline) {
		return g.refuse(now, r, CodeDeadlinePassed, 0)
	}
	if g.entries.get(r.ID) != nil {
		return g.refuse(now, r, CodeDuplicate, 0)
	}
	t := g.teamOf(r.Team)
	if g.startsAtOnce(now, t, r) && g.quotas().take(t.name) {
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
	g.drain.released(now, e)
	g.quotas().give(e.team.name)
	e.team.released(g, e.Class)
	g.remove(e)
	g.startWaiting(now)
	return g.started
}

// Cancel takes a request that waits out of the queue and reports whether it
// did; after that it is never started. A request that runs must be released.
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

// Tick starts what may start and gives up what cannot be answered in time any
// more. It is called every few tens of milliseconds, and after SetCapacity and
// SetQuotas.
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

// SetCapacity sets the number of slots. Requests that run keep theirs when the
// number falls.
func (g *Gate) SetCapacity(n int) {
	g.capacity = max(n, 0)
}

// SetQuotas sets the number of slots that each team may hold at once, over all
// Gates that share the Quotas. A team that is missing or has zero is bounded by
// its fair share alone. A peer that shares quotas with others sets Quotas
// to its parts instead.
func (g *Gate) SetQuotas(quotas map[tackid.Team]int) {
	bounds := maps.Clone(quotas)
	maps.DeleteFunc(bounds, func(_ tackid.Team, slots int) bool { return slots == 0 })
	g.quotas().Set(bounds)
}

// quotas returns the Quotas in use.
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
	for i := range t.lanes {
		n += t.lanes[i].length
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

// startsAtOnce reports whether a request that arrives now goes before all that
// wait: a slot is free for it, none that waits in a higher class may take that,
// and its team is ahead in the fair order of its own class.
func (g *Gate) startsAtOnce(now tackclock.Time, t *team, r Request) bool {
	if t.parked || !g.slotFor(now, t, r) {
		return false
	}
	for _, class := range ranks {
		if class == r.Class {
			break
		}
		if g.first(now, class) != nil {
			return false
		}
	}
	next := g.fair[r.Class].first()
	if next == nil {
		return true
	}
	own := &t.lanes[r.Class]
	return own.length == 0 && (own.running < next.running || g.first(now, r.Class) == nil)
}

// startWaiting fills the free slots from the queue.
func (g *Gate) startWaiting(now tackclock.Time) {
	for g.Running() < g.capacity {
		e := g.choose(now)
		if e == nil {
			return
		}
		if e.giveUp != 0 && !now.Before(e.giveUp) {
			g.unqueue(e)
			e.stale = true
			g.stale = append(g.stale, e.ID)
			continue
		}
		if !g.quotas().take(e.team.name) {
			g.park(e.team)
			continue
		}
		g.unqueue(e)
		g.start(now, e)
		g.started = append(g.started, e.ID)
	}
}

// expireStale reports the requests whose time was found to have run out when
// they were next, unless they were cancelled since.
func (g *Gate) expireStale() {
	for _, id := range g.stale {
		if e := g.entries.get(id); e != nil && e.stale {
			g.expired = append(g.expired, id)
			g.remove(e)
		}
	}
	g.stale = g.stale[:0]
}

// choose returns the request that starts next, or nil. The highest class that
// waits goes first, unless a lower one is due.
func (g *Gate) choose(now tackclock.Time) *entry {
	for i := len(ranks) - 1; i > 0; i-- {
		if e := g.firstDue(now, ranks[i]); e != nil {
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
	if l == nil || !g.slotFor(now, l.team, l.head.Request) {
		return nil
	}
	return l.head
}

// firstDue returns the request of a lower class that must start ahead of a
// higher class, or nil. A higher class that fills all slots would otherwise
// starve it for ever. The class is kept to a small part of the slots, since
// requests that run long would take over all of them one start at a time. While
// all lower classes hold less than that part, they do not heed the reserves,
// which a flood of urgent work keeps free for itself.
func (g *Gate) firstDue(now tackclock.Time, class tackid.Class) *entry {
	part := max(1, g.capacity/lowerDivisor)
	if g.running[class] >= part || now.Sub(g.lastRun[class]) < lowerInterval {
		return nil
	}
	if l := g.fair[class].first(); l != nil && g.lower() < part {
		return l.head
	}
	return g.first(now, class)
}

// lower returns the number of slots that the lower classes hold.
func (g *Gate) lower() int {
	return g.running[tackid.ClassNormal] + g.running[tackid.ClassBatch]
}

// start gives the entry a slot.
func (g *Gate) start(now tackclock.Time, e *entry) {
	e.running = true
	e.started = now
	g.running[e.Class]++
	g.lastRun[e.Class] = now
	g.drain.start(now, e.Class)
	if e.Class == tackid.ClassUrgent {
		g.urgent.add(now, g.running[e.Class])
	}
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
		e.giveUp = max(lastStart(now, e.Deadline, 2*g.drain.typical()), now+1)
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
	e := g.entries.add(r)
	e.team = t
	return e
}

// remove forgets an entry that neither waits nor runs.
func (g *Gate) remove(e *entry) {
	t := e.team
	g.entries.remove(e)
	g.forget(t)
}
