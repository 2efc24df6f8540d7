package tackmember

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// maxPart is how many records go into one part, which keeps a message
	// under about 8 KB.
	maxPart = 64

	// stubAge is how long a record that is no longer held is kept, so that
	// what arrives late cannot bring its incarnation back.
	stubAge = tackclock.Hour
)

const (
	// standingHeard is that of a space whose owner's beats arrive.
	standingHeard standing = iota
	// standingWaiting is that of a space whose owner fell silent so lately
	// that its backend servers may not have found another peer yet.
	standingWaiting
	// standingUnknown is that of a space of which nobody can say whether what
	// it holds still announces itself.
	standingUnknown
	// standingEnded is that of a space whose holdings are given up.
	standingEnded
)

type (
	// space is what one life of one peer has said. Its owner numbers each
	// change with the next version; every other peer has a copy, from which
	// it passes on what a third one lacks.
	space struct {
		id         SpaceID
		peer       tackid.Peer
		epoch      Epoch
		dc         tackid.DataCentre
		version    uint64
		floor      uint64 // ended records up to this version may be missing
		beat       uint64
		heard      tackclock.Time // when beat rose
		changed    tackclock.Time // when a copy last took something in
		superseded tackclock.Time // when a later life, or the removal, showed; 0 before
		standing   standing
		resetting  bool
		records    map[key]*stored
	}

	// stored is a record with what is known of it here only.
	stored struct {
		Record
		since  tackclock.Time     // when it came
		heard  tackclock.Time     // owner: when its sender announced itself last
		within tackclock.Duration // owner: what its sender was told then
		stale  bool               // not confirmed since a reset began
	}

	// standing is how far what a space holds can be relied on.
	standing uint8
)

func newSpace(p tackid.Peer, e Epoch, dc tackid.DataCentre, now tackclock.Time) *space {
	return &space{
		id: newSpaceID(p, e), peer: p, epoch: e, dc: dc,
		heard: now, records: make(map[key]*stored),
	}
}

// part answers w, or returns false when the space has nothing beyond it. One
// who asks from the start may not even know whose space it is, and gets an
// answer also when the space is empty.
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
	if len(p.Records) > maxPart {
		p.Records = p.Records[:maxPart]
		p.To = p.Records[maxPart-1].Version
	}
	p.pack()
	return p, true
}

// want returns the Want for what the copy lacks.
func (s *space) want() Want {
	return Want{Space: s.id, From: s.version, Floor: s.floor}
}

// header returns a part from a version up to the newest, without records.
func (s *space) header(from uint64) Part {
	return Part{
		Space: s.id, Peer: s.peer, Epoch: s.epoch, DataCentre: s.dc,
		From: from, To: s.version, Last: s.version, Floor: s.floor,
	}
}

// after returns the records with versions above from, in their order.
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

// take puts a part into the copy and returns what it touched. It returns
// false, and does nothing, when something is missing before the part.
func (s *space) take(now tackclock.Time, p Part) (touched []key, ok bool) {
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
		touched = append(touched, s.sweep()...)
	}
	return touched, true
}

// reset makes the copy be taken anew. A peer that was cut off for longer than
// ended records are kept would otherwise never learn that they ended: it
// would show a backend server for ever that no other peer has.
func (s *space) reset(floor uint64) {
	for _, r := range s.records {
		r.stale = true
	}
	s.version = 0
	s.floor = max(s.floor, floor)
	s.resetting = true
}

// sweep drops what the reset did not confirm.
func (s *space) sweep() []key {
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

// purge drops records that ended long ago and returns them.
func (s *space) purge(now tackclock.Time) []key {
	var gone []key
	for k, r := range s.records {
		if !r.held() && now.Sub(r.since) >= stubAge {
			s.floor = max(s.floor, r.Version)
			delete(s.records, k)
			gone = append(gone, k)
		}
	}
	return gone
}
