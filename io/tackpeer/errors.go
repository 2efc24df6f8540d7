package tackpeer

import (
	"errors"
	"fmt"

	"auburntack/core/tackid"
)

var (
	errSilent    = errors.New("tackpeer: connection went silent")
	errBackwards = errors.New("message on the sender's connection")
	errReplaced  = errors.New("tackpeer: replaced by a newer connection")
)

type (
	// UnknownPeerError reports a peer that is not in the configuration.
	UnknownPeerError struct {
		Peer tackid.Peer
	}

	// DownError reports that no connection to the peer stands.
	DownError struct {
		Peer tackid.Peer
	}

	// TooLargeError reports a message over its bound.
	TooLargeError struct {
		Bytes int
		Limit int
	}

	// MalformedError reports bytes that are no message.
	MalformedError struct {
		Peer tackid.Peer
		Err  error
	}

	// VersionError reports a peer whose protocol this release does not speak.
	VersionError struct {
		Peer    tackid.Peer
		Version int
		Oldest  int
	}

	// RefusedError reports a peer that did not accept the connection.
	RefusedError struct {
		Peer   tackid.Peer
		Reason string
	}

	// IdentityError reports a peer that is not the one it should be.
	IdentityError struct {
		Want   tackid.Peer
		Got    tackid.Peer
		Reason string
	}
)

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("tackpeer: unknown peer %q", e.Peer)
}

// Error implements error.
func (e *DownError) Error() string {
	return fmt.Sprintf("tackpeer: no connection to %q", e.Peer)
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("tackpeer: message of %d bytes is over the bound of %d", e.Bytes, e.Limit)
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("tackpeer: malformed message from %q: %v", e.Peer, e.Err)
}

// Unwrap returns the error of the decoder.
func (e *MalformedError) Unwrap() error { return e.Err }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackpeer: %q speaks version %d, understands %d and later, this is %d",
		e.Peer, e.Version, e.Oldest, Version)
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tackpeer: %q refused the connection: %s", e.Peer, e.Reason)
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("tackpeer: peer says it is %q, want %q: %s", e.Got, e.Want, e.Reason)
}
