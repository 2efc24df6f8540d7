package tackroster

import (
	"auburntack/core/tackbudget"
	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

const (
	// HealthUnknown is the health of a VM that has not announced itself, or
	// whose data centre can't be reached. The VM counts as down.
	HealthUnknown Health = iota
	// HealthServing is the health of a VM whose backend servers announce
	// themselves.
	HealthServing
	// HealthLost is the health of a VM that stopped announcing itself or that
	// failed.
	HealthLost
)

const (
	// VMInService is the state of a VM that may get work.
	VMInService VMState = iota
	// VMDraining is the state of a VM that gets no new work and finishes the
	// work that it has.
	VMDraining
	// VMDrained is the state of a drained VM that has no work left.
	VMDrained
	// VMMaintenance is the state of a VM that the platform is rebooting or
	// upgrading.
	VMMaintenance
	// VMSettling is the state of a VM that serves again after maintenance
	// but does not count as proven yet: it gets work, but budgets do not rely
	// on it until the settling time is over.
	VMSettling
	// VMMoving is the state of a VM that left one pool and has not joined
	// the next one yet. No peer may route to it.
	VMMoving
	// VMFailed is the state of a VM whose maintenance failed. It gets no work
	// until an operator undrains or removes it.
	VMFailed
)

type (
	// Health is the health of a VM by its announcements.
	Health uint8
	// VMState is the state of a VM in service, maintenance or a move.
	VMState uint8

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
		// Wave is the wave that holds the VM, if any.
		Wave tackid.Wave `cbor:"11,keyasint,omitempty"`
		// MovingTo is the pool that the VM joins once it is fenced.
		MovingTo tackid.Pool `cbor:"12,keyasint,omitempty"`
		// Touched is the revision of the last decision about the VM: a
		// command, a wave that took or returned it, or a join. Observations
		// and the progress of earlier decisions do not count, so they never
		// make an operator's expected revision stale.
		// Fence is the revision at which the VM last stopped being routable.
		// Once every peer has applied it, or lost its lease, no new work
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

	// Service is a service that callers request, placed on a pool. Its Budget
	// is the number of VMs of the pool that must be available at any time.
	Service struct {
		ID      tackid.Service  `cbor:"1,keyasint"`
		Pool    tackid.Pool     `cbor:"2,keyasint"`
		Budget  Budget          `cbor:"3,keyasint"`
		Touched tackid.Revision `cbor:"4,keyasint,omitempty"`
	}

	// Budget is a minimum number of available VMs, see tackbudget. It may be
	// larger than the number of VMs available now. Then no more VMs may be
	// taken out of service until enough VMs serve.
	Budget = tackbudget.Budget

	// Observation is the content of the announcements about one VM.
	Observation struct {
		VM           tackid.VM         `cbor:"1,keyasint"`
		DataCentre   tackid.DataCentre `cbor:"2,keyasint,omitempty"`
		Rack         tackid.Rack       `cbor:"3,keyasint,omitempty"`
		Cores        int               `cbor:"4,keyasint,omitempty"`
		MemoryMB     int               `cbor:"5,keyasint,omitempty"`
		Health       Health            `cbor:"6,keyasint,omitempty"`
		Accelerators int               `cbor:"7,keyasint,omitempty"`
	}
)

var (
	healthNames = []string{HealthUnknown: "unknown", HealthServing: "serving", HealthLost: "lost"}

	vmStateNames = []string{
		VMInService: "in_service", VMDraining: "draining", VMDrained: "drained",
		VMMaintenance: "maintenance", VMSettling: "settling", VMMoving: "moving", VMFailed: "failed",
	}
)

// String returns the name that operators see.
func (h Health) String() string { return tackentry.NameOf(healthNames, h) }

// String returns the name that operators see.
func (v VMState) String() string { return tackentry.NameOf(vmStateNames, v) }

// Routable reports whether a peer may send the VM new work.
func (v *VM) Routable() bool {
	return v.State == VMInService || v.State == VMSettling
}

// Available reports whether the VM counts toward a budget: it may get work
// and its backend servers are known to serve.
func (v *VM) Available() bool {
	return v.Routable() && v.Health == HealthServing
}
