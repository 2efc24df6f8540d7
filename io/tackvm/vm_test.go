package tackvm

import (
	"context"
	"errors"
	"io"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/io/tacksettings"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

// newVM makes a VM that is the only one of its system, on ports that the
// kernel picks.
func newVM(t *testing.T) *VM {
	t.Helper()
	cfg := tacksettings.Default()
	cfg.VM = tacksettings.VM{ID: "rennes-a-1", DataCentre: "rennes-a"}
	cfg.Listen = tacksettings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	cfg.State = tacksettings.State{Folder: t.TempDir(), Replica: true}
	cfg.Stop.Linger = 0
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v, err := New(cfg, new(tackclock.Clock), logger)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func assertStopped(t *testing.T, err error) {
	t.Helper()
	var stopped *StoppedError
	if !errors.As(err, &stopped) {
		t.Fatalf("got %v, want a *StoppedError", err)
	}
	if stopped.Advice == "" {
		t.Errorf("%v says nothing of what to do", stopped)
	}
}

// Symptom: a VM answers its ports and takes part in nothing.
// Sequence: the goroutine that owns the log panics.
// Cause: a supervisor that starts only this service again, without the state
// that it owned; Run must end so that the process does.
func TestPanicInTheLogEndsTheVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	v := newVM(t)
	v.loop.Post(t.Context(), func() { panic("what must not happen") })
	assertStopped(t, v.Run(context.Background()))
}

// Symptom: a VM whose disk fails goes on answering, and forgets what it
// answered at the next start.
// Sequence: the disk is closed under the VM, so that every write fails.
// Cause: an error of the disk that is logged and passed over.
func TestFailedDiskEndsTheVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	v := newVM(t)
	v.disk.Close()
	assertStopped(t, v.Run(context.Background()))
}

// Symptom: a process that was asked to stop stays.
// Sequence: Run is ended while it serves.
// Cause: a goroutine that waits for another which is gone.
func TestStopLeavesNothingRunning(t *testing.T) {
	defer goleak.VerifyNone(t)
	v := newVM(t)
	ctx, cancel := context.WithCancel(context.Background())
	v.loop.Post(t.Context(), cancel)
	if err := v.Run(ctx); err != nil {
		t.Fatal(err)
	}
}
