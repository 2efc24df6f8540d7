package tackfleet

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// MaxTries is how often a task is started at most. One that comes back after
// the last try is set aside: it would fail for ever and take room from others.
const MaxTries = 5

// createTask queues a task. One beyond its team's quota waits.
func (s *State) createTask(c *tackcommand.CreateTask) *RefusedError {
	if s.tasks.Get(c.Task) != nil {
		return refuse(CodeExists, "task %q exists", c.Task)
	}
	if refused := s.needPool(c.Pool); refused != nil {
		return refused
	}
	if c.Cores < 1 || c.MemoryMB < 1 {
		return refuse(CodeInvalid, "cores and memory_mb are numbers from 1")
	}
	if c.Minutes < 0 || c.Accelerators < 0 {
		return refuse(CodeInvalid, "minutes and accelerators are numbers from 0")
	}
	s.tasks.Put(c.Task, Task{
		ID: c.Task, Team: c.Team, Pool: c.Pool, Cores: c.Cores, MemoryMB: c.MemoryMB,
		Class: c.Class, Minutes: c.Minutes, Idempotent: c.Idempotent,
		Accelerators: c.Accelerators, Created: s.now, Touched: s.revision,
	})
	return nil
}

// cancelTask ends a task. Cancelling a cancelled one again is accepted and
// changes nothing, so a burst of repeated cancellations is harmless.
func (s *State) cancelTask(c *tackcommand.CancelTask) *RefusedError {
	t := s.tasks.Get(c.Task)
	if t == nil {
		return refuse(CodeMissing, "no task %q", c.Task)
	}
	switch t.State {
	case TaskCancelled:
		return nil
	case TaskDone:
		return refuse(CodeState, "task %q is done", c.Task)
	}
	s.enterTask(t, TaskCancelled)
	t.Touched = s.revision
	return nil
}

// taskChange takes one task to the next state.
func (s *State) taskChange(c *TaskChange) *RefusedError {
	t := s.tasks.Get(c.Task)
	if t == nil {
		return refuse(CodeMissing, "no task %q", c.Task)
	}
	var refused *RefusedError
	switch t.State {
	case TaskQueued:
		refused = s.queuedTask(t, c)
	case TaskRunning:
		refused = s.runningTask(t, c)
	case TaskUnknown:
		if c.State != TaskDone {
			return t.wrongState(c.State)
		}
		s.enterTask(t, TaskDone)
	default:
		return t.wrongState(c.State)
	}
	if refused == nil {
		t.Reason = c.Reason
	}
	return refused
}

// queuedTask starts a queued task or sets it aside.
func (s *State) queuedTask(t *Task, c *TaskChange) *RefusedError {
	switch c.State {
	case TaskSetAside:
		s.enterTask(t, TaskSetAside)
		return nil
	case TaskRunning:
		return s.startTask(t, c.Worker)
	}
	return t.wrongState(c.State)
}

// startTask gives the task to a worker under a new token. The token is the
// revision, so it is higher than any that an earlier worker was given.
func (s *State) startTask(t *Task, worker tackid.VM) *RefusedError {
	v := s.vms.Get(worker)
	if v == nil {
		return refuse(CodeMissing, "no worker %q", worker)
	}
	if v.Pool != t.Pool || !v.Routable() {
		return refuse(CodeState, "worker %q can't take work of pool %q, it is %s in pool %q", worker, t.Pool, v.State, v.Pool)
	}
	if q := s.quotas.Get(t.Team); q != nil && q.Cores > 0 && s.cores[t.Team]+t.Cores > q.Cores {
		return refuse(CodeQuota, "team %q runs %d of %d cores", t.Team, s.cores[t.Team], q.Cores)
	}
	t.Worker = worker
	t.Token = tackid.Token(s.revision)
	t.Tries++
	t.Started = s.now
	s.enterTask(t, TaskRunning)
	return nil
}

// runningTask ends a running task or gives it back to the queue.
//
// A non-idempotent task is never given back: its worker may have done the
// work and only its answer was lost, and a second run would do it twice. It
// becomes unknown instead, until somebody learns how it ended.
func (s *State) runningTask(t *Task, c *TaskChange) *RefusedError {
	next := c.State
	switch next {
	case TaskDone, TaskSetAside, TaskUnknown:
	case TaskQueued:
		next = t.afterTry()
	default:
		return t.wrongState(next)
	}
	t.Checkpointed = t.Checkpointed || c.Checkpointed
	s.enterTask(t, next)
	return nil
}

// afterTry returns the state of a running task whose try came to nothing.
func (t *Task) afterTry() TaskState {
	switch {
	case !t.Idempotent:
		return TaskUnknown
	case t.Tries >= MaxTries:
		return TaskSetAside
	}
	return TaskQueued
}

// enterTask changes the task's state and keeps the counts of what runs.
func (s *State) enterTask(t *Task, next TaskState) {
	if t.State == TaskRunning {
		s.countRunning(t, -1)
	}
	t.State = next
	switch {
	case next == TaskRunning:
		s.countRunning(t, 1)
	case t.ended():
		s.endedTasks.Put(s.now, t.ID, struct{}{})
	}
}

// countRunning adds n tasks like t to what its worker and its team run.
func (s *State) countRunning(t *Task, n int) {
	if s.running == nil {
		s.running = make(map[tackid.VM]int)
		s.cores = make(map[tackid.Team]int)
	}
	s.running[t.Worker] += n
	if s.running[t.Worker] == 0 {
		delete(s.running, t.Worker)
	}
	s.cores[t.Team] += n * t.Cores
	if s.cores[t.Team] == 0 {
		delete(s.cores, t.Team)
	}
}

func (t *Task) wrongState(next TaskState) *RefusedError {
	return refuse(CodeState, "task %q can't go from %s to %s", t.ID, t.State, next)
}
