package tackcontrol_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackwork"
	"auburntack/io/tackcontrol"
	"auburntack/io/tackdisk"
)

// panicVariable names the part of a control VM that panics in a process which the test
// starts.
const panicVariable = "TACKCONTROL_TEST_PANIC"

type (
	// faultyPart stands in for what a control VM calls. It panics on behalf of one part.
	faultyPart struct {
		noCloud
		tackdisk.OSFiles
		part    string
		started atomic.Bool
	}

	faultyFile struct {
		tackdisk.File
		part *faultyPart
	}
)

func (f *faultyPart) panicIn(part string) {
	if f.part == part && f.started.Load() {
		panic("in " + part)
	}
}

func (f *faultyPart) Machines(context.Context) ([]tackdispatch.Machine, error) {
	f.panicIn("upkeep")
	return nil, nil
}

func (f *faultyPart) Advise(context.Context, tackdispatch.AdviceRequest) ([]tackdispatch.Ticket, tackclock.Duration, error) {
	f.panicIn("advice")
	return nil, 0, errors.New("no advice")
}

func (f *faultyPart) Create(name string) (tackdisk.File, error) {
	file, err := f.OSFiles.Create(name)
	return faultyFile{File: file, part: f}, err
}

func (f faultyFile) Write(data []byte) (int, error) {
	f.part.panicIn("log")
	return f.File.Write(data)
}

// Levels implements logrus.Hook.
func (f *faultyPart) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. Control logs this line while it holds the lock of its state.
func (f *faultyPart) Fire(e *logrus.Entry) error {
	if e.Message == "worker left" {
		f.panicIn("state")
	}
	return nil
}

// runUntilPanic runs a control VM, the only one of its cluster, through what makes each of
// its parts call the stand-in.
func runUntilPanic(t *testing.T, part string) {
	faulty, log := &faultyPart{part: part}, logrus.New()
	log.AddHook(faulty)
	const self tackid.Peer = "127.0.0.1"
	control, err := tackcontrol.New(tackcontrol.Config{
		Self: self, Seeds: func() []tackid.Peer { return []tackid.Peer{self} }, Bootstrap: true, Voters: 1,
		Files: faulty, Folder: t.TempDir(), Cloud: faulty, Advisor: faulty, Clock: new(tackclock.Clock), Logger: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	faulty.started.Store(true)
	go func() { _ = control.Serve(t.Context()) }()
	// The server recovers a panic of its handler.
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { control.Leave("i-1") }))
	advised := catalog
	advised.Queues = slices.Clone(catalog.Queues)
	advised.Queues[0].Advised = true
	r := &tackdispatch.Report{Worker: "i-1", VM: "m-1", Service: "names-api", Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000}}
	for ; ; time.Sleep(20 * time.Millisecond) {
		control.PutCatalog(t.Context(), &advised)
		r.Sequence++
		_, _ = control.Heartbeat(t.Context(), r)
		control.Do(t.Context(), &tackwork.Request{Operation: tackwork.Submit, Host: "a.example", Path: "/q/00000000000000a1", Spec: &tackjob.Spec{
			Steps: []tackjob.Step{{Count: 1, Resources: tackroom.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: 100}},
		}})
		if part == "state" {
			if resp, err := http.Get(server.URL); err == nil {
				resp.Body.Close()
			}
		}
	}
}

// Guards against a process that goes on after a panic: one that held the lock of the state
// left the ports open for twenty seconds, and no call was answered.
func TestPanicEndsTheProcess(t *testing.T) {
	if part := os.Getenv(panicVariable); part != "" {
		runUntilPanic(t, part)
	}
	for _, part := range []string{"log", "upkeep", "advice", "state"} {
		t.Run(part, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), eventually)
			defer cancel()
			cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestPanicEndsTheProcess$")
			cmd.Env = append(os.Environ(), panicVariable+"="+part)
			out, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("ended with %v", err)
			}
			if !bytes.Contains(out, []byte("panic: in "+part+"; the process ends")) || !bytes.Contains(out, []byte("panic_test.go")) {
				t.Errorf("the log has no line with the panic and its stack:\n%s", out)
			}
		})
	}
}
