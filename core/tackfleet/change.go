package tackfleet

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

const (
	// CodeBudget refuses what would break an availability budget.
	CodeBudget Code = "budget"
	// CodeStale refuses a command whose expected revision has passed.
	CodeStale Code = "stale_revision"
	// CodeExists refuses to create what exists.
	CodeExists Code = "exists"
	// CodeMissing refuses to change what does not exist.
	CodeMissing Code = "not_found"
	// CodeInUse refuses to take what something else holds.
	CodeInUse Code = "in_use"
	// CodeState refuses what the thing's state does not allow.
	CodeState Code = "wrong_state"
	// CodeInvalid refuses a value out of range.
	CodeInvalid Code = "invalid"
	// CodeQuota refuses what goes beyond a team's quota.
	CodeQuota Code = "quota"
	// CodeReused refuses a command id that came with another command.
	CodeReused Code = "command_id_reused"
)

type (
	// Code says in one word why a command was refused.
	Code string

	// Change is what one log entry asks of the fleet: exactly one of Command,
	// which an operator gave, and the others, which the leader proposes from
	// what it sees. A WaveStep takes all of its VMs or none. Of the lists,
	// each item stands for itself: one that no longer fits, because a command
	// came first, is passed over and counted by Result.PassedOver, and the
	// change is refused only if none took effect.
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

	// Observation tells what the announcements say of one VM.
	Observation struct {
		VM           tackid.VM         `cbor:"1,keyasint"`
		DataCentre   tackid.DataCentre `cbor:"2,keyasint,omitempty"`
		Rack         tackid.Rack       `cbor:"3,keyasint,omitempty"`
		Cores        int               `cbor:"4,keyasint,omitempty"`
		MemoryMB     int               `cbor:"5,keyasint,omitempty"`
		Health       Health            `cbor:"6,keyasint,omitempty"`
		Accelerators int               `cbor:"7,keyasint,omitempty"`
	}

	// WaveStep takes VMs out of service for a wave. All of them are drained,
	// or none where a budget forbids it.
	WaveStep struct {
		Wave tackid.Wave `cbor:"1,keyasint"`
		VMs  []tackid.VM `cbor:"2,keyasint"`
	}

	// WavePhase takes one VM to the next phase of a wave.
	WavePhase struct {
		Wave      tackid.Wave      `cbor:"1,keyasint"`
		VM        tackid.VM        `cbor:"2,keyasint"`
		Phase     Phase            `cbor:"3,keyasint"`
		Operation tackid.Operation `cbor:"4,keyasint,omitempty"`
	}

	// WaveEnd ends or stops a wave.
	WaveEnd struct {
		Wave   tackid.Wave `cbor:"1,keyasint"`
		Status WaveStatus  `cbor:"2,keyasint"`
		Reason string      `cbor:"3,keyasint,omitempty"`
	}

	// TaskChange takes one task to the next state. Tries counts up when
	// State is TaskRunning.
	TaskChange struct {
		Task         tackid.Task `cbor:"1,keyasint"`
		State        TaskState   `cbor:"2,keyasint"`
		Worker       tackid.VM   `cbor:"3,keyasint,omitempty"`
		Reason       string      `cbor:"4,keyasint,omitempty"`
		Checkpointed bool        `cbor:"5,keyasint,omitempty"`
	}

	// Result is what applying a change came to. Revision is where the change
	// stands; for a command that was sent before, it is the first one's.
	// Refused is nil for an accepted change.
	Result struct {
		Revision   tackid.Revision
		Repeated   bool
		Refused    *RefusedError
		PassedOver int
	}

	// RefusedError says why a change was refused. Nothing was done.
	RefusedError struct {
		Code   Code            `cbor:"1,keyasint"`
		Reason string          `cbor:"2,keyasint"`
		At     tackid.Revision `cbor:"3,keyasint,omitempty"`
	}

	// Event is one line of the history.
	Event struct {
		Revision tackid.Revision  `cbor:"1,keyasint"`
		Time     tackclock.Time   `cbor:"2,keyasint"`
		ID       tackid.CommandID `cbor:"3,keyasint,omitempty"`
		Text     string           `cbor:"4,keyasint"`
		VMs      []tackid.VM      `cbor:"5,keyasint,omitempty"`
		Key      string           `cbor:"6,keyasint,omitempty"`
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s: %s", e.Code, e.Reason)
}
