// Package tackroute chooses the backend server to which a request is sent.
//
// A Chooser serves one service on one peer. It chooses the least loaded backend
// server in its own data centre, and uses other data centres when its own has no
// free slot. It weights each backend server by the outcomes of the requests sent
// there, so that one that fails all requests fast doesn't attract more of them
// by being idle.
//
// The peers share no memory. Package tackshare divides the slots of each backend
// server among them, and its shares limit how many slots of each a Chooser uses.
package tackroute

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// Answered is the result of a request to which the backend server gave a
	// complete answer other than a server error.
	Answered Result = iota
	// Refused is the result of a request that the backend server refused
	// without running it.
	Refused
	// Failed is the result of a request that ended in a server error, a
	// refused connection or an incomplete answer.
	Failed
	// Silent is the result of a request that made no progress for longer than
	// allowed.
	Silent
	// Cancelled is the result of a request that its caller cancelled. It says
	// nothing about the backend server.
	Cancelled
)

// remoteCost is added to the cost of candidates outside the home data centre, so
// that all candidates at home come first.
const remoteCost = 1e6

type (
	// Result is how a request that was sent to a backend server ended.
	Result uint8

	// Outcome is the result and latency of a request. The latency is measured
	// from the dispatch.
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

	// Table is the routing table of a peer. It is immutable once published;
	// a later one replaces it.
	Table struct {
		// Revision is the log index from which the table was derived.
		Revision tackid.Revision
		// Services has a key for every known service. A service without a
		// backend server has an empty list.
		Services map[tackid.Service][]Candidate
		// Quotas bounds the slots a team may hold at once.
		Quotas map[tackid.Team]int
		// Peers is the number of peers that share the slots.
		Peers int
		// HomeOnly reports whether this peer is cut off and may only use the
		// backend servers of its own data centre.
		HomeOnly bool
	}

	// SlotSource identifies the slots of one incarnation of a backend server.
	SlotSource struct {
		BackendServer tackid.BackendServer `cbor:"1,keyasint,omitempty"`
		Incarnation   tackid.Incarnation   `cbor:"2,keyasint,omitempty"`
	}

	// Share is a number of slots of a source.
	Share struct {
		SlotSource
		Slots int
	}

	// Constraints holds the requirements of one request on the backend server.
	Constraints struct {
		// Home is the preferred data centre.
		Home tackid.DataCentre
		// HomeOnly forbids every other data centre.
		HomeOnly bool
		// Exclude lists the backend servers that were already tried.
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
		servers     []*server
		byName      map[tackid.BackendServer]*server
		leaving     map[SlotSource]*server
		zones       map[tackid.DataCentre]*zone
		scanOffset  uint32
		meanLatency float64
	}

	// zone is the state for the candidates in one data centre.
	zone struct {
		inFlight int
		// shares holds the number of slots that this peer may use on each
		// source; it is nil if the slots are not shared. bound is the total
		// number of requests that the peer may have in flight in the zone.
		shares map[SlotSource]int
		bound  int
	}

	// server is the state of one incarnation of a backend server.
	server struct {
		Candidate
		zone     *zone
		inFlight int
		// limit is how many slots this peer may use.
		limit  int
		record record
	}
)

// SetCandidates replaces the candidates. A backend server that stays with the
// same incarnation keeps its requests in flight, its share and its record. One
// that is removed is no longer chosen, but its requests in flight count until
// they are done.
func (c *Chooser) SetCandidates(candidates []Candidate) {
	old := c.byName
	c.byName = make(map[tackid.BackendServer]*server, len(candidates))
	c.servers = make([]*server, 0, len(candidates))
	for _, candidate := range candidates {
		c.add(candidate, old[candidate.BackendServer])
	}
	for name, s := range old {
		if c.byName[name] != s && s.inFlight > 0 {
			c.addLeaving(s)
		}
	}
	c.readmit()
}

// readmit puts all candidates on probation if each of them has been ejected since
// it last answered. They were ejected because others did better, but those are
// no longer candidates.
func (c *Chooser) readmit() {
	for _, s := range c.servers {
		if s.record.ejectedUntil == 0 {
			return
		}
	}
	for _, s := range c.servers {
		s.record.ejectedUntil = 0
	}
}

// Pick chooses a backend server and takes one of its slots, which Done releases.
// It returns false if no backend server that may be used has a free slot.
func (c *Chooser) Pick(now tackclock.Time, ask Constraints) (Candidate, bool) {
	c.scanOffset++
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

// Done releases the slot that Pick took on the candidate and records the
// outcome. It does nothing for a candidate with no request in flight.
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
	c.recordOutcome(now, s, outcome)
}

// Healthy reports whether a candidate answers most of its requests, so that a
// failure there is more likely caused by the request.
func (c *Chooser) Healthy(name tackid.BackendServer) bool {
	s := c.byName[name]
	return s != nil && s.record.healthy()
}

// InFlight returns the number of requests in flight on a VM, including those on
// backend servers that are no longer candidates.
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

// Loads returns the number of requests in flight on each candidate that has any.
func (c *Chooser) Loads() []Load {
	var loads []Load
	for _, s := range c.servers {
		if s.inFlight > 0 {
			loads = append(loads, Load{BackendServer: s.BackendServer, InFlight: s.inFlight})
		}
	}
	return loads
}

// Capacity returns how many requests this peer may have in flight at once on the
// candidates that satisfy the ask, given its shares. Ejected candidates don't
// count.
func (c *Chooser) Capacity(now tackclock.Time, ask Constraints) int {
	n := 0
	for dc, z := range c.zones {
		if !ask.HomeOnly || dc == ask.Home {
			n += c.capacityOf(now, z)
		}
	}
	return n
}

// SetShares limits the requests that this peer may have in flight in a data
// centre: to its share on each source, and to bound in total. A source without
// a share gets none, even if it becomes a candidate later, since all its slots
// may belong to other peers.
func (c *Chooser) SetShares(dc tackid.DataCentre, bound int, shares []Share) {
	z := c.zoneOf(dc)
	z.bound = bound
	z.shares = make(map[SlotSource]int, len(shares))
	for _, share := range shares {
		z.shares[share.SlotSource] = share.Slots
	}
	for _, s := range c.servers {
		if s.zone == z {
			s.setLimit()
		}
	}
}

// InUse returns the number of slots in use on each source that has any.
func (c *Chooser) InUse() []Share {
	var used []Share
	for _, s := range c.servers {
		if s.inFlight > 0 {
			used = append(used, Share{SlotSource: s.source(), Slots: s.inFlight})
		}
	}
	for source, s := range c.leaving {
		used = append(used, Share{SlotSource: source, Slots: s.inFlight})
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

// add adds a candidate. It keeps the state of the same incarnation, either known
// from the last table or among those that left.
func (c *Chooser) add(candidate Candidate, known *server) {
	source := SlotSource{BackendServer: candidate.BackendServer, Incarnation: candidate.Incarnation}
	if known == nil || known.Incarnation != candidate.Incarnation {
		known = c.leaving[source]
		delete(c.leaving, source)
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

func (c *Chooser) addLeaving(s *server) {
	if c.leaving == nil {
		c.leaving = make(map[SlotSource]*server)
	}
	c.leaving[s.source()] = s
}

func (c *Chooser) doneLeaving(candidate Candidate) {
	source := SlotSource{BackendServer: candidate.BackendServer, Incarnation: candidate.Incarnation}
	s := c.leaving[source]
	if s == nil {
		return
	}
	s.inFlight--
	s.zone.inFlight--
	if s.inFlight == 0 {
		delete(c.leaving, source)
	}
}

// best returns the candidate with a free slot and the lowest cost, from the home
// data centre if possible. The scan starts at another candidate each time, so
// that candidates of equal cost take turns.
//
// If bounded is set, data centres whose bound is reached are skipped. Those are
// used only by a request that no other one can take: it was admitted before the
// bound decreased, and this peer still holds its slot.
func (c *Chooser) best(now tackclock.Time, ask Constraints, bounded bool) *server {
	var found *server
	var foundCost float64
	n := len(c.servers)
	for i := range n {
		s := c.servers[(int(c.scanOffset)+i)%n]
		if s.inFlight >= s.allowed(now) || (bounded && s.zone.full()) || !allows(ask, s) {
			continue
		}
		cost := s.cost(c.meanLatency)
		if s.DataCentre != ask.Home {
			cost += remoteCost
		}
		if found == nil || cost < foundCost {
			found, foundCost = s, cost
		}
	}
	return found
}

// full reports whether the bound of the zone is reached.
func (z *zone) full() bool {
	return z.shares != nil && z.inFlight >= z.bound
}

// allowed returns how many requests this peer may have in flight on the server.
func (s *server) allowed(now tackclock.Time) int {
	return min(s.limit, s.record.allowance(now))
}

func (s *server) setLimit() {
	s.limit = s.Slots
	if s.zone.shares != nil {
		s.limit = min(s.limit, s.zone.shares[s.source()])
	}
}

// cost returns the expected relative time of one more request on the server: the
// load including that request, scaled by latency and divided by the recent
// success rate.
func (s *server) cost(meanLatency float64) float64 {
	load := float64(s.inFlight+1) / float64(max(s.limit, 1))
	return load * s.record.slowness(meanLatency) / s.record.successRate()
}

func (s *server) source() SlotSource {
	return SlotSource{BackendServer: s.BackendServer, Incarnation: s.Incarnation}
}

// allows reports whether the server satisfies the ask.
func allows(ask Constraints, s *server) bool {
	if ask.HomeOnly && s.DataCentre != ask.Home {
		return false
	}
	return !slices.Contains(ask.Exclude, s.BackendServer)
}
