package tacklog

import (
	"bytes"
	"strings"
	"testing"
)

// stuck is a writer that waits until it is let go.
type stuck struct {
	bytes.Buffer
	first chan struct{}
	let   chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	select {
	case s.first <- struct{}{}:
	default:
	}
	<-s.let
	return s.Buffer.Write(p)
}

// Symptom: a process stands still. Sequence: nobody reads its output, the pipe
// is full, and the next line waits for ever in the middle of a decision.
func TestDroppingNeverWaits(t *testing.T) {
	w := &stuck{first: make(chan struct{}, 1), let: make(chan struct{})}
	d := NewDropping(w)
	line := []byte("line\n")
	_, _ = d.Write(line)
	<-w.first // it is being written, and waits
	for range droppingLines + 3 {
		if n, err := d.Write(line); n != len(line) || err != nil {
			t.Fatalf("took %d, %v", n, err)
		}
	}
	close(w.let)
	d.Close()
	text := w.String()
	if got := strings.Count(text, "line\n"); got != droppingLines+1 {
		t.Errorf("%d lines were written, want %d", got, droppingLines+1)
	}
	if !strings.Contains(text, `"lines":3}`) {
		t.Error("no line says that three were dropped")
	}
}
