package tackclient

import (
	"fmt"

	"auburntack/core/tackid"
)

type (
	// SyntaxError reports a query or command that can't be parsed, the position
	// of the error and what was expected there. Line and Column start at 1, and
	// are 0 if unknown.
	SyntaxError struct {
		Line    int
		Column  int
		Message string
	}

	// RefusedError reports a query or command that was parsed and refused. It
	// had no effect.
	RefusedError struct {
		Code    string
		Message string
	}

	// UnavailableError reports that the request had no effect and may be tried
	// again. Answered is false if no entry answered.
	UnavailableError struct {
		Answered bool
		Message  string
	}

	// UnknownOutcomeError reports a command that was sent and may or may not
	// have taken effect, since its answer was lost. It can safely be sent again
	// with the same ID.
	UnknownOutcomeError struct {
		ID      tackid.CommandID
		Message string
	}
)

// Error implements error.
func (e *SyntaxError) Error() string {
	return "tackclient: " + e.position() + e.Message
}

// position returns the prefix that names the position of the error. The
// server's message may already start with it.
func (e *SyntaxError) position() string {
	if e.Line == 0 {
		return "cannot be read: "
	}
	return fmt.Sprintf("line %d, column %d: ", e.Line, e.Column)
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tackclient: refused: %s: %s", e.Code, e.Message)
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if !e.Answered {
		return "tackclient: nobody answered: " + e.Message
	}
	return "tackclient: nothing was done, try again later: " + e.Message
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("tackclient: outcome unknown, send again with id %s: %s", e.ID, e.Message)
}
