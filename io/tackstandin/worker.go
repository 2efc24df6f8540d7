package tackstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	taskRunning = "running"
	taskDone    = "done"
	taskStopped = "stopped"
	taskFailed  = "failed"
)

type (
	// Worker runs tasks under leases, as the platform asks it to, and
	// announces itself to the operators' ports. Set the fields, then call
	// Start. Its tasks do nothing but take time.
	Worker struct {
		Name       string
		DataCentre string
		Rack       string
		Cores      int
		MemoryMB   int
		Operators  []string
		// Takes is how long a task runs, Saving how long a checkpoint.
		Takes  time.Duration
		Saving time.Duration
		// Lag is how old the usage is that it reports.
		Lag time.Duration
		// Failing makes every task fail at once.
		Failing bool
		// Tally counts what was run. It may be shared by many.
		Tally *TaskTally

		mu          sync.Mutex
		incarnation int
		stop        chan struct{}
		done        sync.WaitGroup
		tasks       map[string]*workerTask
		tokens      map[string]uint64
	}

	// TaskTally counts starts and ends of tasks on all workers.
	TaskTally struct {
		mu      sync.Mutex
		starts  map[string]int
		done    map[string]int
		leases  map[string]taskLease
		doubled int
		cut     int
	}

	taskLease struct {
		worker string
		until  time.Time
	}

	workerTask struct {
		order taskOrder
		began time.Time
		until time.Time // the lease's end
		state string
	}

	taskOrder struct {
		Task     string `json:"task"`
		LeaseMS  int64  `json:"lease_ms"`
		Token    uint64 `json:"token"`
		Cores    int    `json:"cores"`
		MemoryMB int    `json:"memory_mb"`
	}

	taskUsage struct {
		Task     string  `json:"task"`
		Token    uint64  `json:"token"`
		State    string  `json:"state"`
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		LagMS    int64   `json:"lag_ms"`
	}

	workerAnnouncement struct {
		Worker      string `json:"worker"`
		DataCentre  string `json:"data_centre"`
		Rack        string `json:"rack"`
		Cores       int    `json:"cores"`
		MemoryMB    int    `json:"memory_mb"`
		Incarnation int    `json:"incarnation"`
		State       string `json:"state"`
	}
)

// Start announces the worker as the next incarnation, without tasks, unless
// it is up.
func (w *Worker) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil {
		return nil
	}
	w.incarnation++
	w.tasks = make(map[string]*workerTask)
	if w.tokens == nil {
		w.tokens = make(map[string]uint64)
	}
	w.stop = make(chan struct{})
	w.done.Add(1)
	go func(stop <-chan struct{}) {
		defer w.done.Done()
		announceUntil(stop, w.announce)
	}(w.stop)
	return nil
}

// Stop ends the worker at once, as a reboot does. Tasks that run are cut and
// counted as such.
func (w *Worker) Stop() {
	w.mu.Lock()
	if w.stop == nil {
		w.mu.Unlock()
		return
	}
	close(w.stop)
	w.stop = nil
	w.settle(time.Now())
	for _, t := range w.tasks {
		if t.state == taskRunning {
			w.Tally.ended(t.order.Task, w.Name, false)
			w.Tally.addCut()
		}
	}
	w.tasks = make(map[string]*workerTask)
	w.mu.Unlock()
	w.done.Wait()
}

func (w *Worker) announce() time.Duration {
	w.mu.Lock()
	body, _ := json.Marshal(workerAnnouncement{
		Worker: w.Name, DataCentre: w.DataCentre, Rack: w.Rack,
		Cores: w.Cores, MemoryMB: w.MemoryMB, Incarnation: w.incarnation, State: "serving",
	})
	w.mu.Unlock()
	return announceTo(w.Operators, body)
}

// settle ends the tasks that are done and those whose lease ran out.
func (w *Worker) settle(now time.Time) {
	for _, t := range w.tasks {
		switch end := t.began.Add(w.Takes); {
		case t.state != taskRunning:
		case !t.until.After(now) && t.until.Before(end):
			t.state = taskStopped
			w.Tally.ended(t.order.Task, w.Name, false)
		case !end.After(now):
			t.state = taskDone
			w.Tally.ended(t.order.Task, w.Name, true)
		}
	}
}

// start takes a task up, once for each token. A token below one seen is
// refused: it is an earlier leader's, that has been overtaken.
func (w *Worker) start(o taskOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if w.stop == nil {
		return fmt.Errorf("worker is down")
	}
	if o.Token < w.tokens[o.Task] {
		return fmt.Errorf("token %d is below %d", o.Token, w.tokens[o.Task])
	}
	if o.Token == w.tokens[o.Task] {
		return nil
	}
	w.tokens[o.Task] = o.Token
	t := &workerTask{order: o, began: now, until: now.Add(leaseOf(o.LeaseMS)), state: taskRunning}
	w.tasks[o.Task] = t
	w.Tally.started(o.Task, w.Name, t.until)
	if w.Failing {
		t.state = taskFailed
		w.Tally.ended(o.Task, w.Name, false)
	}
	return nil
}

// act does what is asked of a task that was started.
func (w *Worker) act(task, verb string, o taskOrder) error {
	if verb == "checkpoint" {
		time.Sleep(w.Saving)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	t := w.tasks[task]
	if t == nil || t.order.Token != o.Token {
		return fmt.Errorf("no task %s with token %d", task, o.Token)
	}
	if verb == "stop" {
		if t.state == taskRunning {
			t.state = taskStopped
			w.Tally.ended(task, w.Name, false)
		}
		return nil
	}
	if t.state != taskRunning {
		return fmt.Errorf("task %s is %s", task, t.state)
	}
	if verb == "renew" {
		t.until = now.Add(leaseOf(o.LeaseMS))
		w.Tally.renewed(task, w.Name, t.until)
	}
	return nil
}

// usage lists the tasks. Of those that run, what is younger than Lag has not
// been measured yet.
func (w *Worker) usage() []taskUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	list := make([]taskUsage, 0, len(w.tasks))
	for id, t := range w.tasks {
		if t.state == taskRunning && now.Sub(t.began) < w.Lag {
			continue
		}
		list = append(list, taskUsage{
			Task: id, Token: t.order.Token, State: t.state,
			Cores: float64(t.order.Cores), MemoryMB: float64(t.order.MemoryMB) * 0.8, LagMS: w.Lag.Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b taskUsage) int { return strings.Compare(a.Task, b.Task) })
	return list
}

func leaseOf(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// AddWorker lets the platform pass on what is asked of a worker, and reboot it
// with its VM.
func (p *Platform) AddWorker(w *Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = make(map[string]*Worker)
	}
	p.workers[w.Name] = w
	vm := p.vm(w.Name)
	vm.machines = append(vm.machines, w)
}

func (p *Platform) worker(w http.ResponseWriter, r *http.Request) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.workers[r.PathValue("worker")]
	if found == nil {
		http.Error(w, "no such worker", http.StatusNotFound)
	}
	return found
}

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request) {
	if worker := p.worker(w, r); worker != nil {
		carryOut(w, r, worker.start)
	}
}

func (p *Platform) askTask(w http.ResponseWriter, r *http.Request) {
	if worker := p.worker(w, r); worker != nil {
		carryOut(w, r, func(o taskOrder) error { return worker.act(r.PathValue("task"), r.PathValue("verb"), o) })
	}
}

func carryOut(w http.ResponseWriter, r *http.Request, do func(taskOrder) error) {
	var o taskOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Token == 0 {
		http.Error(w, "token is missing", http.StatusBadRequest)
		return
	}
	if err := do(o); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) listTasks(w http.ResponseWriter, r *http.Request) {
	worker := p.worker(w, r)
	if worker == nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(worker.usage())
}
