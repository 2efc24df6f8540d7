package tackstandin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
)

const busyVariable = "TACKSTANDIN_BUSY"

// TestMain runs a busy process instead of the tests where busyVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(busyVariable) == "" {
		os.Exit(m.Run())
	}
	for range 2 * runtime.NumCPU() {
		go func() {
			for {
				runtime.Gosched()
			}
		}()
	}
	fmt.Println("busy")
	select {}
}

// Guards against a daemon that handles a request after it was paused: a test that then
// expects another leader finds the change in force on the paused one.
func TestPauseReturnsOnceAllThreadsHaveStopped(t *testing.T) {
	d := Daemon{cmd: exec.Command(os.Args[0])}
	d.cmd.Env = append(os.Environ(), busyVariable+"=yes")
	output, err := d.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Signal(syscall.SIGKILL)
		d.cmd.Wait()
	})
	output.Read(make([]byte, 1)) // its threads run
	for range 100 {
		if err := d.Pause(); err != nil {
			t.Fatal(err)
		}
		for _, state := range threadStates(t, d.cmd.Process.Pid) {
			if state != "T" {
				t.Fatalf("a thread is in state %s after the pause, want T", state)
			}
		}
		d.Signal(syscall.SIGCONT)
	}
}

// threadStates returns the state of each thread of a process: T if it is stopped.
func threadStates(t *testing.T, pid int) []string {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("no threads of process %d: %v", pid, err)
	}
	var states []string
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		states = append(states, rest[:1])
	}
	return states
}
