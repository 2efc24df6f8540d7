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
	case length > limits.BufferBody:
		c.streamed = true
		return nil
	}
	reserve := length
	if length < 0 {
		reserve = limits.BufferBody
	}
	if !c.reserve(reserve) {
		if length < 0 || c.key != "" {
			return refusal(http.StatusServiceUnavailable, codeOverloaded, "too many bodies are held", tackclock.Second)
		}
		c.streamed = true
		return nil
	}
	return c.bufferBody(length)
}

// bufferBody reads the body into memory. The length is -1 if it is unknown.
func (c *call) bufferBody(length int64) *failure {
	src := &deadlineReader{call: c, rc: http.NewResponseController(c.w)}
	defer src.stop()
	var err error
	if length >= 0 {
		c.body = make([]byte, length)
		_, err = io.ReadFull(src, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(src, c.h.limits.BufferBody+1))
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.h.meters.slowCallers.Inc(1)
		c.w.Header()["Connection"] = []string{"close"}
		return refusal(http.StatusRequestTimeout, codeSlowBody, "the body did not come in time", noRetryAfter)
	case err != nil:
		c.w.Header()["Connection"] = []string{"close"}
		return refusal(http.StatusBadRequest, codeBrokenBody, "the body broke off", noRetryAfter)
	case int64(len(c.body)) > c.h.limits.BufferBody:
		return c.tooLarge("a body this large must be announced by Content-Length")
	}
	return nil
}

func (c *call) tooLarge(message string) *failure {
	c.w.Header()["Connection"] = []string{"close"}
	return refusal(http.StatusRequestEntityTooLarge, codeTooLarge, message, noRetryAfter)
}

// reserve reserves n bytes of the memory for buffered bodies, and reports
// whether that many were available.
func (c *call) reserve(n int64) bool {
	if c.h.bufferedBytes.Add(n) > c.h.limits.BufferTotal {
		c.h.bufferedBytes.Add(-n)
		return false
	}
	c.reserved = n
	return true
}

func (c *call) releaseBody() {
	c.h.bufferedBytes.Add(-c.reserved)
	c.reserved = 0
}

// deadlineReader reads the request's body. A read fails if the caller sends
// nothing for too long, or at the deadline of the request; otherwise a caller
// that stops sending would hold its memory indefinitely.
type deadlineReader struct {
	call *call
	rc   *http.ResponseController
}

// Read implements io.Reader.
func (s *deadlineReader) Read(p []byte) (int, error) {
	wait := min(s.call.h.limits.BodyTimeout, s.call.timeLeft())
	s.rc.SetReadDeadline(time.Now().Add(wait.Std()))
	return s.call.r.Body.Read(p)
}

// stop clears the read deadline, which would otherwise stop net/http from
// detecting that the caller closes the connection.
func (s *deadlineReader) stop() {
	s.rc.SetReadDeadline(time.Time{})
}

// streamReader passes a request body on without buffering it. The transport may
// still read it after the answer was delivered, when the caller's connection
// already carries the next request; end prevents such reads.
type streamReader struct {
	mu      sync.Mutex
	attempt *attempt
	rc      *http.ResponseController
	left    int64 // bytes still to be read
	ended   bool
}

// newStreamReader returns the body of a's request. It enables full duplex,
// since the answer may begin before the body was sent completely. Without full
// duplex the server would then close the body, and the transport would treat
// that as an error, close the connection to the backend server and truncate the
// answer.
func newStreamReader(a *attempt) *streamReader {
	s := &streamReader{attempt: a, rc: http.NewResponseController(a.call.w), left: a.call.r.ContentLength}
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
	s.rc.SetReadDeadline(time.Now().Add(wait.Std()))
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
