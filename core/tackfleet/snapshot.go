package tackfleet

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacktable"

	"github.com/fxamacker/cbor/v2"
)

// snapshotVersion is the version of the encoding. A reader passes over fields
// that it does not know, so only a change of meaning needs another version.
const snapshotVersion = 1

type (
	// snapshot is the encoding of a State. Every list is in a settled order,
	// so that equal states give equal bytes.
	snapshot struct {
		Version  int             `cbor:"1,keyasint"`
		Revision tackid.Revision `cbor:"2,keyasint"`
		Now      tackclock.Time  `cbor:"3,keyasint"`
		VMs      []VM            `cbor:"4,keyasint,omitempty"`
		Pools    []Pool          `cbor:"5,keyasint,omitempty"`
		Services []Service       `cbor:"6,keyasint,omitempty"`
		Quotas   []Quota         `cbor:"7,keyasint,omitempty"`
		Settings []Setting       `cbor:"8,keyasint,omitempty"`
		Waves    []Wave          `cbor:"9,keyasint,omitempty"`
		Tasks    []Task          `cbor:"10,keyasint,omitempty"`
		Events   []Event         `cbor:"11,keyasint,omitempty"`
		Answers  []storedAnswer  `cbor:"12,keyasint,omitempty"`
		Removed  []stored        `cbor:"13,keyasint,omitempty"`
		EndTasks []stored        `cbor:"14,keyasint,omitempty"`
		EndWaves []stored        `cbor:"15,keyasint,omitempty"`
	}

	// stored is a key that ends by age.
	stored struct {
		Key  string         `cbor:"1,keyasint"`
		Time tackclock.Time `cbor:"2,keyasint"`
	}

	// storedAnswer is a command id and what it was answered with.
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
	data, err := cbor.Marshal(snapshot{
		Version:  snapshotVersion,
		Revision: s.revision,
		Now:      s.now,
		VMs:      s.vms.Values(),
		Pools:    s.pools.Values(),
		Services: s.services.Values(),
		Quotas:   s.quotas.Values(),
		Settings: s.settings.Values(),
		Waves:    s.waves.Values(),
		Tasks:    s.tasks.Values(),
		Events:   s.events,
		Answers:  s.storedAnswers(),
		Removed:  storedKeys(&s.removed),
		EndTasks: storedKeys(&s.endedTasks),
		EndWaves: storedKeys(&s.endedWaves),
	})
	if err != nil {
		return nil, fmt.Errorf("tackfleet: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot. On an error the state is left as
// it was; a snapshot of another version is a *VersionError.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("tackfleet: decode snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return &VersionError{Version: snap.Version}
	}
	*s = snap.state()
	return nil
}

// state builds the state with all that is worked out from the snapshot.
func (snap *snapshot) state() State {
	s := State{revision: snap.Revision, now: snap.Now, events: snap.Events}
	for _, p := range snap.Pools {
		s.pools.Put(p.ID, p)
	}
	for _, v := range snap.VMs {
		s.vms.Put(v.ID, v)
		s.enlist(v.Pool, v.ID)
	}
	for _, v := range snap.Services {
		s.services.Put(v.ID, v)
	}
	for _, q := range snap.Quotas {
		s.quotas.Put(q.Team, q)
	}
	for _, v := range snap.Settings {
		s.settings.Put(v.Key, v)
	}
	for _, w := range snap.Waves {
		s.waves.Put(w.ID, w)
	}
	for _, t := range snap.Tasks {
		s.tasks.Put(t.ID, t)
		if t.State == TaskRunning {
			s.countRunning(&t, 1)
		}
	}
	for _, a := range snap.Answers {
		s.answers.Put(a.Time, a.ID, a.Answer)
	}
	restoreKeys(&s.removed, snap.Removed)
	restoreKeys(&s.endedTasks, snap.EndTasks)
	restoreKeys(&s.endedWaves, snap.EndWaves)
	return s
}

func (s *State) storedAnswers() []storedAnswer {
	var answers []storedAnswer
	for _, stamp := range s.answers.Stamps() {
		a, _ := s.answers.Get(stamp.Key)
		answers = append(answers, storedAnswer{ID: stamp.Key, Time: stamp.Time, Answer: a})
	}
	return answers
}

func storedKeys[K ~string](r *tacktable.Recent[K, struct{}]) []stored {
	var keys []stored
	for _, stamp := range r.Stamps() {
		keys = append(keys, stored{Key: string(stamp.Key), Time: stamp.Time})
	}
	return keys
}

func restoreKeys[K ~string](r *tacktable.Recent[K, struct{}], keys []stored) {
	for _, k := range keys {
		r.Put(k.Time, K(k.Key), struct{}{})
	}
}
