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

var answered = []string{tackledger.OutcomeAnswered.String()}

// deliver passes the answer on to the caller, whole or cut, and ends the
// attempt. An answer that breaks off panics with http.ErrAbortHandler, which
// makes the server close the caller's connection without the answer's end: the
// caller could otherwise take the part for the whole.
func (a *attempt) deliver(c *call) *failure {
	defer a.free()
	result := tackroute.Answered
	if a.resp.StatusCode >= http.StatusInternalServerError {
		result = tackroute.Failed
	}
	if a.whole {
		// The backend server has done its part; its slot doesn't wait for a
		// caller that takes its answer slowly.
		a.end(result)
		c.leave()
	}
	c.status, c.outcome = a.resp.StatusCode, tackledger.OutcomeAnswered
	c.begin(a.resp)
	if !a.whole {
		a.copyAll(c)
	} else if len(a.head) > 0 {
		// A short answer holds nothing but the caller's connection, on which
		// TCP_USER_TIMEOUT finds a caller that takes nothing.
		c.w.Write(a.head)
	}
	addTrailers(c.w.Header(), a.resp)
	a.end(result)
	c.h.meters.answered.Inc(1)
	return nil
}

// begin writes the answer's head.
func (c *call) begin(resp *http.Response) {
	h := c.w.Header()
	copyAnswerHeader(h, resp.Header)
	c.plainHeader(h)
	if len(resp.Trailer) > 0 {
		for name := range resp.Trailer {
			if passesBack(name) {
				h.Add("Trailer", name)
			}
		}
	}
	if endsByClose(c.r, resp) {
		// The backend server marks the end by closing, so nobody can tell
		// whether the answer is whole. It is passed on in the same way;
		// chunks would vouch for the end.
		h["Transfer-Encoding"] = []string{"identity"}
	}
	c.w.WriteHeader(resp.StatusCode)
}

// plainHeader marks an answer as a backend server's, and keeps the server from
// adding what that one didn't say.
func (c *call) plainHeader(h http.Header) {
	h[headerOutcome] = answered
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// endsByClose reports whether the end of the connection is the end of the
// answer.
func endsByClose(r *http.Request, resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead
}

// write passes bytes on, and gives up on a caller that takes none for too
// long.
func (c *call) write(p []byte) bool {
	rc := http.NewResponseController(c.w)
	rc.SetWriteDeadline(time.Now().Add(c.h.limits.CallerWait.Std()))
	_, err := c.w.Write(p)
	return err == nil
}

// copyAll passes on a body that is read as it comes.
func (a *attempt) copyAll(c *call) {
	if !c.write(a.head) {
		a.cut(tackroute.Cancelled)
	}
	if a.buf == nil {
		a.buf = c.h.buffers.Get().(*[bufferSize]byte)
	}
	flush := a.resp.ContentLength < 0
	rc := http.NewResponseController(c.w)
	for {
		if flush {
			// What comes in pieces is passed on in pieces.
			rc.Flush()
		}
		a.wait(c.h.limits.BodyWait)
		n, err := a.resp.Body.Read(a.buf[:])
		a.watch.Stop() // while the caller takes its time
		if n > 0 && !c.write(a.buf[:n]) {
			c.h.meters.callersGone.Inc(1)
			c.gone = true
			a.cut(tackroute.Cancelled)
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			a.cutOff(c)
		}
	}
}

// cutOff ends an answer that broke off.
func (a *attempt) cutOff(c *call) {
	if c.r.Context().Err() != nil {
		c.gone = true
		c.h.meters.callersGone.Inc(1)
		a.cut(tackroute.Cancelled)
	}
	if a.ctx.Err() != nil {
		c.h.meters.silent.Inc(1)
		a.cut(tackroute.Silent)
	}
	a.cut(tackroute.Failed)
}

// cut closes the caller's connection in the middle of the answer.
func (a *attempt) cut(result tackroute.Result) {
	a.call.outcome = tackledger.OutcomeUnknown
	a.call.h.meters.cut.Inc(1)
	a.end(result)
	panic(http.ErrAbortHandler)
}

// addTrailers sets the trailers of an answer whose body was read to its end.
func addTrailers(h http.Header, resp *http.Response) {
	announced := h["Trailer"]
	for name, values := range resp.Trailer {
		if !passesBack(name) {
			continue
		}
		if !contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// inform passes an informational answer on. The transport waits meanwhile, so
// nothing else writes to the caller.
func (a *attempt) inform(code int, header http.Header) {
	c := a.call
	h := c.w.Header()
	var added []string
	for name, values := range header {
		if passesBack(name) && !strings.EqualFold(name, "Content-Length") {
			h[name] = values
			added = append(added, name)
		}
	}
	c.w.WriteHeader(code)
	for _, name := range added {
		delete(h, name)
	}
}
