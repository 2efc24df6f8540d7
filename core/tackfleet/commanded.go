package tackfleet

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// commanded applies an operator's command and records it in the history.
func (s *State) commanded(c *tackcommand.Command, expect tackid.Revision) *RefusedError {
	if refused := s.stale(c, expect); refused != nil {
		return refused
	}
	if refused := s.execute(c); refused != nil {
		return refused
	}
	s.recordCommand(c)
	return nil
}

// execute carries out the one command that c holds.
func (s *State) execute(c *tackcommand.Command) *RefusedError {
	switch {
	case c.CreatePool != nil:
		return s.createPool(c.CreatePool)
	case c.DeletePool != nil:
		return s.deletePool(c.DeletePool)
	case c.CreateService != nil:
		return s.createService(c.CreateService)
	case c.SetBudget != nil:
		return s.setBudget(c.SetBudget)
	case c.AddVM != nil:
		return s.addVM(c.AddVM)
	case c.MoveVM != nil:
		return s.moveVM(c.MoveVM)
	case c.DrainVM != nil:
		return s.drainVM(c.DrainVM)
	case c.UndrainVM != nil:
		return s.undrainVM(c.UndrainVM)
	case c.RemoveVM != nil:
		return s.removeVM(c.RemoveVM)
	}
	return s.executeOther(c)
}

// executeOther carries out the commands that are not about pools and VMs.
func (s *State) executeOther(c *tackcommand.Command) *RefusedError {
	switch {
	case c.CreateWave != nil:
		return s.createWave(c.CreateWave)
	case c.ChangeWave != nil:
		return s.changeWave(c.ChangeWave)
	case c.SetQuota != nil:
		return s.setQuota(c.SetQuota)
	case c.SetConfig != nil:
		return s.setConfig(c.SetConfig)
	case c.CreateTask != nil:
		return s.createTask(c.CreateTask)
	case c.CancelTask != nil:
		return s.cancelTask(c.CancelTask)
	}
	return refuse(CodeInvalid, "this command does not change the fleet")
}

// stale refuses a command when something that it names was changed after the
// revision that the operator expected. Two operators who looked at the same
// state and send conditional commands can't both have their way.
func (s *State) stale(c *tackcommand.Command, expect tackid.Revision) *RefusedError {
	if expect == 0 {
		return nil
	}
	at := s.touched(c)
	if at <= expect {
		return nil
	}
	refused := refuse(CodeStale, "changed at revision %d, after the expected revision %d", at, expect)
	refused.At = at
	return refused
}

// touched returns the newest revision that changed anything c names.
func (s *State) touched(c *tackcommand.Command) tackid.Revision {
	switch {
	case c.CreatePool != nil:
		return s.poolTouched(c.CreatePool.Pool)
	case c.DeletePool != nil:
		return s.poolTouched(c.DeletePool.Pool)
	case c.CreateService != nil:
		return max(s.serviceTouched(c.CreateService.Service), s.poolTouched(c.CreateService.Pool))
	case c.SetBudget != nil:
		return s.serviceTouched(c.SetBudget.Service)
	case c.AddVM != nil:
		return max(s.vmTouched(c.AddVM.VM), s.poolTouched(c.AddVM.Pool))
	case c.MoveVM != nil:
		return max(s.vmTouched(c.MoveVM.VM), s.poolTouched(c.MoveVM.Pool))
	case c.DrainVM != nil:
		return s.vmTouched(c.DrainVM.VM)
	case c.UndrainVM != nil:
		return s.vmTouched(c.UndrainVM.VM)
	case c.RemoveVM != nil:
		return s.vmTouched(c.RemoveVM.VM)
	}
	return s.otherTouched(c)
}

// otherTouched is touched for the commands that are not about pools and VMs.
func (s *State) otherTouched(c *tackcommand.Command) tackid.Revision {
	switch {
	case c.CreateWave != nil:
		return max(s.waveTouched(c.CreateWave.Wave), s.poolTouched(c.CreateWave.Pool))
	case c.ChangeWave != nil:
		return s.waveTouched(c.ChangeWave.Wave)
	case c.SetQuota != nil:
		return s.quotaTouched(c.SetQuota.Team)
	case c.SetConfig != nil:
		return s.settingTouched(c.SetConfig.Key)
	case c.CreateTask != nil:
		return max(s.taskTouched(c.CreateTask.Task), s.poolTouched(c.CreateTask.Pool))
	case c.CancelTask != nil:
		return s.taskTouched(c.CancelTask.Task)
	}
	return 0
}

func (s *State) poolTouched(id tackid.Pool) tackid.Revision {
	if p := s.pools.Get(id); p != nil {
		return p.Touched
	}
	return 0
}

func (s *State) serviceTouched(id tackid.Service) tackid.Revision {
	if v := s.services.Get(id); v != nil {
		return v.Touched
	}
	return 0
}

func (s *State) vmTouched(id tackid.VM) tackid.Revision {
	if v := s.vms.Get(id); v != nil {
		return v.Touched
	}
	return 0
}

func (s *State) waveTouched(id tackid.Wave) tackid.Revision {
	if w := s.waves.Get(id); w != nil {
		return w.Touched
	}
	return 0
}

func (s *State) quotaTouched(id tackid.Team) tackid.Revision {
	if q := s.quotas.Get(id); q != nil {
		return q.Touched
	}
	return 0
}

func (s *State) settingTouched(key string) tackid.Revision {
	if v := s.settings.Get(key); v != nil {
		return v.Revision
	}
	return 0
}

func (s *State) taskTouched(id tackid.Task) tackid.Revision {
	if t := s.tasks.Get(id); t != nil {
		return t.Touched
	}
	return 0
}
