package tackwork

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackworkspace"
)

const (
	// Submit hands in a job.
	Submit Operation = iota + 1
	// Cancel withdraws one.
	Cancel
	// Lookup asks how a job, or the queue itself, stands.
	Lookup
)

const (
	// Done means that the operation was carried out.
	Done Verdict = iota
	// NoQueue means that no queue has this host and path.
	NoQueue
	// NoJob means that the queue holds no such job.
	NoJob
	// Refused means that the job was not accepted and never runs.
	Refused
	// Invalid means that what was sent cannot be carried out.
	Invalid
	// Conflict means that other content is held under the same version.
	Conflict
	// Unavailable means that nothing was done, since this VM cannot decide.
	Unavailable
	// Unknown means that it may or may not have been done.
	Unknown
	// NoKey means that the queue asks for a key, and that no workspace holds the one
	// that was shown, if any. Nothing was done.
	NoKey
)

type (
	// Operation is what a caller asks for.
	Operation uint8

	// Verdict is what became of a request.
	Verdict uint8

	// Request is what a caller asks of a queue. Host and Path are the
	// caller's; the leader finds the queue by them.
	Request struct {
		Operation Operation `cbor:"1,keyasint"`
		Host      string    `cbor:"2,keyasint"`
		Path      string    `cbor:"3,keyasint"`
		// Spec is the job that is handed in, without id and queue.
		Spec *tackjob.Spec `cbor:"4,keyasint,omitempty"`
		// ID names the request in the logs of all VMs that it passes.
		ID tackid.RequestID `cbor:"5,keyasint,omitempty"`
		// Key is the key that the caller showed.
		Key tackworkspace.Fingerprint `cbor:"6,keyasint,omitempty"`
	}

	// Answer is what becomes of a Request.
	Answer struct {
		Verdict Verdict `cbor:"1,keyasint,omitempty"`
		// Progress and Pending answer a Lookup: of a job, and of a queue.
		Progress JobProgress `cbor:"2,keyasint,omitempty"`
		Queue    bool        `cbor:"3,keyasint,omitempty"`
		Pending  int         `cbor:"4,keyasint,omitempty"`
		// RetryAfter is when to come back, with Refused and Unavailable.
		RetryAfter tackclock.Duration `cbor:"5,keyasint,omitempty"`
		// Reason says why, for logs and callers.
		Reason string `cbor:"6,keyasint,omitempty"`
		// NotLeader says that the VM that answered cannot decide; Leader is
		// the one that it takes for the leader, Control all that it knows.
		NotLeader bool          `cbor:"7,keyasint,omitempty"`
		Leader    tackid.Peer   `cbor:"8,keyasint,omitempty"`
		Control   []tackid.Peer `cbor:"9,keyasint,omitempty"`
	}

	// JobProgress is how a job stands for its caller.
	JobProgress uint8
)

const (
	// Queued jobs have not begun.
	Queued JobProgress = iota
	// Active jobs have.
	Active
	// Complete jobs are through.
	Complete
	// Failed jobs had an item that failed too often.
	Failed
	// Cancelled jobs were withdrawn.
	Cancelled
)

// ProgressOf returns how the job stands; begun says whether any item of it
// has started.
func ProgressOf(j *tackjob.Job, begun bool) JobProgress {
	switch j.Phase {
	case tackjob.Complete:
		return Complete
	case tackjob.Failed:
		return Failed
	case tackjob.Cancelled:
		return Cancelled
	}
	if begun {
		return Active
	}
	return Queued
}

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{
		Done: "done", NoQueue: "no_queue", NoJob: "no_job", Refused: "refused", Invalid: "invalid",
		Conflict: "conflict", Unavailable: "unavailable", Unknown: "unknown", NoKey: "no_key",
	}[v]
}

// String names the operation in logs.
func (o Operation) String() string {
	return [...]string{Submit: "submit", Cancel: "cancel", Lookup: "lookup"}[o]
}
