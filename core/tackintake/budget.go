// Package tackintake decides which connections a process keeps when its clients ask for more
// connections or memory than it has for them.
//
// All ports of a process share one Budget. A port has a reserve that the clients of other ports
// cannot take from it. When a port can get no more, its own connections make room: for a
// connection the one that has waited longest without a complete request, for memory the
// unfinished request that holds the most. Requests that are being served are never ended.
package tackintake

import (
	"container/heap"
	"container/list"
	"math"
	"sync"

	"auburntack/core/tackclock"
)

const (
	// Waiting connections have not sent a byte yet.
	Waiting Stage = iota
	// Header connections have sent a part of a request's header.
	Header
	// Body connections have sent a header and a part of the body.
	Body
	// Busy connections have sent a request that is being served.
	Busy
	// Idle connections were answered and have not sent a byte since.
	Idle
)

// finishTime is how long a connection may take for its request before it makes room for a new
// one ahead of the idle connections.
const finishTime = tackclock.Second

type (
	// Stage is what a connection does.
	Stage uint8

	// Share is a number of connections and of bytes. A zero field of a limit means that there
	// is none.
	Share struct {
		Connections int
		Bytes       int64
	}

	// Budget is what all clients of a process may hold together. The zero value has no limits.
	// It is safe for concurrent use.
	Budget struct {
		Limit Share

		mu    sync.Mutex
		used  Share
		ports []*Port
	}

	// Port is a port of the process. It must be created by Budget.Port.
	Port struct {
		budget  *Budget
		reserve Share
		limit   Share

		used       Share
		unfinished list.List // of *Holder in Waiting, Header and Body, the oldest first
		idle       list.List // of *Holder in Idle, the oldest first
		largest    holderHeap
	}

	// Holder is a connection. Its methods do nothing on a nil *Holder.
	Holder struct {
		port  *Port
		evict func(Eviction)
		stage Stage
		since tackclock.Time // start of the request, of the connection or of being idle
		bytes int64
		ended bool // it holds no connection any more
		shed  bool // its bytes were taken away
		place *list.Element
		rank  int // position in port.largest, plus one; zero if it is not there
	}

	// Eviction tells a connection to make room.
	Eviction struct {
		// Close says that the connection must be closed at once. Otherwise its request, whose
		// body is incomplete, must be refused and the body dropped.
		Close bool
		Stage Stage
		Bytes int64
		Age   tackclock.Duration
	}

	eviction struct {
		holder *Holder
		Eviction
	}
)

var stageNames = [...]string{Waiting: "waiting", Header: "header", Body: "body", Busy: "busy", Idle: "idle"}

// String returns the name of the stage in logs and metrics.
func (s Stage) String() string {
	return stageNames[s]
}

// Port adds a port. The sum of all reserves must be within the limit of the budget.
func (b *Budget) Port(reserve, limit Share) *Port {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Port{budget: b, reserve: reserve, limit: limit}
	b.ports = append(b.ports, p)
	return p
}

// Used returns what the clients of all ports hold.
func (b *Budget) Used() Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Used returns what the clients of the port hold.
func (p *Port) Used() Share {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.used
}

// Open adds a connection. It returns nil if there is no room for it and no other connection of
// the port can make room. evict is called without locks when the connection has to make room;
// what it held is counted as free then.
func (p *Port) Open(now tackclock.Time, evict func(Eviction)) *Holder {
	h := &Holder{port: p, evict: evict, since: now}
	evicted, ok := p.open(h, now)
	runEvictions(evicted)
	if !ok {
		return nil
	}
	return h
}

func (p *Port) open(h *Holder, now tackclock.Time) ([]eviction, bool) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var evicted []eviction
	for !p.fits(Share{Connections: 1}) {
		victim := p.waitingLongest(now)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, victim.remove(now))
	}
	p.add(Share{Connections: 1})
	h.enter(Waiting, now)
	return evicted, true
}

// Reserve adds n bytes to those that the connection holds. It returns false, and adds none, if
// there is no room for them and this is the unfinished request of the port that holds the most,
// or if the connection had to make room before.
func (h *Holder) Reserve(now tackclock.Time, n int64) bool {
	if h == nil {
		return true
	}
	evicted, ok := h.reserve(now, n)
	runEvictions(evicted)
	return ok
}

func (h *Holder) reserve(now tackclock.Time, n int64) ([]eviction, bool) {
	p := h.port
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if h.ended || h.shed {
		return nil, false
	}
	h.grow(n)
	var evicted []eviction
	for !p.fits(Share{}) {
		if len(p.largest) == 0 || p.largest[0] == h {
			h.grow(-n)
			return evicted, false
		}
		evicted = append(evicted, p.largest[0].drop(now))
	}
	return evicted, true
}

// Resize sets the number of bytes that the connection holds. It returns false, and changes
// nothing, if it is more than before and there is no room.
func (h *Holder) Resize(now tackclock.Time, n int64) bool {
	if h == nil {
		return true
	}
	h.port.budget.mu.Lock()
	held := h.bytes
	if n <= held && !h.ended && !h.shed {
		h.grow(n - held)
	}
	h.port.budget.mu.Unlock()
	return n <= held || h.Reserve(now, n-held)
}

// Fits reports whether n more bytes can be held on the port if unfinished requests make room for
// them.
func (p *Port) Fits(n int64) bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if p.fits(Share{Bytes: n}) {
		return true
	}
	for _, h := range p.largest {
		n -= h.bytes
	}
	return p.fits(Share{Bytes: n})
}

// Enter moves the connection to a stage. An idle connection holds no bytes. It returns false if
// the connection had to make room.
func (h *Holder) Enter(stage Stage, now tackclock.Time) bool {
	if h == nil {
		return true
	}
	h.port.budget.mu.Lock()
	defer h.port.budget.mu.Unlock()
	if h.ended || h.shed {
		return false
	}
	if stage == Idle {
		h.grow(-h.bytes)
	}
	h.enter(stage, now)
	return true
}

// Close removes the connection.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.port.budget.mu.Lock()
	defer h.port.budget.mu.Unlock()
	h.close()
}

// fits reports whether the port may hold more besides what it holds. What the other ports have
// in reserve and do not use is not available.
func (p *Port) fits(more Share) bool {
	b := p.budget
	limit := Share{Connections: math.MaxInt, Bytes: math.MaxInt64}
	if b.Limit.Connections > 0 {
		limit.Connections = b.Limit.Connections - b.used.Connections + p.used.Connections
	}
	if b.Limit.Bytes > 0 {
		limit.Bytes = b.Limit.Bytes - b.used.Bytes + p.used.Bytes
	}
	for _, other := range b.ports {
		if other == p {
			continue
		}
		if b.Limit.Connections > 0 {
			limit.Connections -= max(0, other.reserve.Connections-other.used.Connections)
		}
		if b.Limit.Bytes > 0 {
			limit.Bytes -= max(0, other.reserve.Bytes-other.used.Bytes)
		}
	}
	if p.limit.Connections > 0 {
		limit.Connections = min(limit.Connections, p.limit.Connections)
	}
	if p.limit.Bytes > 0 {
		limit.Bytes = min(limit.Bytes, p.limit.Bytes)
	}
	connections, bytes := p.used.Connections+more.Connections, p.used.Bytes+more.Bytes
	return connections <= limit.Connections && bytes <= limit.Bytes
}

func (p *Port) add(s Share) {
	p.used.Connections += s.Connections
	p.used.Bytes += s.Bytes
	p.budget.used.Connections += s.Connections
	p.budget.used.Bytes += s.Bytes
}

// waitingLongest returns the connection that makes room for a new one; nil if all are busy. A
// client that takes too long for its request goes ahead of the idle ones, and those go ahead of
// a client that is just sending its request.
func (p *Port) waitingLongest(now tackclock.Time) *Holder {
	unfinished, idle := p.unfinished.Front(), p.idle.Front()
	switch {
	case unfinished != nil && (idle == nil || now.Sub(unfinished.Value.(*Holder).since) > finishTime):
		return unfinished.Value.(*Holder)
	case idle != nil:
		return idle.Value.(*Holder)
	}
	return nil
}

// remove takes the connection's place and its bytes away.
func (h *Holder) remove(now tackclock.Time) eviction {
	e := h.eviction(now)
	e.Close = true
	h.close()
	return e
}

// drop takes the connection's bytes away. A request without a complete header cannot be refused,
// so its connection is closed.
func (h *Holder) drop(now tackclock.Time) eviction {
	if h.stage != Body {
		return h.remove(now)
	}
	e := h.eviction(now)
	h.grow(-h.bytes)
	h.enter(Busy, now)
	h.shed = true
	return e
}

func (h *Holder) eviction(now tackclock.Time) eviction {
	return eviction{holder: h, Eviction: Eviction{Stage: h.stage, Bytes: h.bytes, Age: now.Sub(h.since)}}
}

func (h *Holder) close() {
	if h.ended {
		return
	}
	h.grow(-h.bytes)
	h.leave()
	h.ended = true
	h.port.add(Share{Connections: -1})
}

// grow adds n bytes, which may be negative.
func (h *Holder) grow(n int64) {
	h.bytes += n
	h.port.add(Share{Bytes: n})
	h.updateRank()
}

// enter moves the connection to a stage. The time of a request is counted from its first byte.
func (h *Holder) enter(stage Stage, now tackclock.Time) {
	before := h.stage
	h.stage = stage
	if before == Idle && stage != Idle || stage == Idle || stage == Waiting {
		h.since = now
	}
	if h.place == nil || h.waits(before) != h.waits(stage) {
		h.unlist()
		if l := h.waits(stage); l != nil {
			h.place = l.PushBack(h)
		}
	}
	h.updateRank()
}

// waits returns the list of the connections that make room in this stage, or nil.
func (h *Holder) waits(stage Stage) *list.List {
	switch stage {
	case Waiting, Header, Body:
		return &h.port.unfinished
	case Idle:
		return &h.port.idle
	}
	return nil
}

func (h *Holder) unlist() {
	if h.place == nil {
		return
	}
	// Remove leaves the other list, of which the place is no element, as it is.
	h.port.unfinished.Remove(h.place)
	h.port.idle.Remove(h.place)
	h.place = nil
}

// leave takes the connection off all lists.
func (h *Holder) leave() {
	h.unlist()
	if h.rank > 0 {
		heap.Remove(&h.port.largest, h.rank-1)
	}
}

func (h *Holder) updateRank() {
	ranked := h.bytes > 0 && (h.stage == Header || h.stage == Body)
	switch {
	case ranked && h.rank == 0:
		heap.Push(&h.port.largest, h)
	case ranked:
		heap.Fix(&h.port.largest, h.rank-1)
	case h.rank > 0:
		heap.Remove(&h.port.largest, h.rank-1)
	}
}

func runEvictions(list []eviction) {
	for _, e := range list {
		e.holder.evict(e.Eviction)
	}
}
