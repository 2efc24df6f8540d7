package tackstandin

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// checkInterval is the time between two readiness checks of the entries.
const checkInterval = 100 * time.Millisecond

type (
	// Entry holds the addresses of one daemon.
	Entry struct {
		Caller   string
		Operator string
	}

	// Balancer picks the ready entries in turn. Set Entries, then call Start.
	Balancer struct {
		Entries []Entry

		mu    sync.Mutex
		ready []string
		next  atomic.Uint64
		stop  chan struct{}
	}

	// NoEntryError reports that none of the entries is ready.
	NoEntryError struct {
		Entries int
	}
)

func (e *NoEntryError) Error() string {
	return fmt.Sprintf("tackstandin: none of %d entries is ready", e.Entries)
}

// Start checks the readiness of the entries once, then repeatedly in the
// background until Stop is called.
func (b *Balancer) Start() {
	b.stop = make(chan struct{})
	b.check()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(checkInterval):
				b.check()
			}
		}
	}()
}

// Stop ends the readiness checks.
func (b *Balancer) Stop() { close(b.stop) }

// Pick returns the caller port of a ready entry.
func (b *Balancer) Pick() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", &NoEntryError{Entries: len(b.Entries)}
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], nil
}

// Ready returns the caller ports of the entries that are ready.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ready)
}

func (b *Balancer) check() {
	var ready []string
	for _, e := range b.Entries {
		r, err := client.Get("http://" + e.Operator + "/readyz")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			ready = append(ready, e.Caller)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}
