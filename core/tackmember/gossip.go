package tackmember

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// heartbeatInterval is the interval at which a peer sends its versions to every other.
	heartbeatInterval = tackclock.Second

	// fullHeartbeatEvery is the number of heartbeats from one with all spaces to the next;
	// those in between contain the own space and those that changed recently.
	fullHeartbeatEvery = 3

	// earlyHeartbeat and minHeartbeatGap bring the next heartbeat forward when a change
	// arrived from another peer, so that it bypasses a broken link at once.
	earlyHeartbeat  = 200 * tackclock.Millisecond
	minHeartbeatGap = 500 * tackclock.Millisecond

	// pushDelay is how long a record with stage serving may be held back to be sent
	// together with others: when all senders announce themselves again, hundreds arrive
	// within a second.
	pushDelay = 100 * tackclock.Millisecond

	// lazyPushDelay is how long a change may be held back that only affects who holds a
	// record. After the death of a peer there are hundreds of these, and sending many in
	// one part takes a fraction of the bytes.
	lazyPushDelay = 3 * tackclock.Second

	// wantTimeout is how long to wait for the answer to a Want.
	wantTimeout = 600 * tackclock.Millisecond

	// wantFallbackTimeout is how long to wait if another peer has the records as well.
	wantFallbackTimeout = 200 * tackclock.Millisecond
)

// Tick performs the work that is due and returns the messages to send. It should be called
// every 50 to 200 ms.
func (d *Directory) Tick(now tackclock.Time) []Outgoing {
	d.start(now)
	if now >= d.scanDue {
		d.scanDue = now.Add(scanInterval)
		d.scan(now)
	}
	parts := d.nextPush(now)
	var seen []Seen
	all := false
	if now >= d.heartbeatDue {
		seen, all = d.heartbeat(now)
	}
	wants := d.requestFromNext(now)
	var out []Outgoing
	for _, p := range d.order {
		m := Message{Parts: parts, Seen: seen, All: all, Wants: wants[p]}
		if seen != nil {
			m.Echo = d.peers[p].heartbeat
			m.Refresh = d.nextRefresh(p)
		}
		if !m.empty() {
			out = append(out, Outgoing{To: p, Message: m})
		}
	}
	return out
}

// nextPush returns the next of the own unsent changes, once one of them is due.
func (d *Directory) nextPush(now tackclock.Time) []Part {
	n := min(len(d.unsent), maxPartRecords)
	if n == 0 || now < d.pushDue {
		return nil
	}
	p := d.own.header(d.unsent[0].version - 1)
	p.To = d.unsent[n-1].version
	for _, c := range d.unsent[:n] {
		if r := d.own.records[c.key]; r != nil && r.Version == c.version {
			p.Records = append(p.Records, r.Record)
		}
	}
	d.unsent = slices.Delete(d.unsent, 0, n)
	p.pack()
	return []Part{p}
}

// heartbeat advances the own heartbeat and returns the versions of the spaces to include in
// it, and whether these are all spaces.
func (d *Directory) heartbeat(now tackclock.Time) (seen []Seen, all bool) {
	d.own.heartbeat++
	d.own.heard = now
	d.lastHeartbeat, d.heartbeatDue = now, now.Add(heartbeatInterval)
	all = d.own.heartbeat%fullHeartbeatEvery == 0
	return d.seen(now, all), all
}

// seen returns the versions that this peer has of its own space and of those that changed
// recently, or of all spaces.
func (d *Directory) seen(now tackclock.Time, all bool) []Seen {
	seen := make([]Seen, 0, len(d.spaces))
	for _, s := range d.spaces {
		recent := now.Sub(s.changed) <= fullHeartbeatEvery*heartbeatInterval
		if s != d.own && !recent && !all {
			continue
		}
		v := s.version
		if s == d.own {
			v -= uint64(len(d.unsent))
		}
		seen = append(seen, Seen{Space: s.id, Beat: s.heartbeat, Version: v})
	}
	slices.SortFunc(seen, func(a, b Seen) int { return cmp.Compare(a.Space, b.Space) })
	return seen
}

// nextRefresh removes and returns the queued refresh of the records of p.
func (d *Directory) nextRefresh(p tackid.Peer) *Refresh {
	for id, h := range d.refresh {
		if s := d.spaces[id]; s == nil || s.peer == p {
			delete(d.refresh, id)
			if s != nil {
				return h
			}
		}
	}
	return nil
}

// Receive handles a message from another peer and returns the replies.
func (d *Directory) Receive(now tackclock.Time, from tackid.Peer, m Message) []Outgoing {
	d.start(now)
	l := d.peers[from]
	if l == nil {
		return nil
	}
	if m.Echo > l.echo && m.Echo <= d.own.heartbeat {
		l.echo, l.echoedAt = m.Echo, now
	}
	var reply Message
	for _, p := range m.Parts {
		d.receivePart(now, from, p, &reply)
	}
	for _, s := range m.Seen {
		d.compareSeen(now, l, from, s, &reply)
	}
	d.receivedAll = d.receivedAll || m.All
	if m.Refresh != nil {
		d.receiveRefresh(now, *m.Refresh)
	}
	for _, w := range m.Wants {
		d.answer(w, &reply)
	}
	if reply.empty() {
		return nil
	}
	return []Outgoing{{To: from, Message: reply}}
}

// answer adds the part that w requests to reply.
func (d *Directory) answer(w Want, reply *Message) {
	s := d.spaces[w.Space]
	if s == nil {
		return
	}
	if p, ok := s.part(w); ok {
		reply.Parts = append(reply.Parts, p)
	}
}

// compareSeen compares the version that another peer has of a space with the local one. A
// peer that has a space unknown here may be new itself, so it is sent all versions at once.
func (d *Directory) compareSeen(now tackclock.Time, l *link, from tackid.Peer, seen Seen, reply *Message) {
	if seen.Space == d.own.id {
		if seen.Version > d.own.version || seen.Beat > d.own.heartbeat {
			d.startNewEpoch(now, d.own.epoch)
		}
		return
	}
	if _, gone := d.retired[seen.Space]; gone {
		return
	}
	s := d.spaces[seen.Space]
	if s == nil {
		if d.request(now, from, Want{Space: seen.Space}, reply) {
			reply.Seen, reply.All = d.seen(now, true), true
		}
		return
	}
	if s.peer == from && s.superseded == 0 {
		l.heartbeat = seen.Beat
	}
	if seen.Beat > s.heartbeat {
		s.heartbeat, s.heard = seen.Beat, now
		d.updateStatus(now, s)
	}
	if seen.Version > s.version {
		d.request(now, from, s.want(), reply)
	}
}

// request adds w to reply unless an earlier request for the space is pending, and reports
// whether it did.
func (d *Directory) request(now tackclock.Time, from tackid.Peer, w Want, reply *Message) bool {
	a := d.pendingWants[w.Space]
	switch {
	case a == nil || now.Sub(a.sentAt) >= wantTimeout:
		d.pendingWants[w.Space] = &pendingWant{sentAt: now, tried: []tackid.Peer{from}}
		reply.Wants = append(reply.Wants, w)
		return true
	case !slices.Contains(a.tried, from) && !slices.Contains(a.candidates, from):
		a.candidates = append(a.candidates, from)
	}
	return false
}

// requestFromNext returns, by peer, the Wants that earlier peers left unanswered and
// another peer may answer. Over a link that works in one direction only, a peer is known to
// have the records but never receives the Want; repeating it would keep the other peers
// from being asked.
func (d *Directory) requestFromNext(now tackclock.Time) map[tackid.Peer][]Want {
	var wants map[tackid.Peer][]Want
	for id, a := range d.pendingWants {
		if len(a.candidates) == 0 || now.Sub(a.sentAt) < wantFallbackTimeout {
			continue
		}
		w := Want{Space: id}
		if s := d.spaces[id]; s != nil {
			w = s.want()
		}
		if wants == nil {
			wants = make(map[tackid.Peer][]Want)
		}
		p := a.candidates[0]
		wants[p] = append(wants[p], w)
		a.sentAt, a.tried, a.candidates = now, append(a.tried, p), a.candidates[1:]
	}
	return wants
}

// receivePart merges a part into the local copy of its space. If the part is from a
// seemingly later epoch of this peer, this peer starts a newer one.
func (d *Directory) receivePart(now tackclock.Time, from tackid.Peer, p Part, reply *Message) {
	if p.Peer == d.self && p.Epoch >= d.own.epoch {
		if p.Space != d.own.id {
			d.startNewEpoch(now, p.Epoch)
		}
		return
	}
	s := d.copyFor(now, p)
	switch {
	case s == nil:
		delete(d.pendingWants, p.Space)
	case p.unpack() != nil:
		d.unreadable++
	default:
		d.mergePart(now, from, s, p, reply)
	}
}

// mergePart merges p into the copy s and requests what is still missing.
func (d *Directory) mergePart(now tackclock.Time, from tackid.Peer, s *space, p Part, reply *Message) {
	before := s.version
	touched, ok := s.merge(now, p)
	advanced := s.version > before || len(touched) > 0
	if ok && (advanced || s.version >= p.Last) {
		delete(d.pendingWants, s.id)
	}
	if ok && !advanced {
		return
	}
	for _, k := range touched {
		d.recompute(k)
	}
	if !ok || s.version < p.Last {
		d.request(now, from, s.want(), reply)
	}
	if len(touched) > 0 {
		s.changed = now
		d.heartbeatDue = min(d.heartbeatDue, max(now.Add(earlyHeartbeat), d.lastHeartbeat.Add(minHeartbeatGap)))
	}
}

// copyFor returns the copy that p belongs to, creating it if necessary. It returns nil for
// a retired space and for one of an unknown peer.
func (d *Directory) copyFor(now tackclock.Time, p Part) *space {
	if _, gone := d.retired[p.Space]; gone {
		return nil
	}
	if s := d.spaces[p.Space]; s != nil {
		return s
	}
	if p.Peer != d.self && d.peers[p.Peer] == nil {
		return nil
	}
	s := newSpace(p.Peer, p.Epoch, p.DataCentre, now)
	if s.id != p.Space {
		return nil
	}
	d.spaces[s.id] = s
	d.supersede(now)
	return s
}

// receiveRefresh records that senders of own records announced themselves to another peer.
func (d *Directory) receiveRefresh(now tackclock.Time, h Refresh) {
	if h.Space != d.own.id || len(h.Versions) == 0 {
		return
	}
	slices.Sort(h.Versions)
	for _, r := range d.own.records {
		if _, ok := slices.BinarySearch(h.Versions, r.Version); ok && r.held() {
			r.heard = now
			r.within = min(max(r.within, h.Within), maxAnnounceInterval)
		}
	}
}

// startNewEpoch restarts the own space with a later epoch. A peer whose clock was behind
// that of its previous run would otherwise use versions that the others already have, and
// they would ignore its changes.
func (d *Directory) startNewEpoch(now tackclock.Time, past Epoch) {
	old := d.own
	d.own = newSpace(d.self, max(Epoch(now), past+1), d.dc, now)
	d.own.heartbeat = old.heartbeat
	delete(d.spaces, old.id)
	d.spaces[d.own.id] = d.own
	d.unsent = nil
	for _, r := range old.after(0) {
		was := old.records[r.key()]
		d.put(now, r, was.within, now)
		s := d.own.records[r.key()]
		s.heard, s.since = was.heard, was.since
	}
	d.supersede(now)
	d.recomputeAll()
}
