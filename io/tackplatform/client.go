// Package tackplatform implements a client of the platform's HTTP API, which maintains VMs and
// runs tasks on workers.
//
// The platform may answer late, fail, or lose an answer. Every call ends in bounded time, and
// only idempotent calls are retried.
package tackplatform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// DefaultTryTimeout bounds one attempt of a call.
	DefaultTryTimeout = 2 * tackclock.Second
	// DefaultTimeout bounds a call with all its attempts.
	DefaultTimeout = 8 * tackclock.Second
	// DefaultTries is the maximum number of attempts of an idempotent call.
	DefaultTries = 3
	// DefaultBackoff is the delay before the second attempt; it doubles with each further
	// one.
	DefaultBackoff = 200 * tackclock.Millisecond
)

const (
	// StateServing is the state of a running VM.
	StateServing VMState = "serving"
	// StateStopped is the state of a VM that is powered off.
	StateStopped VMState = "stopped"
	// StateRebooting is the state of a VM during a reboot or an upgrade.
	StateRebooting VMState = "rebooting"
	// StateFailed is the state of a VM that did not come back after an operation.
	StateFailed VMState = "failed"
)

type (
	// VMState is the state of a VM as the platform reports it.
	VMState string

	// VMStatus is the platform's status of one VM. Operation is the last one that the
	// platform accepted for the VM.
	VMStatus struct {
		VM        tackid.VM        `json:"vm"`
		State     VMState          `json:"state"`
		Operation tackid.Operation `json:"operation"`
	}

	// Client is a client of one platform. Only Address is required; other fields that are
	// zero take their default values. It is safe for concurrent use.
	Client struct {
		// Address is the IP address and port of the platform.
		Address string
		// HTTP sends the requests; if nil, a shared default client is used.
		HTTP *http.Client
		// TryTimeout bounds one attempt, Timeout a call with all its attempts.
		TryTimeout tackclock.Duration
		Timeout    tackclock.Duration
		Tries      int
		Backoff    tackclock.Duration
	}

	operationBody struct {
		Operation tackid.Operation `json:"operation"`
	}

	// call is a call to the platform. An idempotent call may be sent again if its answer was
	// lost.
	call struct {
		name       string
		method     string
		path       []string
		body       any
		answer     any
		idempotent bool
	}
)

// Start starts action on vm under the operation's id. It is idempotent: if it is called again
// with the same id, the platform continues the operation it has. The error is an
// *UnavailableError, after which the operation may or may not run, or a *RefusedError, after
// which it does not.
func (c *Client) Start(ctx context.Context, vm tackid.VM, action tackfleet.Action, op tackid.Operation) error {
	return c.do(ctx, call{
		name:       "start " + string(action),
		method:     http.MethodPost,
		path:       []string{"vms", string(vm), string(action)},
		body:       operationBody{Operation: op},
		idempotent: true,
	})
}

// State returns the platform's status of vm. Errors are those of Start.
func (c *Client) State(ctx context.Context, vm tackid.VM) (VMStatus, error) {
	var status VMStatus
	err := c.do(ctx, call{
		name:       "state of VM",
		method:     http.MethodGet,
		path:       []string{"vms", string(vm)},
		answer:     &status,
		idempotent: true,
	})
	if err == nil && status.VM != vm {
		err = &AnswerError{Call: "state of VM", Reason: fmt.Sprintf("is about %q, not %q", status.VM, vm)}
	}
	if err != nil {
		return VMStatus{}, err
	}
	return status, nil
}

// do sends the call, and retries it where that is safe, until an attempt succeeds or the time
// or the number of attempts is used up.
func (c *Client) do(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, DefaultTimeout).Std())
	defer cancel()
	tries := orDefault(c.Tries, DefaultTries)
	backoff := orDefault(c.Backoff, DefaultBackoff)
	for n := 1; ; n++ {
		err := c.try(ctx, k)
		if err == nil || n == tries || !repeatable(k, err) {
			return err
		}
		if !pause(ctx, backoff) {
			return err
		}
		backoff *= 2
	}
}

// pause waits for d, reduced by a random amount of up to a half, and reports whether ctx has
// not ended.
func pause(ctx context.Context, d tackclock.Duration) bool {
	wait := d.Std()/2 + time.Duration(rand.Int64N(int64(d.Std()/2)+1))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// url returns the URL of the call. A slash in a name is escaped; an empty name and the path
// elements "." and ".." are rejected, since a server would resolve them to another path.
func (c *Client) url(k call) (string, error) {
	var b strings.Builder
	b.WriteString("http://" + c.Address)
	for _, name := range k.path {
		if name == "" || name == "." || name == ".." {
			return "", &NameError{Call: k.name, Name: name}
		}
		b.WriteString("/" + url.PathEscape(name))
	}
	return b.String(), nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
