package tackfleet

import (
	"auburntack/core/tackbudget"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// HealthUnknown is the health of a VM that has not announced itself, or
	// whose data centre cannot be heard. It counts as down.
	HealthUnknown Health = iota
	// HealthServing is the health of a VM whose backend servers announce.
	HealthServing
	// HealthLost is the health of a VM that fell silent or failed.
	HealthLost
)

const (
	// VMInService is the state of a VM that may get work.
	VMInService VMState = iota
	// VMDraining is the state of a VM that gets no new work and finishes what
	// it has.
	VMDraining
	// VMDrained is the state of a VM on which no work is left.
	VMDrained
	// VMMaintenance is the state of a VM that the platform is rebooting or
	// upgrading.
	VMMaintenance
	// VMSettling is the state of a VM that serves again after maintenance
	// but does not yet count as proven: it gets work, and no further VM is
	// stopped on the strength of it until the settling time is over.
	VMSettling
	// VMMoving is the state of a VM that left one pool and has not joined
	// the next: no peer may route to it.
	VMMoving
	// VMFailed is the state of a VM whose maintenance went wrong. It gets no
	// work until an operator undrains or removes it.
	VMFailed
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

const (
	// TaskQueued is the state of a task that waits for a worker.
	TaskQueued TaskState = iota
	// TaskRunning is the state of a task under a lease.
	TaskRunning
	// TaskDone is the state of a task that ended well.
	TaskDone
	// TaskCancelled is the state of a task that an operator ended.
	TaskCancelled
	// TaskSetAside is the state of a task that failed too often to be tried
	// again.
	TaskSetAside
	// TaskUnknown is the state of a non-idempotent task whose worker was
	// lost while it ran: nobody can say whether it ended, so it is never
	// started again by itself.
	TaskUnknown
)

type (
	// Health is what the announcements say of a VM.
	Health uint8
	// VMState is where a VM stands in maintenance or a move.
	VMState uint8
	// WaveStatus is where a wave stands.
	WaveStatus uint8
	// Phase is where one VM stands in a wave.
	Phase uint8
	// Action is what a wave does to each VM.
	Action string
	// TaskState is where a task stands.
	TaskState uint8

	// VM is a machine of a pool.
	VM struct {
		ID         tackid.VM         `cbor:"1,keyasint"`
		Pool       tackid.Pool       `cbor:"2,keyasint,omitempty"`
		DataCentre tackid.DataCentre `cbor:"3,keyasint,omitempty"`
		Rack       tackid.Rack       `cbor:"4,keyasint,omitempty"`
		Cores      int               `cbor:"5,keyasint,omitempty"`
		MemoryMB   int               `cbor:"6,keyasint,omitempty"`
		State      VMState           `cbor:"7,keyasint,omitempty"`
		Health     Health            `cbor:"8,keyasint,omitempty"`
		// Since is when State was entered, HealthSince when Health was.
		Since       tackclock.Time `cbor:"9,keyasint,omitempty"`
		HealthSince tackclock.Time `cbor:"10,keyasint,omitempty"`
		// Wave holds the VM, if one does.
		Wave tackid.Wave `cbor:"11,keyasint,omitempty"`
		// MovingTo is the pool that the VM joins once it is fenced.
		MovingTo tackid.Pool `cbor:"12,keyasint,omitempty"`
		// Touched is the revision of the last decision about the VM: a
		// command, a wave that took it or gave it back, a join. Observations
		// and the progress of what was decided do not count, so they never
		// make an operator's expected revision stale.
		// Fence is the revision at which the VM last stopped being routable:
		// once every peer has applied it, or lost its lease, nothing new
		// reaches the VM.
		Touched tackid.Revision `cbor:"13,keyasint,omitempty"`
		Fence   tackid.Revision `cbor:"14,keyasint,omitempty"`
		// Accelerators is the number of accelerators of the worker.
		Accelerators int `cbor:"15,keyasint,omitempty"`
	}

	// Pool is a set of VMs.
	Pool struct {
		ID      tackid.Pool     `cbor:"1,keyasint"`
		Touched tackid.Revision `cbor:"2,keyasint,omitempty"`
	}

	// Service is what callers ask for. Its Budget says how many of its
	// pool's VMs must be able to serve at any moment.
	Service struct {
		ID      tackid.Service  `cbor:"1,keyasint"`
		Pool    tackid.Pool     `cbor:"2,keyasint"`
		Budget  Budget          `cbor:"3,keyasint"`
		Touched tackid.Revision `cbor:"4,keyasint,omitempty"`
	}

	// Budget is a minimum of available VMs, see tackbudget. It is a wish: one
	// above what is available now is accepted, and then nothing further may
	// be taken out of service until more VMs serve.
	Budget = tackbudget.Budget

	// Quota bounds what a team may hold at once. Zero means no bound.
	Quota struct {
		Team    tackid.Team     `cbor:"1,keyasint"`
		Slots   int             `cbor:"2,keyasint,omitempty"`
		Cores   int             `cbor:"3,keyasint,omitempty"`
		Touched tackid.Revision `cbor:"4,keyasint,omitempty"`
	}

	// Setting is one configured value and the revision that set it.
	Setting struct {
		Key      string          `cbor:"1,keyasint"`
		Value    string          `cbor:"2,keyasint"`
		Revision tackid.Revision `cbor:"3,keyasint"`
	}

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

	// Task is a unit of work that a worker runs under a lease.
	Task struct {
		ID           tackid.Task     `cbor:"1,keyasint"`
		Team         tackid.Team     `cbor:"2,keyasint"`
		Pool         tackid.Pool     `cbor:"3,keyasint"`
		Cores        int             `cbor:"4,keyasint"`
		MemoryMB     int             `cbor:"5,keyasint"`
		Class        tackid.Class    `cbor:"6,keyasint,omitempty"`
		Minutes      int             `cbor:"7,keyasint,omitempty"`
		Idempotent   bool            `cbor:"8,keyasint,omitempty"`
		State        TaskState       `cbor:"9,keyasint,omitempty"`
		Worker       tackid.VM       `cbor:"10,keyasint,omitempty"`
		Token        tackid.Token    `cbor:"11,keyasint,omitempty"`
		Tries        int             `cbor:"12,keyasint,omitempty"`
		Created      tackclock.Time  `cbor:"13,keyasint,omitempty"`
		Started      tackclock.Time  `cbor:"14,keyasint,omitempty"`
		Reason       string          `cbor:"15,keyasint,omitempty"`
		Touched      tackid.Revision `cbor:"16,keyasint,omitempty"`
		Accelerators int             `cbor:"17,keyasint,omitempty"`
		// Checkpointed says that the work so far is kept for the next try.
		Checkpointed bool `cbor:"18,keyasint,omitempty"`
	}
)

// Routable reports whether a peer may send the VM new work.
func (v *VM) Routable() bool {
	return v.State == VMInService || v.State == VMSettling
}

// Available reports whether the VM counts toward a budget: it may get work
// and its backend servers are known to serve.
func (v *VM) Available() bool {
	return v.Routable() && v.Health == HealthServing
}
