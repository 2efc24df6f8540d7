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
	// VerbThrottle limits a task to Cores.
	VerbThrottle Verb = "throttle"
	// VerbStop ends a task. The answer confirms that it does not run any more.
	VerbStop Verb = "stop"
)

const (
	// OutcomeUnknown is the outcome of an order that was sent and not answered.
	OutcomeUnknown Outcome = iota
	// OutcomeDone is the outcome of an order that the worker carried out.
	OutcomeDone
	// OutcomeRefused is the outcome of an order that the worker did not carry
	// out.
	OutcomeRefused
	// OutcomeNotSent is the outcome of an order that was certainly not sent.
	OutcomeNotSent
)

const (
	// StateRunning is the state of a task that its worker runs.
	StateRunning UsageState = "running"
	// StateDone is the state of a task that succeeded.
	StateDone UsageState = "done"
	// StateFailed is the state of a task that failed.
	StateFailed UsageState = "failed"
	// StateStopped is the state of a task that was stopped, or whose lease
	// ran out.
	StateStopped UsageState = "stopped"
)

type (
	// Verb is the kind of an order.
	Verb string

	// Outcome is the outcome of an order.
	Outcome uint8

	// UsageState is the state of a task as reported by its worker. Unknown
	// values count as running.
	UsageState string

	// View is the state on which the Placer bases a decision.
	View struct {
		Now tackclock.Time
		// Term is the leader's term. A new term resets the Placer.
		Term  uint64
		Fleet *tackfleet.State
		// Pending reports that changes of earlier decisions may still be
		// applied.
		Pending bool
		// Reports and Answers are those received since the last call.
		Reports []Report
		Answers []Answer
	}

	// Report is the platform's report on the tasks of one worker. It was
	// requested at RequestedAt, and its data may be older by Settings.UsageLag.
	Report struct {
		Worker      tackid.VM
		RequestedAt tackclock.Time
		Tasks       []Usage
	}

	// Usage is the resource usage of one task, measured Lag before the report.
	Usage struct {
		Task     tackid.Task
		Token    tackid.Token
		State    UsageState
		Cores    float64
		MemoryMB float64
		Lag      tackclock.Duration
	}

	// Order is an order to a worker about a task. Lease is counted from the
	// time at which the worker receives the order.
	Order struct {
		Worker   tackid.VM
		Task     tackid.Task
		Verb     Verb
		Token    tackid.Token
		Lease    tackclock.Duration
		Cores    int
		MemoryMB int
	}

	// Answer is the outcome of an order. Each order must get an Answer within
	// Settings.OrderLimit.
	Answer struct {
		Order
		Outcome Outcome
		Reason  string
	}

	// Decision is the result of Placer.Decide: changes to propose and orders
	// to send to workers, the most urgent first.
	Decision struct {
		Changes []tackfleet.Change
		Orders  []Order
	}
)

// ended reports whether a task in this state has ended.
func (s UsageState) ended() bool {
	return s == StateDone || s == StateFailed || s == StateStopped
}
