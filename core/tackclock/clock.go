// Package tackclock defines the time types of auburntack, in whole milliseconds, and a
// clock that never runs backwards while a process runs.
//
// Packages that make decisions never read a clock. They are passed a Time, so that tests
// can simulate hours in a few steps.
package tackclock

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// Millisecond is the unit of Time and Duration.
	Millisecond Duration = 1
	// Second is 1,000 milliseconds.
	Second = 1000 * Millisecond
	// Minute is 60 seconds.
	Minute = 60 * Second
	// Hour is 60 minutes.
	Hour = 60 * Minute
	// Day is 24 hours.
	Day = 24 * Hour
)

var started = time.Now()

type (
	// Time is a point in time, in milliseconds since the Unix epoch.
	Time int64

	// Duration is a duration in milliseconds.
	Duration int64

	// Clock returns the current time. Its zero value starts at the wall time at which the
	// process started and then follows a clock that is never adjusted, so a step of the
	// wall clock does not change the length of a lease. Time during which the machine was
	// suspended is included where the system supports that: a leader would otherwise resume
	// with a lease that has expired for the others. After Set the clock stands still and is
	// changed only by Set and Advance, for tests.
	Clock struct {
		manual atomic.Pointer[atomic.Int64]
	}
)

// Now returns the current time in milliseconds.
func (c *Clock) Now() Time {
	if m := c.manual.Load(); m != nil {
		return Time(m.Load())
	}
	return Time(started.Add(sinceStart()).UnixMilli())
}

// Set stops the clock at t.
func (c *Clock) Set(t Time) {
	m := new(atomic.Int64)
	m.Store(int64(t))
	c.manual.Store(m)
}

// Advance moves a clock that was stopped by Set forward by d and returns the new time. It
// does not change a running clock.
func (c *Clock) Advance(d Duration) Time {
	if m := c.manual.Load(); m != nil {
		return Time(m.Add(int64(d)))
	}
	return c.Now()
}

// Add returns the time d after t.
func (t Time) Add(d Duration) Time {
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) Duration {
	return Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}

// After reports whether t is later than u.
func (t Time) After(u Time) bool {
	return t > u
}

// String formats t as RFC 3339 in UTC with milliseconds.
func (t Time) String() string {
	return time.UnixMilli(int64(t)).UTC().Format("2006-01-02T15:04:05.000Z07:00")
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// FromStd returns d rounded down to whole milliseconds.
func FromStd(d time.Duration) Duration {
	return Duration(d / time.Millisecond)
}

// String formats d like 1.5s or 300ms.
func (d Duration) String() string {
	return fmt.Sprint(d.Std())
}
