// Package tackroute chooses the backend server that a request goes to.
//
// A Chooser serves one service on one entry VM. It sends work to the least
// loaded backend server of its own data centre, and to other data centres when
// its own has no slot free. It weighs each backend server by what became of
// the requests sent there, so that one which fails everything fast does not
// attract work by always being idle.
//
// The entry VMs share no memory. A Sharer divides the slots of each backend
// server among them by leases that follow demand, and tells the Chooser which
// part of each it may fill.
package tackroute

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// Answered is the result of a request that the backend server answered
	// whole, whatever the answer says, short of a server error.
	Answered Result = iota
	// Refused is the result of a request that the backend server refused
	// without having run it.
	Refused
	// Failed is the result of a request that ended in a server error, a
	// refused connection or a broken answer.
	Failed
	// Silent is the result of a request on which no progress was seen within
	// the bound for it.
	Silent
	// Cancelled is the result of a request that its caller gave up. It says
	// nothing about the backend server.
	Cancelled
)

type (
	// Result is what became of a request that was sent to a backend server.
	Result uint8

	// Outcome is the end of one request as the backend server's doing. The
	// latency is measured from the dispatch.
	Outcome struct {
		Result  Result
		Latency tackclock.Duration
	}

	// Candidate is a backend server that may be chosen. Slots is how many
	// requests it runs at once, Connections how many connections it accepts.
	Candidate struct {
		BackendServer tackid.BackendServer
		VM            tackid.VM
		DataCentre    tackid.DataCentre
		Rack          tackid.Rack
		Address       string
		Slots         int
		Connections   int
		Incarnation   tackid.Incarnation
	}

	// Table is what the entry VM may route by. It is never changed once
	// published; a later one replaces it.
	Table struct {
		// Revision is the log index that the table follows from.
		Revision tackid.Revision
		// Services has a key for every known service. A service without a
		// backend server has an empty list.
		Services map[tackid.Service][]Candidate
		// Quotas bounds the slots a team may hold at once.
		Quotas map[tackid.Team]int
		// Peers is the number of entry VMs that share the slots.
		Peers int
		// HomeOnly says that this entry VM is cut off and may only use the
		// backend servers of its own data centre.
		HomeOnly bool
	}

	// Ask is what one request needs of a backend server.
	Ask struct {
		// Home is the data centre that is preferred.
		Home tackid.DataCentre
		// HomeOnly forbids every other data centre.
		HomeOnly bool
		// Exclude names the backend servers that were tried already.
		Exclude []tackid.BackendServer
	}

	// Load is the number of requests that one entry VM has in flight on a
	// backend server.
	Load struct {
		BackendServer tackid.BackendServer
		InFlight      int
	}

	// Chooser chooses among the backend servers of one service. Its zero
	// value is ready to use and has no candidates. It is not safe for
	// concurrent use.
	Chooser struct {
		servers []*server
		byName  map[tackid.BackendServer]*server
		leaving map[leaver]*server
		rotor   uint32
	}

	// leaver identifies a life of a backend server that is no candidate any
	// more and still has requests in flight.
	leaver struct {
		name        tackid.BackendServer
		incarnation tackid.Incarnation
	}

	// server is what a Chooser remembers of one life of a backend server.
	server struct {
		Candidate
		inFlight int
		limit    int
		record   record
	}
)

// SetCandidates replaces the candidates. A backend server that stays with the
// same incarnation keeps its requests in flight, its share and what was learned
// of it; one that went is no longer chosen, and its requests in flight still
// count until they are done.
func (c *Chooser) SetCandidates(candidates []Candidate) {
	old := c.byName
	c.byName = make(map[tackid.BackendServer]*server, len(candidates))
	c.servers = make([]*server, 0, len(candidates))
	for _, candidate := range candidates {
		c.add(candidate, old[candidate.BackendServer])
	}
	for name, s := range old {
		if c.byName[name] != s && s.inFlight > 0 {
			c.leave(s)
		}
	}
}

// Pick chooses a backend server and takes one of its slots, which Done gives
// back. It returns false if none that may be used has a slot free.
func (c *Chooser) Pick(now tackclock.Time, ask Ask) (Candidate, bool) {
	c.rotor++
	s := c.best(now, ask, true)
	if s == nil && !ask.HomeOnly {
		s = c.best(now, ask, false)
	}
	if s == nil {
		return Candidate{}, false
	}
	s.inFlight++
	s.record.picked(now)
	return s.Candidate, true
}

// Done gives back the slot that Pick took on the candidate and learns from
// the outcome. It does nothing for a candidate with no request in flight.
func (c *Chooser) Done(now tackclock.Time, candidate Candidate, outcome Outcome) {
	s := c.byName[candidate.BackendServer]
	if s == nil || s.Incarnation != candidate.Incarnation {
		c.doneLeaving(candidate)
		return
	}
	if s.inFlight == 0 {
		return
	}
	s.inFlight--
	s.record.done(now, outcome)
}

// InFlight returns how many requests are in flight on a VM, also on backend
// servers that are no candidates any more.
func (c *Chooser) InFlight(vm tackid.VM) int {
	n := 0
	for _, s := range c.servers {
		if s.VM == vm {
			n += s.inFlight
		}
	}
	for _, s := range c.leaving {
		if s.VM == vm {
			n += s.inFlight
		}
	}
	return n
}

// Loads returns the requests in flight on each candidate that has any.
func (c *Chooser) Loads() []Load {
	var loads []Load
	for _, s := range c.servers {
		if s.inFlight > 0 {
			loads = append(loads, Load{BackendServer: s.BackendServer, InFlight: s.inFlight})
		}
	}
	return loads
}

// Capacity returns how many requests may be in flight at once on the
// candidates that an ask may use, by the shares of this entry VM and without
// those that are ejected.
func (c *Chooser) Capacity(now tackclock.Time, ask Ask) int {
	n := 0
	for _, s := range c.servers {
		if !ask.HomeOnly || s.DataCentre == ask.Home {
			n += s.allowed(now)
		}
	}
	return n
}

func (c *Chooser) add(candidate Candidate, known *server) {
	if known == nil || known.Incarnation != candidate.Incarnation || known.VM != candidate.VM {
		known = &server{limit: candidate.Slots}
	}
	if known.Slots != candidate.Slots {
		known.limit = candidate.Slots
	}
	known.Candidate = candidate
	c.byName[candidate.BackendServer] = known
	c.servers = append(c.servers, known)
}

func (c *Chooser) leave(s *server) {
	if c.leaving == nil {
		c.leaving = make(map[leaver]*server)
	}
	c.leaving[leaver{name: s.BackendServer, incarnation: s.Incarnation}] = s
}

func (c *Chooser) doneLeaving(candidate Candidate) {
	key := leaver{name: candidate.BackendServer, incarnation: candidate.Incarnation}
	s := c.leaving[key]
	if s == nil {
		return
	}
	s.inFlight--
	if s.inFlight == 0 {
		delete(c.leaving, key)
	}
}

// best returns the least loaded candidate with a slot free, in the home data
// centre or outside it. The scan starts at another candidate each time, so
// that equals take turns.
func (c *Chooser) best(now tackclock.Time, ask Ask, home bool) *server {
	var found *server
	var foundCost float64
	n := len(c.servers)
	for i := range n {
		s := c.servers[(int(c.rotor)+i)%n]
		if (s.DataCentre == ask.Home) != home || s.inFlight >= s.allowed(now) || excluded(ask, s) {
			continue
		}
		cost := s.cost()
		if found == nil || cost < foundCost {
			found, foundCost = s, cost
		}
	}
	return found
}

// allowed returns how many requests this entry VM may have in flight there.
func (s *server) allowed(now tackclock.Time) int {
	return min(s.limit, s.record.allowance(now))
}

// cost is the load after one more request, divided by the recent success.
func (s *server) cost() float64 {
	return float64(s.inFlight+1) / (float64(max(s.limit, 1)) * s.record.weight())
}

func excluded(ask Ask, s *server) bool {
	for _, name := range ask.Exclude {
		if name == s.BackendServer {
			return true
		}
	}
	return false
}
