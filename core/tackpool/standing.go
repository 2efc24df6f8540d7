package tackpool

import "auburntack/core/tackid"

// Standing is what a pool has and what it is to do, for the log: it shows why VMs
// were moved, or were not. Cores are in thousandths.
type Standing struct {
	Service tackid.Service
	VMs     int
	// Idle VMs could go if the pool did not need them, Fixed ones could not.
	Idle, Fixed int
	// Cores are those that the pool has, Coming those on their way, Wanted those
	// that its work takes.
	Cores, Coming, Wanted int
	// BacklogMS is how long its cores take for its backlog, LateMS for what
	// cannot be in time.
	BacklogMS, LateMS int64
	Arriving          int
}

// Lacks reports whether the pool is short of VMs.
func (s *Standing) Lacks() bool {
	return s.Wanted > s.Cores+s.Coming
}

// Standings returns how the pools stand that have something to do.
func (p Planner) Standings(pools []Pool) []Standing {
	p = p.WithDefaults()
	var list []Standing
	for i := range pools {
		if pool := &pools[i]; !pool.Standby && len(pool.Demands) > 0 {
			list = append(list, p.standing(pool))
		}
	}
	return list
}

func (p *Planner) standing(pool *Pool) Standing {
	d := &pool.Demands[0]
	s := Standing{
		Service: pool.Service, VMs: len(pool.VMs), Cores: d.cores(pool.VMs), Coming: d.cores(pool.Coming),
		Wanted: p.wanted(d), Arriving: d.Arriving,
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
