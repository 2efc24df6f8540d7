package tackstandin

import "time"

func (t *TaskTally) started(task, worker string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.starts == nil {
		t.starts = make(map[string]int)
		t.done = make(map[string]int)
		t.leases = make(map[string]taskLease)
	}
	t.starts[task]++
	if l, live := t.leases[task]; live && l.worker != worker && l.until.After(time.Now()) {
		t.overlapping++
	}
	t.leases[task] = taskLease{worker, until}
}

func (t *TaskTally) renewed(task, worker string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leases[task].worker == worker {
		t.leases[task] = taskLease{worker, until}
	}
}

func (t *TaskTally) ended(task, worker string, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leases[task].worker == worker {
		delete(t.leases, task)
	}
	if done {
		t.done[task]++
	}
}

func (t *TaskTally) addCut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut++
}

// Starts returns the number of starts of the task.
func (t *TaskTally) Starts(task string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts[task]
}

// Done returns the number of times that the task was completed.
func (t *TaskTally) Done(task string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.done[task]
}

// OverlappingLeases returns the number of starts of tasks on which another
// worker still held a lease.
func (t *TaskTally) OverlappingLeases() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overlapping
}

// Cut returns the number of tasks that were cut by a reboot.
func (t *TaskTally) Cut() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}
