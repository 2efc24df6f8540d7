package tackmember

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// maxPartRecords is the maximum number of records in one part, which keeps a message
	// under about 8 KB.
	maxPartRecords = 64

	// tombstoneAge is how long a record that is no longer held is kept, so that a delayed
	// message cannot bring its incarnation back.
	tombstoneAge = tackclock.Hour
)

const (
	// statusLive means that the owner's heartbeats arrive.
	statusLive spaceStatus = iota
	// statusSuspect means that the owner fell silent so recently that its backend servers
	// may not have found another peer yet.
	statusSuspect
	// statusUnknown means that no peer can tell whether the senders of the records still
	// announce themselves.
	statusUnknown
	// statusExpired means that the records are given up.
	statusExpired
)

type (
	// space is the set of records that one peer publishes in one epoch. Its owner gives
	// each change the next version; every other peer has a copy, from which it can send
	// others what they lack.
	space struct {
		id         SpaceID
		peer       tackid.Peer
		epoch      Epoch
		dc         tackid.DataCentre
		version    uint64
		floor      uint64 // tombstones up to this version may be missing
		heartbeat  uint64
		heard      tackclock.Time // when heartbeat last increased
		changed    tackclock.Time // when the copy last changed
		superseded tackclock.Time // when a later epoch, or the removal of the peer, was noticed; 0 before
		status     spaceStatus
		resetting  bool
		records    map[key]*stored
	}

	// stored is a record with local state.
	stored struct {
		Record
		since  tackclock.Time     // when it was stored
		heard  tackclock.Time     // on the owner: when its sender last announced itself
		within tackclock.Duration // on the owner: the announce interval that its sender was given
		stale  bool               // not confirmed since a reset began
	}

	// spaceStatus is how far the records of a space can be relied on.
	spaceStatus uint8
)

func newSpace(p tackid.Peer, e Epoch, dc tackid.DataCentre, now tackclock.Time) *space {
	return &space{
		id: newSpaceID(p, e), peer: p, epoch: e, dc: dc,
		heard: now, records: make(map[key]*stored),
	}
}

// part returns the answer to w, or false if the space has no records beyond it. A requester
// that starts from 0 may not even know whose space it is, so it gets an answer even if the
// space is empty.
func (s *space) part(w Want) (Part, bool) {
	reset := w.From > 0 && w.From < s.floor && w.Floor < s.floor
	from := w.From
	if reset {
		from = 0
	}
	if from > 0 && from >= s.version {
		return Part{}, false
	}
	p := s.header(from)
	p.Reset = reset
	p.Records = s.after(from)
	if len(p.Records) > maxPartRecords {
		p.Records = p.Records[:maxPartRecords]
		p.To = p.Records[maxPartRecords-1].Version
	}
	p.pack()
	return p, true
}

// want returns the Want for what the copy lacks.
func (s *space) want() Want {
	return Want{Space: s.id, From: s.version, Floor: s.floor}
}

// header returns a part without records, from a version up to the newest.
func (s *space) header(from uint64) Part {
	return Part{
		Space: s.id, Peer: s.peer, Epoch: s.epoch, DataCentre: s.dc,
		From: from, To: s.version, Last: s.version, Floor: s.floor,
	}
}

// after returns the records with versions above from, in order of version.
func (s *space) after(from uint64) []Record {
	var list []Record
	for _, r := range s.records {
		if r.Version > from && !r.stale {
			list = append(list, r.Record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Version, b.Version) })
	return list
}

// merge adds a part to the copy and returns the keys that it changed. It returns false,
// without changes, if versions before the part are missing.
func (s *space) merge(now tackclock.Time, p Part) (touched []key, ok bool) {
	if p.Reset && p.Floor > s.floor {
		s.reset(p.Floor)
	}
	if p.From > s.version {
		return nil, false
	}
	for _, r := range p.Records {
		if r.Version > s.version {
			s.records[r.key()] = &stored{Record: r, since: now}
			touched = append(touched, r.key())
		}
	}
	s.version = max(s.version, p.To)
	if s.resetting && s.version >= p.Last {
		touched = append(touched, s.dropStale()...)
	}
	return touched, true
}

// reset makes the copy start again from version 0. A peer that was cut off for longer than
// tombstones are kept would otherwise never learn that records have ended, and would show a
// backend server forever that no other peer has.
func (s *space) reset(floor uint64) {
	for _, r := range s.records {
		r.stale = true
	}
	s.version = 0
	s.floor = max(s.floor, floor)
	s.resetting = true
}

// dropStale removes the records that the reset did not confirm.
func (s *space) dropStale() []key {
	var gone []key
	for k, r := range s.records {
		if r.stale {
			delete(s.records, k)
			gone = append(gone, k)
		}
	}
	s.resetting = false
	return gone
}

// purge removes expired tombstones and returns their keys.
func (s *space) purge(now tackclock.Time) []key {
	var gone []key
	for k, r := range s.records {
		if !r.held() && now.Sub(r.since) >= tombstoneAge {
			s.floor = max(s.floor, r.Version)
			delete(s.records, k)
			gone = append(gone, k)
		}
	}
	return gone
}
