package tackfleet

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// checkExpected refuses a command if something that it names was changed after
// the expected revision. Of two operators who look at the same state and send
// conditional commands about the same thing, only the first one succeeds.
func (s *State) checkExpected(c *tackcommand.Command, expect tackid.Revision) *RefusedError {
	if expect == 0 {
		return nil
	}
	at := s.lastTouched(c)
	if at <= expect {
		return nil
	}
	refused := tackentry.Refuse(CodeStale, "changed at revision %d, after the expected revision %d", at, expect)
	refused.At = at
	return refused
}

// lastTouched returns the last revision that changed anything named by c.
func (s *State) lastTouched(c *tackcommand.Command) tackid.Revision {
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

// otherTouched is touched for the commands that lastTouched does not handle.
func (s *State) otherTouched(c *tackcommand.Command) tackid.Revision {
	switch {
	case c.CreateWave != nil:
		return max(s.waveTouched(c.CreateWave.Wave), s.poolTouched(c.CreateWave.Pool))
	case c.ChangeWave != nil:
		return s.waveTouched(c.ChangeWave.Wave)
	case c.SetQuota != nil:
		q, _ := s.Quota(c.SetQuota.Team)
		return q.Touched
	case c.SetConfig != nil:
		v, _ := s.Setting(c.SetConfig.Key)
		return v.Revision
	case c.CreateTask != nil:
		return max(s.taskTouched(c.CreateTask.Task), s.poolTouched(c.CreateTask.Pool))
	case c.CancelTask != nil:
		return s.taskTouched(c.CancelTask.Task)
	}
	return 0
}

func (s *State) poolTouched(id tackid.Pool) tackid.Revision {
	p, _ := s.Pool(id)
	return p.Touched
}

func (s *State) serviceTouched(id tackid.Service) tackid.Revision {
	v, _ := s.Service(id)
	return v.Touched
}

func (s *State) vmTouched(id tackid.VM) tackid.Revision {
	v, _ := s.VM(id)
	return v.Touched
}

func (s *State) waveTouched(id tackid.Wave) tackid.Revision {
	w, _ := s.Wave(id)
	return w.Touched
}

func (s *State) taskTouched(id tackid.Task) tackid.Revision {
	t, _ := s.Task(id)
	return t.Touched
}
