// Package tackentry defines the types that the state machines of the fleet share: the
// position of the log entry being applied, and the error for a refused command.
package tackentry

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// CodeBudget means that the change would violate an availability budget.
	CodeBudget Code = "budget"
	// CodeStale means that the revision that the command expects is no longer current.
	CodeStale Code = "stale_revision"
	// CodeExists means that the object to create exists already.
	CodeExists Code = "exists"
	// CodeMissing means that the object to change does not exist.
	CodeMissing Code = "not_found"
	// CodeInUse means that another object holds the resource.
	CodeInUse Code = "in_use"
	// CodeState means that the state of the object does not allow the change.
	CodeState Code = "wrong_state"
	// CodeInvalid means that a value is out of range.
	CodeInvalid Code = "invalid"
	// CodeQuota means that the change would exceed the quota of a team.
	CodeQuota Code = "quota"
	// CodeReused means that the command ID was already used for a different command.
	CodeReused Code = "command_id_reused"
)

type (
	// At is the index of the log entry that contains a change, and the time of the entry.
	At struct {
		Revision tackid.Revision
		Time     tackclock.Time
	}

	// Code is the machine-readable reason why a change was refused.
	Code string

	// RefusedError reports that a change was refused and had no effect. For CodeStale, At
	// is the revision that made the command stale.
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

// Refuse returns a RefusedError with a formatted reason.
func Refuse(code Code, format string, args ...any) *RefusedError {
	return &RefusedError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// NameOf returns the name of an enumeration value. A value that a later version has added
// has no name here and is formatted as a number.
func NameOf[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("value_%d", uint8(value))
}
