//go:build !linux

package tackpeer

import (
	"syscall"

	"auburntack/core/tackclock"
)

// setUserTimeout does nothing where the kernel has no such option; heartbeats
// find the silent connection there.
func setUserTimeout(syscall.RawConn, tackclock.Duration) error { return nil }
