// Package tackplatform asks the platform to maintain VMs and to run tasks on
// workers, over its HTTP contract.
//
// The platform may answer late, fail, or lose an answer. Every call ends in
// bounded time, and only those that are idempotent are tried again.
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
	// DefaultTryTimeout bounds one try of a call.
	DefaultTryTimeout = 2 * tackclock.Second
	// DefaultTimeout bounds a call with all its tries.
	DefaultTimeout = 8 * tackclock.Second
	// DefaultTries is how often an idempotent call is tried.
	DefaultTries = 3
	// DefaultBackoff is the wait before the second try; it doubles for each
	// further one.
	DefaultBackoff = 200 * tackclock.Millisecond
)

const (
	// StateServing is the state of a VM that runs.
	StateServing VMState = "serving"
	// StateStopped is the state of a VM that is switched off.
	StateStopped VMState = "stopped"
	// StateRebooting is the state of a VM under a reboot or an upgrade.
	StateRebooting VMState = "rebooting"
	// StateFailed is the state of a VM that did not come back.
	StateFailed VMState = "failed"
)

type (
	// VMState is what the platform says a VM does.
	VMState string

	// VMStatus is the platform's answer for one VM. Operation is the last
	// that it took up for the VM.
	VMStatus struct {
		VM        tackid.VM        `json:"vm"`
		State     VMState          `json:"state"`
		Operation tackid.Operation `json:"operation"`
	}

	// Client asks one platform. Only Address is required; the zero value of
	// the rest takes the defaults. It may be used from several goroutines.
	Client struct {
		// Address is the platform's IP number and port.
		Address string
		// HTTP sends the requests; nil uses a client of its own.
		HTTP *http.Client
		// TryTimeout bounds one try, Timeout a call with all its tries.
		TryTimeout tackclock.Duration
		Timeout    tackclock.Duration
		Tries      int
		Backoff    tackclock.Duration
	}

	operationBody struct {
		Operation tackid.Operation `json:"operation"`
	}

	// call is one request, and whether it may be sent again after an answer
	// that was lost.
	call struct {
		name       string
		method     string
		path       []string
		body       any
		answer     any
		idempotent bool
	}
)

// Start asks for action on vm under the operation's id. It is idempotent:
// asked again with the same id, the platform goes on with the operation it
// has. The error is an *UnavailableError, after which the operation may run or
// not, or a *RefusedError, after which it does not.
func (c *Client) Start(ctx context.Context, vm tackid.VM, action tackfleet.Action, op tackid.Operation) error {
	return c.do(ctx, call{
		name:       "start " + string(action),
		method:     http.MethodPost,
		path:       []string{"vms", string(vm), string(action)},
		body:       operationBody{Operation: op},
		idempotent: true,
	})
}

// State returns what the platform says of vm. Errors are those of Start.
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

// do sends the call, again where that is safe, until one try succeeds or the
// time or the number of tries is used up.
func (c *Client) do(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, defaulted(c.Timeout, DefaultTimeout).Std())
	defer cancel()
	tries := defaulted(c.Tries, DefaultTries)
	backoff := defaulted(c.Backoff, DefaultBackoff)
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

// pause waits for d, less by up to a half, and reports whether ctx still
// lasts.
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

// url returns the address that the call goes to. A name with a slash in it is
// escaped; one that a server would take for a way up is refused.
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

func defaulted[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
