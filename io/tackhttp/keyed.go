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
	// claimMargin is added to the time after which a claim without an outcome
	// becomes unknown. It covers the wait for the record of the answer.
	claimMargin = 10 * tackclock.Second

	firstFinishPause = 50 * time.Millisecond
	maxFinishPause   = 2 * time.Second
)

// serveKeyed serves a request with an idempotency key, whose work runs at most
// once. The claim is durable before the first byte of the request is sent. The
// outcome is recorded before the answer is sent, so that a caller that has
// received an answer gets the same one for a repeat.
func (c *call) serveKeyed() *failure {
	if c.h.cfg.Ledger == nil {
		return refusal(http.StatusServiceUnavailable, codeNoLedger, "this VM keeps no records of keys", tackclock.Second)
	}
	id := tackledger.ID{Service: c.service.name, Team: c.team, Key: c.key}
	print := tackledger.NewFingerprint(c.r.Method, c.r.RequestURI, c.body)
	known := c.lookup(id, print)
	if known.Kind == tackledger.Recorded || known.Kind == tackledger.Mismatch {
		return c.answerRepeat(known)
	}
	if f := c.admit(); f != nil {
		return c.refuseKeyed(id, print, f)
	}
	defer c.release()
	claim, f := c.claim(id, print)
	if f != nil {
		return c.refuseKeyed(id, print, f)
	}
	if claim.Kind != tackledger.Claimed {
		return c.answerRepeat(claim)
	}
	return c.runOnce(id)
}

// refuseKeyed returns the refusal f, unless this VM knows that an earlier
// request with the key may have run: then the caller must not be told that the
// work did not run. Other VMs are not asked, as f concerns this request only.
func (c *call) refuseKeyed(id tackledger.ID, print tackledger.Fingerprint, f *failure) *failure {
	if known := c.lookup(id, print); known.Kind != tackledger.Claimed {
		return c.answerRepeat(known)
	}
	return f
}

// lookup returns what this VM knows of the key, or Claimed if it knows nothing.
func (c *call) lookup(id tackledger.ID, print tackledger.Fingerprint) tackledger.Claim {
	if l, ok := c.h.cfg.Ledger.(Lookuper); ok {
		return l.Lookup(id, print)
	}
	return tackledger.Claim{Kind: tackledger.Claimed}
}

// claim claims the key for this request.
func (c *call) claim(id tackledger.ID, print tackledger.Fingerprint) (tackledger.Claim, *failure) {
	left := c.timeLeft()
	ctx, cancel := context.WithTimeout(c.r.Context(), left.Std())
	defer cancel()
	claim, err := c.h.cfg.Ledger.Claim(ctx, tackledger.Begin{
		ID:          id,
		Fingerprint: print,
		Request:     c.requestID(),
		Peer:        c.h.cfg.Self,
		Instance:    c.h.instance,
		Timeout:     left + claimMargin,
	})
	if err == nil {
		return claim, nil
	}
	c.h.log.WithError(err).Debug("idempotency key could not be claimed")
	// The claim may still be recorded later, even after its release. Without
	// the release the key would be blocked.
	c.h.recordFinishLater(c.finish(id, tackledger.OutcomeDidNotRun))
	return claim, refusal(http.StatusServiceUnavailable, codeNoLedger, "the key's record can't be made durable", tackclock.Second)
}

// runOnce dispatches a request that has claimed its key.
func (c *call) runOnce(id tackledger.ID) *failure {
	settled := false
	defer func() {
		// After a panic the outcome is unknown.
		if !settled {
			c.h.recordFinishLater(c.finish(id, tackledger.OutcomeUnknown))
		}
	}()
	a, f := c.dispatchAll()
	if f == nil {
		f = a.readRecordable(c)
	}
	if f != nil {
		settled = true
		c.h.recordFinish(c.finish(id, f.outcome()))
		return f
	}
	a.stampDate()
	finish := c.finish(id, tackledger.OutcomeAnswered)
	finish.Answer = a.record(c)
	settled = true
	c.h.recordFinish(finish)
	return a.deliver(c)
}

func (c *call) finish(id tackledger.ID, outcome tackledger.Outcome) tackledger.Finish {
	return tackledger.Finish{ID: id, Request: c.requestID(), Outcome: outcome}
}

// readRecordable continues to read until the body is complete or exceeds the
// size that can be recorded.
func (a *attempt) readRecordable(c *call) *failure {
	if a.complete {
		return nil
	}
	collected := slices.Clone(a.body)
	limit := c.h.limits.RecordBody
	for len(collected) <= limit {
		a.resetTimer(c.h.limits.BodyTimeout)
		n, err := a.resp.Body.Read(a.buf[:])
		collected = append(collected, a.buf[:n]...)
		if errors.Is(err, io.EOF) {
			a.complete = true
			break
		}
		if err != nil {
			return a.failed(err)
		}
	}
	a.body = collected
	return nil
}

// stampDate sets the Date of an answer without one to the current time.
// Otherwise the server would add the time of writing to each answer, and a
// repeat would have a different Date than the first answer. The Date is the
// time at which the answer was generated.
func (a *attempt) stampDate() {
	if a.resp.Header.Get("Date") == "" {
		a.resp.Header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// record returns the answer in the form in which it is recorded.
func (a *attempt) record(c *call) tackledger.Answer {
	header := make(http.Header, len(a.resp.Header))
	copyAnswerHeader(header, a.resp.Header)
	answer := tackledger.Answer{Status: a.resp.StatusCode}
	for name, values := range header {
		answer.Header = append(answer.Header, tackledger.Field{Name: name, Values: values})
	}
	slices.SortFunc(answer.Header, func(x, y tackledger.Field) int { return strings.Compare(x.Name, y.Name) })
	if !a.complete || len(a.body) > c.h.limits.RecordBody || closeDelimited(c.r, a.resp) {
		answer.Truncated = true
		return answer
	}
	answer.Body = slices.Clone(a.body)
	return answer
}

// answerRepeat answers a request whose key was used before.
func (c *call) answerRepeat(claim tackledger.Claim) *failure {
	c.h.meters.repeats.Inc(1)
	switch claim.Kind {
	case tackledger.Recorded:
		if claim.Answer.Truncated {
			return unknownOutcome(http.StatusGone, codeAnswerNotKept, "the work of this key ran; its answer was too large to keep")
		}
		c.replay(claim.Answer)
		return nil
	case tackledger.Running:
		f := unknownOutcome(http.StatusConflict, codeKeyRunning, "the work of this key is running")
		f.retryAfter = tackclock.Second
		return f
	case tackledger.Mismatch:
		return refusal(http.StatusUnprocessableEntity, codeKeyMismatch, "this key was used with a different request", noRetryAfter)
	case tackledger.Released:
		return refusal(http.StatusServiceUnavailable, codeReleased, "the claim of the key was given up", tackclock.Second)
	case tackledger.Full:
		return refusal(http.StatusServiceUnavailable, codeLedgerFull, "no further key can be recorded now", tackclock.Minute)
	}
	return unknownOutcome(http.StatusGatewayTimeout, codeKeyUnknown, "the work of this key may have run, its outcome is unknown")
}

// replay writes a recorded answer.
func (c *call) replay(answer tackledger.Answer) {
	c.status, c.outcome = answer.Status, tackledger.OutcomeAnswered
	h := c.w.Header()
	for _, f := range answer.Header {
		h[f.Name] = f.Values
	}
	c.markAnswered(h)
	c.w.WriteHeader(answer.Status)
	if len(answer.Body) > 0 {
		c.write(answer.Body)
	}
	c.h.meters.answered.Inc(1)
}

// recordFinish records an outcome before the answer is sent. If that takes too
// long because no majority can be reached, it is recorded in the background.
func (h *Handler) recordFinish(f tackledger.Finish) {
	if h.tryFinish(f) != nil {
		h.recordFinishLater(f)
	}
}

// recordFinishLater records an outcome in the background. If that fails for
// longer than Limits.FinishRetryTimeout, repeats of the key are told that its
// outcome is unknown.
func (h *Handler) recordFinishLater(f tackledger.Finish) {
	h.running.Add(1)
	go h.retryFinish(f)
}

func (h *Handler) retryFinish(f tackledger.Finish) {
	defer h.running.Done()
	pause := firstFinishPause
	for end := time.Now().Add(h.limits.FinishRetryTimeout.Std()); time.Now().Before(end); {
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
	ctx, cancel := context.WithTimeout(context.Background(), h.limits.FinishTimeout.Std())
	defer cancel()
	return h.cfg.Ledger.Finish(ctx, f)
}
