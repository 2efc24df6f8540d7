package tackfleet

import (
	"fmt"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tackrollout"
	"auburntack/core/tackroster"
	"auburntack/core/tacktask"
)

// snapshotVersion is the version of the encoding. A reader ignores unknown
// fields, so the version changes only if the meaning of a field changes.
const snapshotVersion = 1

type (
	// snapshot is the encoding of a State. Every list has a fixed order, so
	// that equal states give equal bytes.
	snapshot struct {
		Version  int                  `cbor:"1,keyasint"`
		Revision tackid.Revision      `cbor:"2,keyasint"`
		Now      tackclock.Time       `cbor:"3,keyasint"`
		Roster   tackroster.Snapshot  `cbor:"4,keyasint"`
		Rollouts tackrollout.Snapshot `cbor:"5,keyasint"`
		Tasks    tacktask.Snapshot    `cbor:"6,keyasint"`
		Settings []Setting            `cbor:"7,keyasint,omitempty"`
		Events   []Event              `cbor:"8,keyasint,omitempty"`
		Answers  []storedAnswer       `cbor:"9,keyasint,omitempty"`
	}

	// storedAnswer is a command id with its answer.
	storedAnswer struct {
		ID     tackid.CommandID `cbor:"1,keyasint"`
		Time   tackclock.Time   `cbor:"2,keyasint"`
		Answer answer           `cbor:"3,keyasint"`
	}

	// VersionError reports a snapshot that this version can't read.
	VersionError struct {
		Version int
	}
)

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackfleet: snapshot has version %d, want %d", e.Version, snapshotVersion)
}

// Snapshot returns the state in CBOR. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	data, err := tackcbor.Marshal(snapshot{
		Version:  snapshotVersion,
		Revision: s.at.Revision,
		Now:      s.at.Time,
		Roster:   s.roster.Snapshot(),
		Rollouts: s.rollouts.Snapshot(),
		Tasks:    s.tasks.Snapshot(),
		Settings: s.settings.Values(),
		Events:   s.events,
		Answers:  s.storedAnswers(),
	})
	if err != nil {
		return nil, fmt.Errorf("tackfleet: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot. If it returns an error the state is
// unchanged. The error is a *VersionError for a snapshot of another version.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := tackcbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("tackfleet: decode snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return &VersionError{Version: snap.Version}
	}
	*s = State{at: tackentry.At{Revision: snap.Revision, Time: snap.Now}, events: snap.Events}
	s.roster.Restore(snap.Roster)
	s.rollouts.Restore(snap.Rollouts)
	s.tasks.Restore(snap.Tasks)
	for _, v := range snap.Settings {
		s.settings.Put(v.Key, v)
	}
	for _, a := range snap.Answers {
		s.answers.Put(a.Time, a.ID, a.Answer)
	}
	return nil
}

func (s *State) storedAnswers() []storedAnswer {
	var answers []storedAnswer
	for _, stamp := range s.answers.Stamps() {
		a, _ := s.answers.Get(stamp.Key)
		answers = append(answers, storedAnswer{ID: stamp.Key, Time: stamp.Time, Answer: a})
	}
	return answers
}
