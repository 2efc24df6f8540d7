package tackplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"auburntack/core/tackclock"
)

const (
	// maxAnswerBytes bounds an answer, including the list of a worker's tasks.
	maxAnswerBytes = 1 << 20
	// maxReasonBytes bounds the part of a refusal's text that is kept.
	maxReasonBytes = 300
)

// defaultHTTP is used by a Client without an HTTP client. It uses no proxy and follows no
// redirect: the platform is at the address that the settings name.
var defaultHTTP = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: (30 * tackclock.Second).Std()},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

type (
	// UnavailableError reports a call without a usable answer. Unless NotSent is set the
	// platform may have carried it out.
	UnavailableError struct {
		Call string
		// Status is the HTTP status of the answer, or zero without an answer.
		Status  int
		NotSent bool
		Err     error
	}

	// RefusedError reports a call that the platform answered but did not carry out.
	RefusedError struct {
		Call   string
		Status int
		Reason string
	}

	// AnswerError reports an answer that violates the API.
	AnswerError struct {
		Call   string
		Reason string
	}

	// NameError reports a name that cannot be part of a path.
	NameError struct {
		Call string
		Name string
	}
)

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("tackplatform: %s: platform unavailable, status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("tackplatform: %s: platform unavailable: %v", e.Call, e.Err)
}

// Unwrap returns the error of the connection.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tackplatform: %s refused with status %d: %s", e.Call, e.Status, e.Reason)
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("tackplatform: answer to %s: %s", e.Call, e.Reason)
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("tackplatform: %s: name %q cannot be part of a path", e.Call, e.Name)
}

// try makes one attempt of the call.
func (c *Client) try(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.TryTimeout, DefaultTryTimeout).Std())
	defer cancel()
	r, err := c.request(ctx, k)
	if err != nil {
		return err
	}
	w, err := orDefault(c.HTTP, defaultHTTP).Do(r)
	if err != nil {
		return &UnavailableError{Call: k.name, NotSent: notSent(err), Err: err}
	}
	defer w.Body.Close()
	data, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes+1))
	if err != nil {
		return &UnavailableError{Call: k.name, Err: err}
	}
	return k.read(w.StatusCode, data)
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		data, err := json.Marshal(k.body)
		if err != nil {
			return nil, fmt.Errorf("tackplatform: encode %s: %w", k.name, err)
		}
		body = bytes.NewReader(data)
	}
	address, err := c.url(k)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, k.method, address, body)
	if err != nil {
		return nil, fmt.Errorf("tackplatform: %s: %w", k.name, err)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// read checks and decodes an answer.
func (k call) read(status int, data []byte) error {
	switch {
	case status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return &UnavailableError{Call: k.name, Status: status}
	case status < 200 || status > 299:
		reason := strings.TrimSpace(string(data[:min(len(data), maxReasonBytes)]))
		return &RefusedError{Call: k.name, Status: status, Reason: reason}
	case k.answer == nil:
		return nil
	case len(data) > maxAnswerBytes:
		return &AnswerError{Call: k.name, Reason: fmt.Sprintf("over %d bytes", maxAnswerBytes)}
	}
	if err := json.Unmarshal(data, k.answer); err != nil {
		return &AnswerError{Call: k.name, Reason: err.Error()}
	}
	return nil
}

// repeatable reports whether the call may be sent again after err. A call that is not
// idempotent may only if it was never sent: otherwise it could take effect twice.
func repeatable(k call, err error) bool {
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		return false
	}
	return k.idempotent || unavailable.NotSent
}

// notSent reports whether no connection was established.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
