// Package tackhttp implements the caller port: it accepts the requests of
// callers and has each run by a backend server of the service that it names. A
// VM that serves the caller port is called an entry VM.
//
// A request passes admission control, is sent over one connection and gets one
// answer, which is either complete or visibly truncated. Package tackretry
// decides whether it is sent again and package tackroute where; this package
// tracks whether a byte of a request may have been sent, and reports
// did_not_run only if none was or the backend server refused to run it.
package tackhttp

import (
	"context"
	"fmt"
	"hash/maphash"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tacklimit"
	"auburntack/core/tackretry"
	"auburntack/core/tackroute"
	"auburntack/io/tackport"
)

// portPercent is the part of the process's budget for clients that is kept for callers.
const portPercent = 50

type (
	// Ledger stores the records of idempotency keys. Claim returns once the
	// record is durable on a majority. After an error the claim may or may not
	// be recorded, and the request is not dispatched.
	Ledger interface {
		Claim(ctx context.Context, b tackledger.Begin) (tackledger.Claim, error)
		Finish(ctx context.Context, f tackledger.Finish) error
	}

	// Lookuper is a Ledger that can look up a record locally, without a write.
	// Only the kinds Recorded and Mismatch are final.
	Lookuper interface {
		Lookup(id tackledger.ID, print tackledger.Fingerprint) tackledger.Claim
	}

	// Meter counts requests for the report on service levels.
	Meter interface {
		Count(r Result)
	}

	// Result describes how one request ended, for a Meter. Latency is the
	// time from its arrival to the last byte of its answer.
	Result struct {
		Service    tackid.Service
		Team       tackid.Team
		Class      tackid.Class
		Outcome    tackledger.Outcome
		Status     int
		Late       bool // ended after the caller's deadline
		CallerGone bool // the caller closed its connection before the end
		Latency    tackclock.Duration
		Dispatches int // number of times it was sent to a backend server
	}

	// Config configures a Handler. Self and Routes must be set. Without a
	// Ledger, requests with a key are refused.
	Config struct {
		Self      tackid.Peer
		Home      tackid.DataCentre
		Clock     *tackclock.Clock
		Limits    Limits
		Admission tacklimit.Settings
		Retry     tackretry.Settings
		Logger    logrus.FieldLogger
		Registry  metrics.Registry
		Ledger    Ledger
		// Routes returns the current routing table, or nil if there is none.
		Routes func() *tackroute.Table
		// Ready reports whether requests are accepted; nil means always. It
		// stays true during the linger time of a planned stop.
		Ready func() bool
		Meter Meter
		// Ports are the ports of the process, whose budget the caller port shares. If nil, the
		// caller port has a budget of its own without limits on connections.
		Ports *tackport.Ports
	}

	// Handler serves the caller port. It must be created by New.
	Handler struct {
		cfg        Config
		limits     Limits
		clock      *tackclock.Clock
		log        logrus.FieldLogger
		meters     meters
		sender     sender
		quotas     quotas
		failing    failingJobs
		instance   tackledger.InstanceID
		prefix     string // of the request ids of this process
		ids        atomic.Uint64
		buffers    sync.Pool
		port       *tackport.Port
		closeConns atomic.Bool

		mu       sync.RWMutex
		services map[tackid.Service]*service
		ticking  bool
		stopped  bool

		running sync.WaitGroup // requests, and outcomes being recorded
		stop    chan struct{}
	}
)

// New returns a Handler. Call Shutdown to stop it.
func New(cfg Config) *Handler {
	if cfg.Clock == nil {
		cfg.Clock = new(tackclock.Clock)
	}
	if cfg.Logger == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		cfg.Logger = quiet
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	instance := rand.Uint64()
	h := &Handler{
		cfg:      cfg,
		limits:   cfg.Limits.withDefaults(),
		clock:    cfg.Clock,
		log:      cfg.Logger,
		meters:   newMeters(cfg.Registry),
		instance: tackledger.InstanceID(instance),
		prefix:   fmt.Sprintf("%s-%012x-", cfg.Self, instance&(1<<48-1)),
		services: make(map[tackid.Service]*service),
		stop:     make(chan struct{}),
	}
	if cfg.Ports == nil {
		cfg.Ports = tackport.New(tackport.Config{Clock: cfg.Clock, Logger: cfg.Logger, Registry: cfg.Registry})
	}
	h.port = cfg.Ports.Port("caller", tackport.Share{Percent: portPercent, MaxBytes: h.limits.BufferTotal})
	// The kernel closes a connection whose caller does not read its answer.
	h.port.Limits.WriteTimeout = 0
	h.failing.seed = maphash.MakeSeed()
	h.buffers.New = func() any { return new([bufferSize]byte) }
	h.sender.init(h.limits, &h.meters)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Done()
	c := &call{h: h, w: w, r: r, began: h.clock.Now()}
	if h.closeConns.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	defer c.count()
	if f := c.serve(); f != nil {
		c.fail(f)
	}
}

// InFlight returns the number of requests in flight on a VM.
func (h *Handler) InFlight(vm tackid.VM) int {
	n := 0
	for _, s := range h.allServices() {
		n += s.inFlight(vm)
	}
	return n
}

// Idle reports whether no request is in flight on a VM.
func (h *Handler) Idle(vm tackid.VM) bool {
	return h.InFlight(vm) == 0
}

// Loads returns, by service, the number of requests that this entry VM has in
// flight on each backend server.
func (h *Handler) Loads() map[tackid.Service][]tackroute.Load {
	loads := make(map[tackid.Service][]tackroute.Load)
	for _, s := range h.allServices() {
		if l := s.loads(); len(l) > 0 {
			loads[s.name] = l
		}
	}
	return loads
}

// DisableKeepAlives makes every further answer ask its caller to close the
// connection, so that callers reconnect through the load balancer. Requests are
// still accepted.
func (h *Handler) DisableKeepAlives() {
	h.closeConns.Store(true)
}

// Shutdown waits until all requests have ended and their outcomes are recorded,
// and closes the idle connections to the backend servers. No request may arrive
// after it was called. If ctx ends first, it returns the context's error.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	if !h.stopped {
		h.stopped = true
		close(h.stop)
	}
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		h.running.Wait()
		close(done)
	}()
	defer h.sender.close()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("tackhttp: stopped with requests in progress: %w", ctx.Err())
	}
}

// service returns the state of a service, or nil if the table does not contain
// the service.
func (h *Handler) service(table *tackroute.Table, name tackid.Service) *service {
	if _, known := table.Services[name]; !known {
		return nil
	}
	return h.serviceNamed(name)
}

func (h *Handler) serviceNamed(name tackid.Service) *service {
	h.mu.RLock()
	s := h.services[name]
	h.mu.RUnlock()
	if s != nil {
		return s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services[name] == nil {
		h.services[name] = newService(h, name)
	}
	return h.services[name]
}

func (h *Handler) allServices() []*service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]*service, 0, len(h.services))
	for _, s := range h.services {
		all = append(all, s)
	}
	return all
}

// maxTries returns the maximum number of dispatches of one request.
func (h *Handler) maxTries() int {
	if h.cfg.Retry.MaxTries > 0 {
		return h.cfg.Retry.MaxTries
	}
	return defaultTries
}

// table returns the current routing table, or nil if there is none.
func (h *Handler) table() *tackroute.Table {
	if h.cfg.Routes == nil {
		return nil
	}
	return h.cfg.Routes()
}
