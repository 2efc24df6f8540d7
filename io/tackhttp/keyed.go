package tackhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackledger"
)

const (
	// claimMargin is added to the time within which a claimed request ends.
	// It covers the wait for the record of its answer.
	claimMargin = 10 * tackclock.Second

	firstFinishPause = 50 * time.Millisecond
	maxFinishPause   = 2 * time.Second
)

// serveKeyed serves a request with an idempotency key: its work runs at most
// once. The claim is durable before the first byte leaves. Its record is
// settled before the answer goes out, so that a caller that has an answer gets
// the same one again.
func (c *call) serveKeyed() *failure {
	if c.h.cfg.Ledger == nil {
		return refusal(http.StatusServiceUnavailable, codeNoLedger, "this VM keeps no records of keys", tackclock.Second)
	}
	id := tackledger.ID{Service: c.service.name, Team: c.team, Key: c.key}
	print := tackledger.NewFingerprint(c.r.Method, c.r.RequestURI, c.body)
	known := c.lookup(id, print)
	if known.Kind == tackledger.Recorded || known.Kind == tackledger.Mismatch {
		return c.repeat(known)
	}
	if f := c.enter(); f != nil {
		return c.refuseKeyed(id, print, f)
	}
	defer c.leave()
	claim, f := c.claim(id, print)
	if f != nil {
		return c.refuseKeyed(id, print, f)
	}
	if claim.Kind != tackledger.Claimed {
		return c.repeat(claim)
	}
	return c.runOnce(id)
}

// refuseKeyed returns the refusal f, unless it is known here that an earlier
// request with the key may have run the work: the caller must not be told then
// that it did not run. What other VMs know is not asked; f speaks of this
// request.
func (c *call) refuseKeyed(id tackledger.ID, print tackledger.Fingerprint, f *failure) *failure {
	if known := c.lookup(id, print); known.Kind != tackledger.Claimed {
		return c.repeat(known)
	}
	return f
}

// lookup returns what this VM knows of the key, Mine where that is nothing.
func (c *call) lookup(id tackledger.ID, print tackledger.Fingerprint) tackledger.Claim {
	if l, ok := c.h.cfg.Ledger.(Lookuper); ok {
		return l.Lookup(id, print)
	}
	return tackledger.Claim{Kind: tackledger.Claimed}
}

// claim asks for the key.
func (c *call) claim(id tackledger.ID, print tackledger.Fingerprint) (tackledger.Claim, *failure) {
	left := c.left()
	ctx, cancel := context.WithTimeout(c.r.Context(), left.Std())
	defer cancel()
	claim, err := c.h.cfg.Ledger.Claim(ctx, tackledger.Begin{
		ID:          id,
		Fingerprint: print,
		Request:     c.requestID(),
		Peer:        c.h.cfg.Self,
		Instance:    c.h.life,
		Timeout:     left + claimMargin,
	})
	if err == nil {
		return claim, nil
	}
	// The claim may still be recorded later. Its release, which may overtake
	// it, keeps the key from being stuck.
	c.h.log.WithError(err).Debug("claim failed")
	c.h.settleLater(c.finish(id, tackledger.OutcomeDidNotRun))
	return claim, refusal(http.StatusServiceUnavailable, codeNoLedger, "the key's record can't be made durable", tackclock.Second)
}

// runOnce dispatches a request that holds its key.
func (c *call) runOnce(id tackledger.ID) *failure {
	settled := false
	defer func() {
		// A panic on the way leaves the outcome open.
		if !settled {
			c.h.settleLater(c.finish(id, tackledger.OutcomeUnknown))
		}
	}()
	a, f := c.dispatchAll()
	if f == nil {
		f = a.collect(c)
	}
	if f != nil {
		settled = true
		c.h.settle(c.finish(id, f.outcome()))
		return f
	}
	a.stampDate()
	finish := c.finish(id, tackledger.OutcomeAnswered)
	finish.Answer = a.record(c)
	settled = true
	c.h.settle(finish)
	return a.deliver(c)
}

func (c *call) finish(id tackledger.ID, outcome tackledger.Outcome) tackledger.Finish {
	return tackledger.Finish{ID: id, Request: c.requestID(), Outcome: outcome}
}

// collect reads on until the body is whole or larger than what is kept.
func (a *attempt) collect(c *call) *failure {
	if a.whole {
		return nil
	}
	body := slices.Clone(a.head)
	limit := c.h.limits.RecordBody
	for len(body) <= limit {
		a.wait(c.h.limits.BodyWait)
		n, err := a.resp.Body.Read(a.buf[:])
		body = append(body, a.buf[:n]...)
		if errors.Is(err, io.EOF) {
			a.whole = true
			break
		}
		if err != nil {
			return a.failed(err)
		}
	}
	a.head = body
	return nil
}

// stampDate gives an answer that has no Date the time at which it came. The server
// adds one to each answer that it writes, so without it a repeat would carry another
// time than the first answer, which is when the work's answer was made.
func (a *attempt) stampDate() {
	if a.resp.Header.Get("Date") == "" {
		a.resp.Header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// record returns the answer as it is kept.
func (a *attempt) record(c *call) tackledger.Answer {
	header := make(http.Header, len(a.resp.Header))
	copyAnswerHeader(header, a.resp.Header)
	answer := tackledger.Answer{Status: a.resp.StatusCode}
	for name, values := range header {
		answer.Header = append(answer.Header, tackledger.Field{Name: name, Values: values})
	}
	slices.SortFunc(answer.Header, func(x, y tackledger.Field) int { return strings.Compare(x.Name, y.Name) })
	if !a.whole || len(a.head) > c.h.limits.RecordBody || endsByClose(c.r, a.resp) {
		answer.Truncated = true
		return answer
	}
	answer.Body = slices.Clone(a.head)
	return answer
}

// repeat answers a request whose key was used before.
func (c *call) repeat(claim tackledger.Claim) *failure {
	c.h.meters.repeats.Inc(1)
	switch claim.Kind {
	case tackledger.Recorded:
		if claim.Answer.Truncated {
			return unknown(http.StatusGone, codeAnswerNotKept, "the work of this key ran; its answer was too large to keep")
		}
		c.replay(claim.Answer)
		return nil
	case tackledger.Running:
		f := unknown(http.StatusConflict, codeKeyRunning, "the work of this key is running")
		f.retryAfter = tackclock.Second
		return f
	case tackledger.Mismatch:
		return refusal(http.StatusUnprocessableEntity, codeKeyMismatch, "this key was used with a different request", noRetryAfter)
	case tackledger.Released:
		return refusal(http.StatusServiceUnavailable, codeReleased, "the claim of the key was given up", tackclock.Second)
	case tackledger.Full:
		return refusal(http.StatusServiceUnavailable, codeLedgerFull, "no further key can be recorded now", tackclock.Minute)
	}
	return unknown(http.StatusGatewayTimeout, codeKeyUnknown, "the work of this key may have run, its outcome is unknown")
}

// replay writes a recorded answer.
func (c *call) replay(answer tackledger.Answer) {
	c.status, c.outcome = answer.Status, tackledger.OutcomeAnswered
	h := c.w.Header()
	for _, f := range answer.Header {
		h[f.Name] = f.Values
	}
	c.plainHeader(h)
	c.w.WriteHeader(answer.Status)
	if len(answer.Body) > 0 {
		c.write(answer.Body)
	}
	c.h.meters.answered.Inc(1)
}

// settle records an outcome. The answer waits for it, but not for long: where
// no majority can be reached it is recorded in the background.
func (h *Handler) settle(f tackledger.Finish) {
	if h.tryFinish(f) != nil {
		h.settleLater(f)
	}
}

// settleLater records an outcome in the background. If it can't be recorded
// within the bound, repeats of the key are told that its outcome is unknown.
func (h *Handler) settleLater(f tackledger.Finish) {
	h.running.Add(1)
	go h.keepFinishing(f)
}

func (h *Handler) keepFinishing(f tackledger.Finish) {
	defer h.running.Done()
	pause := firstFinishPause
	for end := time.Now().Add(h.limits.FinishRetry.Std()); time.Now().Before(end); {
		if h.tryFinish(f) == nil {
			return
		}
		h.meters.finishRetries.Inc(1)
		select {
		case <-time.After(pause):
		case <-h.stop:
			h.tryFinish(f)
			return
		}
		pause = min(2*pause, maxFinishPause)
	}
	h.meters.finishLost.Inc(1)
}

func (h *Handler) tryFinish(f tackledger.Finish) error {
	ctx, cancel := context.WithTimeout(context.Background(), h.limits.FinishWait.Std())
	defer cancel()
	return h.cfg.Ledger.Finish(ctx, f)
}
