// Package tackstate puts together the state machines that one replicated log
// drives: the fleet, the at-most-once records and the service levels. It
// defines what a log entry carries and what a snapshot holds.
package tackstate

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"auburntack/core/tackburn"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackreplica"

	"github.com/fxamacker/cbor/v2"
)

// snapshotVersion is raised when an older reader could not make sense of a
// newer snapshot.
const (
	snapshotVersion = 1
	// snapshotMax bounds what a snapshot may unpack to, so that a damaged one
	// cannot take all memory.
	snapshotMax = 1 << 30
)

type (
	// Proposal is the data of a log entry: exactly one of Fleet, Ledger and
	// Burn. Origin and Serial tell the peer that proposed it which of its
	// callers waits for the outcome.
	Proposal struct {
		Origin tackid.Peer        `cbor:"1,keyasint"`
		Serial uint64             `cbor:"2,keyasint"`
		Fleet  *tackfleet.Change  `cbor:"3,keyasint,omitempty"`
		Ledger *tackledger.Change `cbor:"4,keyasint,omitempty"`
		Burn   *tackburn.Sample   `cbor:"5,keyasint,omitempty"`
	}

	// Outcome is what applying a proposal came to. Fleet or Claim is set as
	// the proposal was for the fleet or the ledger.
	Outcome struct {
		Revision tackid.Revision
		Fleet    tackfleet.Result
		Claim    tackledger.Claim
	}

	// State is the composite state machine. Its zero value is empty. It is
	// not safe for concurrent use.
	State struct {
		Fleet  tackfleet.State
		Ledger tackledger.State
		Burn   tackburn.State
	}

	// EntryError reports an entry that cannot be read. The log was checked
	// when it was written and sent, so a peer that meets one must not go on.
	EntryError struct {
		Index tackid.Revision
		Err   error
	}

	snapshot struct {
		Version int    `cbor:"1,keyasint"`
		Fleet   []byte `cbor:"2,keyasint"`
		Ledger  []byte `cbor:"3,keyasint"`
		Burn    []byte `cbor:"4,keyasint"`
	}
)

// Error implements error.
func (e *EntryError) Error() string {
	return fmt.Sprintf("state: entry %d: %v", e.Index, e.Err)
}

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error {
	return e.Err
}

// Encode returns the proposal as the data of a log entry.
func (p *Proposal) Encode() ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("state: encode proposal: %w", err)
	}
	return data, nil
}

// Apply takes a committed entry into the state and returns the proposal that
// it carried with what came of it. Entries of other kinds change nothing. The
// error is an *EntryError.
func (s *State) Apply(e tackreplica.Entry) (Proposal, Outcome, error) {
	var p Proposal
	out := Outcome{Revision: e.Index}
	if e.Kind != tackreplica.EntryNormal {
		return p, out, nil
	}
	if err := cbor.Unmarshal(e.Data, &p); err != nil {
		return p, out, &EntryError{Index: e.Index, Err: err}
	}
	switch {
	case p.Fleet != nil:
		out.Fleet = s.Fleet.Apply(e.Index, e.Time, *p.Fleet)
	case p.Ledger != nil:
		out.Claim = s.Ledger.Apply(e.Index, e.Time, *p.Ledger)
	case p.Burn != nil:
		s.Burn.Apply(e.Time, *p.Burn)
	}
	return p, out, nil
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	fleet, err := s.Fleet.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("state: snapshot of the fleet: %w", err)
	}
	ledger, err := s.Ledger.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("state: snapshot of the ledger: %w", err)
	}
	burn, err := s.Burn.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("state: snapshot of the service levels: %w", err)
	}
	return pack(snapshot{Version: snapshotVersion, Fleet: fleet, Ledger: ledger, Burn: burn})
}

// pack encodes and deflates a snapshot. A new VM of the system gets the whole
// of it over a link on which control may take only so many bytes a second, and
// names that repeat in every VM's record are most of it.
func pack(s snapshot) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("state: pack snapshot: %w", err)
	}
	if err := cbor.NewEncoder(w).Encode(s); err != nil {
		return nil, fmt.Errorf("state: pack snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("state: pack snapshot: %w", err)
	}
	return packed.Bytes(), nil
}

func unpack(data []byte) (snapshot, error) {
	var s snapshot
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, snapshotMax))
	if err != nil {
		return s, fmt.Errorf("state: unpack snapshot: %w", err)
	}
	if err := cbor.Unmarshal(plain, &s); err != nil {
		return s, fmt.Errorf("state: read snapshot: %w", err)
	}
	return s, nil
}

// Restore replaces the state by what a snapshot holds.
func (s *State) Restore(data []byte) error {
	snap, err := unpack(data)
	if err != nil {
		return err
	}
	if snap.Version > snapshotVersion {
		return fmt.Errorf("state: snapshot has version %d, this program reads up to %d", snap.Version, snapshotVersion)
	}
	var next State
	if err := next.Fleet.Restore(snap.Fleet); err != nil {
		return fmt.Errorf("state: restore the fleet: %w", err)
	}
	if err := next.Ledger.Restore(snap.Ledger); err != nil {
		return fmt.Errorf("state: restore the ledger: %w", err)
	}
	if err := next.Burn.Restore(snap.Burn); err != nil {
		return fmt.Errorf("state: restore the service levels: %w", err)
	}
	*s = next
	return nil
}
