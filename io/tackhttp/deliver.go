package tackhttp

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"auburntack/core/tackledger"
	"auburntack/core/tackroute"
)

var answeredHeader = []string{tackledger.OutcomeAnswered.String()}

// deliver passes the answer on to the caller and ends the attempt. If the
// answer breaks off, it panics with http.ErrAbortHandler, so that the server
// closes the caller's connection without completing the answer; otherwise the
// caller could mistake a part of the answer for the whole.
func (a *attempt) deliver(c *call) *failure {
	defer a.releaseBuffer()
	result := tackroute.Answered
	if a.resp.StatusCode >= http.StatusInternalServerError {
		result = tackroute.Failed
	}
	if a.complete {
		// The backend server has finished: release its slot now rather than
		// when a slow caller has received the answer.
		a.end(result)
		c.release()
	}
	c.status, c.outcome = a.resp.StatusCode, tackledger.OutcomeAnswered
	c.writeHeader(a.resp)
	if !a.complete {
		a.copyBody(c)
	} else if len(a.body) > 0 {
		// No deadline is needed: a short answer occupies only the caller's
		// connection, on which TCP_USER_TIMEOUT detects a caller that receives
		// nothing.
		c.w.Write(a.body)
	}
	addTrailers(c.w.Header(), a.resp)
	a.end(result)
	c.h.meters.answered.Inc(1)
	return nil
}

// writeHeader writes the status and header of the answer.
func (c *call) writeHeader(resp *http.Response) {
	h := c.w.Header()
	copyAnswerHeader(h, resp.Header)
	c.markAnswered(h)
	if len(resp.Trailer) > 0 {
		for name := range resp.Trailer {
			if passesToCaller(name) {
				h.Add("Trailer", name)
			}
		}
	}
	if closeDelimited(c.r, resp) {
		// The answer ends when the backend server closes the connection, so it
		// can't be known whether it is complete. It is passed on in the same
		// form; chunked encoding would mark it as complete.
		h["Transfer-Encoding"] = []string{"identity"}
	}
	c.w.WriteHeader(resp.StatusCode)
}

// markAnswered marks an answer as a backend server's, and keeps the server from
// adding a Content-Type that the backend server did not send.
func (c *call) markAnswered(h http.Header) {
	h[headerOutcome] = answeredHeader
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// closeDelimited reports whether the answer ends when the connection is closed.
func closeDelimited(r *http.Request, resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead
}

// write passes bytes on to the caller. It fails if the caller accepts none for
// too long.
func (c *call) write(p []byte) bool {
	rc := http.NewResponseController(c.w)
	rc.SetWriteDeadline(time.Now().Add(c.h.limits.CallerWriteTimeout.Std()))
	_, err := c.w.Write(p)
	return err == nil
}

// copyBody passes on a body that was not read completely.
func (a *attempt) copyBody(c *call) {
	if !c.write(a.body) {
		a.abort(tackroute.Cancelled)
	}
	if a.buf == nil {
		a.buf = c.h.buffers.Get().(*[bufferSize]byte)
	}
	flush := a.resp.ContentLength < 0
	rc := http.NewResponseController(c.w)
	for {
		if flush {
			// The length is unknown: pass on each part as it arrives.
			rc.Flush()
		}
		a.resetTimer(c.h.limits.BodyTimeout)
		n, err := a.resp.Body.Read(a.buf[:])
		a.timer.Stop() // while the caller receives
		if n > 0 && !c.write(a.buf[:n]) {
			c.h.meters.callersGone.Inc(1)
			c.callerGone = true
			a.abort(tackroute.Cancelled)
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			a.abortAfterError(c)
		}
	}
}

// abortAfterError aborts an answer after an error reading its body.
func (a *attempt) abortAfterError(c *call) {
	if c.r.Context().Err() != nil {
		c.callerGone = true
		c.h.meters.callersGone.Inc(1)
		a.abort(tackroute.Cancelled)
	}
	if a.ctx.Err() != nil {
		c.h.meters.silent.Inc(1)
		a.abort(tackroute.Silent)
	}
	a.abort(tackroute.Failed)
}

// abort closes the caller's connection before the end of the answer.
func (a *attempt) abort(result tackroute.Result) {
	a.call.outcome = tackledger.OutcomeUnknown
	a.call.h.meters.cut.Inc(1)
	a.end(result)
	panic(http.ErrAbortHandler)
}

// addTrailers sets the trailers of an answer whose body was read to its end.
func addTrailers(h http.Header, resp *http.Response) {
	announced := h["Trailer"]
	for name, values := range resp.Trailer {
		if !passesToCaller(name) {
			continue
		}
		if !contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// writeInformational passes an informational answer on. The transport waits
// until it returns, so there is no concurrent write to the caller.
func (a *attempt) writeInformational(code int, header http.Header) {
	c := a.call
	h := c.w.Header()
	var added []string
	for name, values := range header {
		if passesToCaller(name) && !strings.EqualFold(name, "Content-Length") {
			h[name] = values
			added = append(added, name)
		}
	}
	c.w.WriteHeader(code)
	for _, name := range added {
		delete(h, name)
	}
}
