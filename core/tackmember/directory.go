// Package tackmember implements the directory of backend servers and workers: who has
// announced itself, where, and whether it still does. The directory is soft state that
// peers replicate by an anti-entropy protocol; nothing is stored on disk.
//
// Each peer owns one space: the records of those that announce themselves to it, numbered
// by version. Owners push their changes to every peer. Once a second each peer sends every
// other the versions it has of the spaces that changed recently, and a peer that lags
// requests the missing records from any peer that has them. So changes bypass broken links,
// and a new peer or a healed partition gets all that it lacks. The contents of the
// directory are computed from all spaces.
package tackmember

import (
	"cmp"
	"fmt"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// MaxEntries is the maximum number of backend servers and workers in a directory,
	// including ended ones.
	MaxEntries = 20_000

	minAnnounceInterval      = 2 * tackclock.Second
	maxAnnounceInterval      = tackclock.Minute
	announceIntervalPerEntry = 200 * tackclock.Millisecond
	scanInterval             = 500 * tackclock.Millisecond
	purgeInterval            = 10 * tackclock.Second
	maxSpaces                = 4 // per peer
	maxRetired               = 512
	lifetimeSlack            = tackclock.Second
)

type (
	// Directory is a peer's view of the announcing backend servers and workers. Its zero
	// value, once configured, is an empty directory. It is not safe for concurrent use.
	Directory struct {
		self  tackid.Peer
		dc    tackid.DataCentre
		since tackclock.Time // when the directory started
		own   *space
		peers map[tackid.Peer]*link
		order []tackid.Peer // the others, sorted

		spaces        map[SpaceID]*space
		retired       map[SpaceID]tackclock.Time
		pendingWants  map[SpaceID]*pendingWant
		entries       map[key]*entry
		vms           map[tackid.VM]map[key]*entry
		health        map[tackid.VM]*damper
		heldElsewhere map[key]*stored // announced to this peer, held by another

		unsent  []change // of the own space
		refresh map[SpaceID]*Refresh

		heartbeatDue, lastHeartbeat tackclock.Time
		scanDue, purgeDue           tackclock.Time
		pushDue                     tackclock.Time // of the first of unsent
		receivedAll                 bool           // a peer has sent the versions of all spaces it knows
		version                     uint64
		unreadable                  int
		cache                       listing
	}

	// link is the state of the link to another peer.
	link struct {
		heartbeat uint64         // its newest heartbeat received directly
		echo      uint64         // the newest own heartbeat that it received directly
		echoedAt  tackclock.Time // when echo last increased
	}

	// pendingWant is a Want that has not been answered yet: when it was last sent, the
	// peers it was sent to, and other peers that could answer it.
	pendingWant struct {
		sentAt     tackclock.Time
		tried      []tackid.Peer
		candidates []tackid.Peer
	}

	// change is a version of the own space and the key that it concerns.
	change struct {
		version uint64
		key     key
	}

	// Stats is the size of a directory: the entries shown or remembered, the records of all
	// peers, the spaces, and the number of received parts that could not be decoded.
	Stats struct {
		Entries    int
		Records    int
		Spaces     int
		Unreadable int
	}

	// FullError reports that the directory has reached its limit of names.
	FullError struct {
		Limit int
	}
)

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("tackmember: directory holds %d names and takes no more", e.Limit)
}

// Configure sets the peer that owns this directory, and its data centre.
func (d *Directory) Configure(self tackid.Peer, dc tackid.DataCentre) {
	d.self, d.dc = self, dc
}

// SetPeers sets the peers of the system, which may include this one. The records of a
// removed peer are kept for as long as its backend servers need to find another peer.
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

// CaughtUp reports whether this peer knows what the others know: one of them has sent the
// versions of all its spaces, and all missing records have arrived. A peer that accepted
// requests earlier after a start would refuse them for lack of backend servers that every
// other peer knows.
func (d *Directory) CaughtUp() bool {
	return len(d.order) == 0 || d.receivedAll && len(d.pendingWants) == 0
}

// Stats returns the size of the directory.
func (d *Directory) Stats() Stats {
	s := Stats{Entries: len(d.entries), Spaces: len(d.spaces), Unreadable: d.unreadable}
	for _, sp := range d.spaces {
		s.Records += len(sp.records)
	}
	return s
}

// Announce handles an announcement received directly from its sender. The error is a
// *FieldError or a *FullError.
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
	reply := Reply{NextWithin: d.announceInterval()}
	if e != nil && r.compare(&e.latest) < 0 {
		return reply, nil
	}
	reply.Accepted = true
	d.recordAnnouncement(now, r, e, reply.NextWithin)
	return reply, nil
}

// Withdraw ends the incarnation of a backend server and reports whether it was live. The
// end is recorded even if the incarnation is unknown, since an announcement of it may still
// be in transit.
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
	if e != nil && end.compare(&e.latest) <= 0 {
		return false
	}
	live := e != nil && e.latest.Stage != StageWithdrawn
	d.publish(now, end, 0)
	return live
}

// start initializes the own space at the first call that provides the time.
func (d *Directory) start(now tackclock.Time) {
	if d.own != nil {
		return
	}
	d.since = now
	d.spaces = make(map[SpaceID]*space)
	d.retired = make(map[SpaceID]tackclock.Time)
	d.pendingWants = make(map[SpaceID]*pendingWant)
	d.entries = make(map[key]*entry)
	d.vms = make(map[tackid.VM]map[key]*entry)
	d.refresh = make(map[SpaceID]*Refresh)
	d.heldElsewhere = make(map[key]*stored)
	d.own = newSpace(d.self, Epoch(now), d.dc, now)
	d.spaces[d.own.id] = d.own
}

// recordAnnouncement records that the sender of r has announced itself to this peer. If
// another peer holds the record and can be reached, it is only notified, in a few bytes;
// otherwise the record is published in the own space.
func (d *Directory) recordAnnouncement(now tackclock.Time, r Record, e *entry, within tackclock.Duration) {
	if mine := d.own.records[r.key()]; mine != nil && mine.same(r) {
		mine.heard, mine.within = now, within
		return
	}
	if s := d.reachableHolder(now, r, e); s != nil {
		d.heldElsewhere[r.key()] = &stored{Record: r, heard: now, within: within}
		d.queueRefresh(s, r.key(), within)
		return
	}
	d.publish(now, r, within)
}

// reachableHolder returns the space of another peer that holds exactly this record, if its
// owner can be notified.
func (d *Directory) reachableHolder(now tackclock.Time, r Record, e *entry) *space {
	if e == nil || e.holder == nil || e.holder == d.own || !e.shown.same(r) {
		return nil
	}
	if e.holder.status != statusLive || !d.linked(now, e.holder.peer) {
		return nil
	}
	return e.holder
}

// queueRefresh queues a notification to the owner of s that the sender of the record under
// k has announced itself to this peer.
func (d *Directory) queueRefresh(s *space, k key, within tackclock.Duration) {
	h := d.refresh[s.id]
	if h == nil {
		h = &Refresh{Space: s.id}
		d.refresh[s.id] = h
	}
	h.Within = max(h.Within, within)
	h.Versions = append(h.Versions, s.records[k].Version)
}

// publish adds r to the own space with the next version.
func (d *Directory) publish(now tackclock.Time, r Record, within tackclock.Duration) {
	due := now
	if r.held() && r.Stage == StageServing {
		due = now.Add(pushDelay)
	}
	if e := d.entries[r.key()]; e != nil && r.held() {
		r.HolderSeq = e.holderSeq + 1
		if e.holder != nil && e.shown.same(r) {
			due = now.Add(lazyPushDelay)
		}
	}
	d.put(now, r, within, due)
	d.recompute(r.key())
}

// put stores r in the own space with the next version, to be sent by due.
func (d *Directory) put(now tackclock.Time, r Record, within tackclock.Duration, due tackclock.Time) {
	delete(d.heldElsewhere, r.key())
	d.own.version++
	r.Version = d.own.version
	d.own.records[r.key()] = &stored{Record: r, since: now, heard: now, within: within}
	if len(d.unsent) == 0 || due < d.pushDue {
		d.pushDue = due
	}
	d.unsent = append(d.unsent, change{version: r.Version, key: r.key()})
}

// announceInterval returns the interval at which senders must announce themselves. It grows
// with their number, so that at any fleet size each peer receives about five announcements
// a second.
func (d *Directory) announceInterval() tackclock.Duration {
	own := 0
	for _, r := range d.own.records {
		if r.held() {
			own++
		}
	}
	n := max(own, len(d.entries)/(d.heardPeers()+1))
	return min(max(minAnnounceInterval, tackclock.Duration(n)*announceIntervalPerEntry), maxAnnounceInterval)
}

// lifetime returns how long a sender may be silent that was told to announce itself every
// w.
func lifetime(w tackclock.Duration) tackclock.Duration {
	return w*5/2 + lifetimeSlack
}

// heardPeers returns the number of other peers whose heartbeats arrive.
func (d *Directory) heardPeers() int {
	n := 0
	for _, s := range d.spaces {
		if s != d.own && s.status == statusLive {
			n++
		}
	}
	return n
}

// linked reports whether the link to p has recently carried heartbeats in both directions.
func (d *Directory) linked(now tackclock.Time, p tackid.Peer) bool {
	l := d.peers[p]
	return l != nil && l.echo > 0 && now.Sub(l.echoedAt) < silenceLimit
}
