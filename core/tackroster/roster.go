// Package tackroster is the state of the VMs, the pools that they belong to,
// and the services on the pools with their availability budgets. Each VM is in
// service, under maintenance or moving between pools. Every change that takes
// VMs out of service is checked against the budgets.
package tackroster

import (
	"iter"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tacktable"
)

const (
	// RemovedAge is how long a removed VM is remembered, so that a VM that is
	// soon added again is first fenced from its old pool.
	RemovedAge = 10 * tackclock.Minute
	// RemovedLimit is the maximum number of removed VMs that are remembered.
	RemovedLimit = 10_000
)

type (
	// Roster holds the VMs, pools and services of a fleet. Its zero value is
	// empty.
	Roster struct {
		vms      tacktable.Table[tackid.VM, VM]
		pools    tacktable.Table[tackid.Pool, Pool]
		services tacktable.Table[tackid.Service, Service]
		removed  tacktable.Recent[tackid.VM, struct{}]

		// members lists the VMs of each pool. It is derived from vms.
		members map[tackid.Pool][]tackid.VM
	}

	// Snapshot is the encoding of a Roster, sorted by id.
	Snapshot struct {
		VMs      []VM                         `cbor:"1,keyasint,omitempty"`
		Pools    []Pool                       `cbor:"2,keyasint,omitempty"`
		Services []Service                    `cbor:"3,keyasint,omitempty"`
		Removed  []tacktable.Stamp[tackid.VM] `cbor:"4,keyasint,omitempty"`
	}
)

// Trim forgets the VMs that were removed more than RemovedAge ago, and the
// oldest ones beyond RemovedLimit.
func (r *Roster) Trim(now tackclock.Time) {
	r.removed.Trim(now, RemovedAge, RemovedLimit)
}

// VM returns one VM, or nil. The caller must not change it.
func (r *Roster) VM(id tackid.VM) *VM {
	return r.vms.Get(id)
}

// VMs returns every VM, sorted by id.
func (r *Roster) VMs() []VM {
	return r.vms.Values()
}

// EachVM ranges over every VM, sorted by id.
func (r *Roster) EachVM() iter.Seq[*VM] {
	return func(yield func(*VM) bool) {
		for _, v := range r.vms.All() {
			if !yield(v) {
				return
			}
		}
	}
}

// Members returns the ids of a pool's VMs, sorted. The caller must not change
// them.
func (r *Roster) Members(pool tackid.Pool) []tackid.VM {
	return r.members[pool]
}

// Pool returns one pool, or nil.
func (r *Roster) Pool(id tackid.Pool) *Pool {
	return r.pools.Get(id)
}

// Pools returns every pool, sorted by id.
func (r *Roster) Pools() []Pool {
	return r.pools.Values()
}

// Service returns one service, or nil.
func (r *Roster) Service(id tackid.Service) *Service {
	return r.services.Get(id)
}

// Services returns every service, sorted by id.
func (r *Roster) Services() []Service {
	return r.services.Values()
}

// ServicesOn returns the services that are placed on a pool, sorted by id.
func (r *Roster) ServicesOn(pool tackid.Pool) []Service {
	var services []Service
	for _, v := range r.services.All() {
		if v.Pool == pool {
			services = append(services, *v)
		}
	}
	return services
}

// Snapshot returns the roster for a snapshot.
func (r *Roster) Snapshot() Snapshot {
	return Snapshot{
		VMs:      r.vms.Values(),
		Pools:    r.pools.Values(),
		Services: r.services.Values(),
		Removed:  r.removed.Stamps(),
	}
}

// Restore replaces the roster by one from a snapshot.
func (r *Roster) Restore(s Snapshot) {
	*r = Roster{}
	for _, p := range s.Pools {
		r.pools.Put(p.ID, p)
	}
	for _, v := range s.VMs {
		r.vms.Put(v.ID, v)
		r.addMember(v.Pool, v.ID)
	}
	for _, v := range s.Services {
		r.services.Put(v.ID, v)
	}
	for _, stamp := range s.Removed {
		r.removed.Put(stamp.Time, stamp.Key, struct{}{})
	}
}

// join adds the VM to the pool.
func (r *Roster) join(at tackentry.At, pool tackid.Pool, vm tackid.VM) {
	r.addMember(pool, vm)
	r.touchPool(at, pool)
}

// leave removes the VM from the pool.
func (r *Roster) leave(at tackentry.At, pool tackid.Pool, vm tackid.VM) {
	ids := r.members[pool]
	if i, found := slices.BinarySearch(ids, vm); found {
		r.members[pool] = slices.Delete(ids, i, i+1)
	}
	r.touchPool(at, pool)
}

// addMember inserts the VM into the pool's sorted list of members.
func (r *Roster) addMember(pool tackid.Pool, vm tackid.VM) {
	if r.members == nil {
		r.members = make(map[tackid.Pool][]tackid.VM)
	}
	ids := r.members[pool]
	if i, found := slices.BinarySearch(ids, vm); !found {
		r.members[pool] = slices.Insert(ids, i, vm)
	}
}

// touchPool sets the pool's Touched revision because the set of its VMs
// changed.
func (r *Roster) touchPool(at tackentry.At, pool tackid.Pool) {
	if p := r.pools.Get(pool); p != nil {
		p.Touched = at.Revision
	}
}
