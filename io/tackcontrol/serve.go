package tackcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"

	"auburntack/core/tackreplica"
	"auburntack/io/tackloop"
)

const (
	handOverTimeout      = 2 * time.Second
	handOverPollInterval = 20 * time.Millisecond
	// failedStopTimeout is how long Serve waits for its parts if the VM cannot continue. One
	// of them may be waiting for a call or for the disk.
	failedStopTimeout = 250 * time.Millisecond
)

// Serve runs the VM until ctx ends or the VM cannot continue. The error is a *StoppedError in
// the latter case; the process must end then.
func (c *Control) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	supervisor := suture.New("control", suture.Spec{
		EventHook: func(e suture.Event) { c.log.WithField("event", e.String()).Warn("part of the process restarted") },
	})
	add := func(name string, run func(context.Context) error) {
		supervisor.Add(tackloop.Service{Name: name, Run: run, Log: c.log})
	}
	add("log", func(ctx context.Context) error {
		cancel(c.runLoop(ctx))
		return suture.ErrDoNotRestart
	})
	add("links", c.links.Serve)
	add("upkeep", c.serveUpkeep)
	if c.cfg.Advisor != nil {
		add("advice", c.serveAdvice)
	}
	done := supervisor.ServeBackground(ctx)
	<-ctx.Done()
	var stopped *StoppedError
	if errors.As(context.Cause(ctx), &stopped) {
		c.log.WithError(stopped).Error("this VM cannot continue")
		select {
		case <-done:
		case <-time.After(failedStopTimeout):
			return stopped // the data folder may be in use
		}
	} else {
		<-done
	}
	if err := c.disk.Close(); err != nil {
		c.log.WithError(err).Warn("closing the data folder failed")
	}
	if stopped != nil {
		return stopped
	}
	return nil
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
	// The status is published before the transfer is sent.
	if s := c.status.Load(); s.Resigned.Term == s.Term {
		c.awaitRound(ctx)
	}
}

// awaitRound waits until the loop has sent what it had to send when awaitRound was called.
func (c *Control) awaitRound(ctx context.Context) {
	sent := make(chan struct{})
	if !c.loop.Post(ctx, func() { close(sent) }) {
		return
	}
	select {
	case <-sent:
	case <-ctx.Done():
	case <-c.loop.Ended():
	}
}
