package tackhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackledger"
	"auburntack/core/tackretry"
	"auburntack/core/tackroute"
)

var (
	errNoProgress  = errors.New("tackhttp: timed out waiting for progress")
	errDeadline    = errors.New("tackhttp: caller's deadline exceeded")
	errUserTimeout = error(syscall.ETIMEDOUT) // returned after TCP_USER_TIMEOUT
	errSecondConn  = errors.New("tackhttp: transport tried to send on a second connection")
)

// attempt is one dispatch of a call to one backend server.
type attempt struct {
	dispatch
	call         *call
	candidate    tackroute.Candidate
	began        tackclock.Time
	cancel       context.CancelCauseFunc
	ctx          context.Context
	timer        *time.Timer
	answerBegun  atomic.Bool // the header of the answer has arrived
	reused       atomic.Bool // the connection has carried an earlier request
	earlyTimeout atomic.Bool // the timer expires before the caller's deadline, to allow a retry
	stream       *streamReader
	trace        httptrace.ClientTrace

	resp     *http.Response
	buf      *[bufferSize]byte
	body     []byte // what was read of the answer's body, in buf
	complete bool   // body is the whole body
	ended    bool
}

func newAttempt(c *call, candidate tackroute.Candidate) *attempt {
	a := &attempt{call: c, candidate: candidate, began: c.h.clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(c.r.Context())
	a.trace.GotConn = a.gotConn
	a.trace.WroteRequest = a.wroteRequest
	a.trace.Got1xxResponse = a.gotInformational
	return a
}

// run sends the request and waits until the answer begins. If it returns a
// failure, the attempt has ended; otherwise deliver ends it.
func (a *attempt) run() *failure {
	c := a.call
	c.h.meters.dispatches.Inc(1)
	a.timer = time.AfterFunc(c.h.limits.DialTimeout.Std()+c.h.limits.BodyTimeout.Std(), a.timerExpired)
	a.resetTimer(c.h.limits.DialTimeout + c.h.limits.BodyTimeout)
	resp, err := c.h.sender.transport(c).RoundTrip(a.request())
	if err != nil && a.canReconnect() {
		resp, err = c.h.sender.noReuse.RoundTrip(a.request())
	}
	if err != nil {
		return a.failed(err)
	}
	a.resp = resp
	a.answerBegun.Store(true)
	c.service.recordFirstByte(c.h.clock.Now().Sub(a.began))
	// An answer that arrives before the request was sent belongs to another
	// request.
	if !a.sent() {
		c.h.meters.unsolicited.Inc(1)
		return a.failed(errUnsolicited)
	}
	if f := a.checkAnswer(); f != nil {
		return f
	}
	if err := a.readBodyStart(); err != nil {
		return a.failed(err)
	}
	return nil
}

// canReconnect reports whether the dispatch may continue on a new connection.
// If a reused connection is closed before a byte was written to it, the
// transport does not retry a request that is not idempotent. Requests would
// then be refused although the backend server, which only closes idle
// connections, could run them.
func (a *attempt) canReconnect() bool {
	return a.reused.Load() && !a.sent() && a.ctx.Err() == nil && !a.call.bodyRead.Load()
}

// request returns the request to send to the backend server.
func (a *attempt) request() *http.Request {
	c := a.call
	header := requestHeader(c.r.Header)
	header[headerRequestID] = []string{string(c.dispatchID())}
	header[headerTimeout] = []string{strconv.FormatInt(int64(max(c.timeLeft(), 1)), 10)}
	req := new(http.Request).WithContext(httptrace.WithClientTrace(a.ctx, &a.trace))
	req.Method = c.r.Method
	req.URL = target(c.r, a.candidate.Address)
	req.Host = c.r.Host
	req.Header = header
	req.Proto, req.ProtoMajor, req.ProtoMinor = "HTTP/1.1", 1, 1
	switch {
	case c.streamed:
		a.stream = newStreamReader(a)
		req.Body, req.ContentLength = a.stream, c.r.ContentLength
	case len(c.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return req
}

// target returns the URL of the request at the backend server's address, with
// the path and query exactly as the caller sent them.
func target(r *http.Request, address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		u.Opaque = r.RequestURI
		return u
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = r.URL.Path, r.URL.RawPath, r.URL.RawQuery, r.URL.ForceQuery
	return u
}

// gotConn binds the connection to the dispatch.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*backendConn)
	if !ok {
		a.cancel(fmt.Errorf("tackhttp: unexpected connection type %T", info.Conn))
		return
	}
	conn.owner.Store(&a.dispatch)
	a.reused.Store(info.Reused)
	if a.sent() {
		// The transport is about to resend the request. The connection would
		// refuse the write; cancelling keeps the transport from trying one
		// connection after another.
		a.call.h.meters.secondSends.Inc(1)
		a.cancel(errSecondConn)
	}
}

// wroteRequest starts the wait for the first byte of the answer.
func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err != nil {
		return
	}
	c := a.call
	if c.streamed && !c.explicitDeadline {
		// The upload of a large body may take any time, so the default timeout
		// starts at its end.
		a.resetTimer(c.h.limits.Timeout)
		return
	}
	a.resetTimer(a.firstByteWait())
}

// firstByteWait returns how long the answer may take to begin before the
// request is retried elsewhere, or the time until the deadline if it can't be
// retried.
func (a *attempt) firstByteWait() tackclock.Duration {
	c := a.call
	left := c.timeLeft()
	if !c.idempotent() || c.tries >= c.h.maxTries() || c.tries >= len(c.table.Services[c.service.name]) {
		return left
	}
	early := c.service.earlyRetryDelay(left)
	if early >= left {
		return left
	}
	a.earlyTimeout.Store(true)
	return early
}

// gotInformational passes an informational answer (1xx) on. An answer that was
// passed on can't be withdrawn, so the request can't be retried after it.
func (a *attempt) gotInformational(code int, header textproto.MIMEHeader) error {
	a.resetTimer(a.firstByteWait())
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols || a.call.key != "" {
		return nil
	}
	if !a.sent() {
		return errUnsolicited
	}
	a.writeInformational(code, http.Header(header))
	return nil
}

// resetTimer restarts the timer, which expires after d without progress. Until
// the answer begins, it expires at the caller's deadline at the latest, except
// that for a streamed body the default timeout does not apply.
func (a *attempt) resetTimer(d tackclock.Duration) {
	c := a.call
	if left := c.timeLeft(); !a.answerBegun.Load() && left < d && (!c.streamed || c.explicitDeadline) {
		d = left
	}
	a.timer.Reset(max(d.Std(), time.Millisecond))
}

// timerExpired ends the attempt because of a lack of progress. If the answer is
// merely later than usual and no retry is granted, the attempt continues: when
// all backend servers are slow, abandoning requests would leave callers with no
// answer instead of a late one.
func (a *attempt) timerExpired() {
	c := a.call
	left := c.timeLeft()
	switch {
	case left <= 0 && !a.answerBegun.Load():
		a.cancel(errDeadline)
	case !a.earlyTimeout.Swap(false) || a.answerBegun.Load():
		a.cancel(errNoProgress)
	case c.service.retry(tackretry.Attempt{Idempotent: true, Tries: c.tries, TimeLeft: left}):
		c.retryGranted.Store(true)
		a.cancel(errNoProgress)
	default:
		a.resetTimer(left)
	}
}

// checkAnswer checks the status and header of the answer. A backend server that
// reports that it did not run the request is trusted.
func (a *attempt) checkAnswer() *failure {
	resp := a.resp
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return a.failed(errors.New("backend server switched protocols without being asked"))
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerOutcome) != didNotRun {
		return nil
	}
	after := tackclock.Second
	if seconds, err := strconv.ParseUint(resp.Header.Get(headerRetryAfter), 10, 16); err == nil && seconds > 0 {
		after = tackclock.Duration(seconds) * tackclock.Second
	}
	f := refusal(http.StatusServiceUnavailable, codeAllRefused, "the backend servers refused to run it", after)
	// Read the short body of the refusal, so that the connection can be reused.
	io.CopyN(io.Discard, resp.Body, 4<<10)
	a.end(tackroute.Refused)
	return f
}

// readBodyStart reads the beginning of the body. A short answer is read
// completely before its first byte is passed on, so that the request can still
// be retried if the answer breaks off.
func (a *attempt) readBodyStart() error {
	resp := a.resp
	if resp.ContentLength == 0 || a.call.r.Method == http.MethodHead {
		a.complete = true
		return nil
	}
	a.buf = a.call.h.buffers.Get().(*[bufferSize]byte)
	n, err := 0, error(nil)
	for err == nil && n < bufferSize && (n == 0 || resp.ContentLength > int64(n) && resp.ContentLength <= bufferSize) {
		a.resetTimer(a.call.h.limits.BodyTimeout)
		var m int
		m, err = resp.Body.Read(a.buf[n:])
		n += m
	}
	a.body = a.buf[:n]
	if errors.Is(err, io.EOF) || int64(n) == resp.ContentLength {
		a.complete = true
		return nil
	}
	return err
}

// failed ends the attempt after an error and returns the failure to report to
// the caller.
func (a *attempt) failed(err error) *failure {
	sent := a.seal()
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	c := a.call
	c.h.log.WithError(err).WithField("backend_server", string(a.candidate.BackendServer)).Debug("dispatch to backend server failed")
	result, f := a.classify(err, sent)
	if result == tackroute.Silent && a.reused.Load() {
		c.h.sender.closeIdle(c.h.clock.Now())
	}
	f.backendFailed = f.code == codeBrokenAnswer || f.code == codeSilent && sent
	a.end(result)
	a.releaseBuffer()
	return f
}

// classify returns the result to report to the chooser and the failure to
// report to the caller.
func (a *attempt) classify(err error, sent bool) (tackroute.Result, *failure) {
	c := a.call
	switch {
	case c.r.Context().Err() != nil:
		c.callerGone = true
		c.h.meters.callersGone.Inc(1)
		return tackroute.Cancelled, newFailure(sent, http.StatusServiceUnavailable, codeCallerGone, "the caller hung up")
	case errors.Is(err, errDeadline):
		f := newFailure(sent, http.StatusGatewayTimeout, codeNoAnswer, "no answer came in time")
		if c.h.clock.Now().Sub(a.began) < c.service.lateAfter() {
			// There was too little time for any backend server to answer. If
			// such timeouts counted against the backend server, a full queue,
			// in which requests start late, would cause all backend servers to
			// be considered broken.
			return tackroute.Cancelled, f
		}
		c.h.meters.silent.Inc(1)
		return tackroute.Silent, f
	case errors.Is(err, errNoProgress) || errors.Is(err, errUserTimeout):
		c.h.meters.silent.Inc(1)
		return tackroute.Silent, newFailure(sent, http.StatusGatewayTimeout, codeSilent, "the backend server went silent")
	case !sent:
		return tackroute.Failed, refusal(http.StatusServiceUnavailable, codeNoBackend, "the backend server can't be reached", tackclock.Second)
	}
	return tackroute.Failed, unknownOutcome(http.StatusBadGateway, codeBrokenAnswer, "the backend server broke off")
}

// newFailure returns a refusal, or a failure with an unknown outcome if the
// request was sent.
func newFailure(sent bool, status int, code Code, message string) *failure {
	if sent {
		return unknownOutcome(status, code, message)
	}
	return refusal(http.StatusServiceUnavailable, code, message, tackclock.Second)
}

// end releases the slot, and closes the connection unless the answer was read
// to its end.
func (a *attempt) end(result tackroute.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.seal()
	a.timer.Stop()
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.cancel(context.Canceled)
	if a.stream != nil {
		a.stream.end()
	}
	c := a.call
	c.service.done(a.candidate, result, c.h.clock.Now().Sub(a.began))
}

// releaseBuffer returns the buffer to the pool.
func (a *attempt) releaseBuffer() {
	if a.buf != nil {
		a.call.h.buffers.Put(a.buf)
		a.buf, a.body = nil, nil
	}
}

var didNotRun = tackledger.OutcomeDidNotRun.String()
