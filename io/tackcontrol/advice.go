package tackcontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/io/tackloop"
)

const (
	// adviceEvery is the wait between two looks for a step that needs advice.
	// The advisor takes one call at a time, so there is one caller.
	adviceEvery = 40 * time.Millisecond
	// adviceLimit bounds one call: the advisor takes some time a worker.
	adviceLimit = 2 * time.Second
)

// Advisor knows which workers may run a step. It returns their tickets and for
// how long these hold.
type Advisor interface {
	Advise(ctx context.Context, r tackdispatch.AdviceRequest) ([]tackdispatch.Ticket, tackclock.Duration, error)
}

// serveAdvice asks the advisor for the steps that need it while this VM leads.
func (c *Control) serveAdvice(ctx context.Context) error {
	for ctx.Err() == nil {
		tackloop.Sleep(ctx, adviceEvery)
		c.askAdvice(ctx)
	}
	return ctx.Err()
}

func (c *Control) askAdvice(ctx context.Context) {
	now := c.clock.Now()
	c.mu.Lock()
	term, leads := c.leads(now)
	if !leads || c.dispatched != term {
		c.mu.Unlock()
		return
	}
	request, wanted := c.dispatch.NextAdviceRequest(now)
	c.mu.Unlock()
	if !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adviceLimit)
	defer cancel()
	// The tickets' time counts from before the call, so that it never seems to
	// end later than it does.
	asked := c.clock.Now()
	tickets, valid, err := c.cfg.Advisor.Advise(ctx, request)
	c.log.WithFields(logrus.Fields{
		"job": string(request.Job), "step": request.Step, "asked": len(request.Workers), "allowed": len(tickets),
		"valid_ms": int64(valid), "took_ms": int64(c.clock.Now().Sub(asked)),
	}).WithError(err).Info("advice")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dispatched == term {
		c.dispatch.AdviceReceived(asked, request, tickets, valid, err == nil)
	}
}
