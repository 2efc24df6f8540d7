package tackmember

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// silenceLimit is how long a peer's heartbeat may stay unchanged before the peer is
	// considered unreachable.
	silenceLimit = 10 * tackclock.Second

	// unknownAfter is how long a data centre without any reachable peer may be silent
	// before its records are unknown. It exceeds the time that a peer needs to restart.
	unknownAfter = 15 * tackclock.Second

	// orphanLimit is how long the records of a silent peer are kept while another peer of
	// its data centre is reachable: long enough for two peers that cannot reach each other
	// for minutes.
	orphanLimit = 10 * tackclock.Minute

	// forgetAfter is how long the records of an unreachable data centre are kept. It is
	// shorter than tombstoneAge: a record that was ended elsewhere in the meantime is given
	// up before its tombstone is.
	forgetAfter = 30 * tackclock.Minute

	// retireStagger is the delay between one peer giving up a space and the next.
	retireStagger = 1500 * tackclock.Millisecond
)

// scan performs the periodic work: it ends own records whose senders fell silent, removes
// old ones, and updates the status of spaces.
func (d *Directory) scan(now tackclock.Time) {
	d.expire(now)
	d.supersede(now)
	d.republishOrphans(now)
	for _, s := range d.sorted() {
		d.updateStatus(now, s)
	}
	if now >= d.purgeDue {
		d.purgeDue = now.Add(purgeInterval)
		d.purge(now)
	}
}

// purge removes expired tombstones and old requests.
func (d *Directory) purge(now tackclock.Time) {
	for _, s := range d.sorted() {
		for _, k := range s.purge(now) {
			d.recompute(k)
		}
	}
	for id, a := range d.pendingWants {
		if now.Sub(a.sentAt) > 10*wantTimeout {
			delete(d.pendingWants, id)
		}
	}
}

// expire ends the own records whose senders fell silent.
func (d *Directory) expire(now tackclock.Time) {
	silent := make(map[key]*stored)
	for k, r := range d.own.records {
		if r.held() && now.Sub(r.heard) > lifetime(r.within) {
			silent[k] = r
		}
	}
	for _, k := range sortedKeys(silent) {
		d.put(now, silent[k].ended(silent[k].Stage), 0, now)
		d.recompute(k)
	}
}

// republishOrphans publishes records whose senders announce themselves to this peer and
// whose holder can no longer be notified. Without it, a backend server would be missing on
// every peer from when its holder gives it up until its next announcement.
func (d *Directory) republishOrphans(now tackclock.Time) {
	orphans := make(map[key]*stored)
	for k, r := range d.heldElsewhere {
		e := d.entries[k]
		switch {
		case now.Sub(r.heard) > lifetime(r.within) || e == nil || r.compare(&e.latest) < 0:
			delete(d.heldElsewhere, k)
		case d.reachableHolder(now, r.Record, e) == nil:
			orphans[k] = r
		}
	}
	for _, k := range sortedKeys(orphans) {
		d.publish(now, orphans[k].Record, orphans[k].within)
		d.own.records[k].heard = orphans[k].heard
	}
}

// supersede marks the spaces of earlier epochs and of removed peers, and retires those that
// have been marked for long enough.
func (d *Directory) supersede(now tackclock.Time) {
	newest := make(map[tackid.Peer]*space)
	epochs := make(map[tackid.Peer]int)
	byAge := d.sorted()
	slices.SortStableFunc(byAge, func(a, b *space) int { return cmp.Compare(a.epoch, b.epoch) })
	for _, s := range byAge {
		epochs[s.peer]++
		if n := newest[s.peer]; n == nil || s.epoch > n.epoch {
			newest[s.peer] = s
		}
	}
	newest[d.self] = d.own
	for _, s := range byAge {
		member := s.peer == d.self || d.peers[s.peer] != nil
		if newest[s.peer] == s && member {
			s.superseded = 0
			continue
		}
		if s.superseded == 0 {
			s.superseded = now
		}
		if now.Sub(s.superseded) >= d.failoverGrace()+d.stagger() || epochs[s.peer] > maxSpaces {
			epochs[s.peer]--
			d.retire(now, s)
		}
	}
}

// stagger returns this peer's delay in giving up a space. The delays differ, so that the
// first peer preserves for all others what must be kept of it.
func (d *Directory) stagger() tackclock.Duration {
	i, _ := slices.BinarySearch(d.order, d.self)
	return tackclock.Duration(i) * retireStagger
}

// retire gives up a space permanently. What it says about incarnations is kept as
// tombstones in the own space unless other spaces say as much: otherwise a restart of a
// peer would bring back what was withdrawn in its earlier epoch, from a copy on a peer that
// is still cut off.
func (d *Directory) retire(now tackclock.Time, s *space) {
	delete(d.spaces, s.id)
	for len(d.retired) >= maxRetired {
		d.dropOldestRetired()
	}
	d.retired[s.id] = now
	for _, k := range sortedKeys(s.records) {
		d.recompute(k)
		d.keepTombstone(now, k, s.records[k])
	}
}

// keepTombstone stores r as a tombstone in the own space, unless other records imply it.
func (d *Directory) keepTombstone(now tackclock.Time, k key, r *stored) {
	if e := d.entries[k]; e != nil && r.compare(&e.latest) <= 0 {
		return
	}
	since := r.since
	if r.held() {
		since = now
	}
	d.put(now, r.ended(r.Stage), 0, now.Add(lazyPushDelay))
	d.own.records[k].since = since
	d.recompute(k)
}

func (d *Directory) dropOldestRetired() {
	var oldest SpaceID
	first := true
	for id, at := range d.retired {
		if first || at < d.retired[oldest] || at == d.retired[oldest] && id < oldest {
			oldest, first = id, false
		}
	}
	delete(d.retired, oldest)
}

// updateStatus updates the status of s.
func (d *Directory) updateStatus(now tackclock.Time, s *space) {
	next := d.statusOf(now, s)
	if next == s.status {
		return
	}
	s.status = next
	for _, k := range sortedKeys(s.records) {
		d.recompute(k)
	}
}

func (d *Directory) statusOf(now tackclock.Time, s *space) spaceStatus {
	silent := now.Sub(s.heard)
	switch {
	case s == d.own:
		return statusLive
	case s.superseded != 0:
		return statusSuspect
	case silent < silenceLimit:
		return statusLive
	case d.dataCentreHeard(now, s):
		return statusAfter(silent, d.failoverGrace(), orphanLimit)
	}
	return statusAfter(silent, unknownAfter, forgetAfter)
}

func statusAfter(silent, wait, limit tackclock.Duration) spaceStatus {
	switch {
	case silent < wait:
		return statusSuspect
	case silent < limit:
		return statusUnknown
	}
	return statusExpired
}

// failoverGrace is how long a backend server whose peer died may need to find another one.
func (d *Directory) failoverGrace() tackclock.Duration {
	return max(unknownAfter, silenceLimit+lifetime(d.announceInterval()))
}

// dataCentreHeard reports whether another peer in the data centre of s is reachable, so
// that the backend servers there can announce themselves to it.
func (d *Directory) dataCentreHeard(now tackclock.Time, s *space) bool {
	for _, o := range d.spaces {
		if o == s || o.peer == s.peer || o.dc != s.dc || o.superseded != 0 {
			continue
		}
		if o == d.own || now.Sub(o.heard) < silenceLimit {
			return true
		}
	}
	return false
}
