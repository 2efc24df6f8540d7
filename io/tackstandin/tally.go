package tackstandin

import "sync"

// Tally counts executions by request and by idempotency key.
type Tally struct {
	mu       sync.Mutex
	requests map[string]int
	keys     map[string]int
	bodies   map[string]int
	cut      int
	overload int
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

// Executions returns how many requests were run.
func (t *Tally) Executions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.requests {
		n += c
	}
	return n
}

// OfKey returns how often work with the idempotency key was run.
func (t *Tally) OfKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[key]
}

// OfBody returns how often a request with the body was run.
func (t *Tally) OfBody(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies[body]
}

// DoubledKeys returns how many idempotency keys were run more than once.
func (t *Tally) DoubledKeys() int {
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

// Cut returns how many requests were cut by a stop.
func (t *Tally) Cut() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

// Overload returns how many requests came beyond the slots of a backend
// server.
func (t *Tally) Overload() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overload
}
