package tacklimit

import (
	"auburntack/core/tackid"
)

const (
	// maxTeams is how many teams a Gate distinguishes at once. Callers choose
	// the name of their team, so without a bound a caller that makes up names
	// would get a fair share for each of them.
	maxTeams = 256
	// otherTeams is the common name of all teams beyond maxTeams that have
	// no quota.
	otherTeams tackid.Team = "\x00others"
)

type (
	// team is a team with requests that wait or run.
	team struct {
		name    tackid.Team
		running int
		// parked reports whether the team held its whole quota when a request
		// of it last tried to start.
		parked    bool
		subqueues [numClasses]subqueue
	}

	// subqueue holds the waiting requests of one team and class in order of
	// arrival. It is listed in the fairQueue of its class while it is not
	// empty and its team is not parked.
	subqueue struct {
		team       *team
		head, tail *entry
		length     int
		running    int
		listed     bool
		prev, next *subqueue
	}
)

// teamOf returns the team with the name, and adds it if it is new.
func (g *Gate) teamOf(name tackid.Team) *team {
	if t := g.teams[name]; t != nil {
		return t
	}
	if len(g.teams) >= maxTeams && name != otherTeams && !g.quotas().bounded(name) {
		return g.teamOf(otherTeams)
	}
	if g.teams == nil {
		g.teams = make(map[tackid.Team]*team)
	}
	t := &team{name: name}
	for class := range t.subqueues {
		t.subqueues[class].team = t
	}
	g.teams[name] = t
	return t
}

// forget deletes a team that has no request waiting or running, if there are
// many teams.
func (g *Gate) forget(t *team) {
	if t.running > 0 || g.teams[t.name] != t {
		return
	}
	for class := range t.subqueues {
		if t.subqueues[class].length > 0 {
			return
		}
	}
	if len(g.teams) > maxTeams/2 {
		delete(g.teams, t.name)
	}
}

// park removes a team that holds its whole quota from the fair order.
func (g *Gate) park(t *team) {
	t.parked = true
	t.relist(g)
	g.parked = append(g.parked, t)
}

// unpark lets every parked team try again, since a slot of its quota may have
// been released at another Gate.
func (g *Gate) unpark() {
	for _, t := range g.parked {
		t.parked = false
		t.relist(g)
	}
	g.parked = g.parked[:0]
}

// started counts one more slot that the team holds.
func (t *team) started(g *Gate, class tackid.Class) {
	t.unlist(g, class)
	t.running++
	t.subqueues[class].running++
	t.relist(g)
}

// released counts one slot less.
func (t *team) released(g *Gate, class tackid.Class) {
	t.unlist(g, class)
	t.running--
	t.subqueues[class].running--
	t.parked = false
	t.relist(g)
}

// push appends the entry to its subqueue.
func (t *team) push(g *Gate, e *entry) {
	q := &t.subqueues[e.Class]
	e.prev = q.tail
	if q.tail == nil {
		q.head = e
	} else {
		q.tail.next = e
	}
	q.tail = e
	q.length++
	t.relist(g)
}

// drop removes the entry from its subqueue.
func (t *team) drop(g *Gate, e *entry) {
	q := &t.subqueues[e.Class]
	if e.prev == nil {
		q.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		q.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	q.length--
	t.relist(g)
}

// relist updates the fair order so that exactly the subqueues that may start a
// request are listed.
func (t *team) relist(g *Gate) {
	for class := range t.subqueues {
		q := &t.subqueues[class]
		want := q.length > 0 && !t.parked
		if want && !q.listed {
			g.fairQueues[class].add(q)
		}
		if !want && q.listed {
			g.fairQueues[class].remove(q)
		}
	}
}

func (t *team) unlist(g *Gate, class tackid.Class) {
	if q := &t.subqueues[class]; q.listed {
		g.fairQueues[class].remove(q)
	}
}
