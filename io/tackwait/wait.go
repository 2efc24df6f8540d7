// Package tackwait lets callers wait for values that other goroutines deliver under the
// serial number of the caller.
package tackwait

import (
	"math/rand/v2"
	"sync"
)

// queueSize is the number of values that are queued for a slow caller. Further values are
// dropped.
const queueSize = 16

// Callers is a set of callers that wait for values of type T. Its zero value is empty. It is
// safe for concurrent use.
type Callers[T any] struct {
	mu      sync.Mutex
	next    uint64
	callers map[uint64]chan T
}

// Add adds a caller. It returns a unique serial and the channel that receives the values
// delivered under it. Serials begin at a random number, so that a late value for an earlier
// run of the process is not delivered to a caller of this one.
func (w *Callers[T]) Add() (uint64, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callers == nil {
		w.callers = make(map[uint64]chan T)
		w.next = rand.Uint64() >> 1
	}
	w.next++
	values := make(chan T, queueSize)
	w.callers[w.next] = values
	return w.next, values
}

// Remove removes the caller with the serial.
func (w *Callers[T]) Remove(serial uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.callers, serial)
}

// Deliver sends v to the caller with the serial, if there is one. It never blocks.
func (w *Callers[T]) Deliver(serial uint64, v T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	values, ok := w.callers[serial]
	if !ok {
		return
	}
	select {
	case values <- v:
	default:
	}
}
