package tacklimit

import (
	"auburntack/core/tackid"
)

const (
	// maxTeams is how many teams a Gate tells apart at once. Callers choose
	// the name of their team; without a bound one caller that makes names up
	// would get a fair share for each.
	maxTeams = 256
	// otherTeams stands for all teams beyond maxTeams that have no quota.
	otherTeams tackid.Team = "\x00others"
)

type (
	// team is a team with requests that wait or run.
	team struct {
		name    tackid.Team
		running int
		// parked says that it holds its whole quota, as last seen.
		parked bool
		lanes  [classes]lane
	}

	// lane holds the requests of one team and class that wait, first come
	// first. It is listed in the fair order of its class while it has some
	// and its team is not parked.
	lane struct {
		team       *team
		head, tail *entry
		length     int
		running    int
		listed     bool
		prev, next *lane
	}
)

// teamOf returns the team of that name, and makes it if it is new.
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
	for class := range t.lanes {
		t.lanes[class].team = t
	}
	g.teams[name] = t
	return t
}

// forget drops a team that has nothing waiting and nothing running.
func (g *Gate) forget(t *team) {
	if t.running > 0 || g.teams[t.name] != t {
		return
	}
	for class := range t.lanes {
		if t.lanes[class].length > 0 {
			return
		}
	}
	if len(g.teams) > maxTeams/2 {
		delete(g.teams, t.name)
	}
}

// park takes a team that holds its whole quota out of the fair order.
func (g *Gate) park(t *team) {
	t.parked = true
	t.relist(g)
	g.parked = append(g.parked, t)
}

// unpark lets every parked team try again. A slot of its quota may have come
// free at another Gate, which this one does not hear of.
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
	t.lanes[class].running++
	t.relist(g)
}

// released counts one slot less.
func (t *team) released(g *Gate, class tackid.Class) {
	t.unlist(g, class)
	t.running--
	t.lanes[class].running--
	t.parked = false
	t.relist(g)
}

// push puts the entry at the end of its lane.
func (t *team) push(g *Gate, e *entry) {
	l := &t.lanes[e.Class]
	e.prev = l.tail
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.length++
	t.relist(g)
}

// drop takes the entry out of its lane.
func (t *team) drop(g *Gate, e *entry) {
	l := &t.lanes[e.Class]
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	l.length--
	t.relist(g)
}

// relist lists exactly those lanes that may start a request.
func (t *team) relist(g *Gate) {
	for class := range t.lanes {
		l := &t.lanes[class]
		want := l.length > 0 && !t.parked
		if want && !l.listed {
			g.fair[class].add(l)
		}
		if !want && l.listed {
			g.fair[class].remove(l)
		}
	}
}

func (t *team) unlist(g *Gate, class tackid.Class) {
	if l := &t.lanes[class]; l.listed {
		g.fair[class].remove(l)
	}
}
