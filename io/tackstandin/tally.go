package tackstandin

import "sync"

// Tally counts executions of requests by request id, idempotency key and body.
type Tally struct {
	mu       sync.Mutex
	requests map[string]int
	keys     map[string]int
	bodies   map[string]int
	cut      int
	overload int // executions beyond the slots of a backend server
}

func (t *Tally) add(id, key, body string, overloaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = make(map[string]int)
		t.keys = make(map[string]int)
		t.bodies = make(map[string]int)
	}
	t.requests[id]++
	if key != "" {
		t.keys[key]++
	}
	if body != "" {
		t.bodies[body]++
	}
	if overloaded {
		t.overload++
	}
}

func (t *Tally) addCut(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut += n
}

// Executions returns the number of executions of all requests.
func (t *Tally) Executions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.requests {
		n += c
	}
	return n
}

// OfKey returns the number of executions with the idempotency key.
func (t *Tally) OfKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[key]
}

// OfBody returns the number of executions of requests with the body.
func (t *Tally) OfBody(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies[body]
}

// RepeatedKeys returns the number of idempotency keys with more than one
// execution.
func (t *Tally) RepeatedKeys() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.keys {
		if c > 1 {
			n++
		}
	}
	return n
}

// Cut returns the number of requests that were cut because a backend server
// stopped.
func (t *Tally) Cut() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

// Overload returns the number of requests that arrived while all slots of the
// backend server were in use.
func (t *Tally) Overload() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overload
}
