package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["6"] = flap }

// Figures of the disruption, as the site files of the grown deployments have them: one of ten
// executors goes down and up with a period of 1.4 s, for 6.5 s. It comes twice.
const (
	executors  = 10
	labelled   = 3
	flapPeriod = 1400 * time.Millisecond
	flapDown   = flapPeriod / 2
	flapFor    = 6500 * time.Millisecond
	flapTimes  = 2
	flapPause  = 1500 * time.Millisecond
	// served is how long the job has run before.
	served  = 8 * time.Second
	mayMiss = 1
	notice  = 4500 * time.Millisecond // notice_ms
)

// flap: an executor goes down and up by turns. A job that lasts has three work items, one for
// each of the three executors with the label that it needs.
func flap(s *scene) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	s.work = func(string) time.Duration { return 0 }
	var bad *machine
	for i := range executors {
		kind := "a"
		if i < labelled {
			kind = "b"
		}
		m := s.addMachine(fmt.Sprintf("m-%s%d", kind, i), kind, fmt.Sprintf("r1-%d", i/4))
		s.startOn(m, s.nodes())
		if i == 0 {
			bad = m
		}
	}
	time.Sleep(2 * time.Second)
	job := map[string]any{"spec": "review", "steps": []map[string]any{{
		"count": labelled, "cpu": 2600, "mem_mb": 18000, "est_ms": 900, "long_running": true, "requires": "b", "max_per_server": 1, "may_miss": mayMiss,
	}}}
	if err := submit(s.rec, s.c, id, job); err != nil {
		return nil, err
	}
	for i := 0; bad.current.runs() == 0; i++ {
		if i == 300 {
			return nil, errors.New("no work item was started on the executor")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(served)
	state(s.rec, s.c, id)
	for range flapTimes {
		s.rec.note("FLAP  begins")
		for began := time.Now(); time.Since(began) < flapFor; {
			if s.trouble {
				s.setUp(bad, false)
			}
			time.Sleep(flapDown)
			if s.trouble {
				s.setUp(bad, true)
			}
			time.Sleep(flapPeriod - flapDown)
		}
		s.rec.note("FLAP  is over")
		time.Sleep(flapPause)
	}
	s.rec.note("the executor stays up from now on")
	for range 3 {
		time.Sleep(5 * time.Second)
		if status, got := state(s.rec, s.c, id); got != "active" {
			s.rec.note("also LOST: the job is shown as %d %q; nobody has cancelled it, and no run of its work items ended failed", status, got)
		}
	}
	for _, m := range s.cloud.machines[:labelled] {
		s.rec.note("machine %s runs %d work items", m.name, m.current.runs())
	}
	return s.unavailable(id, bad), nil
}

// setUp lets the executor of a machine crash, or starts the next one there.
func (s *scene) setUp(m *machine, up bool) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	m.crashed = !up
	if up {
		s.startOn(m, s.nodes())
	} else {
		m.current.end("crash")
	}
}

// unavailable returns the orders that stopped a work item at work on a sound executor while
// mayMiss others were away: ended by such an order, or not at work for notice_ms.
func (s *scene) unavailable(id string, bad *machine) []string {
	runs := s.rec.runs()
	atWork := func(r span, at time.Duration) bool { return r.from+startupTime <= at && at <= r.to }
	awayAt := func(list []span, at time.Duration) bool {
		last, byOrder := time.Duration(0), false
		for _, r := range list {
			switch {
			case r.stopped != 0 && r.stopped < at:
				byOrder = true
			case atWork(r, at) && r.stopped == 0:
				return false
			case r.from+startupTime <= at:
				last = max(last, min(r.to, at))
			}
		}
		return byOrder || at-last > notice
	}
	var list []string
	for i := range labelled {
		item := fmt.Sprintf("%s.0.0.%d", id, i)
		for _, r := range runs[item] {
			if r.stopped == 0 || !atWork(r, r.stopped) || s.lives[r.executor] == bad {
				continue
			}
			away := 0
			for j := range labelled {
				if j != i && awayAt(runs[fmt.Sprintf("%s.0.0.%d", id, j)], r.stopped) {
					away++
				}
			}
			if away >= mayMiss {
				list = append(list, fmt.Sprintf("AVAIL: %s run %d on %s, at work since %.3f, was ordered to stop at %.3f; %d others of its step were away, and %d may be",
					item, r.run, r.executor, (r.from+startupTime).Seconds(), r.stopped.Seconds(), away, mayMiss))
			}
		}
	}
	return list
}
