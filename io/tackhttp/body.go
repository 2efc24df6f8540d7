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

// readBody reads the request's body where it is small enough to be held, and
// refuses one that is too large before anything is sent.
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
	return c.holdBody(length)
}

// holdBody reads the body into memory. Length is -1 where it isn't known.
func (c *call) holdBody(length int64) *failure {
	src := &slowReader{call: c, rc: http.NewResponseController(c.w)}
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

// reserve takes n bytes of what all held bodies may take together.
func (c *call) reserve(n int64) bool {
	if c.h.held.Add(n) > c.h.limits.BufferTotal {
		c.h.held.Add(-n)
		return false
	}
	c.reserved = n
	return true
}

func (c *call) releaseBody() {
	c.h.held.Add(-c.reserved)
	c.reserved = 0
}

// slowReader reads the request's body and gives up on a caller that sends
// nothing for too long, or that is not done by its deadline. A caller that
// went silent would otherwise hold its memory for ever.
type slowReader struct {
	call *call
	rc   *http.ResponseController
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	wait := min(s.call.h.limits.BodyWait, s.call.left())
	s.rc.SetReadDeadline(time.Now().Add(wait.Std()))
	return s.call.r.Body.Read(p)
}

// stop takes the deadline away, so that it doesn't end the watch for a caller
// that hangs up.
func (s *slowReader) stop() {
	s.rc.SetReadDeadline(time.Time{})
}

// streamReader is a body that is passed on as it comes. The transport may read
// it after the answer was delivered, when the caller's connection is used by
// the next request already; end makes that impossible.
type streamReader struct {
	mu      sync.Mutex
	attempt *attempt
	rc      *http.ResponseController
	left    int64 // bytes to come
	ended   bool
}

// newStreamReader returns the body of a's request. The answer may begin while
// the body is still on its way. Without full duplex the server would then
// close the body, the transport would take that for an error, close the
// backend server's connection, and the answer would be cut.
func newStreamReader(a *attempt) *streamReader {
	s := &streamReader{attempt: a, rc: http.NewResponseController(a.call.w), left: a.call.r.ContentLength}
	s.rc.EnableFullDuplex()
	return s
}

// Read implements io.Reader. Each part that was read counts as progress.
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
	c.touched.Store(true)
	wait := c.h.limits.BodyWait
	s.attempt.wait(2 * wait)
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

// Close implements io.Closer. The server closes the caller's body itself.
func (s *streamReader) Close() error {
	return nil
}

// end makes every further Read fail and waits for one under way.
func (s *streamReader) end() {
	if !s.mu.TryLock() {
		// A deadline that has passed ends the Read. It is set in this case
		// only: it would break the server's watch for a caller that hangs up.
		s.rc.SetReadDeadline(time.Unix(1, 0))
		s.mu.Lock()
		s.rc.SetReadDeadline(time.Time{})
	}
	s.ended = true
	s.mu.Unlock()
}
