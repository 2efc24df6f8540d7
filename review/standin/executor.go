package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of an executor, as the platform's pages give them.
const (
	answerTimeout = time.Second
	pingAfterEnd  = 50 * time.Millisecond
	firstRetry    = 1500 * time.Millisecond // heartbeat_ms
	stopTime      = 300 * time.Millisecond  // at most stop_ms, which is 900
	drainTime     = 2 * time.Second         // drain_ms
	tick          = 5 * time.Millisecond
)

type run struct {
	item    string
	number  uint64
	worker  string
	began   time.Time
	endsAt  time.Time
	stopAt  time.Time // zero unless it is being stopped
	endedAt time.Time // zero while it runs
	how     string
}

// history holds all runs of all executors, for the checks.
type history struct {
	mu   sync.Mutex
	runs []*run
}

func (h *history) add(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

// all returns copies of the runs.
func (h *history) all() []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]run, len(h.runs))
	for i, r := range h.runs {
		list[i] = *r
	}
	return list
}

type endRow struct {
	number uint64
	item   string
	run    uint64
	how    string
}

// executor is a stand-in of one lifetime of a machine's executor. How long a work item takes
// stands in its spec, as a duration.
type executor struct {
	rec      *recorder
	history  *history
	id       string
	machine  string
	service  string
	addr     string
	labels   []string
	cpu      int // thousandths of a core
	memory   int // MB
	tickets  bool
	controls []string
	dial     func(ctx context.Context, network, address string) (net.Conn, error)

	client *http.Client
	stop   context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	seq      uint64
	runs     map[string]*run
	highest  map[string]uint64
	ended    []endRow
	endCount uint64
	fence    uint64
	lease    time.Time
	draining bool
	// drainAcked is when a node first acknowledged that it drains; zero before.
	drainAcked time.Time
	left       time.Time // when it exited or crashed
	next       int       // index in controls of the node to call
	preferred  string
	wake       chan struct{}

	failing bool // the last ping failed; used by the pings only
}

func (e *executor) start() {
	e.runs, e.highest = make(map[string]*run), make(map[string]uint64)
	e.wake, e.done = make(chan struct{}, 1), make(chan struct{})
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: e.dial}
	if e.dial == nil {
		transport.DialContext = (&net.Dialer{Timeout: answerTimeout}).DialContext
	}
	e.client = &http.Client{Transport: transport}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.pings(ctx)
	go e.work(ctx)
}

// exit ends the lifetime: everything that runs on it terminates.
func (e *executor) exit(why string) {
	e.stop()
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.left = now
	for _, r := range e.runs {
		e.end(r, "gone", now)
	}
	e.rec.printf("executor %s: %s", e.id, why)
}

// work ends what is done, stopped or without a lease.
func (e *executor) work(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.mu.Lock()
		for _, r := range e.runs {
			switch {
			case now.After(e.lease):
				e.end(r, "lapsed", now)
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.end(r, "stopped", now)
			case now.After(r.endsAt):
				e.end(r, "done", now)
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) end(r *run, how string, now time.Time) {
	delete(e.runs, r.item)
	e.history.mu.Lock()
	r.endedAt, r.how = now, how
	e.history.mu.Unlock()
	e.list(r.item, r.number, how)
	e.rec.printf("executor %s: %s run %d ended %s", e.id, r.item, r.number, how)
}

func (e *executor) list(item string, number uint64, how string) {
	e.highest[item] = max(e.highest[item], number)
	e.endCount++
	e.ended = append(e.ended, endRow{number: e.endCount, item: item, run: number, how: how})
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *executor) pings(ctx context.Context) {
	for ctx.Err() == nil {
		wait := e.ping(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-e.wake:
			sleep(ctx, pingAfterEnd)
		}
		timer.Stop()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

type orders struct {
	Address  string              `json:"heartbeat_addr"`
	HoldMS   int64               `json:"hold_ms"`
	SeenUpto uint64              `json:"seen_upto"`
	Fence    uint64              `json:"fence"`
	RetryMS  int64               `json:"retry_ms"`
	Start    [][]json.RawMessage `json:"start"`
	Stop     [][]json.RawMessage `json:"stop"`
}

// ping reports to the preferred node, or to the next one, and returns the time until the
// next ping.
func (e *executor) ping(ctx context.Context) time.Duration {
	address := e.target()
	sent := time.Now()
	body, drains := e.report()
	answer, err := e.post(ctx, address, "/heartbeat", body)
	if err != nil {
		if ctx.Err() == nil && !e.failing {
			e.rec.printf("executor %s: ping to %s failed: %v; further failures are not recorded", e.id, address, err)
		}
		e.failing = true
		e.failed()
		return 20 * time.Millisecond
	}
	e.failing = false
	var o orders
	if err := json.Unmarshal(answer, &o); err != nil {
		e.rec.printf("executor %s: answer to a ping can't be read: %v", e.id, err)
		return firstRetry
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.preferred = address; o.Address != "" {
		e.preferred = o.Address
	}
	if drains && e.drainAcked.IsZero() {
		e.drainAcked = time.Now()
		e.rec.printf("executor %s: draining acknowledged", e.id)
	}
	e.obey(&o, sent)
	if o.RetryMS > 0 {
		return time.Duration(o.RetryMS) * time.Millisecond
	}
	return firstRetry
}

func (e *executor) target() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.preferred != "" {
		return e.preferred
	}
	return e.controls[e.next%len(e.controls)]
}

func (e *executor) failed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.preferred = ""
	e.next++
}

func (e *executor) post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/instances/"+e.id+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return answer, err
}

func (e *executor) report() ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := 100 * time.Since(r.began) / r.endsAt.Sub(r.began)
		running = append(running, []any{r.item, r.number, "", min(int(percent), 99), 1000})
	}
	for _, row := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{row.number, row.item, row.run, row.how, ""})
	}
	state := map[bool]string{false: "ready", true: "draining"}[e.draining]
	report := map[string]any{
		"service": e.service, "machine": e.machine, "addr": e.addr, "zone": "zone-1", "version": "v1", "slots": 8,
		"state": state, "cold_left_ms": 0, "capacity": map[string]int{"cpu": e.cpu, "mem_mb": e.memory, "gpu": 0},
		"labels": e.labels, "clock_ms": time.Now().UnixMilli() % 1e7, "seq": e.seq, "running": running, "ended": ended,
	}
	if e.draining {
		report["remaining_ms"] = drainTime.Milliseconds()
	}
	data, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	return data, e.draining
}

// obey carries out the answer to the ping that was sent at the given time.
func (e *executor) obey(o *orders, sent time.Time) {
	if o.Fence < e.fence || o.HoldMS == 0 {
		return
	}
	e.fence = o.Fence
	if lease := sent.Add(time.Duration(o.HoldMS) * time.Millisecond); lease.After(e.lease) {
		e.lease = lease
	}
	for len(e.ended) > 0 && e.ended[0].number <= o.SeenUpto {
		e.ended = e.ended[1:]
	}
	now := time.Now()
	for _, row := range o.Stop {
		item, number := text(row[0]), whole(row[1])
		e.highest[item] = max(e.highest[item], number)
		if r := e.runs[item]; r != nil && r.number == number && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
	}
	for _, row := range o.Start {
		e.begin(row, now)
	}
}

func (e *executor) begin(row []json.RawMessage, now time.Time) {
	item, number, spec := text(row[0]), whole(row[1]), text(row[2])
	if e.runs[item] != nil || number <= e.highest[item] {
		e.list(item, number, "refused")
		return
	}
	var work struct {
		Duration string `json:"duration"`
		CPU      int    `json:"cpu"`
	}
	err := json.Unmarshal([]byte(spec), &work)
	duration, err2 := time.ParseDuration(work.Duration)
	valid := err == nil && err2 == nil
	if e.tickets && (len(row) < 5 || text(row[4]) != ticket(stepOf(item), e.id)) {
		valid = false
	}
	if !valid || (len(e.runs)+1)*work.CPU > e.cpu {
		e.rec.printf("executor %s: %s run %d refused", e.id, item, number)
		e.list(item, number, "refused")
		return
	}
	r := &run{item: item, number: number, worker: e.id, began: now, endsAt: now.Add(duration)}
	e.runs[item], e.highest[item] = r, number
	e.history.add(r)
	e.rec.printf("executor %s: %s run %d began", e.id, item, number)
}

func text(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}

func whole(raw json.RawMessage) uint64 {
	var n uint64
	_ = json.Unmarshal(raw, &n)
	return n
}

// count returns how many runs it has now.
func (e *executor) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}
