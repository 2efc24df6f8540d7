package tackrollout

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

const (
	// WavePlanned is the status of a wave that was created.
	WavePlanned WaveStatus = iota
	// WaveRunning is the status of a wave that takes VMs out.
	WaveRunning
	// WavePaused is the status of a wave that an operator holds; VMs that
	// are out come back, and no further one is taken.
	WavePaused
	// WaveStopped is the status of a wave that stopped by itself; its Reason
	// says why, and an operator resumes or cancels it.
	WaveStopped
	// WaveFinished is the status of a wave that maintained every VM.
	WaveFinished
	// WaveCancelled is the status of a wave that an operator ended.
	WaveCancelled
)

const (
	// PhaseWaiting is the phase of a VM the wave has not reached.
	PhaseWaiting Phase = iota
	// PhaseDraining is the phase of a VM that finishes its work.
	PhaseDraining
	// PhaseOperating is the phase of a VM whose operation the platform has.
	PhaseOperating
	// PhaseReturning is the phase of a VM that was maintained and whose
	// backend servers are awaited.
	PhaseReturning
	// PhaseSettling is the phase of a VM that serves again for the settling
	// time.
	PhaseSettling
	// PhaseDone is the phase of a VM the wave is through with.
	PhaseDone
	// PhaseFailed is the phase of a VM that did not come back.
	PhaseFailed
	// PhaseSkipped is the phase of a VM that left the pool, or that the wave
	// was cancelled before.
	PhaseSkipped
)

const (
	// ActionReboot stops and starts a VM.
	ActionReboot Action = "reboot"
	// ActionUpgrade replaces the software of a VM.
	ActionUpgrade Action = "upgrade"
)

type (
	// WaveStatus is where a wave stands.
	WaveStatus uint8
	// Phase is where one VM stands in a wave.
	Phase uint8
	// Action is what a wave does to each VM.
	Action string

	// Wave takes every VM of a pool through maintenance.
	Wave struct {
		ID          tackid.Wave     `cbor:"1,keyasint"`
		Pool        tackid.Pool     `cbor:"2,keyasint"`
		Action      Action          `cbor:"3,keyasint"`
		MaxParallel int             `cbor:"4,keyasint,omitempty"`
		Status      WaveStatus      `cbor:"5,keyasint,omitempty"`
		Reason      string          `cbor:"6,keyasint,omitempty"`
		Created     tackclock.Time  `cbor:"7,keyasint,omitempty"`
		Started     tackclock.Time  `cbor:"8,keyasint,omitempty"`
		Ended       tackclock.Time  `cbor:"9,keyasint,omitempty"`
		VMs         []WaveVM        `cbor:"10,keyasint,omitempty"`
		Steps       int             `cbor:"11,keyasint,omitempty"`
		Touched     tackid.Revision `cbor:"12,keyasint,omitempty"`
		// Resumed is when the wave was started or resumed last: the night that
		// it must end in is the one after that.
		Resumed tackclock.Time `cbor:"13,keyasint,omitempty"`
	}

	// WaveVM is one VM's way through a wave.
	WaveVM struct {
		VM        tackid.VM        `cbor:"1,keyasint"`
		Phase     Phase            `cbor:"2,keyasint,omitempty"`
		Since     tackclock.Time   `cbor:"3,keyasint,omitempty"`
		Operation tackid.Operation `cbor:"4,keyasint,omitempty"`
		Step      int              `cbor:"5,keyasint,omitempty"`
		// Fence is the revision that every peer must have applied before the
		// VM may be stopped.
		Fence tackid.Revision `cbor:"6,keyasint,omitempty"`
	}

	// WaveStep takes VMs out of service for a wave. All of them are drained,
	// or none where a budget forbids it.
	WaveStep struct {
		Wave tackid.Wave `cbor:"1,keyasint"`
		VMs  []tackid.VM `cbor:"2,keyasint"`
	}

	// WavePhase takes one VM to the next phase of a wave.
	WavePhase struct {
		Wave      tackid.Wave      `cbor:"1,keyasint"`
		VM        tackid.VM        `cbor:"2,keyasint"`
		Phase     Phase            `cbor:"3,keyasint"`
		Operation tackid.Operation `cbor:"4,keyasint,omitempty"`
	}

	// WaveEnd ends or stops a wave.
	WaveEnd struct {
		Wave   tackid.Wave `cbor:"1,keyasint"`
		Status WaveStatus  `cbor:"2,keyasint"`
		Reason string      `cbor:"3,keyasint,omitempty"`
	}
)

var (
	waveStatusNames = []string{
		WavePlanned: "planned", WaveRunning: "running", WavePaused: "paused",
		WaveStopped: "stopped", WaveFinished: "finished", WaveCancelled: "cancelled",
	}

	phaseNames = []string{
		PhaseWaiting: "waiting", PhaseDraining: "draining", PhaseOperating: "operating",
		PhaseReturning: "returning", PhaseSettling: "settling", PhaseDone: "done",
		PhaseFailed: "failed", PhaseSkipped: "skipped",
	}
)

// String returns the name that operators see.
func (w WaveStatus) String() string { return tackentry.NameOf(waveStatusNames, w) }

// String returns the name that operators see.
func (p Phase) String() string { return tackentry.NameOf(phaseNames, p) }
