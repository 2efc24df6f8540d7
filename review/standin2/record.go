package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

type (
	// span is one run of a work item on an executor, by the steady clock of this process.
	span struct {
		item, executor string
		run            uint64
		from, to       time.Duration // to is zero while it runs
		stopped        time.Duration // when it was ordered to stop, zero if it was not
		how            string
	}

	// recorder collects what was sent, answered and run.
	recorder struct {
		mu    sync.Mutex
		began time.Time
		lines []string
		spans []*span
	}
)

func newRecorder() *recorder { return &recorder{began: time.Now()} }

func (r *recorder) now() time.Duration { return time.Since(r.began) }

// note adds a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) begin(item, executor string, run uint64) *span {
	r.note("START %s run %d on %s", item, run, executor)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &span{item: item, executor: executor, run: run, from: r.now()}
	r.spans = append(r.spans, s)
	return s
}

func (r *recorder) end(s *span, how string) {
	r.mu.Lock()
	s.to, s.how = r.now(), how
	r.mu.Unlock()
	r.note("END   %s run %d on %s: %s", s.item, s.run, s.executor, how)
}

// stop records that a run was ordered to stop.
func (r *recorder) stop(s *span) {
	r.mu.Lock()
	s.stopped = r.now()
	r.mu.Unlock()
	r.note("STOP  %s run %d on %s", s.item, s.run, s.executor)
}

// runs returns the runs of each item in the order of their starts.
func (r *recorder) runs() map[string][]span {
	r.mu.Lock()
	defer r.mu.Unlock()
	byItem := make(map[string][]span)
	for _, s := range r.spans {
		c := *s
		if c.to == 0 {
			c.to = r.now()
		}
		byItem[c.item] = append(byItem[c.item], c)
	}
	for _, list := range byItem {
		sort.Slice(list, func(a, b int) bool { return list[a].from < list[b].from })
	}
	return byItem
}

// write writes the record to a file.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
