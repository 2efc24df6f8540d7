package main

import (
	"fmt"
	"time"
)

// playAdvice: of 34 executors the policy of the queue allows two. One of them is lost for
// good. A job that is handed in after that has to run on the other, which is idle.
func playAdvice(w *world) (verdict, error) {
	const (
		count  = 34
		finish = 14 * time.Second
	)
	first, second := w.executor(5), w.executor(34)
	a := &advisor{rec: w.rec, allowed: map[string]bool{first.id: true, second.id: true}}
	if _, err := serve(w.host.advisor, a); err != nil {
		return nil, err
	}
	var executors []*executor
	for i := 1; i <= count; i++ {
		e := w.executor(i)
		switch i {
		case 5:
			e = first
		case 34:
			e = second
		}
		e.tickets = true
		w.start(e)
		executors = append(executors, e)
	}
	defer func() {
		for _, e := range executors {
			if w.trouble && e == first {
				continue
			}
			e.exit("the case is over")
		}
	}()
	const duration = 500 * time.Millisecond
	submit := func(i int) error {
		if !w.req.submit(jobID(i), step(2, 1000, duration), duration, 1000, 20*time.Second) {
			return fmt.Errorf("job %d was not accepted", i)
		}
		return nil
	}
	if err := submit(1); err != nil {
		return nil, err
	}
	if open := w.req.await(20 * time.Second); len(open) > 0 {
		return nil, fmt.Errorf("before the trouble the job was not complete")
	}
	if w.trouble {
		first.exit("crashes and is lost for good")
		w.cloud.remove(first)
	}
	time.Sleep(8 * time.Second) // longer than its lease
	if err := submit(2); err != nil {
		return nil, err
	}
	w.rec.printf("the traffic has ended")
	time.Sleep(finish)
	var found verdict
	for id, state := range w.req.await(10 * time.Second) {
		found.add("LOST: accepted job %s has not run %v after the end of the traffic (%s), though executor %s is idle and allowed", id, finish, state, second.id)
	}
	return found, nil
}
