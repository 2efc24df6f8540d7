// Package tackburn keeps account of service levels: how many requests were
// answered whole and on time, and how fast the error budget of each service
// is used up. It is a state machine that the replicated log drives.
package tackburn

import (
	"auburntack/core/tackclock"
)

// State is the account. Its zero value is empty. It is not safe for
// concurrent use.
type State struct {
	samples int
}

// Apply takes in a sample at the time of its log entry.
func (s *State) Apply(now tackclock.Time, sample Sample) { s.samples++ }

// Report returns the account as it stands at now.
func (s *State) Report(now tackclock.Time, cfg Settings) Report { return Report{Time: now} }

// Snapshot returns the state in CBOR. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the state by one that Snapshot returned.
func (s *State) Restore(data []byte) error { return nil }
