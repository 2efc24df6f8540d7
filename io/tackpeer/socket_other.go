//go:build !linux

package tackpeer

import (
	"syscall"

	"auburntack/core/tackclock"
)

// setUserTimeout does nothing on systems without this option. Heartbeats detect silent
// connections there.
func setUserTimeout(syscall.RawConn, tackclock.Duration) error { return nil }
