package tackplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// TaskOrder orders a worker to run a task under a lease. A worker rejects a token that is
	// lower than one it has seen for the task.
	TaskOrder struct {
		Task     tackid.Task        `json:"task"`
		Lease    tackclock.Duration `json:"lease_ms"`
		Token    tackid.Token       `json:"token"`
		Cores    int                `json:"cores"`
		MemoryMB int                `json:"memory_mb"`
	}

	// TaskUsage is the last usage of a task that the platform measured. It lags behind.
	TaskUsage struct {
		Task     tackid.Task        `json:"task"`
		Token    tackid.Token       `json:"token"`
		State    string             `json:"state"`
		Cores    float64            `json:"cores"`
		MemoryMB float64            `json:"memory_mb"`
		LagMS    tackclock.Duration `json:"lag_ms"`
	}

	// verbBody is the body of a call for a running task.
	verbBody struct {
		Token tackid.Token       `json:"token"`
		Lease tackclock.Duration `json:"lease_ms,omitempty"`
		Cores int                `json:"cores,omitempty"`
	}

	// taskList decodes both a JSON array and an object with an array under "tasks".
	taskList []TaskUsage
)

// StartTask orders worker to run a task. It is not retried once it was sent, since the API
// does not define it as idempotent; after an *UnavailableError check Tasks. Errors are those
// of Start.
func (c *Client) StartTask(ctx context.Context, worker tackid.VM, order TaskOrder) error {
	return c.do(ctx, call{
		name:   "start task",
		method: http.MethodPost,
		path:   []string{"workers", string(worker), "tasks"},
		body:   order,
	})
}

// Renew extends the lease of a task to lease from now. It is idempotent.
func (c *Client) Renew(ctx context.Context, worker tackid.VM, task tackid.Task, token tackid.Token, lease tackclock.Duration) error {
	return c.verb(ctx, worker, task, "renew", verbBody{Token: token, Lease: lease}, true)
}

// Checkpoint makes a task save its work. It is sent once.
func (c *Client) Checkpoint(ctx context.Context, worker tackid.VM, task tackid.Task, token tackid.Token) error {
	return c.verb(ctx, worker, task, "checkpoint", verbBody{Token: token}, false)
}

// Throttle limits a task to cores; zero leaves the number to the worker. It is sent once.
func (c *Client) Throttle(ctx context.Context, worker tackid.VM, task tackid.Task, token tackid.Token, cores int) error {
	return c.verb(ctx, worker, task, "throttle", verbBody{Token: token, Cores: cores}, false)
}

// Stop ends a task. It is idempotent.
func (c *Client) Stop(ctx context.Context, worker tackid.VM, task tackid.Task, token tackid.Token) error {
	return c.verb(ctx, worker, task, "stop", verbBody{Token: token}, true)
}

// Tasks returns the tasks of worker with their usage, which lags behind.
func (c *Client) Tasks(ctx context.Context, worker tackid.VM) ([]TaskUsage, error) {
	var list taskList
	err := c.do(ctx, call{
		name:       "tasks of worker",
		method:     http.MethodGet,
		path:       []string{"workers", string(worker), "tasks"},
		answer:     &list,
		idempotent: true,
	})
	return list, err
}

func (c *Client) verb(ctx context.Context, worker tackid.VM, task tackid.Task, verb string, body verbBody, idempotent bool) error {
	return c.do(ctx, call{
		name:       verb + " task",
		method:     http.MethodPost,
		path:       []string{"workers", string(worker), "tasks", string(task), verb},
		body:       body,
		idempotent: idempotent,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		return json.Unmarshal(data, (*[]TaskUsage)(l))
	}
	var object struct {
		Tasks []TaskUsage `json:"tasks"`
	}
	err := json.Unmarshal(data, &object)
	*l = object.Tasks
	return err
}
