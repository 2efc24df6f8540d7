// Package tackwave decides how maintenance waves go on: which VMs are taken
// out of service next, when each one is operated and comes back, and when a
// wave ends or stops by itself. It also answers what a wave would cost, and
// which moves between pools would meet a demand.
//
// The decisions are pure: a Planner is shown a View and answers a Decision,
// which the caller proposes to the replicated log and carries out on the
// platform. All that a wave needs to go on lies in the fleet's state, so any
// leader can take over between any two ticks.
package tackwave

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// PreferBuffer takes the fewest VMs out at once that still end the wave
	// in time. It is the default.
	PreferBuffer Prefer = iota
	// PreferTime takes as many VMs out at once as the budgets and the reserve
	// allow.
	PreferTime
)

const (
	// PlatformUnknown is the state of a VM of which the platform has not
	// said anything yet.
	PlatformUnknown PlatformState = ""
	// PlatformServing is the state of a VM that is up.
	PlatformServing PlatformState = "serving"
	// PlatformStopped is the state of a VM that is down.
	PlatformStopped PlatformState = "stopped"
	// PlatformRebooting is the state of a VM whose operation is under way.
	PlatformRebooting PlatformState = "rebooting"
	// PlatformFailed is the state of a VM whose operation went wrong.
	PlatformFailed PlatformState = "failed"
)

const (
	defaultSettle         = 30 * tackclock.Second
	defaultDrainLimit     = 10 * tackclock.Minute
	defaultOperationLimit = 15 * tackclock.Minute
	defaultReboot         = 3 * tackclock.Minute
	defaultNight          = 4 * tackclock.Hour
	defaultLostWait       = 2 * tackclock.Minute
	defaultCanary         = 1
	defaultMaxTries       = 2
	defaultLostShare      = 50 // one VM in 50 may be lost
)

type (
	// Prefer says which of the two costs a wave keeps low first.
	Prefer uint8

	// PlatformState is what the platform says of a VM.
	PlatformState string

	// Settings are the tunables of waves. A zero field takes its default.
	Settings struct {
		// Settle is how long a returned VM serves before another is stopped
		// on the strength of it, at least; 30 s.
		Settle tackclock.Duration
		// DrainLimit is how long a VM may take to finish its work before it
		// is returned to service and tried later; 10 min.
		DrainLimit tackclock.Duration
		// OperationLimit is how long a VM may take to be operated, and again
		// to serve after it, before it counts as failed; 15 min.
		OperationLimit tackclock.Duration
		// Reboot is the expected length of an operation until one has been
		// seen; 3 min.
		Reboot tackclock.Duration
		// Prefer says which cost goes first.
		Prefer Prefer
		// NightEnds is the moment by which waves must have ended. Zero sets
		// no bound with PreferTime, and Night after the wave's start with
		// PreferBuffer.
		NightEnds tackclock.Time
		// Night is the length of a night for which no end is set; 4 h.
		Night tackclock.Duration
		// LostWait is how long a wave that is otherwise through waits for VMs
		// that are lost or held by an operator before it leaves them out;
		// 2 min.
		LostWait tackclock.Duration
		// Canary is the number of VMs of the first step; 1.
		Canary int
		// MaxLost is how many VMs a wave may lose before it stops by itself:
		// zero is 1 in 50 of its VMs, at least 1; a negative number is none.
		// A loss among the canary VMs always stops the wave.
		MaxLost int
		// MaxTries is how often the platform is asked for one VM's operation
		// when it says that it failed; 2.
		MaxTries int
	}

	// View is what the planner sees of the world.
	View interface {
		// Now returns the current time.
		Now() tackclock.Time
		// Fleet returns the newest applied state.
		Fleet() *tackfleet.State
		// Idle reports whether every peer applied the fence, or lost its
		// lease for long enough, and none has work in flight on the VM.
		Idle(vm tackid.VM, fence tackid.Revision) bool
		// Fenced reports whether every peer applied the revision, or lost
		// its lease for long enough.
		Fenced(revision tackid.Revision) bool
		// Operation returns what the platform last said of the VM.
		Operation(vm tackid.VM) OperationStatus
		// Platform reports whether a platform is configured. Without one
		// maintenance is recorded and not carried out.
		Platform() bool
	}

	// OperationStatus is what the platform last said of a VM: its state and
	// the last operation that it accepted for it.
	OperationStatus struct {
		State     PlatformState
		Operation tackid.Operation
	}

	// OperationRequest asks the platform for an operation. Asked again with
	// the same Operation it is the same request.
	OperationRequest struct {
		VM        tackid.VM
		Action    tackfleet.Action
		Operation tackid.Operation
	}

	// Decision is what one tick comes to: changes to propose to the log, in
	// this order, and operations to ask the platform for.
	Decision struct {
		Changes    []tackfleet.Change
		Operations []OperationRequest
	}
)

// withDefaults returns the settings with every zero field filled in.
func (s Settings) withDefaults() Settings {
	s.Settle = orDefault(s.Settle, defaultSettle)
	s.DrainLimit = orDefault(s.DrainLimit, defaultDrainLimit)
	s.OperationLimit = orDefault(s.OperationLimit, defaultOperationLimit)
	s.Reboot = orDefault(s.Reboot, defaultReboot)
	s.Night = orDefault(s.Night, defaultNight)
	s.LostWait = orDefault(s.LostWait, defaultLostWait)
	s.Canary = orDefault(s.Canary, defaultCanary)
	s.MaxTries = orDefault(s.MaxTries, defaultMaxTries)
	return s
}

// lostBound returns how many of a wave's n VMs may be lost.
func (s Settings) lostBound(n int) int {
	if s.MaxLost < 0 {
		return 0
	}
	if s.MaxLost > 0 {
		return s.MaxLost
	}
	return max(1, n/defaultLostShare)
}

// ends returns the moment by which the wave must have ended, zero for none.
func (s Settings) ends(w *tackfleet.Wave) tackclock.Time {
	if s.NightEnds == 0 && s.Prefer == PreferBuffer {
		return w.Resumed.Add(s.Night)
	}
	return s.NightEnds
}

func orDefault[T int | tackclock.Duration](n, otherwise T) T {
	if n <= 0 {
		return otherwise
	}
	return n
}
