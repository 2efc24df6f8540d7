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
	errNoProgress = errors.New("tackhttp: no progress in time")
	errTimeUp     = errors.New("tackhttp: the caller's time is up")
	errSilent     = error(syscall.ETIMEDOUT) // by TCP_USER_TIMEOUT
	errTwoConns   = errors.New("tackhttp: the transport took a second connection")
)

// attempt is one dispatch of a call to one backend server.
type attempt struct {
	dispatch
	call      *call
	candidate tackroute.Candidate
	began     tackclock.Time
	cancel    context.CancelCauseFunc
	ctx       context.Context
	watch     *time.Timer
	begun     atomic.Bool // the answer has begun
	reused    atomic.Bool // the connection carried a request before
	early     atomic.Bool // the watch ends before the caller's time, to ask elsewhere
	stream    *streamReader
	trace     httptrace.ClientTrace

	resp  *http.Response
	buf   *[bufferSize]byte
	head  []byte // of the body, in buf
	whole bool   // head is all of the body
	ended bool
}

func newAttempt(c *call, candidate tackroute.Candidate) *attempt {
	a := &attempt{call: c, candidate: candidate, began: c.h.clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(c.r.Context())
	a.trace.GotConn = a.gotConn
	a.trace.WroteRequest = a.wroteRequest
	a.trace.Got1xxResponse = a.gotInformational
	return a
}

// run sends the request and waits for the answer to begin. After a failure the
// attempt has ended; otherwise deliver ends it.
func (a *attempt) run() *failure {
	c := a.call
	c.h.meters.dispatches.Inc(1)
	a.watch = time.AfterFunc(c.h.limits.DialWait.Std()+c.h.limits.BodyWait.Std(), a.expire)
	a.wait(c.h.limits.DialWait + c.h.limits.BodyWait)
	resp, err := c.h.sender.transport(c).RoundTrip(a.request())
	if err != nil && a.mayReopen() {
		resp, err = c.h.sender.fresh.RoundTrip(a.request())
	}
	if err != nil {
		return a.failed(err)
	}
	a.resp = resp
	a.begun.Store(true)
	c.service.began(c.h.clock.Now().Sub(a.began))
	// An answer that came before the request left is another one's.
	if !a.sent() {
		c.h.meters.unsolicited.Inc(1)
		return a.failed(errUnsolicited)
	}
	if f := a.checkAnswer(); f != nil {
		return f
	}
	if err := a.readHead(); err != nil {
		return a.failed(err)
	}
	return nil
}

// mayReopen reports whether the dispatch may go on over a new connection. The
// transport gives up on a request that is not idempotent if its connection was
// closed while it took it, although no byte has left: a backend server that
// closes idle connections would have requests refused that it could run.
func (a *attempt) mayReopen() bool {
	return a.reused.Load() && !a.sent() && a.ctx.Err() == nil && !a.call.touched.Load()
}

// request builds what is sent.
func (a *attempt) request() *http.Request {
	c := a.call
	header := requestHeader(c.r.Header)
	header[headerRequestID] = []string{string(c.dispatchID())}
	header[headerTimeout] = []string{strconv.FormatInt(int64(max(c.left(), 1)), 10)}
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

// target returns the URL to ask for: the path and query as the caller wrote
// them, at the backend server's address.
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
		a.cancel(fmt.Errorf("tackhttp: connection of type %T", info.Conn))
		return
	}
	conn.held.Store(&a.dispatch)
	a.reused.Store(info.Reused)
	if a.sent() {
		// The transport is about to send the request again. The connection
		// would refuse the write; cancelling keeps it from trying them all.
		a.call.h.meters.secondSends.Inc(1)
		a.cancel(errTwoConns)
	}
}

// wroteRequest starts the wait for the first byte of the answer.
func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err != nil {
		return
	}
	c := a.call
	if c.streamed && !c.explicit {
		// A large body takes as long as it takes; the time for the answer
		// counts from its end.
		a.wait(c.h.limits.Timeout)
		return
	}
	a.wait(a.firstByteWait())
}

// firstByteWait is how long the answer may take to begin before the request is
// asked for elsewhere, or the time left if it is not.
func (a *attempt) firstByteWait() tackclock.Duration {
	c := a.call
	left := c.left()
	if !c.repeatable() || c.tries >= c.h.tries() || c.tries >= len(c.table.Services[c.service.name]) {
		return left
	}
	early := c.service.earlyWait(left)
	if early >= left {
		return left
	}
	a.early.Store(true)
	return early
}

// gotInformational passes an informational answer on. What was passed on can't
// be taken back, so there is no other try after it.
func (a *attempt) gotInformational(code int, header textproto.MIMEHeader) error {
	a.wait(a.firstByteWait())
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols || a.call.key != "" {
		return nil
	}
	if !a.sent() {
		return errUnsolicited
	}
	a.inform(code, http.Header(header))
	return nil
}

// wait allows d until the next sign of progress, and no more than the caller's
// time.
func (a *attempt) wait(d tackclock.Duration) {
	c := a.call
	if left := c.left(); !a.begun.Load() && left < d && (!c.streamed || c.explicit) {
		d = left
	}
	a.watch.Reset(max(d.Std(), time.Millisecond))
}

// expire ends the attempt for lack of progress. An answer that is only later
// than usual is awaited further unless another try is granted: the backend
// servers may all be slow, and giving up on them would turn each late answer
// into none.
func (a *attempt) expire() {
	c := a.call
	left := c.left()
	switch {
	case left <= 0 && !a.begun.Load():
		a.cancel(errTimeUp)
	case !a.early.Swap(false) || a.begun.Load():
		a.cancel(errNoProgress)
	case c.service.retry(tackretry.Attempt{Idempotent: true, Tries: c.tries, TimeLeft: left}):
		c.granted.Store(true)
		a.cancel(errNoProgress)
	default:
		a.wait(left)
	}
}

// checkAnswer looks at the answer's head. A backend server that says that it
// did not run the request is believed.
func (a *attempt) checkAnswer() *failure {
	resp := a.resp
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return a.failed(errors.New("the backend server switched protocols unasked"))
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerOutcome) != didNotRun {
		return nil
	}
	after := tackclock.Second
	if seconds, err := strconv.ParseUint(resp.Header.Get(headerRetryAfter), 10, 16); err == nil && seconds > 0 {
		after = tackclock.Duration(seconds) * tackclock.Second
	}
	f := refusal(http.StatusServiceUnavailable, codeAllRefused, "the backend servers refused to run it", after)
	// The few bytes of a refusal are read, so that the connection can be kept.
	io.CopyN(io.Discard, resp.Body, 4<<10)
	a.end(tackroute.Refused)
	return f
}

// readHead reads the beginning of the body. A short answer that is read whole
// before its first byte is passed on can still be given up for another try.
func (a *attempt) readHead() error {
	resp := a.resp
	if resp.ContentLength == 0 || a.call.r.Method == http.MethodHead {
		a.whole = true
		return nil
	}
	a.buf = a.call.h.buffers.Get().(*[bufferSize]byte)
	n, err := 0, error(nil)
	for err == nil && n < bufferSize && (n == 0 || resp.ContentLength > int64(n) && resp.ContentLength <= bufferSize) {
		a.wait(a.call.h.limits.BodyWait)
		var m int
		m, err = resp.Body.Read(a.buf[n:])
		n += m
	}
	a.head = a.buf[:n]
	if errors.Is(err, io.EOF) || int64(n) == resp.ContentLength {
		a.whole = true
		return nil
	}
	return err
}

// failed ends the attempt and says what is known of the request.
func (a *attempt) failed(err error) *failure {
	sent := a.seal()
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	c := a.call
	c.h.log.WithError(err).WithField("backend_server", string(a.candidate.BackendServer)).Debug("dispatch failed")
	result, f := a.classify(err, sent)
	if result == tackroute.Silent && a.reused.Load() {
		c.h.sender.forgetIdle(c.h.clock.Now())
	}
	f.broke = f.code == codeBrokenAnswer || f.code == codeSilent && sent
	a.end(result)
	a.free()
	return f
}

// classify turns an error into what the chooser and the caller are told.
func (a *attempt) classify(err error, sent bool) (tackroute.Result, *failure) {
	c := a.call
	switch {
	case c.r.Context().Err() != nil:
		c.gone = true
		c.h.meters.callersGone.Inc(1)
		return tackroute.Cancelled, outcomeOf(sent, http.StatusServiceUnavailable, codeCallerGone, "the caller hung up")
	case errors.Is(err, errTimeUp):
		f := outcomeOf(sent, http.StatusGatewayTimeout, codeNoAnswer, "no answer came in time")
		if c.h.clock.Now().Sub(a.began) < c.service.late() {
			// There was too little time left for any backend server. If this
			// one were blamed, a full queue, whose requests start late, would
			// have all of them taken for broken.
			return tackroute.Cancelled, f
		}
		c.h.meters.silent.Inc(1)
		return tackroute.Silent, f
	case errors.Is(err, errNoProgress) || errors.Is(err, errSilent):
		c.h.meters.silent.Inc(1)
		return tackroute.Silent, outcomeOf(sent, http.StatusGatewayTimeout, codeSilent, "the backend server went silent")
	case !sent:
		return tackroute.Failed, refusal(http.StatusServiceUnavailable, codeNoBackend, "the backend server can't be reached", tackclock.Second)
	}
	return tackroute.Failed, unknown(http.StatusBadGateway, codeBrokenAnswer, "the backend server broke off")
}

func outcomeOf(sent bool, status int, code Code, message string) *failure {
	if sent {
		return unknown(status, code, message)
	}
	return refusal(http.StatusServiceUnavailable, code, message, tackclock.Second)
}

// end closes the attempt's connection unless its answer was read to the end,
// and gives the slot back.
func (a *attempt) end(result tackroute.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.seal()
	a.watch.Stop()
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

// free gives the buffer back.
func (a *attempt) free() {
	if a.buf != nil {
		a.call.h.buffers.Put(a.buf)
		a.buf, a.head = nil, nil
	}
}

var didNotRun = tackledger.OutcomeDidNotRun.String()
