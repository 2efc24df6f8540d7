package tackfleet

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

type (
	// Change is the content of one log entry. It has exactly one of Command,
	// which an operator gave, and the fields after it, which the leader
	// proposes. A WaveStep takes all of its VMs or none. The items of a list
	// are independent: an item that is no longer valid, because of a command
	// applied earlier, is passed over and counted by Result.Ignored. The
	// change is refused only if no item took effect.
	Change struct {
		ID      tackid.CommandID     `cbor:"1,keyasint,omitempty"`
		Expect  tackid.Revision      `cbor:"2,keyasint,omitempty"`
		Command *tackcommand.Command `cbor:"3,keyasint,omitempty"`

		Observe    []Observation `cbor:"4,keyasint,omitempty"`
		WaveStep   *WaveStep     `cbor:"5,keyasint,omitempty"`
		WavePhases []WavePhase   `cbor:"6,keyasint,omitempty"`
		WaveEnd    *WaveEnd      `cbor:"7,keyasint,omitempty"`
		Drained    []tackid.VM   `cbor:"8,keyasint,omitempty"`
		Joined     []tackid.VM   `cbor:"9,keyasint,omitempty"`
		Tasks      []TaskChange  `cbor:"10,keyasint,omitempty"`
	}

	// Result is the result of applying a change. Revision is the revision of
	// the change, or of the first one for a repeated command. Refused is nil
	// if the change was accepted.
	Result struct {
		Revision tackid.Revision
		Repeated bool
		Refused  *RefusedError
		Ignored  int
	}

	// Setting is one configured value and the revision that set it.
	Setting struct {
		Key      string          `cbor:"1,keyasint"`
		Value    string          `cbor:"2,keyasint"`
		Revision tackid.Revision `cbor:"3,keyasint"`
	}

	// Event is one entry of the history.
	Event struct {
		Revision tackid.Revision  `cbor:"1,keyasint"`
		Time     tackclock.Time   `cbor:"2,keyasint"`
		ID       tackid.CommandID `cbor:"3,keyasint,omitempty"`
		Text     string           `cbor:"4,keyasint"`
		VMs      []tackid.VM      `cbor:"5,keyasint,omitempty"`
		Key      string           `cbor:"6,keyasint,omitempty"`
	}
)
