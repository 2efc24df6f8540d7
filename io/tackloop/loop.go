// Package tackloop runs what touches a state on one goroutine: functions that
// others post, and a tick. It also has the small pieces that every process
// needs to run its parts under supervision.
package tackloop

import (
	"context"
	"time"
)

const (
	// tickEvery is how often a loop moves its state's clock.
	tickEvery = 25 * time.Millisecond
	// batch is how many waiting functions are run before one settling, which
	// may write to a disk, makes what they did durable.
	batch = 256
)

type (
	// Loop runs functions one after the other.
	Loop struct {
		events chan func()
		ended  chan struct{}
	}

	// Service gives a function the form that suture supervises.
	Service struct {
		Name string
		Run  func(context.Context) error
	}
)

// New returns a loop that runs nothing yet. A sender waits once queue functions
// do.
func New(queue int) *Loop {
	return &Loop{events: make(chan func(), queue), ended: make(chan struct{})}
}

// Run owns the state until ctx ends. After each function, and what else waits,
// or each tick, it settles. It returns settle's error.
func (l *Loop) Run(ctx context.Context, tick func(), settle func() error) error {
	defer close(l.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.events:
			f()
			l.drain()
		case <-ticker.C:
			tick()
		}
		if err := settle(); err != nil {
			return err
		}
	}
}

func (l *Loop) drain() {
	for range batch {
		select {
		case f := <-l.events:
			f()
		default:
			return
		}
	}
}

// Post hands f to the loop. It reports false where ctx or the loop ended first:
// a sender that went on waiting for a loop that is gone would keep the process
// from stopping.
func (l *Loop) Post(ctx context.Context, f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-ctx.Done():
		return false
	case <-l.ended:
		return false
	}
}

// Ended is closed once the loop takes no more functions.
func (l *Loop) Ended() <-chan struct{} {
	return l.ended
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String names the service in suture's events.
func (s Service) String() string { return s.Name }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
