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

// newVM returns a VM that is the only one of its system, on ports picked by the kernel.
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
		t.Errorf("%v contains no advice", stopped)
	}
}

// Run must return when the goroutine that owns the log panics, so that the process
// exits. If the supervisor restarted only that goroutine, without its state, the VM
// would serve its ports but take no part in the system.
func TestPanicInTheLogEndsTheVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	v := newVM(t)
	v.loop.Post(t.Context(), func() { panic("test") })
	assertStopped(t, v.Run(context.Background()))
}

// Run must return when the disk fails; here the disk is closed while the VM uses it, so
// that every write fails. If disk errors were only logged, the VM would lose
// acknowledged writes at the next start.
func TestFailedDiskEndsTheVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	v := newVM(t)
	v.disk.Close()
	assertStopped(t, v.Run(context.Background()))
}

// Run must end all its goroutines when ctx is done. A goroutine that waits for another
// one which has already ended would keep a stopping process running.
func TestStopLeavesNothingRunning(t *testing.T) {
	defer goleak.VerifyNone(t)
	v := newVM(t)
	ctx, cancel := context.WithCancel(context.Background())
	v.loop.Post(t.Context(), cancel)
	if err := v.Run(ctx); err != nil {
		t.Fatal(err)
	}
}
