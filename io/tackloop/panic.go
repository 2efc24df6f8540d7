package tackloop

import (
	"runtime/debug"
	"sync"

	"github.com/sirupsen/logrus"
)

// Mutex is a reader/writer lock that ends the process if a goroutine panics while it holds
// the lock. Unlock and RUnlock must be deferred. The zero value is unlocked; without Log the
// panic goes on.
//
// A server that recovers the panic, such as net/http's, would otherwise go on with a state
// that is half changed, or with a lock that is never released: its ports would accept calls
// that are never answered, and no supervisor would notice.
type Mutex struct {
	Log logrus.FieldLogger

	mu sync.RWMutex
}

// Lock locks m for writing.
func (m *Mutex) Lock() {
	m.mu.Lock()
}

// Unlock undoes Lock.
func (m *Mutex) Unlock() {
	if r := recover(); r != nil {
		endProcess(m.Log, "state", r)
	}
	m.mu.Unlock()
}

// RLock locks m for reading.
func (m *Mutex) RLock() {
	m.mu.RLock()
}

// RUnlock undoes RLock.
func (m *Mutex) RUnlock() {
	if r := recover(); r != nil {
		endProcess(m.Log, "state", r)
	}
	m.mu.RUnlock()
}

// EndOnPanic ends the process if the calling goroutine panics. It must be deferred. Without
// a logger the panic goes on.
func EndOnPanic(log logrus.FieldLogger, part string) {
	if r := recover(); r != nil {
		endProcess(log, part, r)
	}
}

// endProcess logs a panic and ends the process. It is called before the stack is unwound.
func endProcess(log logrus.FieldLogger, part string, cause any) {
	if log == nil {
		panic(cause)
	}
	log.WithField("part", part).WithField("stack", string(debug.Stack())).Fatalf("panic: %v; the process ends", cause)
}
