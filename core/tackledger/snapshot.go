package tackledger

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const snapshotVersion = 1

type (
	// VersionError reports a snapshot of a version that this program can't
	// read.
	VersionError struct {
		Version int
	}

	snapshot struct {
		Version  int                  `cbor:"1,keyasint"`
		Revision tackid.Revision      `cbor:"2,keyasint"`
		Now      tackclock.Time       `cbor:"3,keyasint"`
		Lives    map[tackid.Peer]Life `cbor:"4,keyasint"`
		Records  []savedRecord        `cbor:"5,keyasint"`
	}

	// savedRecord is a record with its places in the queues.
	savedRecord struct {
		At          slot             `cbor:"1,keyasint"`
		Team        tackid.Team      `cbor:"2,keyasint,omitempty"`
		Fingerprint Fingerprint      `cbor:"3,keyasint"`
		Request     tackid.RequestID `cbor:"4,keyasint"`
		Peer        tackid.Peer      `cbor:"5,keyasint,omitempty"`
		Life        Life             `cbor:"6,keyasint,omitempty"`
		Begun       tackclock.Time   `cbor:"7,keyasint"`
		Until       tackclock.Time   `cbor:"8,keyasint,omitempty"`
		Revision    tackid.Revision  `cbor:"9,keyasint"`
		Outcome     Outcome          `cbor:"10,keyasint,omitempty"`
		Answer      *Answer          `cbor:"11,keyasint,omitempty"`
		Released    tackclock.Time   `cbor:"12,keyasint,omitempty"`
		Answered    int              `cbor:"13,keyasint,omitempty"`
	}
)

var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackledger: snapshot version %d, this program reads up to %d", e.Version, snapshotVersion)
}

// Snapshot returns the state as CBOR. Two states that applied the same changes
// give the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	saved := make(map[slot]*savedRecord, len(s.records))
	for at, r := range s.records {
		saved[at] = r.save(at)
	}
	for _, e := range s.released.entries[s.released.first:] {
		if v := saved[e.at]; v != nil && v.Revision == e.revision {
			v.Released = e.time
		}
	}
	for i, e := range s.answered.entries[s.answered.first:] {
		if v := saved[e.at]; v != nil && v.Revision == e.revision {
			v.Answered = i + 1
		}
	}
	out := snapshot{Version: snapshotVersion, Revision: s.revision, Now: s.now, Lives: s.lives}
	if out.Lives == nil {
		out.Lives = make(map[tackid.Peer]Life)
	}
	for _, v := range saved {
		out.Records = append(out.Records, *v)
	}
	slices.SortFunc(out.Records, compareSaved)
	numberAnswered(out.Records)
	data, err := encoding.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("tackledger: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by that of a snapshot; the limits stay. The error
// is a *VersionError for a snapshot of a later program.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if err := cbor.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("tackledger: decode snapshot: %w", err)
	}
	if in.Version > snapshotVersion {
		return &VersionError{Version: in.Version}
	}
	*s = State{Limits: s.Limits}
	s.advance(in.Revision, in.Now)
	for peer, life := range in.Lives {
		s.lives[peer] = life
	}
	for i := range in.Records {
		s.restore(&in.Records[i])
	}
	s.requeue(in.Records)
	return nil
}

// restore puts one record back.
func (s *State) restore(v *savedRecord) {
	r := &record{
		team:        v.Team,
		fingerprint: v.Fingerprint,
		request:     v.Request,
		peer:        v.Peer,
		life:        v.Life,
		begun:       v.Begun,
		until:       v.Until,
		revision:    v.Revision,
		outcome:     v.Outcome,
		answer:      v.Answer,
	}
	s.records[v.At] = r
	s.teams[r.team]++
	if r.answer != nil {
		s.bytes += r.answer.size()
	}
	if v.Released == 0 {
		s.begun.push(entry{v.At, v.Revision, v.Begun})
	}
}

// requeue fills the queues that are not in the order of the records.
func (s *State) requeue(records []savedRecord) {
	var answered, released []savedRecord
	for _, v := range records {
		if v.Answered > 0 {
			answered = append(answered, v)
		}
		if v.Released > 0 {
			released = append(released, v)
		}
	}
	slices.SortFunc(answered, func(a, b savedRecord) int { return cmp.Compare(a.Answered, b.Answered) })
	slices.SortFunc(released, func(a, b savedRecord) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, v := range answered {
		s.answered.push(entry{v.At, v.Revision, v.Begun})
	}
	for _, v := range released {
		s.released.push(entry{v.At, v.Revision, v.Released})
	}
}

// save returns the record in the snapshot's form.
func (r *record) save(at slot) *savedRecord {
	return &savedRecord{
		At:          at,
		Team:        r.team,
		Fingerprint: r.fingerprint,
		Request:     r.request,
		Peer:        r.peer,
		Life:        r.life,
		Begun:       r.begun,
		Until:       r.until,
		Revision:    r.revision,
		Outcome:     r.outcome,
		Answer:      r.answer,
	}
}

// compareSaved orders records by their Begin, then by slot.
func compareSaved(a, b savedRecord) int {
	if c := cmp.Compare(a.Revision, b.Revision); c != 0 {
		return c
	}
	return bytes.Compare(a.At[:], b.At[:])
}

// numberAnswered renumbers the answers from 1 without gaps. The queue of one
// state may hold void entries that a restored one lacks; with gaps, the two
// would give different bytes.
func numberAnswered(records []savedRecord) {
	order := make([]int, 0, len(records))
	for i := range records {
		if records[i].Answered > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(records[a].Answered, records[b].Answered) })
	for n, i := range order {
		records[i].Answered = n + 1
	}
}
