package tacklog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// droppingLines is how many lines wait for a reader that is slow; at some
	// 300 bytes each they take a megabyte and a half.
	droppingLines = 4096
	// closeLimit bounds the wait for the last lines when a process ends.
	closeLimit = 500 * time.Millisecond
)

// Dropping is a writer that never makes its caller wait. Lines that find no
// room are counted, and a line says how many they were. A process whose output
// nobody reads would otherwise stand still in the middle of a decision.
type Dropping struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	closed  chan struct{}
}

// NewDropping returns a writer to w.
func NewDropping(w io.Writer) *Dropping {
	d := &Dropping{
		lines: make(chan []byte, droppingLines), closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go d.run(w)
	return d
}

// Write implements io.Writer. It always takes all of p.
func (d *Dropping) Write(p []byte) (int, error) {
	select {
	case d.lines <- append([]byte(nil), p...):
	default:
		d.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits, within a bound. Nothing may be written after it.
func (d *Dropping) Close() {
	close(d.closing)
	select {
	case <-d.closed:
	case <-time.After(closeLimit):
	}
}

func (d *Dropping) run(w io.Writer) {
	defer close(d.closed)
	for {
		select {
		case line := <-d.lines:
			d.put(w, line)
		case <-d.closing:
			d.rest(w)
			return
		}
	}
}

func (d *Dropping) rest(w io.Writer) {
	for {
		select {
		case line := <-d.lines:
			d.put(w, line)
		default:
			return
		}
	}
}

// put writes a line, and before it how many were dropped.
func (d *Dropping) put(w io.Writer, line []byte) {
	if n := d.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = w.Write(line) // there is nowhere else to tell it
}
