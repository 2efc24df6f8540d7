package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

type (
	// machine is an executor's machine as the platform knows it.
	machine struct {
		name, pool string
		labels     []string
		downUntil  time.Time // end of a move or an upkeep
		state      string    // what it is until then
		crashed    bool
		current    *executor
		waves      map[int64]bool
	}

	// cloud is the platform's service that lists machines, moves them and takes them down.
	cloud struct {
		mu       sync.Mutex
		rec      *recorder
		machines []*machine
		pools    map[string]bool
		// ended is called after a move or an upkeep has begun; it ends the executor there and
		// starts the next one when the machine is back.
		ended func(m *machine, after time.Duration)
		began []upkeepBegin
	}

	upkeepBegin struct {
		at      time.Duration
		wave    int64
		machine string
	}
)

func (c *cloud) serve(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-move", c.move)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	server := &http.Server{Addr: address, Handler: mux}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(100 * time.Millisecond):
		return nil
	}
}

func (c *cloud) find(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (m *machine) stateNow() string {
	switch {
	case time.Now().Before(m.downUntil):
		return m.state
	case m.crashed:
		return "down"
	}
	return "up"
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type entry struct {
		Machine  string         `json:"machine"`
		Pool     string         `json:"pool"`
		State    string         `json:"state"`
		Zone     string         `json:"zone"`
		Labels   []string       `json:"labels"`
		Capacity map[string]int `json:"capacity"`
		ID       string         `json:"id"`
	}
	list := []entry{}
	for _, m := range c.machines {
		e := entry{Machine: m.name, Pool: m.pool, State: m.stateNow(), Zone: "z-1", Labels: m.labels, Capacity: capacity()}
		if e.State == "up" && m.current != nil {
			e.ID = m.current.id
		}
		list = append(list, e)
	}
	answer(w, http.StatusOK, map[string]any{"machines": list, "next_token": ""})
}

func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	var o struct{ Machine, Pool string }
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.find(o.Machine)
	status, body := http.StatusOK, map[string]any{}
	switch {
	case m == nil || !c.pools[o.Pool]:
		status = http.StatusBadRequest
	case m.pool == o.Pool:
	case m.stateNow() != "up":
		status, body = http.StatusConflict, map[string]any{"reason": "busy"}
	default:
		m.pool, m.state, m.downUntil = o.Pool, "moving", time.Now().Add(moveTime)
		c.ended(m, moveTime)
	}
	c.rec.note("MOVE   %s to %s by %s fence %s: %d", o.Machine, o.Pool, r.Header.Get("Auburntack-Lease-Holder"), r.Header.Get("Auburntack-Fence-Token"), status)
	answer(w, status, body)
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string
		Wave    int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.find(o.Machine)
	status, body := http.StatusOK, map[string]any{}
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case m.waves[o.Wave]: // already done
	case m.stateNow() != "up":
		status, body = http.StatusConflict, map[string]any{"reason": "busy"}
	default:
		m.waves[o.Wave] = true
		m.state, m.downUntil = "upkeep", time.Now().Add(upkeepTime)
		c.began = append(c.began, upkeepBegin{at: c.rec.now(), wave: o.Wave, machine: o.Machine})
		c.ended(m, upkeepTime)
	}
	c.rec.note("UPKEEP %s wave %d by %s fence %s: %d %v", o.Machine, o.Wave, r.Header.Get("Auburntack-Lease-Holder"), r.Header.Get("Auburntack-Fence-Token"), status, body)
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
