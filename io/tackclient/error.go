package tackclient

import (
	"fmt"

	"auburntack/core/tackid"
)

type (
	// SyntaxError reports a text that cannot be read: where, and what was
	// expected there. Line and Column count from 1 and are 0 where unknown.
	SyntaxError struct {
		Line    int
		Column  int
		Message string
	}

	// RefusedError reports a command or query that was understood and turned
	// down. Nothing was done.
	RefusedError struct {
		Code    string
		Message string
	}

	// UnavailableError reports that nothing was done and that it may be tried
	// again. Answered is false where no entry answered at all.
	UnavailableError struct {
		Answered bool
		Message  string
	}

	// UnknownOutcomeError reports a command that was sent and whose answer
	// was lost: it may or may not have taken effect. Sent again with the same
	// ID it takes effect once.
	UnknownOutcomeError struct {
		ID      tackid.CommandID
		Message string
	}
)

// Error implements error.
func (e *SyntaxError) Error() string {
	return "tackclient: " + e.place() + e.Message
}

// place says where the error is, as a server's message may already begin.
func (e *SyntaxError) place() string {
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
