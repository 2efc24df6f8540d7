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
	// Worker runs tasks under leases on request of the platform, and announces
	// itself to the operator ports. Its tasks only wait. Set the fields, then
	// call Start.
	Worker struct {
		Name       string
		DataCentre string
		Rack       string
		Cores      int
		MemoryMB   int
		Operators  []string
		// TaskTime is the duration of a task, CheckpointTime that of a checkpoint.
		TaskTime       time.Duration
		CheckpointTime time.Duration
		// UsageAge is the age of the usage data that the worker reports.
		UsageAge time.Duration
		// Failing makes every task fail at once.
		Failing bool
		// Tally counts executed tasks. Workers may share one.
		Tally *TaskTally

		mu          sync.Mutex
		incarnation int
		stop        chan struct{}
		done        sync.WaitGroup
		tasks       map[string]*workerTask
		tokens      map[string]uint64
	}

	// TaskTally counts starts and ends of tasks on all workers that share it.
	TaskTally struct {
		mu          sync.Mutex
		starts      map[string]int
		done        map[string]int
		leases      map[string]taskLease
		overlapping int
		cut         int
	}

	taskLease struct {
		worker string
		until  time.Time
	}

	workerTask struct {
		order taskOrder
		began time.Time
		until time.Time // end of the lease
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

// Start starts to announce the next incarnation of the worker, without tasks,
// unless the worker is running.
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

// Stop ends the worker at once, as a reboot does. Running tasks are cut and
// counted as cut.
func (w *Worker) Stop() {
	w.mu.Lock()
	if w.stop == nil {
		w.mu.Unlock()
		return
	}
	close(w.stop)
	w.stop = nil
	w.update(time.Now())
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

// update ends the tasks that are complete and those whose lease has expired. The
// caller holds w.mu.
func (w *Worker) update(now time.Time) {
	for _, t := range w.tasks {
		switch end := t.began.Add(w.TaskTime); {
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

// start starts a task, once for each token. It refuses a token below an earlier
// one, which comes from a former leader.
func (w *Worker) start(o taskOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.update(now)
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

// handle carries out a checkpoint, stop or renew request for a started task.
func (w *Worker) handle(task, verb string, o taskOrder) error {
	if verb == "checkpoint" {
		time.Sleep(w.CheckpointTime)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.update(now)
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

// usage returns the usage of all tasks except those that have been running for
// less than UsageAge, which have not been measured yet.
func (w *Worker) usage() []taskUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.update(now)
	list := make([]taskUsage, 0, len(w.tasks))
	for id, t := range w.tasks {
		if t.state == taskRunning && now.Sub(t.began) < w.UsageAge {
			continue
		}
		list = append(list, taskUsage{
			Task: id, Token: t.order.Token, State: t.state,
			Cores: float64(t.order.Cores), MemoryMB: float64(t.order.MemoryMB) * 0.8, LagMS: w.UsageAge.Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b taskUsage) int { return strings.Compare(a.Task, b.Task) })
	return list
}

func leaseOf(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// AddWorker adds a worker to its VM: the platform forwards requests to it and
// reboots it with the VM.
func (p *Platform) AddWorker(w *Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = make(map[string]*Worker)
	}
	p.workers[w.Name] = w
	vm := p.vm(w.Name)
	vm.processes = append(vm.processes, w)
}

func (p *Platform) workerOf(w http.ResponseWriter, r *http.Request) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.workers[r.PathValue("worker")]
	if found == nil {
		http.Error(w, "no such worker", http.StatusNotFound)
	}
	return found
}

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request) {
	if worker := p.workerOf(w, r); worker != nil {
		serveOrder(w, r, worker.start)
	}
}

func (p *Platform) controlTask(w http.ResponseWriter, r *http.Request) {
	if worker := p.workerOf(w, r); worker != nil {
		serveOrder(w, r, func(o taskOrder) error { return worker.handle(r.PathValue("task"), r.PathValue("verb"), o) })
	}
}

func serveOrder(w http.ResponseWriter, r *http.Request, do func(taskOrder) error) {
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
	worker := p.workerOf(w, r)
	if worker == nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(worker.usage())
}
