package tackclock

import (
	"time"

	"golang.org/x/sys/unix"
)

var bootAtStart = bootTime()

// bootTime returns the time since the machine booted, including time for which it was
// suspended, or zero if the system does not provide it.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// sinceStart returns the time since the process started. The monotonic clock is only a
// fallback, since it stops while the machine is suspended.
func sinceStart() time.Duration {
	if b := bootTime(); b > 0 && bootAtStart > 0 {
		return b - bootAtStart
	}
	return time.Since(started)
}
