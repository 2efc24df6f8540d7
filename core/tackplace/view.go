package tackplace

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// VerbStart has a worker start a task under a lease.
	VerbStart Verb = "start"
	// VerbRenew extends the lease of a task.
	VerbRenew Verb = "renew"
	// VerbCheckpoint has a task save its work.
	VerbCheckpoint Verb = "checkpoint"
	// VerbThrottle bounds a task to Cores.
	VerbThrottle Verb = "throttle"
	// VerbStop ends a task. The answer says that it runs no more.
	VerbStop Verb = "stop"
)

const (
	// OutcomeUnknown is an order that was sent and not answered.
	OutcomeUnknown Outcome = iota
	// OutcomeDone is an order that the worker carried out.
	OutcomeDone
	// OutcomeRefused is an order that the worker did not carry out.
	OutcomeRefused
	// OutcomeNotSent is an order that surely never left.
	OutcomeNotSent
)

const (
	// StateRunning is the state of a task that its worker runs.
	StateRunning UsageState = "running"
	// StateDone is the state of a task that ended well.
	StateDone UsageState = "done"
	// StateFailed is the state of a task that ended badly.
	StateFailed UsageState = "failed"
	// StateStopped is the state of a task that was stopped, or whose lease
	// ran out.
	StateStopped UsageState = "stopped"
)

type (
	// Verb is what a worker is asked to do with a task.
	Verb string

	// Outcome is what became of an order.
	Outcome uint8

	// UsageState is what a worker says of a task. One that is none of the
	// constants counts as running.
	UsageState string

	// View is what the leader sees.
	View struct {
		Now tackclock.Time
		// Term is the leader's; a new one makes the Placer start anew.
		Term  uint64
		Fleet *tackfleet.State
		// Pending says that changes of earlier decisions may still come.
		Pending bool
		// Reports and Answers are those that came since the last call.
		Reports []Report
		Answers []Answer
	}

	// Report is what the platform said of one worker's tasks. What it says
	// is older than Asked by up to Settings.UsageLag.
	Report struct {
		Worker tackid.VM
		Asked  tackclock.Time
		Tasks  []Usage
	}

	// Usage is what the platform measured of one task, Lag before the report.
	Usage struct {
		Task     tackid.Task
		Token    tackid.Token
		State    UsageState
		Cores    float64
		MemoryMB float64
		Lag      tackclock.Duration
	}

	// Order asks a worker to do something with a task. Lease counts from
	// when the worker gets it.
	Order struct {
		Worker   tackid.VM
		Task     tackid.Task
		Verb     Verb
		Token    tackid.Token
		Lease    tackclock.Duration
		Cores    int
		MemoryMB int
	}

	// Answer is what became of an order. Each order needs one, within
	// Settings.OrderLimit.
	Answer struct {
		Order
		Outcome Outcome
		Reason  string
	}

	// Decision is what to propose and what to ask of workers, the most
	// urgent first.
	Decision struct {
		Changes []tackfleet.Change
		Orders  []Order
	}
)

// ended reports whether the worker says that the task runs no more.
func (s UsageState) ended() bool {
	return s == StateDone || s == StateFailed || s == StateStopped
}
