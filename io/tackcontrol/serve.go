package tackcontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"

	"auburntack/core/tackreplica"
	"auburntack/io/tackloop"
)

const (
	handOverTimeout      = 2 * time.Second
	handOverPollInterval = 20 * time.Millisecond
)

// Serve runs the VM until ctx ends or the VM cannot continue. The error is a *StoppedError in
// the latter case.
func (c *Control) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	supervisor := suture.New("control", suture.Spec{
		EventHook: func(e suture.Event) { c.log.WithField("event", e.String()).Warn("part of the process restarted") },
	})
	supervisor.Add(tackloop.Service{Name: "log", Run: func(ctx context.Context) error {
		cancel(c.guardLoop(ctx))
		return suture.ErrDoNotRestart
	}})
	supervisor.Add(tackloop.Service{Name: "links", Run: c.links.Serve})
	supervisor.Add(tackloop.Service{Name: "upkeep", Run: c.serveUpkeep})
	if c.cfg.Advisor != nil {
		supervisor.Add(tackloop.Service{Name: "advice", Run: c.serveAdvice})
	}
	_ = supervisor.Serve(ctx) // returns when ctx ends; the cause of ctx is the reason
	err := context.Cause(ctx)
	if closeErr := c.disk.Close(); closeErr != nil {
		c.log.WithError(closeErr).Warn("closing the data folder failed")
	}
	var stopped *StoppedError
	if errors.As(err, &stopped) {
		return stopped
	}
	return nil
}

// guardLoop runs the loop. The state of the loop cannot be rebuilt without a restart, so a
// panic stops the process instead of restarting the loop alone.
func (c *Control) guardLoop(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &StoppedError{What: "run the log", Err: fmt.Errorf("panic: %v", r)}
		}
	}()
	return c.runLoop(ctx)
}

// HandOver transfers leadership to another VM before a planned stop, so that no caller waits
// for an election.
func (c *Control) HandOver(ctx context.Context) {
	if len(c.status.Load().Members) <= 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for c.status.Load().Role == tackreplica.Leader && ctx.Err() == nil {
		c.loop.Post(ctx, func() { c.node.Transfer(c.clock.Now(), "") })
		tackloop.Sleep(ctx, handOverPollInterval)
	}
}
