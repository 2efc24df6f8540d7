package tackburn

import (
	"cmp"
	"fmt"
	"slices"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// snapshotVersion is the version of the encoding that Snapshot writes.
const snapshotVersion = 1

type (
	// VersionError reports a snapshot version that Restore can't read.
	VersionError struct {
		Version int
	}

	snapshot struct {
		Version  int              `cbor:"1,keyasint"`
		Day      int64            `cbor:"2,keyasint,omitempty"`
		Services []seriesSnapshot `cbor:"3,keyasint,omitempty"`
		Teams    []seriesSnapshot `cbor:"4,keyasint,omitempty"`
		Labels   []seriesSnapshot `cbor:"5,keyasint,omitempty"`
		Peers    []peerSnapshot   `cbor:"6,keyasint,omitempty"`
	}

	peerSnapshot struct {
		Peer     tackid.Peer `cbor:"1,keyasint"`
		Sequence uint64      `cbor:"2,keyasint"`
	}

	seriesSnapshot struct {
		Name    string           `cbor:"1,keyasint"`
		Last    tackclock.Time   `cbor:"2,keyasint"`
		Buckets []bucketSnapshot `cbor:"3,keyasint"`
	}

	// bucketSnapshot identifies its ring by the width, so that a later version
	// can have other rings and skip the buckets of unknown ones.
	bucketSnapshot struct {
		_      struct{} `cbor:",toarray"`
		Width  tackclock.Duration
		Number int64
		Good   uint64
		Late   uint64
		Refuse uint64
		Lost   uint64
		Wave   uint64
		Millis uint64
	}
)

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackburn: snapshot of version %d, want %d", e.Version, snapshotVersion)
}

// Snapshot returns the state as CBOR. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	data, err := tackcbor.Marshal(snapshot{
		Version:  snapshotVersion,
		Day:      s.day,
		Services: s.services.snapshot(),
		Teams:    s.teams.snapshot(),
		Labels:   s.labels.snapshot(),
		Peers:    s.peerSnapshots(),
	})
	if err != nil {
		return nil, fmt.Errorf("tackburn: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by that of a snapshot. The error is a *VersionError
// if the snapshot has another version. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := tackcbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("tackburn: decode snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return &VersionError{Version: snap.Version}
	}
	*s = State{day: snap.Day}
	s.services.restore(snap.Services)
	s.teams.restore(snap.Teams)
	s.labels.restore(snap.Labels)
	if len(snap.Peers) > 0 {
		s.peers = make(map[tackid.Peer]uint64, len(snap.Peers))
	}
	for _, p := range snap.Peers {
		s.peers[p.Peer] = p.Sequence
	}
	return nil
}

func (s *State) peerSnapshots() []peerSnapshot {
	list := make([]peerSnapshot, 0, len(s.peers))
	for p, n := range s.peers {
		list = append(list, peerSnapshot{Peer: p, Sequence: n})
	}
	slices.SortFunc(list, func(a, b peerSnapshot) int { return cmp.Compare(a.Peer, b.Peer) })
	return list
}

func (t table[N]) snapshot() []seriesSnapshot {
	list := make([]seriesSnapshot, 0, len(t))
	for name, s := range t {
		list = append(list, seriesSnapshot{Name: string(name), Last: s.last, Buckets: s.snapshot()})
	}
	slices.SortFunc(list, func(a, b seriesSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (t *table[N]) restore(list []seriesSnapshot) {
	if len(list) == 0 {
		return
	}
	*t = make(table[N], len(list))
	for _, l := range list {
		s := &series{last: l.Last}
		for _, b := range l.Buckets {
			s.restore(b)
		}
		(*t)[N(l.Name)] = s
	}
}

// snapshot returns the buckets that are current at the time of the last sample,
// in an order that does not depend on their positions in the rings.
func (s *series) snapshot() []bucketSnapshot {
	var list []bucketSnapshot
	for i := range s.rings {
		for _, p := range s.points(i, s.last) {
			c := p.Counts
			list = append(list, bucketSnapshot{
				Width: p.Width, Number: int64(p.Start) / int64(p.Width),
				Good: c.Good, Late: c.Late, Refuse: c.Refused, Lost: c.Lost, Wave: c.Wave, Millis: c.LatencyMS,
			})
		}
	}
	return list
}

func (s *series) restore(b bucketSnapshot) {
	for i, shape := range ringShapes {
		if shape.width != b.Width || b.Number < 0 {
			continue
		}
		at := tackclock.Time(b.Number * int64(b.Width))
		s.bucket(i, at).counts = Counts{
			Good: b.Good, Late: b.Late, Refused: b.Refuse, Lost: b.Lost, Wave: b.Wave, LatencyMS: b.Millis,
		}
	}
}
