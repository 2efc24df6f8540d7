// Package tackmember keeps the directory of backend servers and workers: who
// has announced itself, where, and whether it still does. The directory is
// soft state that the peers spread among themselves; nothing of it is stored.
//
// Each peer is the owner of one space: the records of those that announce
// themselves to it, numbered by version. Owners push their changes to every
// peer. Each peer tells every other how much it has of each space, of those
// that changed lately once a second, and one that has less asks for the rest,
// from whoever has it; so a change gets round a cut link, and a new peer or a
// healed cut gets all it lacks. What the directory shows is worked out from all spaces.
package tackmember

import (
	"cmp"
	"fmt"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// MaxEntries is how many backend servers and workers a directory takes,
	// ended ones included.
	MaxEntries = 20_000

	minWithin   = 2 * tackclock.Second
	maxWithin   = tackclock.Minute
	withinEach  = 200 * tackclock.Millisecond
	scanEvery   = 500 * tackclock.Millisecond
	purgeEvery  = 10 * tackclock.Second
	maxSpaces   = 4 // of one peer
	maxRetired  = 512
	lifetimeMin = tackclock.Second
)

type (
	// Directory is one peer's view of who announces. Its zero value, once
	// configured, is an empty directory. It is not safe for concurrent use.
	Directory struct {
		self  tackid.Peer
		dc    tackid.DataCentre
		since tackclock.Time // when the directory started
		own   *space
		peers map[tackid.Peer]*link
		order []tackid.Peer // the others, sorted

		spaces  map[SpaceID]*space
		retired map[SpaceID]tackclock.Time
		wanted  map[SpaceID]*asked
		entries map[key]*entry
		vms     map[tackid.VM]map[key]*entry
		health  map[tackid.VM]*damper
		nearby  map[key]*stored // announced here, held by another peer

		unsent  []change // of the own space
		refresh map[SpaceID]*Heard

		beatDue, lastBeat tackclock.Time
		scanDue, purgeDue tackclock.Time
		pushDue           tackclock.Time // of the first of unsent
		told              bool           // another peer has told all the spaces it knows
		version           uint64
		unreadable        int
		cache             listing
	}

	// link is what is known of the way to another peer.
	link struct {
		beat   uint64         // its newest beat that came straight
		echo   uint64         // the newest own beat that it got straight
		echoed tackclock.Time // when echo rose
	}

	// asked is a Want whose answer is awaited: when it was last sent, the
	// peers that it was sent to, and further ones that could answer.
	asked struct {
		at    tackclock.Time
		tried []tackid.Peer
		next  []tackid.Peer
	}

	// change is a version of the own space and what it is about.
	change struct {
		version uint64
		key     key
	}

	// Stats tells how much a directory holds: what it shows or remembers, the
	// records of all peers, the lives of peers, and how many parts came that
	// could not be read.
	Stats struct {
		Entries    int
		Records    int
		Spaces     int
		Unreadable int
	}

	// FullError reports that the directory takes no further names.
	FullError struct {
		Limit int
	}
)

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("tackmember: directory holds %d names and takes no more", e.Limit)
}

// Configure names the peer whose directory this is, and its data centre.
func (d *Directory) Configure(self tackid.Peer, dc tackid.DataCentre) {
	d.self, d.dc = self, dc
}

// SetPeers gives the peers of the system; the peer itself may be among them.
// What a peer that is gone held stays for as long as its backend servers need
// to find another one.
func (d *Directory) SetPeers(peers []tackid.Peer) {
	known := d.peers
	d.peers = make(map[tackid.Peer]*link, len(peers))
	d.order = d.order[:0]
	for _, p := range peers {
		if p == d.self || d.peers[p] != nil {
			continue
		}
		d.peers[p] = cmp.Or(known[p], new(link))
		d.order = append(d.order, p)
	}
	slices.Sort(d.order)
	d.scanDue = 0
}

// CaughtUp reports whether this peer knows what the others do: one of them has
// told it of all there is, and all of that has come. A peer that has just
// started and takes callers' requests before that would refuse them for want
// of backend servers that every other peer knows.
func (d *Directory) CaughtUp() bool {
	return len(d.order) == 0 || d.told && len(d.wanted) == 0
}

// Stats returns how much the directory holds.
func (d *Directory) Stats() Stats {
	s := Stats{Entries: len(d.entries), Spaces: len(d.spaces), Unreadable: d.unreadable}
	for _, sp := range d.spaces {
		s.Records += len(sp.records)
	}
	return s
}

// Announce takes in an announcement that came straight from its sender. The
// error is a *FieldError or a *FullError.
func (d *Directory) Announce(now tackclock.Time, a Announcement) (Reply, error) {
	if err := a.Validate(); err != nil {
		return Reply{}, err
	}
	d.start(now)
	r := newRecord(a)
	e := d.entries[r.key()]
	if e == nil && len(d.entries) >= MaxEntries {
		return Reply{}, &FullError{Limit: MaxEntries}
	}
	reply := Reply{NextWithin: d.nextWithin()}
	if e != nil && r.compare(&e.top) < 0 {
		return reply, nil
	}
	reply.Accepted = true
	d.hear(now, r, e, reply.NextWithin)
	return reply, nil
}

// Withdraw ends the incarnation of a backend server, and reports whether
// there was something to end. It is remembered also when there was nothing,
// since an announcement of that incarnation may still be on its way.
func (d *Directory) Withdraw(now tackclock.Time, id tackid.BackendServer, inc tackid.Incarnation) bool {
	if checkName("backend_server", string(id), true) != nil {
		return false
	}
	d.start(now)
	end := Record{ID: id, Incarnation: inc, Stage: StageWithdrawn}
	e := d.entries[end.key()]
	if e == nil && len(d.entries) >= MaxEntries {
		return false
	}
	if e != nil && end.compare(&e.top) <= 0 {
		return false
	}
	live := e != nil && e.top.Stage != StageWithdrawn
	d.publish(now, end, 0)
	return live
}

// start begins the own space at the first call that tells the time.
func (d *Directory) start(now tackclock.Time) {
	if d.own != nil {
		return
	}
	d.since = now
	d.spaces = make(map[SpaceID]*space)
	d.retired = make(map[SpaceID]tackclock.Time)
	d.wanted = make(map[SpaceID]*asked)
	d.entries = make(map[key]*entry)
	d.vms = make(map[tackid.VM]map[key]*entry)
	d.refresh = make(map[SpaceID]*Heard)
	d.nearby = make(map[key]*stored)
	d.own = newSpace(d.self, Epoch(now), d.dc, now)
	d.spaces[d.own.id] = d.own
}

// hear notes that the sender of r has announced itself here. If it is another
// peer's and that peer can be reached, the peer is told in a few bytes;
// otherwise the record is published as the own.
func (d *Directory) hear(now tackclock.Time, r Record, e *entry, within tackclock.Duration) {
	if mine := d.own.records[r.key()]; mine != nil && mine.same(r) {
		mine.heard, mine.within = now, within
		return
	}
	if s := d.holder(now, r, e); s != nil {
		d.nearby[r.key()] = &stored{Record: r, heard: now, within: within}
		d.refreshLater(s, r.key(), within)
		return
	}
	d.publish(now, r, within)
}

// holder returns the space of another peer that holds just this record and
// whose owner can be told so.
func (d *Directory) holder(now tackclock.Time, r Record, e *entry) *space {
	if e == nil || e.holder == nil || e.holder == d.own || !e.shown.same(r) {
		return nil
	}
	if e.holder.standing != standingHeard || !d.linked(now, e.holder.peer) {
		return nil
	}
	return e.holder
}

// refreshLater notes for the owner of s that the sender of the record under k
// has announced itself here.
func (d *Directory) refreshLater(s *space, k key, within tackclock.Duration) {
	h := d.refresh[s.id]
	if h == nil {
		h = &Heard{Space: s.id}
		d.refresh[s.id] = h
	}
	h.Within = max(h.Within, within)
	h.Versions = append(h.Versions, s.records[k].Version)
}

// publish puts r into the own space as its next version.
func (d *Directory) publish(now tackclock.Time, r Record, within tackclock.Duration) {
	due := now
	if r.held() && r.Stage == StageServing {
		due = now.Add(pushGather)
	}
	if e := d.entries[r.key()]; e != nil && r.held() {
		r.Turn = e.turn + 1
		if e.holder != nil && e.shown.same(r) {
			due = now.Add(pushLazily)
		}
	}
	d.put(now, r, within, due)
	d.settle(r.key())
}

// put stores r in the own space as its next version, to be sent by due.
func (d *Directory) put(now tackclock.Time, r Record, within tackclock.Duration, due tackclock.Time) {
	delete(d.nearby, r.key())
	d.own.version++
	r.Version = d.own.version
	d.own.records[r.key()] = &stored{Record: r, since: now, heard: now, within: within}
	if len(d.unsent) == 0 || due < d.pushDue {
		d.pushDue = due
	}
	d.unsent = append(d.unsent, change{version: r.Version, key: r.key()})
}

// nextWithin returns when an announcer has to come again. It grows with their
// number, so that at any size about five a second come to one peer.
func (d *Directory) nextWithin() tackclock.Duration {
	own := 0
	for _, r := range d.own.records {
		if r.held() {
			own++
		}
	}
	n := max(own, len(d.entries)/(d.heardPeers()+1))
	return min(max(minWithin, tackclock.Duration(n)*withinEach), maxWithin)
}

// lifetime returns how long one that was told to come within w may be silent.
func lifetime(w tackclock.Duration) tackclock.Duration {
	return w*5/2 + lifetimeMin
}

// heardPeers returns how many other peers' beats arrive.
func (d *Directory) heardPeers() int {
	n := 0
	for _, s := range d.spaces {
		if s != d.own && s.standing == standingHeard {
			n++
		}
	}
	return n
}

// linked reports whether the link to p has lately carried beats both ways.
func (d *Directory) linked(now tackclock.Time, p tackid.Peer) bool {
	l := d.peers[p]
	return l != nil && l.echo > 0 && now.Sub(l.echoed) < silenceLimit
}
