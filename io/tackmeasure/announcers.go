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
	announceLimit = 5 * time.Second
	tryAgain      = 500 * time.Millisecond
	// operatorConns bounds the connections to one operators' port.
	operatorConns = 32
	perRack       = 4
	pools         = 36
	teams         = 45
)

type (
	// Announcers are light backend servers and workers: they announce
	// themselves and listen on nothing. Each announcement has a connection of
	// its own, as it has where announcements are a minute apart.
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

	// announcer is a backend server or a worker.
	announcer struct {
		mu     sync.Mutex
		says   announcement
		silent bool
		home   int
		anew   chan struct{}
		parent *Announcers
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

	// countedConn adds what passes over a connection to bytes.
	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

// NewAnnouncers returns announcers that announce to the daemons.
func NewAnnouncers(daemons []*tackstandin.Daemon) *Announcers {
	a := &Announcers{daemons: daemons, bytes: make(map[string]*atomic.Int64), stop: make(chan struct{})}
	for _, d := range daemons {
		a.bytes[d.Operator] = new(atomic.Int64)
	}
	a.client = &http.Client{
		Timeout: announceLimit,
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

// Grow adds backend servers and workers until there are n of each.
func (a *Announcers) Grow(n int) {
	for i := len(a.all) / 2; i < n; i++ {
		a.start(i, a.backendServer(i))
		a.start(i, a.worker(i))
	}
}

func (a *Announcers) start(i int, says announcement) {
	x := &announcer{says: says, home: i % len(a.daemons), anew: make(chan struct{}, 1), parent: a}
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
	return fmt.Sprintf("%s-r%d", d.DataCentre, i/daemons/perRack)
}

func vmName(i int) string      { return fmt.Sprintf("w-%d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// Restart has the first n backend servers announce a new incarnation at once,
// as after a restart.
func (a *Announcers) Restart(n int) {
	left := n
	for _, x := range a.all {
		if left > 0 && x.says.BackendServer != "" {
			x.restart()
			left--
		}
	}
}

// RestartAll has everything announce a new incarnation at once.
func (a *Announcers) RestartAll() {
	for _, x := range a.all {
		x.restart()
	}
}

// Silence has everything in the data centre fall silent, or come back with a
// new incarnation.
func (a *Announcers) Silence(dataCentre string, silent bool) {
	for _, x := range a.all {
		if x.says.DataCentre != dataCentre {
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

// Counts returns how many announcements were taken and how many were not.
func (a *Announcers) Counts() (taken, failed int64) {
	return a.sent.Load(), a.failed.Load()
}

// Bytes returns what passed between the announcers and the daemon, without
// the headers of TCP and IP.
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
	x.says.Incarnation++
	x.mu.Unlock()
	select {
	case x.anew <- struct{}{}:
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
		case <-x.anew:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// announce announces to the first daemon that takes it, those of home first,
// and returns when to do so again: somewhat before it is due, by chance, so
// that not all come together.
func (x *announcer) announce() time.Duration {
	x.mu.Lock()
	silent := x.silent
	body, err := json.Marshal(x.says)
	x.mu.Unlock()
	if err != nil || silent {
		return tryAgain
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
	return tryAgain
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
