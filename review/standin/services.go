package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// cloud is the platform's service that lists the machines. The deployments of the cases
// have one pool, so no machine is moved and none is due for upkeep; orders are answered as
// those for an unknown machine or pool.
type cloud struct {
	mu       sync.Mutex
	machines []map[string]any
}

func (c *cloud) add(e *executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, map[string]any{
		"machine": e.machine, "pool": e.service, "state": "up", "zone": "zone-1", "labels": e.labels,
		"capacity": map[string]int{"cpu": e.cpu, "mem_mb": e.memory, "gpu": 0}, "id": e.id,
	})
}

// remove takes a machine that is gone for good off the list.
func (c *cloud) remove(e *executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = slices.DeleteFunc(c.machines, func(m map[string]any) bool { return m["machine"] == e.machine })
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/machines" {
		http.Error(w, `{}`, http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	data, _ := json.Marshal(map[string]any{"machines": c.machines})
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// advisor answers which executors may run a step. Its policy is the same for all steps and
// doesn't change.
type advisor struct {
	rec     *recorder
	allowed map[string]bool // ids of executors
	queue   sync.Mutex
}

const (
	adviceDecide = 20 * time.Millisecond
	adviceEach   = time.Millisecond
	adviceValid  = 5000 // milliseconds
)

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || r.URL.Path != "/advise" {
		http.Error(w, `{}`, http.StatusBadRequest)
		return
	}
	a.queue.Lock()
	time.Sleep(adviceDecide + time.Duration(len(call.Workers))*adviceEach)
	a.queue.Unlock()
	rows := [][]string{}
	for _, id := range call.Workers {
		if a.allowed[id] {
			rows = append(rows, []string{id, ticket(call.Step, id)})
		}
	}
	a.rec.printf("advisor: asked for %s about %d executors, %s to %s; allowed: %d", call.Step, len(call.Workers), slices.Min(call.Workers), slices.Max(call.Workers), len(rows))
	data, _ := json.Marshal(map[string]any{"allowed": rows, "valid_ms": adviceValid})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func ticket(step, id string) string { return "t:" + step + ":" + id }

// stepOf returns ID.K.STEP of the work item ID.K.STEP.INDEX.
func stepOf(item string) string { return item[:strings.LastIndex(item, ".")] }

func serve(address string, handler http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }() // returns when it is closed
	return s, nil
}
