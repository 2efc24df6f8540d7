// Package tackroute chooses the backend server that a request goes to.
//
// A Chooser serves one service on one peer. It sends work to the least
// loaded backend server of its own data centre, and to other data centres when
// its own has no slot free. It weighs each backend server by what became of
// the requests sent there, so that one which fails everything fast does not
// attract work by always being idle.
//
// The peers share no memory. Package tackshare divides the slots of each
// backend server among them, and its shares tell the Chooser which part of each
// it may fill.
package tackroute

import (
	"slices"

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

// awayCost puts every candidate at home before all others.
const awayCost = 1e6

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

	// Table is what the peer may route by. It is never changed once
	// published; a later one replaces it.
	Table struct {
		// Revision is the log index that the table follows from.
		Revision tackid.Revision
		// Services has a key for every known service. A service without a
		// backend server has an empty list.
		Services map[tackid.Service][]Candidate
		// Quotas bounds the slots a team may hold at once.
		Quotas map[tackid.Team]int
		// Peers is the number of peers that share the slots.
		Peers int
		// HomeOnly says that this peer is cut off and may only use the
		// backend servers of its own data centre.
		HomeOnly bool
	}

	// Lot is one life of a backend server as a source of slots.
	Lot struct {
		BackendServer tackid.BackendServer `cbor:"1,keyasint,omitempty"`
		Incarnation   tackid.Incarnation   `cbor:"2,keyasint,omitempty"`
	}

	// Share is a number of slots of a lot.
	Share struct {
		Lot
		Slots int
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

	// Load is the number of requests that one peer has in flight on a
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
		leaving map[Lot]*server
		zones   map[tackid.DataCentre]*zone
		rotor   uint32
		latency float64
	}

	// zone is the part of the candidates that is in one data centre.
	zone struct {
		inFlight int
		// shares holds what this peer may fill of each lot, and bound how many
		// requests it may have in flight there in all; nil if the slots are
		// not shared.
		shares map[Lot]int
		bound  int
	}

	// server is what a Chooser remembers of one life of a backend server.
	server struct {
		Candidate
		zone     *zone
		inFlight int
		// limit is how many slots this peer may fill.
		limit  int
		record record
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
	c.readmit()
}

// readmit puts all candidates on probation if each has been ejected since it last answered.
// They were ejected since others did better, and those are no candidates any more.
func (c *Chooser) readmit() {
	for _, s := range c.servers {
		if s.record.until == 0 {
			return
		}
	}
	for _, s := range c.servers {
		s.record.until = 0
	}
}

// Pick chooses a backend server and takes one of its slots, which Done gives
// back. It returns false if none that may be used has a slot free.
func (c *Chooser) Pick(now tackclock.Time, ask Ask) (Candidate, bool) {
	c.rotor++
	s := c.best(now, ask, true)
	if s == nil {
		s = c.best(now, ask, false)
	}
	if s == nil {
		return Candidate{}, false
	}
	s.inFlight++
	s.zone.inFlight++
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
	s.zone.inFlight--
	c.learn(now, s, outcome)
}

// Healthy reports whether a candidate answers most of its requests, so that a
// failure there is more likely the request's own fault.
func (c *Chooser) Healthy(name tackid.BackendServer) bool {
	s := c.byName[name]
	return s != nil && s.record.healthy()
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
// candidates that an ask may use, by the shares of this peer and without
// those that are ejected.
func (c *Chooser) Capacity(now tackclock.Time, ask Ask) int {
	n := 0
	for dc, z := range c.zones {
		if !ask.HomeOnly || dc == ask.Home {
			n += c.capacityOf(now, z)
		}
	}
	return n
}

// SetShares limits what this peer may have in flight in a data centre: on each
// lot its share, and bound in all. A lot without a share gets nothing, also one
// that becomes a candidate later: its slots may all be another peer's.
func (c *Chooser) SetShares(dc tackid.DataCentre, bound int, shares []Share) {
	z := c.zoneOf(dc)
	z.bound = bound
	z.shares = make(map[Lot]int, len(shares))
	for _, share := range shares {
		z.shares[share.Lot] = share.Slots
	}
	for _, s := range c.servers {
		if s.zone == z {
			s.setLimit()
		}
	}
}

// InUse returns the slots taken on each life of a backend server.
func (c *Chooser) InUse() []Share {
	var used []Share
	for _, s := range c.servers {
		if s.inFlight > 0 {
			used = append(used, Share{Lot: s.lot(), Slots: s.inFlight})
		}
	}
	for lot, s := range c.leaving {
		used = append(used, Share{Lot: lot, Slots: s.inFlight})
	}
	return used
}

func (c *Chooser) capacityOf(now tackclock.Time, z *zone) int {
	n := 0
	for _, s := range c.servers {
		if s.zone == z {
			n += s.allowed(now)
		}
	}
	if z.shares != nil {
		n = min(n, z.bound)
	}
	return n
}

// add makes a candidate choosable, with what is remembered of it from the last
// table or from when it left the one before.
func (c *Chooser) add(candidate Candidate, known *server) {
	lot := Lot{BackendServer: candidate.BackendServer, Incarnation: candidate.Incarnation}
	if known == nil || known.Incarnation != candidate.Incarnation {
		known = c.leaving[lot]
		delete(c.leaving, lot)
	}
	if known == nil {
		known = new(server)
	}
	known.Candidate = candidate
	known.zone = c.zoneOf(candidate.DataCentre)
	known.setLimit()
	c.byName[candidate.BackendServer] = known
	c.servers = append(c.servers, known)
}

func (c *Chooser) zoneOf(dc tackid.DataCentre) *zone {
	if c.zones == nil {
		c.zones = make(map[tackid.DataCentre]*zone)
	}
	z := c.zones[dc]
	if z == nil {
		z = new(zone)
		c.zones[dc] = z
	}
	return z
}

func (c *Chooser) leave(s *server) {
	if c.leaving == nil {
		c.leaving = make(map[Lot]*server)
	}
	c.leaving[s.lot()] = s
}

func (c *Chooser) doneLeaving(candidate Candidate) {
	lot := Lot{BackendServer: candidate.BackendServer, Incarnation: candidate.Incarnation}
	s := c.leaving[lot]
	if s == nil {
		return
	}
	s.inFlight--
	s.zone.inFlight--
	if s.inFlight == 0 {
		delete(c.leaving, lot)
	}
}

// best returns the least loaded candidate with a slot free, of the home data
// centre if there is one. The scan starts at another candidate each time, so that
// equals take turns.
//
// A data centre whose bound is reached is left out if bounded is set. It is used
// only by a request that has nowhere else to go: one that was admitted before the
// bound fell, and whose slot is still ours.
func (c *Chooser) best(now tackclock.Time, ask Ask, bounded bool) *server {
	var found *server
	var foundCost float64
	n := len(c.servers)
	for i := range n {
		s := c.servers[(int(c.rotor)+i)%n]
		if s.inFlight >= s.allowed(now) || (bounded && s.zone.full()) || !allows(ask, s) {
			continue
		}
		cost := s.cost(c.latency)
		if s.DataCentre != ask.Home {
			cost += awayCost
		}
		if found == nil || cost < foundCost {
			found, foundCost = s, cost
		}
	}
	return found
}

// full reports whether no more requests should be in flight there.
func (z *zone) full() bool {
	return z.shares != nil && z.inFlight >= z.bound
}

// allowed returns how many requests this peer may have in flight there.
func (s *server) allowed(now tackclock.Time) int {
	return min(s.limit, s.record.allowance(now))
}

func (s *server) setLimit() {
	s.limit = s.Slots
	if s.zone.shares != nil {
		s.limit = min(s.limit, s.zone.shares[s.lot()])
	}
}

// cost is the time that one more request is expected to take there, relative
// to others: the load after it, by latency and recent success.
func (s *server) cost(meanLatency float64) float64 {
	load := float64(s.inFlight+1) / float64(max(s.limit, 1))
	return load * s.record.slowness(meanLatency) / s.record.weight()
}

func (s *server) lot() Lot {
	return Lot{BackendServer: s.BackendServer, Incarnation: s.Incarnation}
}

// allows reports whether the ask may be sent there.
func allows(ask Ask, s *server) bool {
	if ask.HomeOnly && s.DataCentre != ask.Home {
		return false
	}
	return !slices.Contains(ask.Exclude, s.BackendServer)
}
