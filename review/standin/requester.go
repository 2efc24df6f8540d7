package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	jobHost   = "jobs.example"
	jobPrefix = "/tije37/"
)

// requester hands in jobs and asks for them, as the platform's pages say.
type requester struct {
	rec     *recorder
	entries []string
	client  *http.Client

	mu       sync.Mutex
	accepted []string
}

func newRequester(rec *recorder, entries []string) *requester {
	return &requester{rec: rec, entries: entries, client: &http.Client{Timeout: 3 * time.Second}}
}

func (r *requester) call(method, address, path string, body []byte) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = jobHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Auburntack-Deadline-Ms", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// submit hands in a job until it is accepted, and gives up after the given time.
func (r *requester) submit(id string, steps []map[string]any, duration time.Duration, cpu int, within time.Duration) bool {
	spec, _ := json.Marshal(map[string]any{"duration": duration.String(), "cpu": cpu})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	for began, i := time.Now(), 0; time.Since(began) < within; i++ {
		status, answer, err := r.call(http.MethodPost, r.entries[i%len(r.entries)], jobPrefix+id, body)
		r.rec.printf("requester: POST %s -> %d %s %v", id, status, answer, errText(err))
		if err == nil && status/100 == 2 {
			r.mu.Lock()
			r.accepted = append(r.accepted, id)
			r.mu.Unlock()
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state asks for a job once.
func (r *requester) state(id string, i int) string {
	status, answer, err := r.call(http.MethodGet, r.entries[i%len(r.entries)], jobPrefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	switch {
	case err != nil:
		return "no answer"
	case status != http.StatusOK:
		return fmt.Sprintf("status %d", status)
	case json.Unmarshal([]byte(answer), &body) != nil:
		return "unreadable"
	}
	return body.State
}

// await asks for all accepted jobs until they are complete, and returns the last answers of
// those that are not.
func (r *requester) await(within time.Duration) map[string]string {
	open := make(map[string]string)
	for _, id := range r.accepted {
		open[id] = "not asked"
	}
	for began, i := time.Now(), 0; len(open) > 0 && time.Since(began) < within; i++ {
		for id := range open {
			if open[id] = r.state(id, i); open[id] == "complete" {
				delete(open, id)
				r.rec.printf("requester: GET %s -> complete", id)
			}
			if time.Since(began) > within {
				break
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	for id, state := range open {
		r.rec.printf("requester: GET %s -> %s", id, state)
	}
	return open
}

// operator sends the first configuration until it is accepted.
type operator struct {
	rec      *recorder
	controls []string
}

// configure sends a configuration until it is acknowledged. Its queue is sent to the first
// of the services.
func (o *operator) configure(version int, advised bool, services ...string) error {
	route := map[string]any{
		"name": "r-" + services[0], "host": jobHost, "prefix": jobPrefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 3600,
		"priority": 0, "service": services[0], "attempts": 3, "stretch_factor": 1.6,
	}
	if advised {
		route["placement_advisor"] = map[string]any{"decide_ms": adviceDecide.Milliseconds(), "each_ms": adviceEach.Milliseconds(), "valid_ms": adviceValid}
	}
	var list []any
	for _, name := range slices.Sorted(slices.Values(services)) {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false,
			"rejects_overload": true, "standby": false,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route}, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	client := &http.Client{Timeout: 2 * time.Second}
	for i := range 60 {
		resp, err := client.Post("http://"+o.controls[i%len(o.controls)]+"/config/replace", "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				o.rec.printf("operator: version %d acknowledged: queue %s%s to %s", version, jobHost, jobPrefix, services[0])
				return nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", version)
}
