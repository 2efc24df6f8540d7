package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
)

// call makes one HTTP call and returns the status, 0 if there was no answer.
func call(method, url, host string, body any, timeout time.Duration) (int, []byte, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, ""
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Auburntack-Deadline-Ms", "3000")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, text, resp.Request.URL.Host
}

// configure sends a configuration until a node acknowledges it.
func configure(rec *recorder, c *cluster, config any, limit time.Duration) error {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		n := c.controls[i%len(c.controls)]
		status, text, by := call(http.MethodPost, "http://"+n.controlAddress()+"/config/replace", "", config, time.Second)
		if status == http.StatusOK {
			rec.note("CONFIG acknowledged by %s", by)
			return nil
		}
		if status == http.StatusBadRequest || status == http.StatusConflict {
			return fmt.Errorf("configuration refused: %d %s", status, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no node acknowledged the configuration")
}

// config returns a configuration with one queue for each service.
func config(version int, standby bool) map[string]any {
	services := []map[string]any{{
		"name": "huvo11a", "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "rejects_overload": true, "standby": false,
	}}
	if standby {
		services = append(services, map[string]any{
			"name": "lohu93e", "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "rejects_overload": true, "standby": true,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-snmgkcu", "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 3600, "priority": 0,
			"service": "huvo11a", "attempts": 3, "stretch_factor": 1.6,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// submit hands a job in until it is accepted.
func submit(rec *recorder, c *cluster, id string, job any) error {
	for i := 0; i < 20; i++ {
		n := c.entries[i%len(c.entries)]
		status, text, _ := call(http.MethodPost, "http://"+n.frontend()+prefix+id, host, job, 3*time.Second)
		rec.note("POST  %s%s at %s: %d %s", prefix, id, n.name, status, text)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for a job's state.
func state(rec *recorder, c *cluster, id string) (int, string) {
	status, text, _ := call(http.MethodGet, "http://"+c.entries[0].frontend()+prefix+id, host, nil, 3*time.Second)
	var b struct{ State string }
	_ = json.Unmarshal(text, &b)
	rec.note("GET   %s%s: %d %s", prefix, id, status, b.State)
	return status, b.State
}

// leader returns the control node that answers the configuration itself.
func leader(c *cluster) *node {
	for range 50 {
		for _, n := range c.controls {
			status, _, by := call(http.MethodGet, "http://"+n.controlAddress()+"/config/read", "", nil, time.Second)
			if status == http.StatusOK && by == n.controlAddress() {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
