// Package tackstate combines the state machines that are driven by one replicated log: the
// fleet, the ledger of idempotency records and the service levels. It defines the contents
// of log entries and of snapshots.
package tackstate

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"auburntack/core/tackburn"
	"auburntack/core/tackcbor"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackreplica"
)

// snapshotVersion is increased when older programs cannot read a newer snapshot.
const (
	snapshotVersion = 1
	// maxSnapshotBytes bounds the decompressed size of a snapshot, so that a damaged one
	// cannot exhaust memory.
	maxSnapshotBytes = 1 << 30
)

type (
	// Proposal is the data of a log entry: exactly one of Fleet, Ledger and Burn. Origin is
	// the peer that proposed it, and Serial identifies the caller on that peer that waits
	// for the outcome.
	Proposal struct {
		Origin tackid.Peer        `cbor:"1,keyasint"`
		Serial uint64             `cbor:"2,keyasint"`
		Fleet  *tackfleet.Change  `cbor:"3,keyasint,omitempty"`
		Ledger *tackledger.Change `cbor:"4,keyasint,omitempty"`
		Burn   *tackburn.Sample   `cbor:"5,keyasint,omitempty"`
	}

	// Outcome is the result of applying a proposal. Fleet or Claim is set, depending on
	// whether the proposal was for the fleet or the ledger.
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

	// EntryError reports an entry that cannot be decoded. Entries are verified when they
	// are written and sent, so a peer that finds one must stop.
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
	return fmt.Sprintf("tackstate: entry %d: %v", e.Index, e.Err)
}

// Unwrap returns the underlying error.
func (e *EntryError) Unwrap() error {
	return e.Err
}

// Encode encodes the proposal as the data of a log entry.
func (p *Proposal) Encode() ([]byte, error) {
	data, err := tackcbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("tackstate: encode proposal: %w", err)
	}
	return data, nil
}

// Apply applies a committed entry and returns its proposal and the outcome. Entries of
// other kinds than EntryNormal have no effect. The error is an *EntryError.
func (s *State) Apply(e tackreplica.Entry) (Proposal, Outcome, error) {
	var p Proposal
	out := Outcome{Revision: e.Index}
	if e.Kind != tackreplica.EntryNormal {
		return p, out, nil
	}
	if err := tackcbor.Unmarshal(e.Data, &p); err != nil {
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
		return nil, fmt.Errorf("tackstate: encode fleet: %w", err)
	}
	ledger, err := s.Ledger.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("tackstate: encode ledger: %w", err)
	}
	burn, err := s.Burn.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("tackstate: encode service levels: %w", err)
	}
	return pack(snapshot{Version: snapshotVersion, Fleet: fleet, Ledger: ledger, Burn: burn})
}

// pack encodes and compresses a snapshot. A new VM of the system receives all of it over a
// link on which control traffic is rate-limited, and most of it is names that repeat in the
// record of every VM.
func pack(s snapshot) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("tackstate: compress snapshot: %w", err)
	}
	if err := tackcbor.Encode(w, s); err != nil {
		return nil, fmt.Errorf("tackstate: compress snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("tackstate: compress snapshot: %w", err)
	}
	return packed.Bytes(), nil
}

func unpack(data []byte) (snapshot, error) {
	var s snapshot
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return s, fmt.Errorf("tackstate: decompress snapshot: %w", err)
	}
	if err := tackcbor.Unmarshal(plain, &s); err != nil {
		return s, fmt.Errorf("tackstate: decode snapshot: %w", err)
	}
	return s, nil
}

// Restore replaces the state by the contents of a snapshot.
func (s *State) Restore(data []byte) error {
	snap, err := unpack(data)
	if err != nil {
		return err
	}
	if snap.Version > snapshotVersion {
		return fmt.Errorf("tackstate: snapshot version %d, this program reads up to %d", snap.Version, snapshotVersion)
	}
	var next State
	if err := next.Fleet.Restore(snap.Fleet); err != nil {
		return fmt.Errorf("tackstate: restore fleet: %w", err)
	}
	if err := next.Ledger.Restore(snap.Ledger); err != nil {
		return fmt.Errorf("tackstate: restore ledger: %w", err)
	}
	if err := next.Burn.Restore(snap.Burn); err != nil {
		return fmt.Errorf("tackstate: restore service levels: %w", err)
	}
	*s = next
	return nil
}
