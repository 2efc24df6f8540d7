// Package tackid names the things that auburntack keeps track of. Each kind
// of name is a type of its own, so that the compiler refuses a pool where a
// service is due.
package tackid

import "fmt"

const (
	// ClassNormal is the class of a request or task that names none.
	ClassNormal Class = iota
	// ClassUrgent is work that must start within 2.3 s.
	ClassUrgent
	// ClassBatch is work that yields to the other classes.
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
	// Service names what callers ask for; it is placed on one pool.
	Service string
	// Team names a customer that quotas are given to.
	Team string
	// Workspace names a customer with keys and a share of the workers.
	Workspace string
	// DataCentre names a failure domain that a network partition may cut off.
	DataCentre string
	// Rack names a failure domain within a data centre.
	Rack string
	// BackendServer names one process that serves requests of a service.
	BackendServer string
	// Wave names a maintenance wave.
	Wave string
	// Task names a unit of work that workers run under leases.
	Task string
	// CommandID makes a command idempotent: sent twice, it takes effect once.
	CommandID string
	// Operation makes a request to the platform idempotent.
	Operation string
	// RequestID names one dispatch of a request to a backend server.
	RequestID string
	// Key is an idempotency key that a caller gave.
	Key string

	// Revision is the position of a change in the replicated log. Every
	// accepted command stands at a revision, and later ones stand higher.
	Revision uint64
	// Incarnation counts the lives of one backend server or worker. What a
	// later life says goes before all that an earlier one said.
	Incarnation uint64
	// Token is a fencing token: a holder with a lower one is refused.
	Token uint64

	// Class is how urgent a piece of work is.
	Class uint8
)

var classNames = [...]string{ClassNormal: "normal", ClassUrgent: "urgent", ClassBatch: "batch"}

// UnknownClassError reports a text that names no class.
type UnknownClassError struct {
	Text string
}

// Error implements error.
func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("unknown class %q, want urgent, normal or batch", e.Text)
}

// String returns the name that callers and operators use.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class_%d", uint8(c))
}

// ParseClass returns the class that text names; the empty text is
// ClassNormal. The error is an *UnknownClassError.
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
