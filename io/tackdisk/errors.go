package tackdisk

import (
	"errors"
	"fmt"

	"auburntack/core/tackid"
)

var (
	errClosed     = errors.New("closed")
	errFrame      = errors.New("length or checksum is wrong")
	errTruncated  = errors.New("file is truncated")
	errNoSnapshot = errors.New("the snapshot that the log refers to is missing")
	errNoIdentity = errors.New("identity is missing although there is a log or a snapshot")
	errHeader     = errors.New("header is missing or duplicate")
)

type (
	// CorruptError reports a damaged file. A torn last write is not reported as damage.
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

	// FailedError reports a disk that can no longer be used. Err is the reason.
	FailedError struct {
		Folder string
		Err    error
	}

	// TooLargeError reports a record or snapshot that exceeds its size limit.
	TooLargeError struct {
		Bytes int
		Limit int
	}

	// VersionError reports a folder written in the format of a later release.
	VersionError struct {
		Version int
	}

	// GapError reports an entry that would leave a gap in the log.
	GapError struct {
		Index tackid.Revision
		Want  tackid.Revision
	}
)

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("tackdisk: %s is corrupt at byte %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns the kind of damage.
func (e *CorruptError) Unwrap() error { return e.Err }

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("tackdisk: %s is in use by another process: %v", e.Folder, e.Err)
}

// Unwrap returns the error of locking the folder.
func (e *InUseError) Unwrap() error { return e.Err }

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("tackdisk: %s belongs to %q, not to %q", e.Folder, e.Got, e.Want)
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("tackdisk: %s has failed: %v", e.Folder, e.Err)
}

// Unwrap returns the error that the disk failed with.
func (e *FailedError) Unwrap() error { return e.Err }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("tackdisk: %d bytes exceed the limit of %d", e.Bytes, e.Limit)
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("tackdisk: format version %d is not supported, this release reads versions up to %d", e.Version, formatVersion)
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("tackdisk: entry %d does not follow the log, want at most %d", e.Index, e.Want)
}
