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
	maxKey  = 255 // bytes of an idempotency key
	maxName = 128 // bytes of a team's name

	maxReturns = 8 // to the queue, of a request that found no slot
)

// call is one request of a caller.
type call struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request

	began    tackclock.Time
	deadline tackclock.Time // for the answer to begin
	explicit bool           // the caller gave the deadline

	table   *tackroute.Table
	service *service
	id      uint64
	team    tackid.Team
	class   tackid.Class
	key     tackid.Key

	body     []byte      // where it is held
	streamed bool        // it is not held, and can be sent once only
	touched  atomic.Bool // some of a streamed body was read
	reserved int64       // bytes of the body that count in Handler.held

	granted atomic.Bool // another try was granted already
	tries   int
	tried   []tackid.BackendServer

	hasLeft bool // the place of admission was given back
	status  int  // of the answer, once it began
	outcome tackledger.Outcome
	gone    bool
}

// serve does all that the request asks for. A failure is returned where no
// byte of an answer was written.
func (c *call) serve() *failure {
	if f := c.parse(); f != nil {
		return f
	}
	if f := c.find(); f != nil {
		return f
	}
	defer c.releaseBody()
	if f := c.readBody(); f != nil {
		return f
	}
	if f := c.checkAside(); f != nil {
		return f
	}
	if c.key != "" {
		return c.serveKeyed()
	}
	if f := c.enter(); f != nil {
		return f
	}
	defer c.leave()
	a, f := c.dispatchAll()
	if f != nil {
		return f
	}
	return a.deliver(c)
}

// parse reads the request's own headers.
func (c *call) parse() *failure {
	if f := c.checkShape(); f != nil {
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
	class, err := tackid.ParseClass(first(h, headerClass))
	if err != nil {
		return badRequest(headerClass + " must be urgent, normal or batch")
	}
	c.class = class
	team, key := first(h, headerTeam), first(h, headerKey)
	if len(team) > maxName || !printable(team) {
		return badRequest(headerTeam + " must be printable ASCII of at most " + strconv.Itoa(maxName) + " bytes")
	}
	if len(key) > maxKey || !printable(key) || (key == "" && len(h[headerKey]) > 0) {
		return badRequest(headerKey + " must be printable ASCII of 1 to " + strconv.Itoa(maxKey) + " bytes")
	}
	c.team, c.key = tackid.Team(team), tackid.Key(key)
	return c.parseTimeout(first(h, headerTimeout))
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
	c.explicit = true
	c.deadline = c.began.Add(min(tackclock.Duration(ms), maxTimeout))
	return nil
}

// checkShape refuses what two servers could read in two ways. What net/http
// refuses by itself (a doubled Host, lengths that differ, control characters
// in names and values, spaces before a colon) doesn't come this far.
func (c *call) checkShape() *failure {
	if c.r.Method == http.MethodConnect {
		return refusal(http.StatusMethodNotAllowed, codeBadRequest, "CONNECT is not served", noRetryAfter)
	}
	if len(c.r.TransferEncoding) > 0 && !singleLength(c.r) {
		c.w.Header()["Connection"] = []string{"close"}
		return badRequest("a request may have a Content-Length or a Transfer-Encoding, not both")
	}
	return nil
}

// find looks the service up.
func (c *call) find() *failure {
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

// enter waits for admission.
func (c *call) enter() *failure {
	return c.service.enter(c.r.Context(), c.table, tacklimit.Request{
		ID:       c.id,
		Team:     c.team,
		Class:    c.class,
		Deadline: c.deadline,
	})
}

// leave gives the place of admission back, once.
func (c *call) leave() {
	if !c.hasLeft {
		c.hasLeft = true
		c.service.leave(c.id)
	}
}

// dispatchAll sends the request to one backend server after another until one
// answers or no further try is allowed. The attempt that it returns has an
// answer that has begun.
func (c *call) dispatchAll() (*attempt, *failure) {
	var last *failure
	for {
		candidate, ok := c.service.pick(c.tried)
		if !ok && last == nil {
			candidate, ok, last = c.pickAgain()
		}
		if !ok {
			return nil, last
		}
		c.tries++
		a := newAttempt(c, candidate)
		f := a.run()
		if f == nil {
			c.ran()
			return a, nil
		}
		if f.broke {
			c.failedOn(candidate)
		}
		last = f
		c.tried = append(c.tried, candidate.BackendServer)
		if !c.mayRetry(f) {
			return nil, last
		}
		c.h.meters.retries.Inc(1)
	}
}

// pickAgain goes back into the queue when a request that was admitted finds no
// slot: the share of this entry VM, or a backend server, went between the two.
// Without it a caller is refused although slots are about to be free.
func (c *call) pickAgain() (tackroute.Candidate, bool, *failure) {
	for range maxReturns {
		c.table = c.h.table()
		c.service.leave(c.id)
		if f := c.enter(); f != nil {
			c.hasLeft = true
			return tackroute.Candidate{}, false, f
		}
		if candidate, ok := c.service.pick(c.tried); ok {
			return candidate, true, nil
		}
	}
	return tackroute.Candidate{}, false, refusal(http.StatusServiceUnavailable, codeNoBackend, "no backend server has a slot free", tackclock.Second)
}

// mayRetry reports whether the request may be sent once more.
func (c *call) mayRetry(f *failure) bool {
	if c.r.Context().Err() != nil || c.touched.Load() {
		return false
	}
	if c.granted.Swap(false) {
		return true
	}
	return c.service.retry(tackretry.Attempt{
		Idempotent: c.repeatable(),
		NotRun:     f.didNotRun,
		Tries:      c.tries,
		TimeLeft:   c.left(),
	})
}

// repeatable reports whether the request may run twice. One with a key never
// may, whatever its method.
func (c *call) repeatable() bool {
	if c.key != "" || c.streamed {
		return false
	}
	switch c.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// left returns the time until the answer must have begun.
func (c *call) left() tackclock.Duration {
	return c.deadline.Sub(c.h.clock.Now())
}

// dispatchID names the dispatch under way.
func (c *call) dispatchID() tackid.RequestID {
	id := make([]byte, 0, 96)
	id = append(id, c.h.prefix...)
	id = strconv.AppendUint(id, c.id, 10)
	id = append(id, '.')
	return tackid.RequestID(strconv.AppendInt(id, int64(c.tries), 10))
}

// requestID names the request.
func (c *call) requestID() tackid.RequestID {
	return tackid.RequestID(c.h.prefix + strconv.FormatUint(c.id, 10))
}

// fail answers with a failure.
func (c *call) fail(f *failure) {
	c.status, c.outcome = f.status, f.outcome()
	c.gone = c.gone || c.r.Context().Err() != nil
	c.h.meters.failed(f)
	f.write(c.w)
}

// count tells the meter how the request ended.
func (c *call) count() {
	now := c.h.clock.Now()
	took := now.Sub(c.began)
	c.h.meters.requests.Inc(1)
	c.h.meters.took.Update(int64(took))
	if c.h.cfg.Meter == nil || c.service == nil {
		return
	}
	c.h.cfg.Meter.Count(Result{
		Service:  c.service.name,
		Team:     c.team,
		Class:    c.class,
		Outcome:  c.outcome,
		Status:   c.status,
		Late:     now.After(c.deadline),
		Gone:     c.gone || c.r.Context().Err() != nil,
		Took:     took,
		Dispatch: c.tries,
	})
}

func badRequest(message string) *failure {
	return refusal(http.StatusBadRequest, codeBadRequest, message, noRetryAfter)
}

func first(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// printable reports whether s is visible ASCII, with spaces inside allowed.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
