package tackloop

import (
	"context"
	"errors"
	"testing"
)

func TestLoopSettlesAfterPostedFunctions(t *testing.T) {
	l := New(4)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var steps []string
	for _, name := range []string{"a", "b"} {
		if !l.Post(ctx, func() { steps = append(steps, name) }) {
			t.Fatal("Post returned false")
		}
	}
	stop := errors.New("enough")
	err := l.Run(ctx, func() {}, func() error {
		if len(steps) < 2 {
			return nil // a tick came first
		}
		steps = append(steps, "settle")
		return stop
	})
	if !errors.Is(err, stop) || len(steps) != 3 || steps[2] != "settle" {
		t.Errorf("steps %v, error %v", steps, err)
	}
}

// Guards against a process that never stops: its loop has ended, and a link's handler blocks
// on a full queue that is no longer processed.
func TestPostReturnsAfterLoopEnded(t *testing.T) {
	l := New(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Run(ctx, func() {}, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if l.Post(context.Background(), func() {}) {
		t.Error("Post returned true for a loop that has ended")
	}
}
