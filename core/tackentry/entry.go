// Package tackentry is what the parts of the fleet's state machine share: the
// position of the log entry that is being applied, and the refusal of it.
package tackentry

import (
	"fmt"

	"auburntack/core/tackclock"
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
	// At is the position in the log at which a change is applied, and the
	// time of the entry.
	At struct {
		Revision tackid.Revision
		Time     tackclock.Time
	}

	// Code says in one word why a change was refused.
	Code string

	// RefusedError says why a change was refused. Nothing was done. At is the
	// revision that made a command stale.
	RefusedError struct {
		Code   Code            `cbor:"1,keyasint"`
		Reason string          `cbor:"2,keyasint"`
		At     tackid.Revision `cbor:"3,keyasint,omitempty"`
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s: %s", e.Code, e.Reason)
}

// Refuse returns a refusal with a formatted reason.
func Refuse(code Code, format string, args ...any) *RefusedError {
	return &RefusedError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// NameOf returns the name of a value of an enumeration. A value of a later
// version has no name here and is told by its number.
func NameOf[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("value_%d", uint8(value))
}
