// Package tackloop runs all functions that access some state on one goroutine: those that
// others post, and a periodic tick. It also provides helpers with which processes run their
// parts under supervision.
package tackloop

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// tickInterval is the interval between two ticks.
	tickInterval = 25 * time.Millisecond
	// maxBatch bounds the number of queued functions that are run before one call of settle,
	// which may write to a disk to make their effects durable.
	maxBatch = 256
)

type (
	// Loop runs functions one after the other on one goroutine.
	Loop struct {
		events chan func()
		ended  chan struct{}
	}

	// Service adapts a function to suture.Service. If Run panics the process ends, since the
	// state that Run shares with others may be half changed. Without Log the supervisor
	// restarts it instead.
	Service struct {
		Name string
		Run  func(context.Context) error
		Log  logrus.FieldLogger
	}
)

// New returns a loop that is not running yet. Post blocks while the given number of functions
// are queued.
func New(queue int) *Loop {
	return &Loop{events: make(chan func(), queue), ended: make(chan struct{})}
}

// Run runs the loop until ctx ends. It calls settle after each posted function, together with
// others that are queued, and after each tick. It returns the error of settle.
func (l *Loop) Run(ctx context.Context, tick func(), settle func() error) error {
	defer close(l.ended)
	ticker := time.NewTicker(tickInterval)
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
	for range maxBatch {
		select {
		case f := <-l.events:
			f()
		default:
			return
		}
	}
}

// Post queues f. It returns false if ctx or the loop ended first: a sender that waited
// forever for an ended loop would prevent the process from stopping.
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

// Ended returns a channel that is closed when the loop has ended.
func (l *Loop) Ended() <-chan struct{} {
	return l.ended
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error {
	defer EndOnPanic(s.Log, s.Name)
	return s.Run(ctx)
}

// String returns the name of the service for suture's events.
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
