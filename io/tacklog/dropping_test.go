package tacklog

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	bytes.Buffer
	first   chan struct{}
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	select {
	case s.first <- struct{}{}:
	default:
	}
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against a process that hangs: its output is not read, the pipe is full, and the next
// line blocks forever in the middle of a decision.
func TestDroppingNeverBlocks(t *testing.T) {
	w := &blockedWriter{first: make(chan struct{}, 1), release: make(chan struct{})}
	d := NewDroppingWriter(w)
	line := []byte("line\n")
	_, _ = d.Write(line)
	<-w.first // the line is being written, and blocks
	for range maxQueuedLines + 3 {
		if n, err := d.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	close(w.release)
	d.Close()
	text := w.String()
	if got := strings.Count(text, "line\n"); got != maxQueuedLines+1 {
		t.Errorf("%d lines were written, want %d", got, maxQueuedLines+1)
	}
	if !strings.Contains(text, `"lines":3}`) {
		t.Error("no line reports that three were dropped")
	}
}
