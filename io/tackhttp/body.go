package tackhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"auburntack/core/tackclock"
	"auburntack/io/tackport"
)

// readBody reads the request's body into memory if it is small enough. It
// refuses a body that is too large before anything is sent.
func (c *call) readBody() *failure {
	length := c.r.ContentLength
	limits := &c.h.limits
	switch {
	case length == 0:
		return nil
	case length > limits.MaxBody:
		return c.tooLarge("the body is larger than this VM takes")
	case length > limits.BufferBody && c.key != "":
		return c.tooLarge("the body of a request with a key is larger than can be held")
	case length > limits.BufferBody || length > 0 && c.key == "" && !c.h.port.Fits(length):
		c.streamed = true
		return nil
	}
	return c.bufferBody()
}

// bufferBody reads the body into memory.
func (c *call) bufferBody() *failure {
	limits := &c.h.limits
	var err error
	c.body, err = c.h.port.ReadBodyWithin(c.w, c.r, tackport.BodyLimits{
		Bytes: limits.BufferBody, Idle: limits.BodyTimeout, Deadline: time.Now().Add(c.timeLeft().Std()),
	})
	switch {
	case err == nil:
		return nil
	case tackport.IsRefused(err):
		return refusal(http.StatusServiceUnavailable, codeOverloaded, "too many bodies are held", tackclock.Second)
	case errors.As(err, new(*tackport.SlowError)):
		c.h.meters.slowCallers.Inc(1)
		return refusal(http.StatusRequestTimeout, codeSlowBody, "the body did not come in time", noRetryAfter)
	case errors.As(err, new(*tackport.TooLargeError)):
		return c.tooLarge("a body this large must be announced by Content-Length")
	}
	return refusal(http.StatusBadRequest, codeBrokenBody, "the body broke off", noRetryAfter)
}

func (c *call) tooLarge(message string) *failure {
	c.w.Header()["Connection"] = []string{"close"}
	return refusal(http.StatusRequestEntityTooLarge, codeTooLarge, message, noRetryAfter)
}

// streamReader passes a request body on without buffering it. The transport may
// still read it after the answer was delivered, when the caller's connection
// already carries the next request; end prevents such reads.
type streamReader struct {
	mu      sync.Mutex
	attempt *attempt
	rc      *http.ResponseController
	began   time.Time
	left    int64 // bytes still to be read
	ended   bool
}

// newStreamReader returns the body of a's request. It enables full duplex,
// since the answer may begin before the body was sent completely. Without full
// duplex the server would then close the body, and the transport would treat
// that as an error, close the connection to the backend server and truncate the
// answer.
func newStreamReader(a *attempt) *streamReader {
	s := &streamReader{attempt: a, rc: http.NewResponseController(a.call.w), began: time.Now(), left: a.call.r.ContentLength}
	s.rc.EnableFullDuplex()
	return s
}

// Read implements io.Reader. Each read counts as progress.
func (s *streamReader) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, context.Canceled
	}
	if s.left <= 0 {
		return 0, io.EOF
	}
	c := s.attempt.call
	c.bodyRead.Store(true)
	wait := c.h.limits.BodyTimeout
	s.attempt.resetTimer(2 * wait)
	deadline := time.Now().Add(wait.Std())
	if total := c.h.port.BodyDeadline(s.began, c.r.ContentLength-s.left); total.Before(deadline) {
		deadline = total
	}
	s.rc.SetReadDeadline(deadline)
	n, err := c.r.Body.Read(p)
	s.left -= int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.h.meters.slowCallers.Inc(1)
	}
	if s.left <= 0 {
		s.rc.SetReadDeadline(time.Time{})
		return n, io.EOF
	}
	return n, err
}

// Close implements io.Closer. It does nothing, since the server closes the
// caller's body.
func (s *streamReader) Close() error {
	return nil
}

// end makes all further Reads fail, and waits for one in progress.
func (s *streamReader) end() {
	if !s.mu.TryLock() {
		// Interrupt the Read by a deadline in the past. It is set only in this
		// case, since it would stop net/http from detecting that the caller
		// closes the connection.
		s.rc.SetReadDeadline(time.Unix(1, 0))
		s.mu.Lock()
		s.rc.SetReadDeadline(time.Time{})
	}
	s.ended = true
	s.mu.Unlock()
}
