package tackhttp

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tacklimit"
	"auburntack/core/tackretry"
	"auburntack/core/tackroute"
)

const (
	maxKeyLen  = 255 // of an idempotency key, in bytes
	maxTeamLen = 128 // of a team's name, in bytes

	maxRequeues = 8 // times that a request that found no free slot is queued again
)

// call is the state of one request of a caller.
type call struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request

	began            tackclock.Time
	deadline         tackclock.Time // until which the answer must have begun
	explicitDeadline bool           // the caller set the deadline

	table   *tackroute.Table
	service *service
	id      uint64
	team    tackid.Team
	class   tackid.Class
	key     tackid.Key

	body     []byte      // unless it is streamed
	streamed bool        // the body is not buffered, so the request can be sent only once
	bodyRead atomic.Bool // some of a streamed body was read

	retryGranted atomic.Bool // a retry was already granted
	tries        int
	tried        []tackid.BackendServer

	released   bool // the place from admission was released
	status     int  // of the answer, once it has begun
	outcome    tackledger.Outcome
	callerGone bool
}

// serve serves the request. It returns a failure only if no byte of an answer
// was written.
func (c *call) serve() *failure {
	if f := c.parse(); f != nil {
		return f
	}
	if f := c.findService(); f != nil {
		return f
	}
	if f := c.readBody(); f != nil {
		return f
	}
	if f := c.checkSetAside(); f != nil {
		return f
	}
	if c.key != "" {
		return c.serveKeyed()
	}
	if f := c.admit(); f != nil {
		return f
	}
	defer c.release()
	a, f := c.dispatchAll()
	if f != nil {
		return f
	}
	return a.deliver(c)
}

// parse parses the header fields that are meant for auburntack.
func (c *call) parse() *failure {
	if f := c.checkFraming(); f != nil {
		return f
	}
	h := c.r.Header
	if len(h[headerTeam])+len(h[headerClass])+len(h[headerKey])+len(h[headerTimeout]) == 0 {
		c.deadline = c.began.Add(c.h.limits.Timeout)
		return nil
	}
	for _, name := range [...]string{headerTeam, headerClass, headerKey, headerTimeout} {
		if len(h[name]) > 1 {
			return badRequest(name + " is given more than once")
		}
	}
	class, err := tackid.ParseClass(firstValue(h, headerClass))
	if err != nil {
		return badRequest(headerClass + " must be urgent, normal or batch")
	}
	c.class = class
	team, key := firstValue(h, headerTeam), firstValue(h, headerKey)
	if len(team) > maxTeamLen || !printable(team) {
		return badRequest(headerTeam + " must be printable ASCII of at most " + strconv.Itoa(maxTeamLen) + " bytes")
	}
	if len(key) > maxKeyLen || !printable(key) || (key == "" && len(h[headerKey]) > 0) {
		return badRequest(headerKey + " must be printable ASCII of 1 to " + strconv.Itoa(maxKeyLen) + " bytes")
	}
	c.team, c.key = tackid.Team(team), tackid.Key(key)
	return c.parseTimeout(firstValue(h, headerTimeout))
}

func (c *call) parseTimeout(text string) *failure {
	if text == "" {
		c.deadline = c.began.Add(c.h.limits.Timeout)
		return nil
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil || ms == 0 {
		return badRequest(headerTimeout + " must be a whole number of milliseconds above 0")
	}
	c.explicitDeadline = true
	c.deadline = c.began.Add(min(tackclock.Duration(ms), maxTimeout))
	return nil
}

// checkFraming refuses requests that two servers could parse differently. Those
// that net/http itself refuses (a repeated Host, conflicting lengths, control
// characters in names and values, spaces before a colon) never get here.
func (c *call) checkFraming() *failure {
	if c.r.Method == http.MethodConnect {
		return refusal(http.StatusMethodNotAllowed, codeBadRequest, "CONNECT is not served", noRetryAfter)
	}
	if len(c.r.TransferEncoding) > 0 && !lacksContentLength(c.r) {
		c.w.Header()["Connection"] = []string{"close"}
		return badRequest("a request may have a Content-Length or a Transfer-Encoding, not both")
	}
	return nil
}

// findService looks up the service that the request's path names.
func (c *call) findService() *failure {
	if c.h.cfg.Ready != nil && !c.h.cfg.Ready() {
		return refusal(http.StatusServiceUnavailable, codeNotReady, "this VM takes no requests now", tackclock.Second)
	}
	c.table = c.h.table()
	if c.table == nil {
		return refusal(http.StatusServiceUnavailable, codeNotReady, "this VM has no configuration yet", tackclock.Second)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(c.r.URL.EscapedPath(), "/"), "/")
	if plain, err := url.PathUnescape(name); err == nil {
		name = plain
	}
	if name != "" {
		c.service = c.h.service(c.table, tackid.Service(name))
	}
	if c.service == nil {
		return refusal(http.StatusNotFound, codeUnknownService, "no service has this name", noRetryAfter)
	}
	c.id = c.h.ids.Add(1)
	return nil
}

// admit waits until the request is admitted.
func (c *call) admit() *failure {
	return c.service.admit(c.r.Context(), c.table, tacklimit.Request{
		ID:       c.id,
		Team:     c.team,
		Class:    c.class,
		Deadline: c.deadline,
	})
}

// release releases the place from admission. Further calls do nothing.
func (c *call) release() {
	if !c.released {
		c.released = true
		c.service.release(c.id)
	}
}

// dispatchAll sends the request to one backend server after another until one
// answers or no further retry is allowed. The answer of the returned attempt
// has begun.
func (c *call) dispatchAll() (*attempt, *failure) {
	var last *failure
	for {
		candidate, ok := c.service.pick(c.tried)
		if !ok && last == nil {
			candidate, ok, last = c.requeue()
		}
		if !ok {
			return nil, last
		}
		c.tries++
		a := newAttempt(c, candidate)
		f := a.run()
		if f == nil {
			c.recordSuccess()
			return a, nil
		}
		if f.backendFailed {
			c.recordFailure(candidate)
		}
		last = f
		c.tried = append(c.tried, candidate.BackendServer)
		if !c.mayRetry(f) {
			return nil, last
		}
		c.h.meters.retries.Inc(1)
	}
}

// requeue returns to the queue a request that was admitted but found no free
// slot, because this entry VM's share shrank or a backend server left in
// between. Otherwise the caller would be refused although slots are about to
// become free.
func (c *call) requeue() (tackroute.Candidate, bool, *failure) {
	for range maxRequeues {
		c.table = c.h.table()
		c.service.release(c.id)
		if f := c.admit(); f != nil {
			c.released = true
			return tackroute.Candidate{}, false, f
		}
		if candidate, ok := c.service.pick(c.tried); ok {
			return candidate, true, nil
		}
	}
	return tackroute.Candidate{}, false, refusal(http.StatusServiceUnavailable, codeNoBackend, "no backend server has a slot free", tackclock.Second)
}

// mayRetry reports whether the request may be sent again.
func (c *call) mayRetry(f *failure) bool {
	if c.r.Context().Err() != nil || c.bodyRead.Load() {
		return false
	}
	if c.retryGranted.Swap(false) {
		return true
	}
	return c.service.retry(tackretry.Attempt{
		Idempotent: c.idempotent(),
		NotRun:     f.didNotRun,
		Tries:      c.tries,
		TimeLeft:   c.timeLeft(),
	})
}

// idempotent reports whether the request may run more than once. One with an
// idempotency key may not, whatever its method.
func (c *call) idempotent() bool {
	if c.key != "" || c.streamed {
		return false
	}
	switch c.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() tackclock.Duration {
	return c.deadline.Sub(c.h.clock.Now())
}

// dispatchID returns the id of the current dispatch.
func (c *call) dispatchID() tackid.RequestID {
	id := make([]byte, 0, 96)
	id = append(id, c.h.prefix...)
	id = strconv.AppendUint(id, c.id, 10)
	id = append(id, '.')
	return tackid.RequestID(strconv.AppendInt(id, int64(c.tries), 10))
}

// requestID returns the id of the request.
func (c *call) requestID() tackid.RequestID {
	return tackid.RequestID(c.h.prefix + strconv.FormatUint(c.id, 10))
}

// fail answers the request with a failure.
func (c *call) fail(f *failure) {
	c.status, c.outcome = f.status, f.outcome()
	c.callerGone = c.callerGone || c.r.Context().Err() != nil
	c.h.meters.failed(f)
	f.write(c.w)
}

// count records the end of the request in the metrics and the Meter.
func (c *call) count() {
	now := c.h.clock.Now()
	latency := now.Sub(c.began)
	c.h.meters.requests.Inc(1)
	c.h.meters.latency.Update(int64(latency))
	if c.h.cfg.Meter == nil || c.service == nil {
		return
	}
	c.h.cfg.Meter.Count(Result{
		Service:    c.service.name,
		Team:       c.team,
		Class:      c.class,
		Outcome:    c.outcome,
		Status:     c.status,
		Late:       now.After(c.deadline),
		CallerGone: c.callerGone || c.r.Context().Err() != nil,
		Latency:    latency,
		Dispatches: c.tries,
	})
}

func badRequest(message string) *failure {
	return refusal(http.StatusBadRequest, codeBadRequest, message, noRetryAfter)
}

func firstValue(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// printable reports whether s consists of printable ASCII characters.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
