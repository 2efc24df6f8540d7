package tackrollout

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

const (
	// WavePlanned is the status of a wave that was created but not started.
	WavePlanned WaveStatus = iota
	// WaveRunning is the status of a wave that takes VMs out of service.
	WaveRunning
	// WavePaused is the status of a wave that an operator paused. VMs that are
	// out of service come back, and no more VMs are taken.
	WavePaused
	// WaveStopped is the status of a wave that was stopped automatically. Its
	// Reason says why; an operator resumes or cancels it.
	WaveStopped
	// WaveFinished is the status of a wave that is done with every VM.
	WaveFinished
	// WaveCancelled is the status of a wave that an operator cancelled.
	WaveCancelled
)

const (
	// PhaseWaiting is the phase of a VM that the wave has not taken yet.
	PhaseWaiting Phase = iota
	// PhaseDraining is the phase of a VM that finishes its work.
	PhaseDraining
	// PhaseOperating is the phase of a VM on which the platform operates.
	PhaseOperating
	// PhaseReturning is the phase of a VM whose operation has ended and whose
	// backend servers do not announce themselves yet.
	PhaseReturning
	// PhaseSettling is the phase of a VM that serves again until the settling
	// time is over.
	PhaseSettling
	// PhaseDone is the phase of a VM that was maintained.
	PhaseDone
	// PhaseFailed is the phase of a VM that did not come back.
	PhaseFailed
	// PhaseSkipped is the phase of a VM that was not maintained because it
	// left the pool, was lost or held elsewhere, or the wave was cancelled.
	PhaseSkipped
)

const (
	// ActionReboot stops and starts a VM.
	ActionReboot Action = "reboot"
	// ActionUpgrade replaces the software of a VM.
	ActionUpgrade Action = "upgrade"
)

type (
	// WaveStatus is the status of a wave.
	WaveStatus uint8
	// Phase is the phase of one VM in a wave.
	Phase uint8
	// Action is what a wave does to each VM.
	Action string

	// Wave is the maintenance of every VM of a pool, a few at a time.
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
		// Resumed is when the wave was started or last resumed. The night in
		// which it must end starts then.
		Resumed tackclock.Time `cbor:"13,keyasint,omitempty"`
	}

	// WaveVM is the state of one VM in a wave.
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

	// WaveStep takes VMs out of service for a wave. Either all of them are
	// drained, or none if a budget does not allow it.
	WaveStep struct {
		Wave tackid.Wave `cbor:"1,keyasint"`
		VMs  []tackid.VM `cbor:"2,keyasint"`
	}

	// WavePhase moves one VM to its next phase in a wave.
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
