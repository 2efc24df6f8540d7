package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["5"] = starve }

// Figures of the traffic, those of bsnc-sched: 22 jobs a second, a share of which can never be
// done.
const (
	pool         = 10
	jobsPerS     = 22
	hopelessPart = 33 // one job in so many: a share of 0.03
	gangPart     = 11 // one job in so many is a gang that can be done
	trafficFor   = 80 * time.Second
	finish       = 14 * time.Second // finish_s
	idleFor      = 3 * time.Second
	members      = 4
)

// starve: some jobs come that can never be done: gangs that need a label that no executor has.
// Other gangs come that the pool has room for.
func starve(s *scene) ([]string, error) {
	s.work = func(string) time.Duration { return 300 * time.Millisecond }
	s.gangs = newGangs(300 * time.Millisecond)
	for i := range pool {
		s.startOn(s.addMachine(fmt.Sprintf("m-%02d", i), "a", fmt.Sprintf("r1-%d", i/4)), s.nodes())
	}
	time.Sleep(2 * time.Second)
	gangJobs, err := s.traffic()
	if err != nil {
		return nil, err
	}
	s.rec.note("the traffic has ended")
	time.Sleep(finish)
	before := s.startsOf()
	used := 0
	for range int(idleFor / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		used = max(used, s.millicoresInUse())
	}
	after := s.startsOf()
	s.rec.note("at most %d of %d millicores were in use for the last %v", used, pool*capacity()["cpu"], idleFor)
	if 2*used >= pool*capacity()["cpu"] {
		return nil, fmt.Errorf("the pool is busy")
	}
	var violations []string
	for _, id := range gangJobs {
		status, got := state(s.rec, s.c, id)
		if status == 200 && got != "complete" && before[id] == after[id] {
			violations = append(violations, fmt.Sprintf("LOST: accepted job %s is %s %v after the end of the traffic; it has started %d work items, and the pool is empty", id, got, finish+idleFor, after[id]))
		}
	}
	return violations, nil
}

// traffic hands jobs in and returns the accepted gangs that can be done.
func (s *scene) traffic() ([]string, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var gangJobs []string
	var failure error
	handed, hopeless := 0, 0
	ticker := time.NewTicker(time.Second / jobsPerS)
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < trafficFor; <-ticker.C {
		n := handed
		handed++
		step := map[string]any{"count": 1, "cpu": 2300, "mem_mb": 1024, "est_ms": 300}
		can := false
		switch {
		case s.trouble && n%hopelessPart == 1:
			hopeless++
			step = map[string]any{"count": members, "cpu": 100, "mem_mb": 1024, "est_ms": 300, "gang": true, "requires": "c"}
		case n%gangPart == 0:
			can = true
			step = map[string]any{"count": members, "cpu": 2300, "mem_mb": 1024, "est_ms": 300, "gang": true, "requires": "a"}
		}
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if step["gang"] == true {
			s.gangs.add(id, members)
		}
		group.Go(func() {
			err := submit(s.rec, s.c, id, map[string]any{"spec": "review", "steps": []map[string]any{step}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
			} else if can {
				gangJobs = append(gangJobs, id)
			}
		})
	}
	group.Wait()
	s.rec.note("%d jobs handed in, %d of them can never be done, %d are gangs that can", handed, hopeless, len(gangJobs))
	return gangJobs, failure
}

// startsOf counts the starts of each job.
func (s *scene) startsOf() map[string]int {
	counts := make(map[string]int)
	for item, runs := range s.rec.runs() {
		id, _, _ := strings.Cut(item, ".")
		counts[id] += len(runs)
	}
	return counts
}

// millicoresInUse returns what runs on all executors. All jobs that run need the same.
func (s *scene) millicoresInUse() int {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	used := 0
	for _, m := range s.cloud.machines {
		used += 2300 * m.current.runs()
	}
	return used
}
