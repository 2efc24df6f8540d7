//go:build !linux

package tackclock

import "time"

// sinceStart returns the time since the process started.
func sinceStart() time.Duration {
	return time.Since(started)
}
