package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

const gangWait = 3 * time.Second // gang_ms

type (
	// gangs lets the members of a gang wait for each other, as PROTOCOL.md says.
	gangs struct {
		mu    sync.Mutex
		size  map[string]int // members by job
		takes time.Duration
		runs  map[string]*gangRun
	}

	gangRun struct {
		members  map[string]*executor
		together bool
	}
)

func newGangs(takes time.Duration) *gangs {
	return &gangs{size: make(map[string]int), takes: takes, runs: make(map[string]*gangRun)}
}

func (g *gangs) add(job string, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.size[job] = members
}

func gangKey(item string, number uint64) (job, key string) {
	job, _, _ = strings.Cut(item, ".")
	return job, item[:strings.LastIndexByte(item, '.')] + "/" + strconv.FormatUint(number, 10)
}

// enter records that a member has started on an executor. It reports whether the item belongs
// to a gang.
func (g *gangs) enter(e *executor, item string, number uint64) bool {
	if g == nil {
		return false
	}
	job, key := gangKey(item, number)
	g.mu.Lock()
	defer g.mu.Unlock()
	size := g.size[job]
	if size == 0 {
		return false
	}
	run := g.runs[key]
	if run == nil {
		run = &gangRun{members: make(map[string]*executor)}
		g.runs[key] = run
	}
	run.members[item] = e
	if len(run.members) == size {
		run.together = true
		time.AfterFunc(g.takes, func() { g.end(key, number, "done") })
	}
	time.AfterFunc(gangWait, func() {
		g.mu.Lock()
		late := !run.together && run.members[item] != nil
		g.mu.Unlock()
		if late {
			e.finish(item, number, "alone")
		}
	})
	return true
}

// end ends all members of a run.
func (g *gangs) end(key string, number uint64, how string) {
	g.mu.Lock()
	members := g.runs[key].members
	g.runs[key].members = nil
	g.mu.Unlock()
	for item, e := range members {
		e.finish(item, number, how)
	}
}

// left records that a member has ended by itself; the others end with it once they work.
func (g *gangs) left(item string, number uint64) {
	if g == nil {
		return
	}
	_, key := gangKey(item, number)
	g.mu.Lock()
	run := g.runs[key]
	if run == nil || run.members[item] == nil {
		g.mu.Unlock()
		return
	}
	delete(run.members, item)
	together := run.together
	g.mu.Unlock()
	if together {
		go g.end(key, number, "broken")
	}
}
