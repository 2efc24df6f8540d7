//go:build !linux

package tackclock

import "time"

// sinceStart is how long the process has lived.
func sinceStart() time.Duration {
	return time.Since(started)
}
