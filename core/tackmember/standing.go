package tackmember

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// silenceLimit is how long a peer's beat may stand still before the peer
	// counts as not heard.
	silenceLimit = 10 * tackclock.Second

	// unknownAfter is how long a data centre of which no peer is heard may be
	// silent before what it holds is unknown. It outlasts a peer's restart.
	unknownAfter = 15 * tackclock.Second

	// orphanLimit is how long the holdings of a silent peer are kept while
	// another peer of its data centre is heard: long enough for two peers
	// that lose each other for minutes.
	orphanLimit = 10 * tackclock.Minute

	// forgetAfter is how long the holdings of a data centre that cannot be
	// heard are kept. It is shorter than stubAge: a record that was ended
	// elsewhere meanwhile is given up before the memory of its end is.
	forgetAfter = 30 * tackclock.Minute

	// retireStagger is how much later than the one before each peer gives up
	// a space.
	retireStagger = 1500 * tackclock.Millisecond
)

// scan does what is due by time: owned records that fell silent end, old ones
// are dropped, and spaces of peers that fell silent lose their standing.
func (d *Directory) scan(now tackclock.Time) {
	d.expire(now)
	d.supersede(now)
	d.takeOver(now)
	for _, s := range d.sorted() {
		d.stand(now, s)
	}
	if now >= d.purgeDue {
		d.purgeDue = now.Add(purgeEvery)
		d.purge(now)
	}
}

// purge drops what ended long ago.
func (d *Directory) purge(now tackclock.Time) {
	for _, s := range d.sorted() {
		for _, k := range s.purge(now) {
			d.settle(k)
		}
	}
	for id, a := range d.wanted {
		if now.Sub(a.at) > 10*wantAgain {
			delete(d.wanted, id)
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
		d.settle(k)
	}
}

// takeOver publishes what announces itself here and whose holder can no longer
// be told so. Without it, a backend server would be missed by every peer from
// its holder's giving it up until it next announces itself.
func (d *Directory) takeOver(now tackclock.Time) {
	orphans := make(map[key]*stored)
	for k, r := range d.nearby {
		e := d.entries[k]
		switch {
		case now.Sub(r.heard) > lifetime(r.within) || e == nil || r.compare(&e.top) < 0:
			delete(d.nearby, k)
		case d.holder(now, r.Record, e) == nil:
			orphans[k] = r
		}
	}
	for _, k := range sortedKeys(orphans) {
		d.publish(now, orphans[k].Record, orphans[k].within)
		d.own.records[k].heard = orphans[k].heard
	}
}

// supersede marks the spaces of earlier lives and of peers that are gone, and
// gives up those whose time is over.
func (d *Directory) supersede(now tackclock.Time) {
	newest := make(map[tackid.Peer]*space)
	lives := make(map[tackid.Peer]int)
	byAge := d.sorted()
	slices.SortStableFunc(byAge, func(a, b *space) int { return cmp.Compare(a.epoch, b.epoch) })
	for _, s := range byAge {
		lives[s.peer]++
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
		if now.Sub(s.superseded) >= d.grace()+d.stagger() || lives[s.peer] > maxSpaces {
			lives[s.peer]--
			d.retire(now, s)
		}
	}
}

// stagger spreads out when the peers give up a space, so that the first one
// saves for all what must be kept of it.
func (d *Directory) stagger() tackclock.Duration {
	i, _ := slices.BinarySearch(d.order, d.self)
	return tackclock.Duration(i) * retireStagger
}

// retire gives up a space for good. What it says of ended incarnations is
// taken over where nobody else says it: otherwise a peer's restart would bring
// back what was withdrawn through its earlier life, from a copy that some
// cut-off peer still holds.
func (d *Directory) retire(now tackclock.Time, s *space) {
	delete(d.spaces, s.id)
	for len(d.retired) >= maxRetired {
		d.dropOldestRetired()
	}
	d.retired[s.id] = now
	for _, k := range sortedKeys(s.records) {
		d.settle(k)
		d.inherit(now, k, s.records[k])
	}
}

// inherit keeps r as an ended record of the own space unless as much is known
// without it.
func (d *Directory) inherit(now tackclock.Time, k key, r *stored) {
	if e := d.entries[k]; e != nil && r.compare(&e.top) <= 0 {
		return
	}
	since := r.since
	if r.held() {
		since = now
	}
	d.put(now, r.ended(r.Stage), 0, now.Add(pushLazily))
	d.own.records[k].since = since
	d.settle(k)
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

// stand works out how far what s holds can be relied on.
func (d *Directory) stand(now tackclock.Time, s *space) {
	next := d.standingOf(now, s)
	if next == s.standing {
		return
	}
	s.standing = next
	for _, k := range sortedKeys(s.records) {
		d.settle(k)
	}
}

func (d *Directory) standingOf(now tackclock.Time, s *space) standing {
	silent := now.Sub(s.heard)
	switch {
	case s == d.own:
		return standingHeard
	case s.superseded != 0:
		return standingWaiting
	case silent < silenceLimit:
		return standingHeard
	case d.dataCentreHeard(now, s):
		return standingAfter(silent, d.grace(), orphanLimit)
	}
	return standingAfter(silent, unknownAfter, forgetAfter)
}

func standingAfter(silent, wait, limit tackclock.Duration) standing {
	switch {
	case silent < wait:
		return standingWaiting
	case silent < limit:
		return standingUnknown
	}
	return standingEnded
}

// grace is how long a backend server whose peer died may need to come to
// another one.
func (d *Directory) grace() tackclock.Duration {
	return max(unknownAfter, silenceLimit+lifetime(d.nextWithin()))
}

// dataCentreHeard reports whether another peer of the data centre of s is
// heard, so that the backend servers there can come to it.
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
