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
	// TaskDone is the state of a task that ended well.
	TaskDone
	// TaskCancelled is the state of a task that an operator ended.
	TaskCancelled
	// TaskSetAside is the state of a task that failed too often to be tried
	// again.
	TaskSetAside
	// TaskUnknown is the state of a non-idempotent task whose worker was
	// lost while it ran: nobody can say whether it ended, so it is never
	// started again by itself.
	TaskUnknown
)

const (
	// TryFailed is a try that came to nothing, or nobody knows to what.
	TryFailed TryEnd = iota
	// TryStopped is a try that was stopped to make room. It does not count:
	// a task that yields often would be set aside for nothing it did.
	TryStopped
	// TryNotStarted is a try that its worker refused, so that it surely
	// never ran.
	TryNotStarted
)

type (
	// TryEnd says why a running task goes back to the queue.
	TryEnd uint8

	// TaskState is where a task stands.
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
		// Checkpointed says that the work so far is kept for the next try.
		Checkpointed bool `cbor:"18,keyasint,omitempty"`
		// Ended is when the task was cancelled or otherwise came to its end.
		Ended tackclock.Time `cbor:"19,keyasint,omitempty"`
	}

	// TaskChange takes one task to the next state. Tries counts up when
	// State is TaskRunning.
	TaskChange struct {
		Task         tackid.Task `cbor:"1,keyasint"`
		State        TaskState   `cbor:"2,keyasint"`
		Worker       tackid.VM   `cbor:"3,keyasint,omitempty"`
		Reason       string      `cbor:"4,keyasint,omitempty"`
		Checkpointed bool        `cbor:"5,keyasint,omitempty"`
		// Token, unless zero, is the token that the change is about. Without
		// it, a change that was proposed twice and came late would end the
		// next try, whose lease lives.
		Token tackid.Token `cbor:"6,keyasint,omitempty"`
		// End says why a running task is queued again.
		End TryEnd `cbor:"7,keyasint,omitempty"`
	}

	// Quota bounds what a team may hold at once. Zero means no bound.
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

// leadsTo reports whether a TaskChange may take a task from t to next.
func (t TaskState) leadsTo(next TaskState) bool {
	return int(t) < len(nextStates) && slices.Contains(nextStates[t], next)
}

// afterTry returns the state of a running task whose try came to nothing.
//
// A non-idempotent task is never given back to the queue: its worker may have
// done the work and only its answer was lost, and a second run would do it
// twice. It becomes unknown instead, until somebody learns how it ended.
func (t *Task) afterTry(end TryEnd) TaskState {
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

// ended reports whether the task needs nothing more by itself.
func (t *Task) ended() bool {
	return t.State != TaskQueued && t.State != TaskRunning
}
