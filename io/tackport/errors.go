package tackport

import (
	"errors"
	"fmt"
	"net/http"
)

type (
	// TooLargeError reports a body that is larger than the limit.
	TooLargeError struct {
		Limit int64
	}

	// SlowError reports a body that was not sent in time.
	SlowError struct {
		Received int64
	}

	// RefusedError reports a request that was refused because there is no memory for it. It was
	// not carried out, and may be sent again.
	RefusedError struct {
		Port string
	}
)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body: larger than %d bytes", e.Limit)
}

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("body: only %d bytes were sent in time", e.Received)
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "too many clients send large requests to the port " + e.Port
}

// Status returns the status code of the answer to a request whose body could not be read.
func Status(err error) int {
	switch {
	case errors.As(err, new(*TooLargeError)):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, new(*SlowError)):
		return http.StatusRequestTimeout
	case errors.As(err, new(*RefusedError)):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
