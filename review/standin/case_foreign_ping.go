package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playForeignPing: another writer sends one ping in whose machine there are bytes that
// can't be read, while work items wait for room. All jobs have to be complete within
// finish_s of the end of the traffic.
func playForeignPing(w *world) (verdict, error) {
	const finish = 14 * time.Second
	var executors []*executor
	for i := range 4 {
		e := w.executor(i + 1)
		e.cpu = 4000
		w.start(e)
		executors = append(executors, e)
	}
	defer func() {
		for _, e := range executors {
			e.exit("the case is over")
		}
	}()
	jobs := 0
	hand := func(n, count int, duration time.Duration) error {
		for range n {
			jobs++
			if !w.req.submit(jobID(jobs), step(count, 1000, duration), duration, 1000, 20*time.Second) {
				return fmt.Errorf("job %d was not accepted", jobs)
			}
		}
		return nil
	}
	if err := hand(6, 4, 500*time.Millisecond); err != nil {
		return nil, err
	}
	if open := w.req.await(20 * time.Second); len(open) > 0 {
		return nil, fmt.Errorf("before the trouble %d jobs were not complete", len(open))
	}
	if ends, _ := w.host.endsByThemselves(); ends > 0 {
		return nil, fmt.Errorf("before the trouble %d processes ended", ends)
	}
	// 48 work items on 16 cores: most of them wait.
	if err := hand(6, 8, 1500*time.Millisecond); err != nil {
		return nil, err
	}
	if w.trouble {
		w.foreignPing()
	}
	time.Sleep(2 * time.Second)
	// The traffic goes on for a little, and ends.
	for range 3 {
		jobs++
		w.req.submit(jobID(jobs), step(2, 1000, 500*time.Millisecond), 500*time.Millisecond, 1000, 3*time.Second)
	}
	w.rec.printf("the traffic has ended; %d jobs were accepted", len(w.req.accepted))
	time.Sleep(finish)
	var found verdict
	for id, state := range w.req.await(10 * time.Second) {
		found.add("LOST: accepted job %s is not complete %v after the end of the traffic: %s", id, finish, state)
	}
	if n, machines := w.host.endsByThemselves(); n > 0 {
		found.add("Fault: processes ended by themselves %d times on %d of 3 core machines", n, machines)
	}
	return found, nil
}

// foreignPing sends a ping of another writer to the nodes that serve ctrl, until one takes
// or refuses it.
func (w *world) foreignPing() {
	const body = `{"service":"` + service + `","machine":"m-` + "\xff\xfe" + `","addr":"127.0.0.1:8080","zone":"zone-1","version":"v1","slots":8,` +
		`"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r-1"],"clock_ms":482113,"seq":1,` +
		`"running":[],"ended":[]}`
	client := &http.Client{Timeout: time.Second}
	for _, address := range w.host.controls() {
		resp, err := client.Post("http://"+address+"/instances/i-9f9f/heartbeat", "application/json", strings.NewReader(body))
		if err != nil {
			w.rec.printf("other writer: ping to %s: %v", address, err)
			continue
		}
		w.rec.printf("other writer: ping to %s -> %d", address, resp.StatusCode)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusBadRequest {
			return
		}
	}
}
