// Package tackid defines the identifier types of auburntack. Each kind of identifier has
// its own type, so that the compiler rejects, for example, a pool in place of a service.
package tackid

import "fmt"

const (
	// ClassNormal is the default class of a request or task.
	ClassNormal Class = iota
	// ClassUrgent is work that must start within 2.3 s.
	ClassUrgent
	// ClassBatch is work that gives way to the other classes.
	ClassBatch
)

type (
	// VM names a machine that belongs to pools: it runs backend servers, and
	// as a worker it runs tasks. A worker and its VM have the same name.
	VM string
	// Peer names a VM of the system itself, one that runs auburntackd.
	Peer string
	// Pool names a set of VMs.
	Pool string
	// Service names something that callers send requests to; it is placed on one pool.
	Service string
	// Team names a customer that has quotas.
	Team string
	// Workspace names a customer that has API keys and a share of the workers.
	Workspace string
	// DataCentre names a failure domain that a network partition may isolate.
	DataCentre string
	// Rack names a failure domain within a data centre.
	Rack string
	// BackendServer names one process that serves requests of a service.
	BackendServer string
	// Wave names a maintenance wave.
	Wave string
	// Task names a unit of work that workers run under leases.
	Task string
	// CommandID makes a command idempotent: a command sent twice takes effect once.
	CommandID string
	// Operation makes a request to the platform idempotent.
	Operation string
	// RequestID names one dispatch of a request to a backend server.
	RequestID string
	// Key is an idempotency key provided by a caller.
	Key string

	// Revision is the index of a change in the replicated log. Every accepted command has a
	// revision, and later commands have higher ones.
	Revision uint64
	// Incarnation counts the restarts of a backend server or worker. Information from a
	// later incarnation takes precedence over all from an earlier one.
	Incarnation uint64
	// Token is a fencing token: a holder with a lower token is rejected.
	Token uint64

	// Class is the urgency of a request or task.
	Class uint8
)

var classNames = [...]string{ClassNormal: "normal", ClassUrgent: "urgent", ClassBatch: "batch"}

// UnknownClassError reports a text that is not the name of a class.
type UnknownClassError struct {
	Text string
}

// Error implements error.
func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("unknown class %q, want urgent, normal or batch", e.Text)
}

// String returns the name of the class, as callers and operators write it.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class_%d", uint8(c))
}

// ParseClass returns the class with the given name; the empty text is ClassNormal. The
// error is an *UnknownClassError.
func ParseClass(text string) (Class, error) {
	if text == "" {
		return ClassNormal, nil
	}
	for c, name := range classNames {
		if name == text {
			return Class(c), nil
		}
	}
	return ClassNormal, &UnknownClassError{Text: text}
}
