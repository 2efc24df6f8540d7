package tackclock

import (
	"time"

	"golang.org/x/sys/unix"
)

var bootAtStart = bootTime()

// bootTime is the time since the machine started, with the time for which it
// was suspended; zero if the system does not tell.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// sinceStart is how long the process has lived. The monotonic clock alone
// stands still while the machine is suspended.
func sinceStart() time.Duration {
	if b := bootTime(); b > 0 && bootAtStart > 0 {
		return b - bootAtStart
	}
	return time.Since(started)
}
