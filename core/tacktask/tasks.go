// Package tacktask is the state of the tasks that workers run under leases,
// and of the quotas of the teams for which they run.
package tacktask

import (
	"iter"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tacktable"
)

const (
	// MaxTries is the maximum number of times that a task is started. A task
	// that fails on its last try is set aside, since it would probably fail
	// again and take room from other tasks.
	MaxTries = 5
	// EndedAge is how long a task is kept after it has ended.
	EndedAge = 24 * tackclock.Hour
	// EndedLimit is the maximum number of ended tasks that are kept.
	EndedLimit = 10_000
)

type (
	// Tasks holds the tasks and quotas of a fleet. Its zero value is empty.
	Tasks struct {
		tasks  tacktable.Table[tackid.Task, Task]
		quotas tacktable.Table[tackid.Team, Quota]
		ended  tacktable.Recent[tackid.Task, struct{}]

		// The number of tasks running on each worker, and the number of cores
		// held by each team's running tasks. They are derived from tasks.
		running map[tackid.VM]int
		cores   map[tackid.Team]int
	}

	// Snapshot is the encoding of Tasks, sorted by id.
	Snapshot struct {
		Tasks  []Task                         `cbor:"1,keyasint,omitempty"`
		Quotas []Quota                        `cbor:"2,keyasint,omitempty"`
		Ended  []tacktable.Stamp[tackid.Task] `cbor:"3,keyasint,omitempty"`
	}
)

// Create queues a task. The caller has checked that the pool exists. A task
// beyond its team's quota is queued too, and waits.
func (k *Tasks) Create(at tackentry.At, c *tackcommand.CreateTask) *tackentry.RefusedError {
	if k.tasks.Get(c.Task) != nil {
		return tackentry.Refuse(tackentry.CodeExists, "task %q exists", c.Task)
	}
	if c.Cores < 1 || c.MemoryMB < 1 {
		return tackentry.Refuse(tackentry.CodeInvalid, "cores and memory_mb are numbers from 1")
	}
	if c.Minutes < 0 || c.Accelerators < 0 {
		return tackentry.Refuse(tackentry.CodeInvalid, "minutes and accelerators are numbers from 0")
	}
	k.tasks.Put(c.Task, Task{
		ID: c.Task, Team: c.Team, Pool: c.Pool, Cores: c.Cores, MemoryMB: c.MemoryMB,
		Class: c.Class, Minutes: c.Minutes, Idempotent: c.Idempotent,
		Accelerators: c.Accelerators, Created: at.Time, Touched: at.Revision,
	})
	return nil
}

// Cancel cancels a task. Cancelling a cancelled task is accepted and has no
// effect, so repeated cancellations are harmless.
func (k *Tasks) Cancel(at tackentry.At, c *tackcommand.CancelTask) *tackentry.RefusedError {
	t := k.tasks.Get(c.Task)
	if t == nil {
		return tackentry.Refuse(tackentry.CodeMissing, "no task %q", c.Task)
	}
	switch t.State {
	case TaskCancelled:
		return nil
	case TaskDone:
		return tackentry.Refuse(tackentry.CodeState, "task %q is done", c.Task)
	}
	k.setState(at, t, TaskCancelled)
	t.Touched = at.Revision
	return nil
}

// SetQuota sets the quota of a team.
func (k *Tasks) SetQuota(at tackentry.At, c *tackcommand.SetQuota) *tackentry.RefusedError {
	if c.Slots < 0 || c.Cores < 0 {
		return tackentry.Refuse(tackentry.CodeInvalid, "slots and cores are numbers from 0")
	}
	k.quotas.Put(c.Team, Quota{Team: c.Team, Slots: c.Slots, Cores: c.Cores, Touched: at.Revision})
	return nil
}

// Change moves one task to the next state. A task that is assigned to a worker
// gets a new token: the revision, which is higher than the token of any
// earlier try.
func (k *Tasks) Change(at tackentry.At, c *TaskChange) *tackentry.RefusedError {
	t := k.tasks.Get(c.Task)
	if t == nil {
		return tackentry.Refuse(tackentry.CodeMissing, "no task %q", c.Task)
	}
	if c.Token != 0 && c.Token != t.Token {
		return tackentry.Refuse(tackentry.CodeStale, "task %q has token %d, not %d", t.ID, t.Token, c.Token)
	}
	next := c.State
	if t.State == TaskRunning && next == TaskQueued {
		next = t.stateAfterTry(c.End)
	}
	if !t.State.leadsTo(next) {
		return tackentry.Refuse(tackentry.CodeState, "task %q can't go from %s to %s", t.ID, t.State, next)
	}
	if next == TaskRunning {
		if refused := k.start(at, t, c.Worker); refused != nil {
			return refused
		}
	}
	t.Checkpointed = t.Checkpointed || c.Checkpointed
	t.Reason = c.Reason
	k.setState(at, t, next)
	return nil
}

// start assigns the task to a worker, within the team's quota.
func (k *Tasks) start(at tackentry.At, t *Task, worker tackid.VM) *tackentry.RefusedError {
	q := k.quotas.Get(t.Team)
	if q != nil && q.Cores > 0 && k.cores[t.Team]+t.Cores > q.Cores {
		return tackentry.Refuse(tackentry.CodeQuota, "team %q runs %d of %d cores", t.Team, k.cores[t.Team], q.Cores)
	}
	t.Worker = worker
	t.Token = tackid.Token(at.Revision)
	t.Tries++
	t.Started = at.Time
	return nil
}

// setState changes the task's state and updates the counts of running tasks.
func (k *Tasks) setState(at tackentry.At, t *Task, next TaskState) {
	if t.State == TaskRunning {
		k.count(t, -1)
	}
	t.State = next
	switch {
	case next == TaskRunning:
		k.count(t, 1)
	case t.ended():
		t.Ended = at.Time
		k.ended.Put(at.Time, t.ID, struct{}{})
	}
}

// count adds n tasks like t to the counts of t's worker and team.
func (k *Tasks) count(t *Task, n int) {
	if k.running == nil {
		k.running = make(map[tackid.VM]int)
		k.cores = make(map[tackid.Team]int)
	}
	k.running[t.Worker] += n
	if k.running[t.Worker] == 0 {
		delete(k.running, t.Worker)
	}
	k.cores[t.Team] += n * t.Cores
	if k.cores[t.Team] == 0 {
		delete(k.cores, t.Team)
	}
}

// Trim removes the tasks that ended more than EndedAge ago, and the oldest
// ended ones beyond EndedLimit.
func (k *Tasks) Trim(now tackclock.Time) {
	for _, ended := range k.ended.Trim(now, EndedAge, EndedLimit) {
		k.tasks.Delete(ended.Key)
	}
}

// Task returns one task, or nil. The caller must not change it.
func (k *Tasks) Task(id tackid.Task) *Task {
	return k.tasks.Get(id)
}

// Tasks returns every task, sorted by id.
func (k *Tasks) Tasks() []Task {
	return k.tasks.Values()
}

// EachTask ranges over every task, sorted by id.
func (k *Tasks) EachTask() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, t := range k.tasks.All() {
			if !yield(t) {
				return
			}
		}
	}
}

// Quota returns the quota of a team, or nil.
func (k *Tasks) Quota(team tackid.Team) *Quota {
	return k.quotas.Get(team)
}

// Quotas returns every quota, sorted by team.
func (k *Tasks) Quotas() []Quota {
	return k.quotas.Values()
}

// RunningOn returns the number of tasks running on a worker.
func (k *Tasks) RunningOn(worker tackid.VM) int {
	return k.running[worker]
}

// CoresOf returns the number of cores held by the team's running tasks.
func (k *Tasks) CoresOf(team tackid.Team) int {
	return k.cores[team]
}

// Unended returns a task of the pool that has not ended, or nil.
func (k *Tasks) Unended(pool tackid.Pool) *Task {
	for _, t := range k.tasks.All() {
		if t.Pool == pool && !t.ended() {
			return t
		}
	}
	return nil
}

// Snapshot returns the tasks for a snapshot.
func (k *Tasks) Snapshot() Snapshot {
	return Snapshot{Tasks: k.tasks.Values(), Quotas: k.quotas.Values(), Ended: k.ended.Stamps()}
}

// Restore replaces the tasks by those of a snapshot.
func (k *Tasks) Restore(s Snapshot) {
	*k = Tasks{}
	for _, t := range s.Tasks {
		k.tasks.Put(t.ID, t)
		if t.State == TaskRunning {
			k.count(&t, 1)
		}
	}
	for _, q := range s.Quotas {
		k.quotas.Put(q.Team, q)
	}
	for _, stamp := range s.Ended {
		k.ended.Put(stamp.Time, stamp.Key, struct{}{})
	}
}
