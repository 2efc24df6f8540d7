package tackmeasure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburntack/io/tackstandin"
)

const (
	announceTimeout = 5 * time.Second
	retryInterval   = 500 * time.Millisecond
	// operatorConns is the maximum number of connections to the operator port of a daemon.
	operatorConns = 32
	vmsPerRack    = 4
	pools         = 36
	teams         = 45
)

type (
	// Announcers simulate backend servers and workers: they send announcements but do not
	// listen. Each announcement uses a new connection, as those that are a minute apart do.
	Announcers struct {
		daemons []*tackstandin.Daemon
		client  *http.Client
		bytes   map[string]*atomic.Int64
		stop    chan struct{}
		running sync.WaitGroup
		all     []*announcer
		sent    atomic.Int64
		failed  atomic.Int64
	}

	// announcer is a simulated backend server or worker.
	announcer struct {
		mu           sync.Mutex
		announcement announcement
		silent       bool
		home         int
		restarted    chan struct{}
		parent       *Announcers
	}

	announcement struct {
		BackendServer string `json:"backend_server,omitempty"`
		Worker        string `json:"worker,omitempty"`
		VM            string `json:"vm,omitempty"`
		Service       string `json:"service,omitempty"`
		DataCentre    string `json:"data_centre"`
		Rack          string `json:"rack"`
		Address       string `json:"address,omitempty"`
		Slots         int    `json:"slots,omitempty"`
		Connections   int    `json:"connections,omitempty"`
		Cores         int    `json:"cores,omitempty"`
		MemoryMB      int    `json:"memory_mb,omitempty"`
		Incarnation   int    `json:"incarnation"`
		State         string `json:"state"`
	}

	// countedConn adds the number of bytes sent and received on a connection to bytes.
	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

// NewAnnouncers returns announcers that send announcements to the daemons.
func NewAnnouncers(daemons []*tackstandin.Daemon) *Announcers {
	a := &Announcers{daemons: daemons, bytes: make(map[string]*atomic.Int64), stop: make(chan struct{})}
	for _, d := range daemons {
		a.bytes[d.Operator] = new(atomic.Int64)
	}
	a.client = &http.Client{
		Timeout: announceTimeout,
		Transport: &http.Transport{
			DialContext:       a.dial,
			DisableKeepAlives: true,
			MaxConnsPerHost:   operatorConns,
		},
	}
	return a
}

func (a *Announcers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, bytes: a.bytes[address]}, nil
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Grow adds backend servers and workers until there are n of each kind.
func (a *Announcers) Grow(n int) {
	for i := len(a.all) / 2; i < n; i++ {
		a.start(i, a.backendServer(i))
		a.start(i, a.worker(i))
	}
}

func (a *Announcers) start(i int, body announcement) {
	x := &announcer{announcement: body, home: i % len(a.daemons), restarted: make(chan struct{}, 1), parent: a}
	a.all = append(a.all, x)
	a.running.Add(1)
	go x.run()
}

func (a *Announcers) backendServer(i int) announcement {
	d := a.daemons[i%len(a.daemons)]
	return announcement{
		BackendServer: fmt.Sprintf("service-%d-%d", i%pools, i),
		VM:            vmName(i),
		Service:       serviceName(i % pools),
		DataCentre:    d.DataCentre,
		Rack:          rackName(d, i, len(a.daemons)),
		Address:       fmt.Sprintf("127.0.0.1:%d", 10_000+i),
		Slots:         8,
		Connections:   64,
		Incarnation:   1,
		State:         "serving",
	}
}

func (a *Announcers) worker(i int) announcement {
	d := a.daemons[i%len(a.daemons)]
	return announcement{
		Worker:      vmName(i),
		DataCentre:  d.DataCentre,
		Rack:        rackName(d, i, len(a.daemons)),
		Cores:       16,
		MemoryMB:    32768,
		Incarnation: 1,
		State:       "serving",
	}
}

func rackName(d *tackstandin.Daemon, i, daemons int) string {
	return fmt.Sprintf("%s-r%d", d.DataCentre, i/daemons/vmsPerRack)
}

func vmName(i int) string      { return fmt.Sprintf("w-%d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// Restart makes the first n backend servers announce a new incarnation immediately, as after a
// restart.
func (a *Announcers) Restart(n int) {
	left := n
	for _, x := range a.all {
		if left > 0 && x.announcement.BackendServer != "" {
			x.restart()
			left--
		}
	}
}

// RestartAll makes all backend servers and workers announce a new incarnation immediately.
func (a *Announcers) RestartAll() {
	for _, x := range a.all {
		x.restart()
	}
}

// SetSilent stops the announcements of all backend servers and workers in the data centre, or
// restarts them with a new incarnation.
func (a *Announcers) SetSilent(dataCentre string, silent bool) {
	for _, x := range a.all {
		if x.announcement.DataCentre != dataCentre {
			continue
		}
		x.mu.Lock()
		x.silent = silent
		x.mu.Unlock()
		if !silent {
			x.restart()
		}
	}
}

// Counts returns the numbers of accepted and of failed announcements.
func (a *Announcers) Counts() (accepted, failed int64) {
	return a.sent.Load(), a.failed.Load()
}

// Bytes returns the number of bytes transferred between the announcers and the daemon, without
// TCP and IP headers.
func (a *Announcers) Bytes(d *tackstandin.Daemon) int64 {
	return a.bytes[d.Operator].Load()
}

// Stop ends all announcers.
func (a *Announcers) Stop() {
	close(a.stop)
	a.running.Wait()
}

func (x *announcer) restart() {
	x.mu.Lock()
	x.announcement.Incarnation++
	x.mu.Unlock()
	select {
	case x.restarted <- struct{}{}:
	default:
	}
}

func (x *announcer) run() {
	defer x.parent.running.Done()
	for {
		timer := time.NewTimer(x.announce())
		select {
		case <-x.parent.stop:
			timer.Stop()
			return
		case <-x.restarted:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// announce sends the announcement to the daemons, starting with home, until one accepts it. It
// returns the delay until the next announcement, which is randomly shorter than the requested
// one so that announcements are spread over time.
func (x *announcer) announce() time.Duration {
	x.mu.Lock()
	silent := x.silent
	body, err := json.Marshal(x.announcement)
	x.mu.Unlock()
	if err != nil || silent {
		return retryInterval
	}
	daemons := x.parent.daemons
	for i := range daemons {
		within, ok := x.parent.post(daemons[(x.home+i)%len(daemons)].Operator, body)
		if ok {
			x.parent.sent.Add(1)
			return time.Duration(float64(within) * (0.7 + 0.25*rand.Float64()))
		}
		x.parent.failed.Add(1)
	}
	return retryInterval
}

func (a *Announcers) post(operator string, body []byte) (time.Duration, bool) {
	r, err := a.client.Post("http://"+operator+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	defer r.Body.Close()
	var reply struct {
		Accepted     bool  `json:"accepted"`
		NextWithinMS int64 `json:"next_within_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&reply) != nil || !reply.Accepted {
		return 0, false
	}
	return time.Duration(reply.NextWithinMS) * time.Millisecond, true
}
