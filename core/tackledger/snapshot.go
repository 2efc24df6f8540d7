package tackledger

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"unique"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const snapshotVersion = 1

type (
	// VersionError reports a snapshot version that this program can't read.
	VersionError struct {
		Version int
	}

	snapshot struct {
		Version   int                        `cbor:"1,keyasint"`
		Revision  tackid.Revision            `cbor:"2,keyasint"`
		Now       tackclock.Time             `cbor:"3,keyasint"`
		Instances map[tackid.Peer]InstanceID `cbor:"4,keyasint"`
		Records   []savedRecord              `cbor:"5,keyasint"`
	}

	// savedRecord is a record with the digest of its ID.
	savedRecord struct {
		Digest      digest          `cbor:"1,keyasint"`
		Team        tackid.Team     `cbor:"2,keyasint,omitempty"`
		Fingerprint digest          `cbor:"3,keyasint"`
		Request     digest          `cbor:"4,keyasint"`
		Peer        tackid.Peer     `cbor:"5,keyasint,omitempty"`
		Instance    InstanceID      `cbor:"6,keyasint,omitempty"`
		Begun       tackclock.Time  `cbor:"7,keyasint"`
		Until       tackclock.Time  `cbor:"8,keyasint,omitempty"`
		Ended       tackclock.Time  `cbor:"9,keyasint,omitempty"`
		Revision    tackid.Revision `cbor:"10,keyasint"`
		Finished    tackid.Revision `cbor:"11,keyasint,omitempty"`
		Outcome     Outcome         `cbor:"12,keyasint,omitempty"`
		Answer      *Answer         `cbor:"13,keyasint,omitempty"`
	}
)

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackledger: snapshot version %d, this program reads up to %d", e.Version, snapshotVersion)
}

// Snapshot returns the state as CBOR. Two states that applied the same changes
// have the same encoding.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{
		Version:   snapshotVersion,
		Revision:  s.revision,
		Now:       s.now,
		Instances: s.instances,
		Records:   make([]savedRecord, 0, len(s.records)),
	}
	if out.Instances == nil {
		out.Instances = make(map[tackid.Peer]InstanceID)
	}
	for d, r := range s.records {
		out.Records = append(out.Records, r.save(d))
	}
	slices.SortFunc(out.Records, compareSaved)
	data, err := tackcbor.MarshalDeterministic(out)
	if err != nil {
		return nil, fmt.Errorf("tackledger: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state, except the limits, by that of a snapshot. The error
// is a *VersionError if the snapshot has a later version.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if err := tackcbor.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("tackledger: decode snapshot: %w", err)
	}
	if in.Version > snapshotVersion {
		return &VersionError{Version: in.Version}
	}
	*s = State{Limits: s.Limits}
	s.advance(in.Revision, in.Now)
	for peer, instance := range in.Instances {
		s.instances[peer] = instance
	}
	for i := range in.Records {
		s.restore(&in.Records[i])
	}
	s.requeueAnswers(in.Records)
	return nil
}

// restore adds one record from a snapshot.
func (s *State) restore(v *savedRecord) {
	r := &record{
		team:        unique.Make(v.Team),
		peer:        unique.Make(v.Peer),
		fingerprint: v.Fingerprint,
		request:     v.Request,
		instance:    v.Instance,
		begun:       v.Begun,
		until:       v.Until,
		ended:       v.Ended,
		revision:    v.Revision,
		finished:    v.Finished,
		outcome:     v.Outcome,
		answer:      v.Answer,
	}
	s.records[v.Digest] = r
	s.teams[v.Team]++
	if r.answer != nil {
		s.bytes += r.answer.size()
	}
	if r.outcome == OutcomeDidNotRun {
		s.released.push(entry{v.Digest, v.Revision, v.Ended})
		return
	}
	s.begun.push(entry{v.Digest, v.Revision, v.Begun})
}

// requeueAnswers queues the answers in the order in which they were recorded.
func (s *State) requeueAnswers(records []savedRecord) {
	var answered []*savedRecord
	for i := range records {
		if records[i].Answer != nil {
			answered = append(answered, &records[i])
		}
	}
	slices.SortFunc(answered, func(a, b *savedRecord) int { return cmp.Compare(a.Finished, b.Finished) })
	for _, v := range answered {
		s.answered.push(entry{v.Digest, v.Revision, v.Ended})
	}
}

// save returns the record in its encoded form.
func (r *record) save(d digest) savedRecord {
	return savedRecord{
		Digest:      d,
		Team:        r.team.Value(),
		Fingerprint: r.fingerprint,
		Request:     r.request,
		Peer:        r.peer.Value(),
		Instance:    r.instance,
		Begun:       r.begun,
		Until:       r.until,
		Ended:       r.ended,
		Revision:    r.revision,
		Finished:    r.finished,
		Outcome:     r.outcome,
		Answer:      r.answer,
	}
}

// compareSaved orders records as in their queues, then by digest.
func compareSaved(a, b savedRecord) int {
	if c := cmp.Compare(a.Revision, b.Revision); c != 0 {
		return c
	}
	return bytes.Compare(a.Digest[:], b.Digest[:])
}
