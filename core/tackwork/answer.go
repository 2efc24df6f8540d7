package tackwork

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackworkspace"
)

const (
	// Submit submits a job.
	Submit Operation = iota + 1
	// Cancel cancels a job.
	Cancel
	// Lookup queries the state of a job, or of the queue itself.
	Lookup
)

const (
	// Done means that the operation was carried out.
	Done Verdict = iota
	// NoQueue means that no queue has the host and path of the request.
	NoQueue
	// NoJob means that the queue holds no job with the ID.
	NoJob
	// Refused means that the job was not accepted and will never run.
	Refused
	// Invalid means that the content of the request is not valid.
	Invalid
	// Conflict means that different content is stored under the same version.
	Conflict
	// Unavailable means that nothing was done because this VM cannot decide the request.
	Unavailable
	// Unknown means that the operation may or may not have been carried out.
	Unknown
	// NoKey means that the queue requires a key and that the request had none, or one
	// that no workspace holds. Nothing was done.
	NoKey
)

type (
	// Operation is the kind of a request.
	Operation uint8

	// Verdict is the result of a request.
	Verdict uint8

	// Request is a caller's request to a queue. Host and Path are those of the call; the
	// leader uses them to find the queue.
	Request struct {
		Operation Operation `cbor:"1,keyasint"`
		Host      string    `cbor:"2,keyasint"`
		Path      string    `cbor:"3,keyasint"`
		// Spec is the submitted job, without its ID and queue.
		Spec *tackjob.Spec `cbor:"4,keyasint,omitempty"`
		// ID identifies the request in the logs of all VMs that handle it.
		ID tackid.RequestID `cbor:"5,keyasint,omitempty"`
		// Key is the fingerprint of the key that the caller presented.
		Key tackworkspace.Fingerprint `cbor:"6,keyasint,omitempty"`
	}

	// Answer is the response to a Request.
	Answer struct {
		Verdict Verdict `cbor:"1,keyasint,omitempty"`
		// Progress answers a Lookup of a job. Queue and Pending answer a Lookup of a
		// queue.
		Progress JobProgress `cbor:"2,keyasint,omitempty"`
		Queue    bool        `cbor:"3,keyasint,omitempty"`
		Pending  int         `cbor:"4,keyasint,omitempty"`
		// RetryAfter is the time after which to retry, with Refused and Unavailable.
		RetryAfter tackclock.Duration `cbor:"5,keyasint,omitempty"`
		// Reason explains the verdict, for logs and callers.
		Reason string `cbor:"6,keyasint,omitempty"`
		// NotLeader says that the VM that answered is not the leader and cannot decide.
		// Leader is the VM that it considers the leader, Control all control VMs that it
		// knows.
		NotLeader bool          `cbor:"7,keyasint,omitempty"`
		Leader    tackid.Peer   `cbor:"8,keyasint,omitempty"`
		Control   []tackid.Peer `cbor:"9,keyasint,omitempty"`
	}

	// JobProgress is the state of a job as shown to its caller.
	JobProgress uint8
)

const (
	// Queued jobs have not started.
	Queued JobProgress = iota
	// Active jobs have started.
	Active
	// Complete jobs have all their items done.
	Complete
	// Failed jobs have an item that failed too often or that was found to crash workers.
	Failed
	// Cancelled jobs were cancelled by their caller.
	Cancelled
)

// ProgressOf returns the progress of the job; begun says whether any of its items has
// started.
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

// String returns the name of the verdict, for logs.
func (v Verdict) String() string {
	return [...]string{
		Done: "done", NoQueue: "no_queue", NoJob: "no_job", Refused: "refused", Invalid: "invalid",
		Conflict: "conflict", Unavailable: "unavailable", Unknown: "unknown", NoKey: "no_key",
	}[v]
}

// String returns the name of the operation, for logs.
func (o Operation) String() string {
	return [...]string{Submit: "submit", Cancel: "cancel", Lookup: "lookup"}[o]
}

// DecidesJob reports whether the verdict holds for all attempts of a request. The others are
// reached without looking at the job: the queue may have been dropped, or the key taken away,
// after an earlier attempt was carried out.
func (v Verdict) DecidesJob() bool {
	switch v {
	case NoQueue, NoKey, Unavailable:
		return false
	}
	return true
}
