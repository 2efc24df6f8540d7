package tackloop

import (
	"bytes"
	"context"
	"runtime"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// exits runs f and returns the codes with which it ended the process, and the log.
func exits(f func(log logrus.FieldLogger)) (codes []int, text string) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.ExitFunc = func(code int) {
		codes = append(codes, code)
		runtime.Goexit()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(log)
	}()
	<-done
	return codes, out.String()
}

func assertProcessEnds(t *testing.T, f func(log logrus.FieldLogger)) {
	t.Helper()
	codes, text := exits(f)
	if len(codes) != 1 || codes[0] != 1 {
		t.Errorf("exit codes %v, want 1", codes)
	}
	if !strings.Contains(text, "panic: broken") || !strings.Contains(text, "panic_test.go") {
		t.Errorf("the log lacks the panic or its stack: %s", text)
	}
}

func assertPanicGoesOn(t *testing.T, f func()) {
	t.Helper()
	defer func() {
		if r := recover(); r != "broken" {
			t.Errorf("recovered %v", r)
		}
	}()
	f()
}

// Guards against a panic that leaves a lock or a half changed state behind while the process
// goes on.
func TestPanicEndsTheProcess(t *testing.T) {
	t.Run("with a lock for writing", func(t *testing.T) {
		assertProcessEnds(t, func(log logrus.FieldLogger) {
			m := &Mutex{Log: log}
			m.Lock()
			defer m.Unlock()
			panic("broken")
		})
	})
	t.Run("with a lock for reading", func(t *testing.T) {
		assertProcessEnds(t, func(log logrus.FieldLogger) {
			m := &Mutex{Log: log}
			m.RLock()
			defer m.RUnlock()
			panic("broken")
		})
	})
	t.Run("in a service", func(t *testing.T) {
		assertProcessEnds(t, func(log logrus.FieldLogger) {
			_ = Service{Name: "log", Log: log, Run: func(context.Context) error { panic("broken") }}.Serve(t.Context())
		})
	})
	t.Run("not without a logger", func(t *testing.T) {
		assertPanicGoesOn(t, func() {
			var m Mutex
			m.Lock()
			defer m.Unlock()
			panic("broken")
		})
		assertPanicGoesOn(t, func() {
			_ = Service{Run: func(context.Context) error { panic("broken") }}.Serve(t.Context())
		})
	})
}

func TestMutexWithoutPanic(t *testing.T) {
	codes, _ := exits(func(log logrus.FieldLogger) {
		m := &Mutex{Log: log}
		for range 2 {
			func() {
				m.Lock()
				defer m.Unlock()
			}()
			func() {
				m.RLock()
				defer m.RUnlock()
			}()
		}
	})
	if len(codes) > 0 {
		t.Errorf("exit codes %v, want none", codes)
	}
}
