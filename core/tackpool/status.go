package tackpool

import "auburntack/core/tackid"

// PoolStatus summarizes what a pool has and what its work requires. It is logged to show
// why VMs were moved or not. Cores are given in millicores.
type PoolStatus struct {
	Service tackid.Service
	VMs     int
	// Idle is the number of VMs that could move if the pool did not need them, Fixed the
	// number of those that cannot.
	Idle, Fixed int
	// Cores are in the pool, Coming are on their way to it, and Wanted are required by
	// its work.
	Cores, Coming, Wanted int
	// BacklogMS is the time that its cores take for its backlog, LateMS that for work
	// that can no longer be done in time.
	BacklogMS, LateMS int64
	// Arriving and Expected are those of the pool's first demand.
	Arriving, Expected int
}

// Lacks reports whether the pool is short of VMs.
func (s *PoolStatus) Lacks() bool {
	return s.Wanted > s.Cores+s.Coming
}

// Statuses returns the statuses of the pools that have demands.
func (p Planner) Statuses(pools []Pool) []PoolStatus {
	p = p.WithDefaults()
	var list []PoolStatus
	for i := range pools {
		if pool := &pools[i]; !pool.Standby && len(pool.Demands) > 0 {
			list = append(list, p.status(pool))
		}
	}
	return list
}

func (p *Planner) status(pool *Pool) PoolStatus {
	d := &pool.Demands[0]
	s := PoolStatus{
		Service: pool.Service, VMs: len(pool.VMs), Cores: d.cores(pool.VMs), Coming: d.cores(pool.Incoming),
		Wanted: p.wanted(d), Arriving: d.Arriving, Expected: d.Expected,
	}
	s.BacklogMS, s.LateMS = d.Backlog/int64(max(s.Cores, 1)), d.Late/int64(max(s.Cores, 1))
	for _, vm := range pool.VMs {
		switch {
		case vm.Fixed:
			s.Fixed++
		case vm.Idle > 0:
			s.Idle++
		}
	}
	return s
}
