package tackdisk

import (
	"errors"
	"fmt"

	"auburntack/core/tackid"
)

var (
	errClosed   = errors.New("closed")
	errFrame    = errors.New("length or checksum is wrong")
	errCut      = errors.New("ends before the records it began with")
	errSnapshot = errors.New("the snapshot that the log follows is missing")
	errIdentity = errors.New("missing beside a log or a snapshot")
	errHeader   = errors.New("header is missing or stands twice")
)

type (
	// CorruptError reports a file whose content cannot be what was written:
	// something other than the last write of a process was damaged.
	CorruptError struct {
		File   string
		Offset int64
		Err    error
	}

	// InUseError reports a folder that another process has open.
	InUseError struct {
		Folder string
		Err    error
	}

	// IdentityError reports a folder that belongs to another VM.
	IdentityError struct {
		Folder string
		Want   tackid.Peer
		Got    tackid.Peer
	}

	// FailedError reports a disk that is not used again, and what it failed
	// with.
	FailedError struct {
		Folder string
		Err    error
	}

	// TooLargeError reports a record or snapshot over its bound.
	TooLargeError struct {
		Bytes int
		Limit int
	}

	// VersionError reports a format that a later release wrote.
	VersionError struct {
		Version int
	}

	// GapError reports an entry that does not follow the log.
	GapError struct {
		Index tackid.Revision
		Want  tackid.Revision
	}
)

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("tackdisk: %s is corrupt at byte %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns what is wrong there.
func (e *CorruptError) Unwrap() error { return e.Err }

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("tackdisk: %s is in use by another process: %v", e.Folder, e.Err)
}

// Unwrap returns the error of the lock.
func (e *InUseError) Unwrap() error { return e.Err }

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("tackdisk: %s belongs to %q, not to %q", e.Folder, e.Got, e.Want)
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("tackdisk: %s has failed: %v", e.Folder, e.Err)
}

// Unwrap returns what the disk failed with.
func (e *FailedError) Unwrap() error { return e.Err }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("tackdisk: %d bytes are over the bound of %d", e.Bytes, e.Limit)
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackdisk: format version %d, this release reads up to %d", e.Version, formatVersion)
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("tackdisk: entry %d does not follow the log, want at most %d", e.Index, e.Want)
}
