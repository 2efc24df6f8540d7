// Package tackclock gives the one notion of time that auburntack uses:
// whole milliseconds, read from a clock that never runs backwards while a
// process lives.
//
// Decision packages never read a clock. They are handed a Time, so that a
// test can drive them through hours in a few steps.
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
	// Time is a moment, in milliseconds since the Unix epoch.
	Time int64

	// Duration is a span of time in milliseconds.
	Duration int64

	// Clock tells the time. Its zero value follows a clock of the machine that
	// never steps from the wall time at which the process started, so a step of
	// the wall clock neither shortens nor lengthens a lease. Time for which the
	// machine was suspended counts, where the system tells it: a leader that
	// wakes would otherwise go on by a lease that others saw run out. After Set
	// it stands still and is moved by Set and Advance only, which is what tests
	// use.
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

// Advance moves a clock that was stopped by Set forward by d and returns the
// new time. On a running clock it only returns the time.
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

// Sub returns the span from u to t.
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

// Std returns d as a time.Duration, for the libraries that want one.
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
