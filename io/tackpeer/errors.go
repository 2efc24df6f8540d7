package tackpeer

import (
	"errors"
	"fmt"

	"auburntack/core/tackid"
)

var (
	errSilent            = errors.New("tackpeer: connection went silent")
	errUnexpectedMessage = errors.New("message received on an outgoing connection")
	errReplaced          = errors.New("tackpeer: replaced by a newer connection")
)

type (
	// UnknownPeerError reports a peer that is not in the configuration.
	UnknownPeerError struct {
		Peer tackid.Peer
	}

	// DownError reports that there is no connection to the peer.
	DownError struct {
		Peer tackid.Peer
	}

	// TooLargeError reports a message that exceeds the size limit.
	TooLargeError struct {
		Bytes int
		Limit int
	}

	// MalformedError reports data that is not a valid message.
	MalformedError struct {
		Peer tackid.Peer
		Err  error
	}

	// VersionError reports a peer whose protocol version this release does not support.
	VersionError struct {
		Peer    tackid.Peer
		Version int
		Oldest  int
	}

	// RefusedError reports that a peer refused the connection.
	RefusedError struct {
		Peer   tackid.Peer
		Reason string
	}

	// IdentityError reports a process that is not the expected peer.
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
	return fmt.Sprintf("tackpeer: message of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("tackpeer: malformed message from %q: %v", e.Peer, e.Err)
}

// Unwrap returns the underlying error.
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
