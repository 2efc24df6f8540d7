package tackstandin

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// checkEvery is how often the balancer asks each entry whether it is ready.
const checkEvery = 100 * time.Millisecond

type (
	// Entry is one VM of the system as the balancer knows it.
	Entry struct {
		Caller   string
		Operator string
	}

	// Balancer picks entries that say they are ready, in turn. Set Entries,
	// then call Start.
	Balancer struct {
		Entries []Entry

		mu    sync.Mutex
		ready []string
		next  atomic.Uint64
		stop  chan struct{}
	}

	// NoEntryError says that no entry is ready.
	NoEntryError struct {
		Entries int
	}
)

// Error implements error.
func (e *NoEntryError) Error() string {
	return fmt.Sprintf("standin: none of %d entries is ready", e.Entries)
}

// Start follows the entries until Stop.
func (b *Balancer) Start() {
	b.stop = make(chan struct{})
	b.check()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(checkEvery):
				b.check()
			}
		}
	}()
}

// Stop ends following the entries.
func (b *Balancer) Stop() { close(b.stop) }

// Pick returns the callers' port of a ready entry.
func (b *Balancer) Pick() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", &NoEntryError{Entries: len(b.Entries)}
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], nil
}

// Ready returns the callers' ports of the entries that are ready.
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
