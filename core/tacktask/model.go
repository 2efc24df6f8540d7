package tacktask

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

const (
	// TaskQueued is the state of a task that waits for a worker.
	TaskQueued TaskState = iota
	// TaskRunning is the state of a task under a lease.
	TaskRunning
	// TaskDone is the state of a task that succeeded.
	TaskDone
	// TaskCancelled is the state of a task that an operator cancelled.
	TaskCancelled
	// TaskSetAside is the state of a task that failed too often to be tried
	// again.
	TaskSetAside
	// TaskUnknown is the state of a non-idempotent task whose worker was lost
	// while it ran. Since the task may have completed, it is never started
	// again automatically.
	TaskUnknown
)

const (
	// TryFailed is a try that failed, or whose outcome is unknown.
	TryFailed TryEnd = iota
	// TryStopped is a try that was stopped to make room. It does not count as
	// a try, since a task that is stopped often would otherwise be set aside.
	TryStopped
	// TryNotStarted is a try that certainly never ran, for example because
	// its worker refused it.
	TryNotStarted
)

type (
	// TryEnd is the reason why a running task is queued again.
	TryEnd uint8

	// TaskState is the state of a task.
	TaskState uint8

	// Task is a unit of work that a worker runs under a lease.
	Task struct {
		ID           tackid.Task     `cbor:"1,keyasint"`
		Team         tackid.Team     `cbor:"2,keyasint"`
		Pool         tackid.Pool     `cbor:"3,keyasint"`
		Cores        int             `cbor:"4,keyasint"`
		MemoryMB     int             `cbor:"5,keyasint"`
		Class        tackid.Class    `cbor:"6,keyasint,omitempty"`
		Minutes      int             `cbor:"7,keyasint,omitempty"`
		Idempotent   bool            `cbor:"8,keyasint,omitempty"`
		State        TaskState       `cbor:"9,keyasint,omitempty"`
		Worker       tackid.VM       `cbor:"10,keyasint,omitempty"`
		Token        tackid.Token    `cbor:"11,keyasint,omitempty"`
		Tries        int             `cbor:"12,keyasint,omitempty"`
		Created      tackclock.Time  `cbor:"13,keyasint,omitempty"`
		Started      tackclock.Time  `cbor:"14,keyasint,omitempty"`
		Reason       string          `cbor:"15,keyasint,omitempty"`
		Touched      tackid.Revision `cbor:"16,keyasint,omitempty"`
		Accelerators int             `cbor:"17,keyasint,omitempty"`
		// Checkpointed reports that the work so far is saved for the next try.
		Checkpointed bool `cbor:"18,keyasint,omitempty"`
		// Ended is when the task was cancelled or otherwise ended.
		Ended tackclock.Time `cbor:"19,keyasint,omitempty"`
	}

	// TaskChange moves one task to State. If State is TaskRunning, a new try
	// on Worker starts.
	TaskChange struct {
		Task         tackid.Task `cbor:"1,keyasint"`
		State        TaskState   `cbor:"2,keyasint"`
		Worker       tackid.VM   `cbor:"3,keyasint,omitempty"`
		Reason       string      `cbor:"4,keyasint,omitempty"`
		Checkpointed bool        `cbor:"5,keyasint,omitempty"`
		// Token, unless zero, is the token of the try that the change is
		// about. Without it, a change that was proposed twice could be applied
		// to the next try, which still has a live lease.
		Token tackid.Token `cbor:"6,keyasint,omitempty"`
		// End is the reason why a running task is queued again.
		End TryEnd `cbor:"7,keyasint,omitempty"`
	}

	// Quota limits what a team may use at once. Zero means no limit.
	Quota struct {
		Team    tackid.Team     `cbor:"1,keyasint"`
		Slots   int             `cbor:"2,keyasint,omitempty"`
		Cores   int             `cbor:"3,keyasint,omitempty"`
		Touched tackid.Revision `cbor:"4,keyasint,omitempty"`
	}
)

var taskStateNames = []string{
	TaskQueued: "queued", TaskRunning: "running", TaskDone: "done",
	TaskCancelled: "cancelled", TaskSetAside: "set_aside", TaskUnknown: "unknown",
}

// String returns the name that operators see.
func (t TaskState) String() string { return tackentry.NameOf(taskStateNames, t) }

// nextStates lists the states that may follow each state.
var nextStates = [...][]TaskState{
	TaskQueued:    {TaskRunning, TaskSetAside},
	TaskRunning:   {TaskQueued, TaskDone, TaskSetAside, TaskUnknown},
	TaskDone:      nil,
	TaskCancelled: nil,
	TaskSetAside:  nil,
	TaskUnknown:   {TaskDone},
}

// leadsTo reports whether a TaskChange may move a task from t to next.
func (t TaskState) leadsTo(next TaskState) bool {
	return int(t) < len(nextStates) && slices.Contains(nextStates[t], next)
}

// stateAfterTry returns the next state of a running task whose try ended
// without completing it.
//
// A non-idempotent task that may have started is not queued again: its worker
// may have done the work and only its answer was lost, so a second run could
// do the work twice. It becomes unknown instead, until its outcome is known.
func (t *Task) stateAfterTry(end TryEnd) TaskState {
	switch {
	case !t.Idempotent && end != TryNotStarted:
		return TaskUnknown
	case end == TryStopped:
		t.Tries--
		return TaskQueued
	case t.Tries >= MaxTries:
		return TaskSetAside
	}
	return TaskQueued
}

// ended reports whether the task is neither queued nor running.
func (t *Task) ended() bool {
	return t.State != TaskQueued && t.State != TaskRunning
}
