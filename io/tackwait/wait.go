// Package tackwait lets callers wait for what comes back by way of other
// goroutines under a number that the caller was given.
package tackwait

import (
	"math/rand/v2"
	"sync"
)

// kept is how many values are kept for a caller that is slow to take them.
// Those beyond it are dropped.
const kept = 16

// Waiting holds the callers that wait for values of type T. Its zero value has
// none. It may be used from several goroutines.
type Waiting[T any] struct {
	mu      sync.Mutex
	next    uint64
	callers map[uint64]chan T
}

// Add returns a serial that no other caller has, and the channel on which the
// values delivered under it come. Serials begin at a random number: what comes
// back late, for an earlier life of the process, finds no caller.
func (w *Waiting[T]) Add() (uint64, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callers == nil {
		w.callers = make(map[uint64]chan T)
		w.next = rand.Uint64() >> 1
	}
	w.next++
	values := make(chan T, kept)
	w.callers[w.next] = values
	return w.next, values
}

// Remove forgets the caller.
func (w *Waiting[T]) Remove(serial uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.callers, serial)
}

// Deliver gives v to the caller with the serial, if there is one. It never
// blocks.
func (w *Waiting[T]) Deliver(serial uint64, v T) {
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
