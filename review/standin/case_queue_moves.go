package main

import (
	"slices"
	"sync"
	"time"
)

// playQueueMoves: while small jobs come, configurations send their queue to another service
// and back. No process may end, each configuration has to be acknowledged in time, and all
// jobs have to be complete within finish_s of the end of the traffic.
func playQueueMoves(w *world) (verdict, error) {
	const (
		traffic  = 50 * time.Second
		interval = 50 * time.Millisecond // between jobs
		changes  = 2 * time.Second       // between configurations
		settle   = 10 * time.Second      // from the end of the traffic to the check of the processes
		finish   = 14 * time.Second
		ack      = 4 * time.Second // ack_ms
		work     = 200 * time.Millisecond
	)
	var executors []*executor
	for i := range 8 {
		e := w.executor(i + 1)
		if i >= 4 {
			e.service = otherService
		}
		w.start(e)
		executors = append(executors, e)
	}
	defer func() {
		for _, e := range executors {
			e.exit("the case is over")
		}
	}()
	var group sync.WaitGroup
	var mu sync.Mutex
	var found verdict
	began, jobs, version := time.Now(), 0, firstVersion
	next := began.Add(changes)
	for ; time.Since(began) < traffic; time.Sleep(interval) {
		jobs++
		id := jobID(jobs)
		group.Go(func() { w.req.submit(id, step(2, 1000, work), work, 1000, 10*time.Second) })
		if !w.trouble || time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(changes)
		version++
		number, services := version, []string{service, otherService}
		if (number-firstVersion)%2 == 1 {
			slices.Reverse(services)
		}
		group.Go(func() {
			sent := time.Now()
			err := w.oper.configure(number, false, services...)
			if took := time.Since(sent); err != nil || took > ack {
				mu.Lock()
				defer mu.Unlock()
				found.add("Acks: version %d had no ack for %d ms, though no disruption was there", number, took.Milliseconds())
			}
		})
	}
	group.Wait()
	w.rec.printf("the traffic has ended; %d of %d jobs were accepted", len(w.req.accepted), jobs)
	time.Sleep(settle)
	n, machines := w.host.endsByThemselves()
	if n > 0 {
		found.add("Fault: processes ended by themselves %d times on %d of 3 core machines, though no disruption was there", n, machines)
	}
	time.Sleep(finish - settle)
	for id, state := range w.req.await(10 * time.Second) {
		found.add("LOST: accepted job %s is not complete %v after the end of the traffic: %s", id, finish, state)
	}
	return found, nil
}
