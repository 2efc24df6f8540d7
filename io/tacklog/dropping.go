package tacklog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that are queued for a slow reader. At about 300
	// bytes each they take 1.5 MB.
	maxQueuedLines = 4096
	// closeTimeout bounds the wait for the last lines when a process ends.
	closeTimeout = 500 * time.Millisecond
)

// DroppingWriter is a writer that never blocks its caller. Lines that do not fit into its
// queue are dropped, and a line reports how many. Otherwise a process whose output is not
// read would block in the middle of a decision.
type DroppingWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	closed  chan struct{}
}

// NewDroppingWriter returns a writer to w.
func NewDroppingWriter(w io.Writer) *DroppingWriter {
	d := &DroppingWriter{
		lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go d.run(w)
	return d
}

// Write implements io.Writer. It always accepts all of p.
func (d *DroppingWriter) Write(p []byte) (int, error) {
	select {
	case d.lines <- append([]byte(nil), p...):
	default:
		d.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines, as far as possible within closeTimeout. Write must not be
// called after it.
func (d *DroppingWriter) Close() {
	close(d.closing)
	select {
	case <-d.closed:
	case <-time.After(closeTimeout):
	}
}

func (d *DroppingWriter) run(w io.Writer) {
	defer close(d.closed)
	for {
		select {
		case line := <-d.lines:
			d.writeLine(w, line)
		case <-d.closing:
			d.drain(w)
			return
		}
	}
}

func (d *DroppingWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-d.lines:
			d.writeLine(w, line)
		default:
			return
		}
	}
}

// writeLine writes a line, preceded by the number of dropped lines if there are any.
func (d *DroppingWriter) writeLine(w io.Writer, line []byte) {
	if n := d.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = w.Write(line) // there is nowhere else to report an error
}
