package tackcontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackreplica"
	"auburntack/io/tackloop"
)

const (
	// adviceInterval is the interval between two checks for a step that needs advice. The
	// advisor handles one call at a time, so there is only one caller.
	adviceInterval = 40 * time.Millisecond
	// adviceTimeout bounds one call. The advisor's response time grows with the number of
	// workers.
	adviceTimeout = 2 * time.Second
)

// Advisor determines which workers may run a step. It returns their tickets and how long
// these are valid.
type Advisor interface {
	Advise(ctx context.Context, r tackdispatch.AdviceRequest) ([]tackdispatch.Ticket, tackclock.Duration, error)
}

// nextAdviceRequest returns the next call to make in the term in which this VM leads, or
// false if there is none.
func (c *Control) nextAdviceRequest() (tackreplica.Term, tackdispatch.AdviceRequest, bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatchTerm != term {
		return 0, tackdispatch.AdviceRequest{}, false
	}
	request, wanted := c.dispatch.NextAdviceRequest(now)
	return term, request, wanted
}

// serveAdvice requests advice for the steps that need it while this VM is the leader.
func (c *Control) serveAdvice(ctx context.Context) error {
	for ctx.Err() == nil {
		tackloop.Sleep(ctx, adviceInterval)
		c.requestAdvice(ctx)
	}
	return ctx.Err()
}

func (c *Control) requestAdvice(ctx context.Context) {
	term, request, wanted := c.nextAdviceRequest()
	if !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	// The validity of the tickets is counted from before the call, so that they are never
	// used after they have expired.
	asked := c.clock.Now()
	tickets, valid, err := c.cfg.Advisor.Advise(ctx, request)
	c.log.WithFields(logrus.Fields{
		"job": string(request.Job), "step": request.Step, "asked": len(request.Workers), "further": request.Further, "allowed": len(tickets),
		"valid_ms": int64(valid), "took_ms": int64(c.clock.Now().Sub(asked)),
	}).WithError(err).Info("advice")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dispatchTerm == term {
		c.dispatch.AdviceReceived(asked, request, tickets, valid, err == nil)
	}
}
