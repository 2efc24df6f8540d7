package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// Figures of the small deployment bsnc-sched.
const (
	holdMax     = 10 * time.Second
	stopTime    = 900 * time.Millisecond
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	heartbeat   = 1500 * time.Millisecond
	pingTimeout = time.Second
	afterEnd    = 50 * time.Millisecond
	startupTime = 900 * time.Millisecond // of a work item that lasts
)

func capacity() map[string]int { return map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": 0} }

type (
	// work says how long the items of a job run. A zero duration is that of an item that
	// lasts.
	work func(item string) time.Duration

	// executor is one life of a machine. It follows PROTOCOL.md.
	executor struct {
		id, service, addr string
		m                 *machine
		rec               *recorder
		nodes             []string // control_plane addresses, or proxies to them
		work              work
		gangs             *gangs // nil if there are none
		client            *http.Client
		stop              chan struct{}
		wake              chan struct{}

		mu       sync.Mutex
		up       bool
		seq      uint64
		target   string
		fence    uint64
		lease    time.Time
		running  map[string]*run
		tops     map[string]uint64 // highest run stopped or ended, by item
		ended    [][]any
		endCount uint64
	}

	run struct {
		span     *span
		number   uint64
		began    time.Time
		takes    time.Duration
		stopping bool
		gang     bool
		timer    *time.Timer
	}

	orders struct {
		HeartbeatAddr string              `json:"heartbeat_addr"`
		HoldMS        *int64              `json:"hold_ms"`
		SeenUpto      uint64              `json:"seen_upto"`
		Fence         uint64              `json:"fence"`
		RetryMS       int64               `json:"retry_ms"`
		Start         [][]json.RawMessage `json:"start"`
		Stop          [][]json.RawMessage `json:"stop"`
	}
)

// startExecutor starts an executor that sends its pings to nodes.
func startExecutor(rec *recorder, m *machine, id, service, addr string, nodes []string, w work, g *gangs) *executor {
	e := &executor{
		id: id, service: service, addr: addr, m: m, rec: rec, nodes: slices.Clone(nodes), work: w, gangs: g, up: true,
		stop: make(chan struct{}), wake: make(chan struct{}, 1), running: make(map[string]*run), tops: make(map[string]uint64),
		client: &http.Client{
			Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: pingTimeout}).DialContext},
			CheckRedirect: func(_ *http.Request, via []*http.Request) error {
				if len(via) > 2 {
					return http.ErrUseLastResponse
				}
				return nil
			},
		},
	}
	m.current = e
	rec.note("EXECUTOR %s of %s starts on machine %s", id, service, m.name)
	go e.loop()
	return e
}

// end ends the executor: a crash, or the platform's order. What runs there ends with it.
func (e *executor) end(why string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stop)
	for _, r := range e.running {
		r.timer.Stop()
		e.rec.end(r.span, "lost: "+why)
		e.gangs.left(r.span.item, r.number)
	}
	e.running = map[string]*run{}
	e.mu.Unlock()
	e.rec.note("EXECUTOR %s ends: %s", e.id, why)
	e.client.CloseIdleConnections()
}

func (e *executor) loop() {
	next := 0
	for {
		target, proxied := e.target, false
		if target == "" {
			target, proxied = e.nodes[next%len(e.nodes)], true
			next++
		}
		wait := e.ping(target)
		if wait < 0 { // no ack
			e.target = ""
			wait = 20 * time.Millisecond
			if !proxied {
				wait = 0
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-e.stop:
			timer.Stop()
			return
		case <-timer.C:
		case <-e.wake:
			timer.Stop()
			select {
			case <-e.stop:
				return
			case <-time.After(afterEnd):
			}
		}
	}
}

// ping sends one heartbeat and returns the time until the next, or a negative value if it was
// not acknowledged.
func (e *executor) ping(target string) time.Duration {
	sent := time.Now()
	body, seq := e.report()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/instances/%s/heartbeat", target, e.id), bytes.NewReader(body))
	if err != nil {
		return -1
	}
	req.Header.Set("Content-Type", "application/json")
	client := *e.client
	client.Timeout = pingTimeout
	resp, err := client.Do(req)
	if err != nil {
		e.rec.note("PING  %s seq %d to %s: no answer within a second", e.id, seq, target)
		return -1
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 || time.Since(sent) > pingTimeout {
		return -1
	}
	var o orders
	if json.Unmarshal(data, &o) != nil {
		return -1
	}
	if seq == 0 {
		e.rec.note("PING  %s seq 0 acknowledged by %s: hold %v", e.id, resp.Request.URL.Host, o.HoldMS != nil)
	}
	return e.obey(sent, &o)
}

func (e *executor) report() ([]byte, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	running := [][]any{}
	for item, r := range e.running {
		percent := 100
		if r.takes > 0 {
			percent = int(min(99, 100*time.Since(r.began)/r.takes))
		} else if time.Since(r.began) < startupTime {
			percent = 0
		}
		running = append(running, []any{item, r.number, "", percent, 100})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	ended := e.ended[:min(500, len(e.ended))]
	if ended == nil {
		ended = [][]any{}
	}
	seq := e.seq
	e.seq++
	data, _ := json.Marshal(map[string]any{
		"service": e.service, "addr": e.addr, "zone": "z-1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"machine": e.m.name, "capacity": capacity(), "labels": e.m.labels, "clock_ms": time.Since(e.rec.began).Milliseconds(), "seq": seq,
		"running": running, "ended": ended,
	})
	return data, seq
}

// obey carries out the answer to a ping that was sent at the given time.
func (e *executor) obey(sent time.Time, o *orders) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return 0
	}
	if o.HeartbeatAddr != "" {
		e.target = o.HeartbeatAddr
	}
	wait := time.Duration(o.RetryMS) * time.Millisecond
	if wait == 0 {
		wait = heartbeat
	}
	if o.Fence < e.fence {
		return wait
	}
	e.fence = o.Fence
	e.ended = slices.DeleteFunc(e.ended, func(row []any) bool { return row[0].(uint64) <= o.SeenUpto })
	e.expire()
	for _, row := range o.Stop {
		item, number := rowOf(row)
		if r := e.running[item]; r != nil && r.number == number && !r.stopping {
			r.stopping = true
			e.rec.stop(r.span)
			r.timer.Stop()
			r.timer = time.AfterFunc(stopTime/3, func() { e.finish(item, number, "stopped") })
		}
	}
	if o.HoldMS == nil {
		return wait
	}
	hold := min(time.Duration(*o.HoldMS)*time.Millisecond, holdMax)
	if until := sent.Add(hold); until.After(e.lease) {
		e.lease = until
		time.AfterFunc(time.Until(until), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.expire()
		})
	}
	for _, row := range o.Start {
		item, number := rowOf(row)
		if e.running[item] != nil || number <= e.tops[item] {
			e.list(item, number, "refused")
			continue
		}
		r := &run{span: e.rec.begin(item, e.id, number), number: number, began: time.Now(), takes: e.work(item)}
		e.running[item] = r
		r.timer = time.AfterFunc(time.Hour, func() {})
		if e.gangs.enter(e, item, number) {
			r.gang = true
		} else if r.takes > 0 {
			r.timer = time.AfterFunc(r.takes, func() { e.finish(item, number, "done") })
		}
	}
	return wait
}

// expire ends everything once the lease has ended. The caller holds mu.
func (e *executor) expire() {
	if !e.up || len(e.running) == 0 || time.Now().Before(e.lease) {
		return
	}
	for item, r := range e.running {
		r.timer.Stop()
		delete(e.running, item)
		e.rec.end(r.span, "lapsed")
		e.gangs.left(item, r.number)
		e.list(item, r.number, "lapsed")
	}
}

// list adds an entry to the list of ends. The caller holds mu.
func (e *executor) list(item string, number uint64, how string) {
	e.endCount++
	e.tops[item] = max(e.tops[item], number)
	e.ended = append(e.ended, []any{e.endCount, item, number, how, ""})
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *executor) finish(item string, number uint64, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.running[item]
	if !e.up || r == nil || r.number != number {
		return
	}
	delete(e.running, item)
	e.rec.end(r.span, how)
	e.gangs.left(item, number)
	e.list(item, number, how)
}

func (e *executor) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

func rowOf(row []json.RawMessage) (item string, number uint64) {
	_ = json.Unmarshal(row[0], &item)
	_ = json.Unmarshal(row[1], &number)
	return item, number
}
