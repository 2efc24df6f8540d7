package tackfleet

import (
	"fmt"

	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// observe applies an observation of a VM.
func (s *State) observe(o *Observation) *RefusedError {
	changed, refused := s.roster.Observe(s.at, o)
	if changed {
		s.record(vmEvent(o.VM, "is "+o.Health.String()))
	}
	return refused
}

// drained ends the drain of a VM that an operator drained, after its last work.
func (s *State) drained(id *tackid.VM) *RefusedError {
	if refused := s.noTasks(*id); refused != nil {
		return refused
	}
	if refused := s.roster.Drained(s.at, *id); refused != nil {
		return refused
	}
	s.record(vmEvent(*id, "is drained"))
	return nil
}

// joined moves a VM into its new pool.
func (s *State) joined(id *tackid.VM) *RefusedError {
	if refused := s.noTasks(*id); refused != nil {
		return refused
	}
	if refused := s.roster.Joined(s.at, *id); refused != nil {
		return refused
	}
	s.record(vmEvent(*id, "joined pool "+string(s.roster.VM(*id).Pool)))
	return nil
}

// waveStep drains the VMs of one step of a wave.
func (s *State) waveStep(c *WaveStep) *RefusedError {
	if refused := s.rollouts.Step(s.at, &s.roster, c); refused != nil {
		return refused
	}
	s.record(Event{Text: fmt.Sprintf("wave %s drains step %d", c.Wave, s.rollouts.Wave(c.Wave).Steps), VMs: c.VMs})
	return nil
}

// wavePhase moves one VM to the next phase. The platform may operate on a VM
// only after its last task has ended: the task would be interrupted and its
// outcome unknown.
func (s *State) wavePhase(c *WavePhase) *RefusedError {
	if c.Phase == PhaseOperating {
		if refused := s.noTasks(c.VM); refused != nil {
			return refused
		}
	}
	if refused := s.rollouts.Phase(s.at, &s.roster, c); refused != nil {
		return refused
	}
	if c.Phase == PhaseDone || c.Phase == PhaseFailed {
		s.record(vmEvent(c.VM, "is "+c.Phase.String()+" in wave "+string(c.Wave)))
	}
	return nil
}

// waveEnd finishes or stops a wave.
func (s *State) waveEnd(c *WaveEnd) *RefusedError {
	if refused := s.rollouts.End(s.at, &s.roster, c); refused != nil {
		return refused
	}
	text := fmt.Sprintf("wave %s is %s", c.Wave, c.Status)
	if c.Reason != "" {
		text += ": " + c.Reason
	}
	s.record(Event{Text: text})
	return nil
}

// taskChange moves one task to the next state. A worker can get the task only
// while it is in service in the task's pool.
func (s *State) taskChange(c *TaskChange) *RefusedError {
	t := s.tasks.Task(c.Task)
	if t != nil && c.State == TaskRunning {
		v := s.roster.VM(c.Worker)
		if v == nil {
			return tackentry.Refuse(CodeMissing, "no worker %q", c.Worker)
		}
		if v.Pool != t.Pool || !v.Routable() {
			return tackentry.Refuse(CodeState, "worker %q can't take work of pool %q, it is %s in pool %q", v.ID, t.Pool, v.State, v.Pool)
		}
	}
	return s.tasks.Change(s.at, c)
}

// noTasks refuses while tasks run on the VM.
func (s *State) noTasks(id tackid.VM) *RefusedError {
	if n := s.tasks.RunningOn(id); n > 0 {
		return tackentry.Refuse(CodeInUse, "vm %q runs %d tasks, drain it first", id, n)
	}
	return nil
}

// vmEvent returns an event about one VM.
func vmEvent(id tackid.VM, what string) Event {
	return Event{Text: "vm " + string(id) + " " + what, VMs: []tackid.VM{id}}
}
