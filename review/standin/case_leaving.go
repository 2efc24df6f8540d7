package main

import (
	"context"
	"fmt"
	"time"
)

// playLeaving: an executor leaves while a work item runs on it. The way from the nodes to
// it is cut just before it says goodbye, so it gets no ack and exits some seconds later.
// Meanwhile its work item, which still has its lease, must not run elsewhere as well.
func playLeaving(w *world) (verdict, error) {
	const (
		long    = 25 * time.Second // the work item
		cut     = 5500 * time.Millisecond
		linger  = time.Second     // from the end of drain_ms to the goodbye
		exit    = 3 * time.Second // "some seconds" after a goodbye without an ack
		overlap = 100 * time.Millisecond
	)
	l, err := newLink(w.rec, w.host)
	if err != nil {
		return nil, err
	}
	leaving := w.executor(1)
	leaving.dial = l.dial
	w.start(leaving)
	if !w.req.submit(jobID(1), step(1, 1000, long), long, 1000, 20*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return leaving.count() == 1 }) {
		return nil, fmt.Errorf("the work item did not start")
	}
	var others []*executor
	for i := range 5 {
		e := w.executor(i + 2)
		w.start(e)
		others = append(others, e)
	}
	defer func() {
		for _, e := range others {
			e.exit("the case is over")
		}
	}()
	time.Sleep(2 * time.Second)
	leaving.drain()
	if !waitFor(10*time.Second, func() bool { return !leaving.acked().IsZero() }) {
		return nil, fmt.Errorf("draining was not acknowledged")
	}
	time.Sleep(drainTime + linger)
	if w.trouble {
		l.cutOneWay(cut)
		w.rec.printf("link: cut one way, from the nodes to executor %s", leaving.id)
	}
	if leaving.deregister() {
		leaving.exit("exits after the ack")
	} else {
		time.Sleep(exit)
		leaving.exit("exits without an ack")
		w.cloud.remove(leaving)
	}
	time.Sleep(3 * time.Second)
	var found verdict
	runs := w.history.all()
	for i := range runs {
		for j := i + 1; j < len(runs); j++ {
			if d := overlapOf(&runs[i], &runs[j]); runs[i].item == runs[j].item && d > overlap {
				found.add("TWICE: work item %s ran on %s and on %s at the same time for %d ms", runs[i].item, runs[i].worker, runs[j].worker, d.Milliseconds())
			}
		}
	}
	return found, nil
}

func overlapOf(a, b *run) time.Duration {
	end := func(r *run) time.Time {
		if r.endedAt.IsZero() {
			return time.Now()
		}
		return r.endedAt
	}
	from, to := a.began, end(a)
	if b.began.After(from) {
		from = b.began
	}
	if end(b).Before(to) {
		to = end(b)
	}
	return to.Sub(from)
}

func (e *executor) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	e.rec.printf("executor %s: drains", e.id)
}

func (e *executor) acked() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainAcked
}

// deregister says goodbye to the node of the last ping and, without an ack, to the next
// ones. It reports whether it got an ack.
func (e *executor) deregister() bool {
	e.rec.printf("executor %s: says goodbye", e.id)
	for range 3 {
		address := e.target()
		if _, err := e.post(context.Background(), address, "/deregister", nil); err == nil {
			e.rec.printf("executor %s: goodbye acknowledged by %s", e.id, address)
			return true
		}
		e.rec.printf("executor %s: no ack for its goodbye from %s", e.id, address)
		e.failed()
	}
	return false
}
