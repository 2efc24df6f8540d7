// Package tackwave plans maintenance waves. It decides which VMs are taken out
// of service next, when the platform operates on each of them, when they
// return to service, and when a wave ends or has to stop. It also estimates
// the cost of a wave, and suggests moves of VMs between pools that meet a
// demand.
//
// Decisions have no side effects: given a View, a Planner returns a Decision,
// which the caller proposes to the replicated log and carries out on the
// platform. Everything that a wave depends on is in the fleet's state, so a new
// leader can take over between any two calls of Planner.Decide.
package tackwave

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// PreferBuffer takes out of service at once the fewest VMs with which the
	// wave still ends in time. It is the default.
	PreferBuffer Prefer = iota
	// PreferTime takes out of service at once as many VMs as the budgets and
	// the reserve allow.
	PreferTime
)

const (
	// PlatformUnknown is the state of a VM that the platform has not reported
	// yet.
	PlatformUnknown PlatformState = ""
	// PlatformServing is the state of a VM that is up.
	PlatformServing PlatformState = "serving"
	// PlatformStopped is the state of a VM that is down.
	PlatformStopped PlatformState = "stopped"
	// PlatformRebooting is the state of a VM whose operation is in progress.
	PlatformRebooting PlatformState = "rebooting"
	// PlatformFailed is the state of a VM whose operation failed.
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
	// Prefer says which cost a wave keeps low: its length, or the number of VMs
	// out of service at once.
	Prefer uint8

	// PlatformState is the state of a VM as reported by the platform.
	PlatformState string

	// Settings are the settings of waves. A zero field means its default.
	Settings struct {
		// Settle is the minimum time for which a VM serves after maintenance
		// before it counts as reliable and allows another to be stopped; 30 s.
		Settle tackclock.Duration
		// DrainLimit is how long a VM may take to finish its work before it
		// is returned to service and retried later; 10 min.
		DrainLimit tackclock.Duration
		// OperationLimit is how long an operation may take before the VM
		// counts as failed, and also how long the VM may then take to serve
		// again; 15 min.
		OperationLimit tackclock.Duration
		// Reboot is the expected length of an operation until one has been
		// measured; 3 min.
		Reboot tackclock.Duration
		// Prefer says which cost to keep low.
		Prefer Prefer
		// NightEnds is the time by which waves must have ended. If it is zero
		// there is no deadline with PreferTime; with PreferBuffer the deadline
		// is Night after the wave was started or last resumed.
		NightEnds tackclock.Time
		// Night is the length of a night if NightEnds is zero; 4 h.
		Night tackclock.Duration
		// LostWait is how long a wave with no other VMs left waits for VMs
		// that are lost or held by an operator before it skips them; 2 min.
		LostWait tackclock.Duration
		// Canary is the number of VMs in the first step; 1.
		Canary int
		// MaxLost is the number of VMs that a wave may lose before it is
		// stopped. Zero means 1 in 50 of its VMs, but at least 1; a negative
		// number means none. A loss before the canary is done always stops the
		// wave.
		MaxLost int
		// MaxTries is how many times an operation on a VM is requested if the
		// platform reports that it failed; 2.
		MaxTries int
	}

	// View is the state on which the planner bases its decisions.
	View interface {
		// Now returns the current time.
		Now() tackclock.Time
		// Fleet returns the state after the last applied change.
		Fleet() *tackfleet.State
		// Idle reports whether every peer has applied the fence, or has been
		// without its lease for long enough, and no peer has work in flight on
		// the VM.
		Idle(vm tackid.VM, fence tackid.Revision) bool
		// Fenced reports whether every peer has applied the revision, or has
		// been without its lease for long enough.
		Fenced(revision tackid.Revision) bool
		// Operation returns the platform's last report about the VM.
		Operation(vm tackid.VM) OperationStatus
		// Platform reports whether a platform is configured. Without one
		// maintenance is only recorded, not carried out.
		Platform() bool
	}

	// OperationStatus is the platform's last report about a VM: its state and
	// the last operation that the platform accepted for it.
	OperationStatus struct {
		State     PlatformState
		Operation tackid.Operation
	}

	// OperationRequest requests an operation from the platform. Requests with
	// the same Operation are repetitions of one request.
	OperationRequest struct {
		VM        tackid.VM
		Action    tackfleet.Action
		Operation tackid.Operation
	}

	// Decision is the result of one call of Planner.Decide: changes to propose
	// to the log, in this order, and operations to request from the platform.
	Decision struct {
		Changes    []tackfleet.Change
		Operations []OperationRequest
	}
)

// withDefaults returns the settings with zero fields set to their defaults.
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

// lossLimit returns how many VMs a wave over n VMs may lose.
func (s Settings) lossLimit(n int) int {
	if s.MaxLost < 0 {
		return 0
	}
	if s.MaxLost > 0 {
		return s.MaxLost
	}
	return max(1, n/defaultLostShare)
}

// ends returns the time by which the wave must have ended, or zero if there is
// none.
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
