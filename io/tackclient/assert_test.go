package tackclient

import (
	"errors"
	"testing"

	"auburntack/core/tackid"
)

type peer = tackid.Peer

// assertSameError checks that err has the type of want and the same fields,
// but for the message of an outcome, which names an address.
func assertSameError(t *testing.T, err, want error) {
	t.Helper()
	var refused *RefusedError
	var syntax *SyntaxError
	var unavailable *UnavailableError
	var unknown *UnknownOutcomeError
	same := false
	switch w := want.(type) {
	case *RefusedError:
		same = errors.As(err, &refused) && *refused == *w
	case *SyntaxError:
		same = errors.As(err, &syntax) && *syntax == *w
	case *UnavailableError:
		same = errors.As(err, &unavailable) && unavailable.Answered == w.Answered
	case *UnknownOutcomeError:
		same = errors.As(err, &unknown) && unknown.ID == w.ID
	}
	if !same {
		t.Errorf("error %T %v, want %T %v", err, err, want, want)
	}
}
