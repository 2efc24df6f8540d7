// Package tackstandin provides test doubles of the systems around auburntack:
// backend servers and workers that announce themselves, the platform, callers,
// and the balancer before the caller ports. It also starts daemons as
// processes and simulates network partitions between them. The demonstration,
// the measuring tool and the tests of whole processes use it. Everything listens
// on loopback.
package tackstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// BackendServer answers requests on a loopback port and announces itself
	// to the operator ports. Set the fields, then call Start.
	BackendServer struct {
		Name       string
		VM         string
		Service    string
		DataCentre string
		Rack       string
		Slots      int
		// Operators are the addresses of the operator ports, which it
		// tries in order for each announcement.
		Operators []string
		// Delay is the duration of each request.
		Delay time.Duration
		// Tally counts executed requests. Backend servers may share one.
		Tally *Tally

		mu          sync.Mutex
		incarnation int
		state       string
		server      *http.Server
		address     string
		stop        chan struct{}
		done        sync.WaitGroup
		active      atomic.Int64
		served      atomic.Int64
	}

	// Answer is the JSON body of a BackendServer's response.
	Answer struct {
		BackendServer string `json:"backend_server"`
		RequestID     string `json:"request_id"`
		Path          string `json:"path"`
		Body          string `json:"body"`
	}

	announcement struct {
		BackendServer string `json:"backend_server"`
		VM            string `json:"vm"`
		Service       string `json:"service"`
		DataCentre    string `json:"data_centre"`
		Rack          string `json:"rack"`
		Address       string `json:"address"`
		Slots         int    `json:"slots"`
		Connections   int    `json:"connections"`
		Incarnation   int    `json:"incarnation"`
		State         string `json:"state"`
	}
)

// Start starts to listen and to announce the next incarnation, unless the
// backend server is running.
func (b *BackendServer) Start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		return nil
	}
	port, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("tackstandin: %w", err)
	}
	b.incarnation++
	b.state = "serving"
	b.address = port.Addr().String()
	b.server = &http.Server{Handler: b}
	b.stop = make(chan struct{})
	b.done.Add(2)
	go func(s *http.Server) {
		defer b.done.Done()
		s.Serve(port)
	}(b.server)
	go func(stop <-chan struct{}) {
		defer b.done.Done()
		announceUntil(stop, b.Announce)
	}(b.stop)
	return nil
}

// Stop ends the backend server at once, as a reboot does. Requests in progress
// are cut and counted as cut.
func (b *BackendServer) Stop() {
	b.mu.Lock()
	server, stop := b.server, b.stop
	b.server = nil
	b.mu.Unlock()
	if server == nil {
		return
	}
	if n := b.active.Load(); n > 0 && b.Tally != nil {
		b.Tally.addCut(int(n))
	}
	close(stop)
	server.Close()
	b.done.Wait()
}

// Leave announces once that the backend server is leaving, as do all later
// announcements of this incarnation.
func (b *BackendServer) Leave() {
	b.mu.Lock()
	b.state = "leaving"
	b.mu.Unlock()
	b.Announce()
}

// Address returns the host and port on which the backend server listens.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Active returns the number of requests in progress.
func (b *BackendServer) Active() int {
	return int(b.active.Load())
}

// Served returns the number of requests started since the beginning, over all
// incarnations.
func (b *BackendServer) Served() int {
	return int(b.served.Load())
}

// Up reports whether the backend server is running.
func (b *BackendServer) Up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server != nil
}

// Announce sends one announcement, to the first of the operator ports that
// accepts it, and returns the time until the next one is due.
func (b *BackendServer) Announce() time.Duration {
	b.mu.Lock()
	a := announcement{
		BackendServer: b.Name,
		VM:            b.VM,
		Service:       b.Service,
		DataCentre:    b.DataCentre,
		Rack:          b.Rack,
		Address:       b.address,
		Slots:         b.Slots,
		Connections:   64,
		Incarnation:   b.incarnation,
		State:         b.state,
	}
	b.mu.Unlock()
	body, _ := json.Marshal(a)
	return announceTo(b.Operators, body)
}

// ServeHTTP executes one request and responds with an Answer.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := b.active.Add(1)
	defer b.active.Add(-1)
	b.served.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Auburntack-Request-Id")
	if b.Tally != nil {
		b.Tally.add(id, r.Header.Get("Idempotency-Key"), string(body), b.Slots > 0 && int(n) > b.Slots)
	}
	time.Sleep(b.Delay)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Answer{BackendServer: b.Name, RequestID: id, Path: r.URL.Path, Body: string(body)})
}
