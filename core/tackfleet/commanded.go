package tackfleet

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// applyCommand applies an operator's command and records it in the history.
func (s *State) applyCommand(c *tackcommand.Command, expect tackid.Revision) *RefusedError {
	if refused := s.checkExpected(c, expect); refused != nil {
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
		return s.roster.CreatePool(s.at, c.CreatePool)
	case c.DeletePool != nil:
		return s.deletePool(c.DeletePool)
	case c.CreateService != nil:
		return s.roster.CreateService(s.at, c.CreateService)
	case c.SetBudget != nil:
		return s.roster.SetBudget(s.at, c.SetBudget)
	case c.AddVM != nil:
		return s.roster.AddVM(s.at, c.AddVM)
	case c.MoveVM != nil:
		return s.moveVM(c.MoveVM)
	case c.DrainVM != nil:
		return s.roster.DrainVM(s.at, c.DrainVM)
	case c.UndrainVM != nil:
		return s.roster.UndrainVM(s.at, c.UndrainVM)
	case c.RemoveVM != nil:
		return s.removeVM(c.RemoveVM)
	}
	return s.executeOther(c)
}

// executeOther carries out the commands that execute does not handle.
func (s *State) executeOther(c *tackcommand.Command) *RefusedError {
	switch {
	case c.CreateWave != nil:
		return s.createWave(c.CreateWave)
	case c.ChangeWave != nil:
		return s.rollouts.Change(s.at, &s.roster, c.ChangeWave)
	case c.SetQuota != nil:
		return s.tasks.SetQuota(s.at, c.SetQuota)
	case c.SetConfig != nil:
		return s.setConfig(c.SetConfig)
	case c.CreateTask != nil:
		return s.createTask(c.CreateTask)
	case c.CancelTask != nil:
		return s.tasks.Cancel(s.at, c.CancelTask)
	}
	return tackentry.Refuse(CodeInvalid, "this command does not change the fleet")
}

// deletePool deletes a pool that is not used by VMs, services, waves or tasks.
func (s *State) deletePool(c *tackcommand.DeletePool) *RefusedError {
	if w := s.rollouts.Unended(c.Pool); w != nil {
		return tackentry.Refuse(CodeInUse, "wave %q is over pool %q", w.ID, c.Pool)
	}
	if t := s.tasks.Unended(c.Pool); t != nil {
		return tackentry.Refuse(CodeInUse, "task %q is on pool %q", t.ID, c.Pool)
	}
	return s.roster.DeletePool(c)
}

// moveVM starts to move a VM to another pool, and removes it from the waves
// over its old pool.
func (s *State) moveVM(c *tackcommand.MoveVM) *RefusedError {
	refused := s.roster.MoveVM(s.at, c)
	if refused == nil {
		s.rollouts.Skip(s.at, c.VM)
	}
	return refused
}

// removeVM removes a VM on which no task runs.
func (s *State) removeVM(c *tackcommand.RemoveVM) *RefusedError {
	if refused := s.noTasks(c.VM); refused != nil {
		return refused
	}
	refused := s.roster.RemoveVM(s.at, c)
	if refused == nil {
		s.rollouts.Skip(s.at, c.VM)
	}
	return refused
}

func (s *State) createWave(c *tackcommand.CreateWave) *RefusedError {
	if refused := s.roster.CheckPool(c.Pool); refused != nil {
		return refused
	}
	return s.rollouts.Create(s.at, c)
}

func (s *State) createTask(c *tackcommand.CreateTask) *RefusedError {
	if refused := s.roster.CheckPool(c.Pool); refused != nil {
		return refused
	}
	return s.tasks.Create(s.at, c)
}

func (s *State) setConfig(c *tackcommand.SetConfig) *RefusedError {
	s.settings.Put(c.Key, Setting{Key: c.Key, Value: c.Value, Revision: s.at.Revision})
	return nil
}
