package tackserve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"auburntack/io/tacksettings"
)

const settings = `[vm]
id = rennes-a-1
data_centre = rennes-a
[listen]
caller = 127.0.0.1:7000
operator = 127.0.0.1:7001
peer = 127.0.0.1:7002
`

// vm is a fake VM: its run method waits for the end of its context, then returns err
// once release is closed.
type vm struct {
	stopping chan struct{}
	release  chan struct{}
	err      error
}

func newVM(err error) *vm {
	return &vm{stopping: make(chan struct{}), release: make(chan struct{}), err: err}
}

func (v *vm) run(ctx context.Context, _ tacksettings.Settings, _ *logrus.Logger) error {
	<-ctx.Done()
	close(v.stopping)
	<-v.release
	return v.err
}

// After SIGTERM the exit code must tell whether the VM drained, and a stop that hangs
// must be ended by a second signal or the deadline. If a failed stop reports success,
// the platform reboots the VM while requests are in flight; if nothing bounds a stop,
// the platform waits for ever.
func TestServeStops(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		hangs   bool
		second  bool
		code    int
		message string
	}{
		{"gracefully", nil, false, false, 0, `msg="stopping"`},
		{"gracefully by the context", context.Canceled, false, false, 0, `msg="stopping"`},
		{"with a failure", errors.New("the log was not synced"), false, false, 1, "the log was not synced"},
		{"at once by a second signal", nil, true, true, 1, "second signal"},
		{"by the deadline", nil, true, false, 1, "by the deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := newVM(test.err)
			signals := make(chan os.Signal)
			deadline := make(chan time.Time)
			var errs bytes.Buffer
			d := Daemon{Stdout: &errs, Stderr: &errs, Signals: signals, Run: v.run,
				after: func(time.Duration) <-chan time.Time { return deadline }}
			file := write(t, settings)
			code := make(chan int)
			go func() { code <- d.Main([]string{"serve", "--config", file}) }()
			signals <- syscall.SIGTERM
			<-v.stopping
			switch {
			case !test.hangs:
				close(v.release)
			case test.second:
				signals <- syscall.SIGTERM
			default:
				deadline <- time.Time{}
			}
			assertEnd(t, <-code, test.code, errs.String(), test.message)
			if test.hangs {
				close(v.release)
			}
		})
	}
}

func TestServeLogsAdviceWhenItCannotContinue(t *testing.T) {
	var errs bytes.Buffer
	d := Daemon{Stdout: &errs, Stderr: &errs, Run: func(context.Context, tacksettings.Settings, *logrus.Logger) error {
		return fmt.Errorf("tackvm: %w", &os.PathError{Op: "open", Path: "lock", Err: syscall.EROFS})
	}}
	code := d.Main([]string{"serve", "--config", write(t, settings)})
	assertEnd(t, code, 1, errs.String(), "mount the file system of state.folder for writing")
	if n := strings.Count(errs.String(), "\n"); n != 1 {
		t.Errorf("%d lines, want 1: %s", n, errs.String())
	}
}

func TestCheck(t *testing.T) {
	Convey("Given a daemon's command line", t, func() {
		var out, errs bytes.Buffer
		d := Daemon{Stdout: &out, Stderr: &errs}
		Convey("check is silent about good settings", func() {
			So(d.Main([]string{"check", "--config", write(t, settings)}), ShouldEqual, 0)
			So(out.String()+errs.String(), ShouldBeEmpty)
		})
		Convey("check and serve print every problem and exit with 2", func() {
			file := write(t, strings.Replace(settings, "7000", "70000", 1)+"[wav]\n")
			So(d.Main([]string{"check", "--config", file}), ShouldEqual, 2)
			So(strings.Split(out.String(), "\n"), ShouldHaveLength, 3)
			So(out.String(), ShouldStartWith, file+": listen.caller: ")
			So(d.Main([]string{"serve", "--config", file}), ShouldEqual, 2)
			So(errs.String(), ShouldEqual, out.String())
		})
		Convey("a missing flag is wrong usage", func() {
			So(d.Main([]string{"serve"}), ShouldEqual, 2)
			So(errs.String(), ShouldContainSubstring, `"config" not set`)
		})
		Convey("settings prints the page", func() {
			So(d.Main([]string{"settings"}), ShouldEqual, 0)
			So(out.String(), ShouldContainSubstring, "settle_ms")
		})
	})
}

func assertEnd(t *testing.T, code, want int, output, message string) {
	t.Helper()
	if code != want {
		t.Errorf("exit code %d, want %d", code, want)
	}
	if !strings.Contains(output, message) {
		t.Errorf("output %q, want %q in it", output, message)
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "vm.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
