package tackmember

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// beatEvery is how often a peer tells every other what it has.
	beatEvery = tackclock.Second

	// fullEvery is how many beats apart all spaces are told; those between
	// tell the own one and what changed lately.
	fullEvery = 3

	// beatSoon and beatGap bring the next beat forward when a change came
	// from another peer, so that it gets round a cut link at once.
	beatSoon = 200 * tackclock.Millisecond
	beatGap  = 500 * tackclock.Millisecond

	// pushGather is how long a record of one that serves may wait for others:
	// when all announce anew, hundreds come within a second.
	pushGather = 100 * tackclock.Millisecond

	// pushLazily is how long a change may wait that only says who holds a
	// record. After a peer's death there are hundreds of them, and many in
	// one part take a fraction of the bytes.
	pushLazily = 3 * tackclock.Second

	// wantAgain is how long an answer to a Want is awaited.
	wantAgain = 600 * tackclock.Millisecond

	// wantNext is how long it is awaited when another peer has it as well.
	wantNext = 200 * tackclock.Millisecond
)

// Tick does what is due and returns the messages to send. It wants to be
// called every 50 to 200 ms.
func (d *Directory) Tick(now tackclock.Time) []Outgoing {
	d.start(now)
	if now >= d.scanDue {
		d.scanDue = now.Add(scanEvery)
		d.scan(now)
	}
	parts := d.pushes(now)
	var seen []Seen
	all := false
	if now >= d.beatDue {
		seen, all = d.beat(now)
	}
	wants := d.askNext(now)
	var out []Outgoing
	for _, p := range d.order {
		m := Message{Parts: parts, Seen: seen, All: all, Wants: wants[p]}
		if seen != nil {
			m.Echo = d.peers[p].beat
			m.Heard = d.takeRefresh(p)
		}
		if !m.empty() {
			out = append(out, Outgoing{To: p, Message: m})
		}
	}
	return out
}

// pushes returns the next of the own changes that have not been sent, once one
// of them is due.
func (d *Directory) pushes(now tackclock.Time) []Part {
	n := min(len(d.unsent), maxPart)
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

// beat advances the own beat and returns how much this peer has of the spaces
// that are due to be told, and whether these are all.
func (d *Directory) beat(now tackclock.Time) (seen []Seen, all bool) {
	d.own.beat++
	d.own.heard = now
	d.lastBeat, d.beatDue = now, now.Add(beatEvery)
	all = d.own.beat%fullEvery == 0
	return d.seen(now, all), all
}

// seen returns how much this peer has of its own space, of those that changed
// lately, or of all.
func (d *Directory) seen(now tackclock.Time, all bool) []Seen {
	seen := make([]Seen, 0, len(d.spaces))
	for _, s := range d.spaces {
		lately := now.Sub(s.changed) <= fullEvery*beatEvery
		if s != d.own && !lately && !all {
			continue
		}
		v := s.version
		if s == d.own {
			v -= uint64(len(d.unsent))
		}
		seen = append(seen, Seen{Space: s.id, Beat: s.beat, Version: v})
	}
	slices.SortFunc(seen, func(a, b Seen) int { return cmp.Compare(a.Space, b.Space) })
	return seen
}

// takeRefresh returns what is to be told to p of its own records.
func (d *Directory) takeRefresh(p tackid.Peer) *Heard {
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

// Receive takes in a message from another peer and returns the answers.
func (d *Directory) Receive(now tackclock.Time, from tackid.Peer, m Message) []Outgoing {
	d.start(now)
	l := d.peers[from]
	if l == nil {
		return nil
	}
	if m.Echo > l.echo && m.Echo <= d.own.beat {
		l.echo, l.echoed = m.Echo, now
	}
	var reply Message
	for _, p := range m.Parts {
		d.takePart(now, from, p, &reply)
	}
	for _, s := range m.Seen {
		d.see(now, l, from, s, &reply)
	}
	d.told = d.told || m.All
	if m.Heard != nil {
		d.takeHeard(now, *m.Heard)
	}
	for _, w := range m.Wants {
		d.answer(w, &reply)
	}
	if reply.empty() {
		return nil
	}
	return []Outgoing{{To: from, Message: reply}}
}

// answer adds to reply what w asks for.
func (d *Directory) answer(w Want, reply *Message) {
	s := d.spaces[w.Space]
	if s == nil {
		return
	}
	if p, ok := s.part(w); ok {
		reply.Parts = append(reply.Parts, p)
	}
}

// see compares what another peer has of a space with what is here. One that
// has a space unknown here may be new itself, and is told all there is at once.
func (d *Directory) see(now tackclock.Time, l *link, from tackid.Peer, seen Seen, reply *Message) {
	if seen.Space == d.own.id {
		if seen.Version > d.own.version || seen.Beat > d.own.beat {
			d.rebirth(now, d.own.epoch)
		}
		return
	}
	if _, gone := d.retired[seen.Space]; gone {
		return
	}
	s := d.spaces[seen.Space]
	if s == nil {
		if d.want(now, from, Want{Space: seen.Space}, reply) {
			reply.Seen, reply.All = d.seen(now, true), true
		}
		return
	}
	if s.peer == from && s.superseded == 0 {
		l.beat = seen.Beat
	}
	if seen.Beat > s.beat {
		s.beat, s.heard = seen.Beat, now
		d.stand(now, s)
	}
	if seen.Version > s.version {
		d.want(now, from, s.want(), reply)
	}
}

// want adds w to reply unless an answer to an earlier one is awaited, and
// reports whether it did.
func (d *Directory) want(now tackclock.Time, from tackid.Peer, w Want, reply *Message) bool {
	a := d.wanted[w.Space]
	switch {
	case a == nil || now.Sub(a.at) >= wantAgain:
		d.wanted[w.Space] = &asked{at: now, tried: []tackid.Peer{from}}
		reply.Wants = append(reply.Wants, w)
		return true
	case !slices.Contains(a.tried, from) && !slices.Contains(a.next, from):
		a.next = append(a.next, from)
	}
	return false
}

// askNext returns, by peer, the Wants that earlier peers left unanswered and
// another one may answer. Over a link that carries only one way, a peer is
// heard to have what is wanted but never gets the Want; without this, asking
// it again and again would keep the others from being asked.
func (d *Directory) askNext(now tackclock.Time) map[tackid.Peer][]Want {
	var wants map[tackid.Peer][]Want
	for id, a := range d.wanted {
		if len(a.next) == 0 || now.Sub(a.at) < wantNext {
			continue
		}
		w := Want{Space: id}
		if s := d.spaces[id]; s != nil {
			w = s.want()
		}
		if wants == nil {
			wants = make(map[tackid.Peer][]Want)
		}
		p := a.next[0]
		wants[p] = append(wants[p], w)
		a.at, a.tried, a.next = now, append(a.tried, p), a.next[1:]
	}
	return wants
}

// takePart takes a part of a space into the copy here. One of an own life that
// seems later than this one makes this one the latest.
func (d *Directory) takePart(now tackclock.Time, from tackid.Peer, p Part, reply *Message) {
	if p.Peer == d.self && p.Epoch >= d.own.epoch {
		if p.Space != d.own.id {
			d.rebirth(now, p.Epoch)
		}
		return
	}
	s := d.copyOf(now, p)
	switch {
	case s == nil:
		delete(d.wanted, p.Space)
	case p.unpack() != nil:
		d.unreadable++
	default:
		d.takeInto(now, from, s, p, reply)
	}
}

// takeInto takes p into the copy s, and asks for what is still missing.
func (d *Directory) takeInto(now tackclock.Time, from tackid.Peer, s *space, p Part, reply *Message) {
	before := s.version
	touched, ok := s.take(now, p)
	advanced := s.version > before || len(touched) > 0
	if ok && (advanced || s.version >= p.Last) {
		delete(d.wanted, s.id)
	}
	if ok && !advanced {
		return
	}
	for _, k := range touched {
		d.settle(k)
	}
	if !ok || s.version < p.Last {
		d.want(now, from, s.want(), reply)
	}
	if len(touched) > 0 {
		s.changed = now
		d.beatDue = min(d.beatDue, max(now.Add(beatSoon), d.lastBeat.Add(beatGap)))
	}
}

// copyOf returns the copy that p belongs to, a new one where there is none.
// It returns nil for a space that was given up and for one of a stranger.
func (d *Directory) copyOf(now tackclock.Time, p Part) *space {
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

// takeHeard notes that senders of own records announced themselves elsewhere.
func (d *Directory) takeHeard(now tackclock.Time, h Heard) {
	if h.Space != d.own.id || len(h.Versions) == 0 {
		return
	}
	slices.Sort(h.Versions)
	for _, r := range d.own.records {
		if _, ok := slices.BinarySearch(h.Versions, r.Version); ok && r.held() {
			r.heard = now
			r.within = min(max(r.within, h.Within), maxWithin)
		}
	}
}

// rebirth starts the own space anew as a later life. A peer whose clock stood
// behind its earlier life's would otherwise number its changes with versions
// that the others already have, and none of them would be taken in.
func (d *Directory) rebirth(now tackclock.Time, past Epoch) {
	old := d.own
	d.own = newSpace(d.self, max(Epoch(now), past+1), d.dc, now)
	d.own.beat = old.beat
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
	d.settleAll()
}
