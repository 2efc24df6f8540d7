package tackfleet

import (
	"iter"

	"auburntack/core/tackbudget"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// Revision returns the revision of the last change that was applied.
func (s *State) Revision() tackid.Revision {
	return s.at.Revision
}

// Now returns the time of the last change that was applied.
func (s *State) Now() tackclock.Time {
	return s.at.Time
}

// VM returns one VM and whether there is such a VM.
func (s *State) VM(id tackid.VM) (VM, bool) {
	return valueOf(s.roster.VM(id))
}

// VMs returns every VM, sorted by id.
func (s *State) VMs() []VM {
	return s.roster.VMs()
}

// EachVM ranges over every VM, sorted by id, without copying them all.
func (s *State) EachVM() iter.Seq[*VM] {
	return s.roster.EachVM()
}

// VMsOf returns the VMs of a pool, sorted by id. A VM that is moving away is
// still among them; one that is moving in is not.
func (s *State) VMsOf(pool tackid.Pool) []VM {
	ids := s.roster.Members(pool)
	vms := make([]VM, 0, len(ids))
	for _, id := range ids {
		vms = append(vms, *s.roster.VM(id))
	}
	return vms
}

// Pool returns one pool and whether there is such a pool.
func (s *State) Pool(id tackid.Pool) (Pool, bool) {
	return valueOf(s.roster.Pool(id))
}

// Pools returns every pool, sorted by id.
func (s *State) Pools() []Pool {
	return s.roster.Pools()
}

// Service returns one service and whether there is such a service.
func (s *State) Service(id tackid.Service) (Service, bool) {
	return valueOf(s.roster.Service(id))
}

// Services returns every service, sorted by id.
func (s *State) Services() []Service {
	return s.roster.Services()
}

// ServicesOn returns the services that are placed on a pool, sorted by id.
func (s *State) ServicesOn(pool tackid.Pool) []Service {
	return s.roster.ServicesOn(pool)
}

// Quota returns the quota of a team and whether one was set.
func (s *State) Quota(team tackid.Team) (Quota, bool) {
	return valueOf(s.tasks.Quota(team))
}

// Quotas returns every quota, sorted by team.
func (s *State) Quotas() []Quota {
	return s.tasks.Quotas()
}

// Setting returns the value of a configuration key and whether it was set.
func (s *State) Setting(key string) (Setting, bool) {
	return valueOf(s.settings.Get(key))
}

// Settings returns every setting, sorted by key.
func (s *State) Settings() []Setting {
	return s.settings.Values()
}

// Wave returns one wave and whether there is such a wave.
func (s *State) Wave(id tackid.Wave) (Wave, bool) {
	return valueOf(s.rollouts.Wave(id))
}

// Waves returns every wave, sorted by id.
func (s *State) Waves() []Wave {
	return s.rollouts.Waves()
}

// Task returns one task and whether there is such a task.
func (s *State) Task(id tackid.Task) (Task, bool) {
	return valueOf(s.tasks.Task(id))
}

// Tasks returns every task, sorted by id.
func (s *State) Tasks() []Task {
	return s.tasks.Tasks()
}

// EachTask ranges over every task, sorted by id, without copying them all.
func (s *State) EachTask() iter.Seq[*Task] {
	return s.tasks.EachTask()
}

// RunningOn returns how many tasks run on a worker.
func (s *State) RunningOn(worker tackid.VM) int {
	return s.tasks.RunningOn(worker)
}

// CoresOf returns how many cores the team's running tasks hold.
func (s *State) CoresOf(team tackid.Team) int {
	return s.tasks.CoresOf(team)
}

// CheckTake returns nil if the VMs may all be taken out of service together now,
// and the reason for refusal otherwise. Apply makes the same check.
func (s *State) CheckTake(vms []tackid.VM) *RefusedError {
	return s.roster.CheckTake(vms)
}

// Count returns the current counts of a pool's VMs, against which its budgets
// are checked.
func (s *State) Count(pool tackid.Pool) tackbudget.Count {
	return s.roster.Count(pool)
}

// valueOf returns a copy of *row and true, or the zero value and false if row
// is nil.
func valueOf[V any](row *V) (V, bool) {
	if row == nil {
		var zero V
		return zero, false
	}
	return *row, true
}
