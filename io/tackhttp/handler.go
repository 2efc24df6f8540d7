// Package tackhttp is the caller port: it takes the requests of callers and
// has each run by a backend server of the service that it names.
//
// A request passes admission, is sent over one connection and gets one answer,
// whole or cut. What is sent again, and where, is decided in core; this
// package knows for sure whether a byte of a request has left, and says
// did_not_run of no other request.
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
)

type (
	// Ledger holds the records of idempotency keys. Claim returns once the
	// record is durable on a majority; any error means that the claim may or
	// may not be recorded, and the request is not dispatched.
	Ledger interface {
		Claim(ctx context.Context, b tackledger.Begin) (tackledger.Claim, error)
		Finish(ctx context.Context, f tackledger.Finish) error
	}

	// Lookuper is a Ledger that can look a record up without a write. The
	// handler trusts Recorded and Mismatch only, which are final.
	Lookuper interface {
		Lookup(id tackledger.ID, print tackledger.Fingerprint) tackledger.Claim
	}

	// Meter counts requests for the report on service levels.
	Meter interface {
		Count(r Result)
	}

	// Result is the end of one request, for a Meter. Took is from its arrival
	// to the last byte of its answer.
	Result struct {
		Service  tackid.Service
		Team     tackid.Team
		Class    tackid.Class
		Outcome  tackledger.Outcome
		Status   int
		Late     bool // ended after the caller's deadline
		Gone     bool // the caller hung up first
		Took     tackclock.Duration
		Dispatch int // how many times it was sent to a backend server
	}

	// Config is what a Handler needs. Self, Routes and Ledger must be set; a
	// nil Ledger refuses requests with a key.
	Config struct {
		Self     tackid.Peer
		Home     tackid.DataCentre
		Clock    *tackclock.Clock
		Limits   Limits
		Admit    tacklimit.Settings
		Retry    tackretry.Settings
		Logger   logrus.FieldLogger
		Registry metrics.Registry
		Ledger   Ledger
		// Routes returns the table to route by, nil while there is none.
		Routes func() *tackroute.Table
		// Ready reports whether requests are taken at all; nil means always.
		// It stays true while a planned stop lingers.
		Ready func() bool
		Meter Meter
	}

	// Handler serves the caller port. Use New.
	Handler struct {
		cfg     Config
		limits  Limits
		clock   *tackclock.Clock
		log     logrus.FieldLogger
		meters  meters
		sender  sender
		quotas  quotas
		asides  asides
		life    tackledger.InstanceID
		prefix  string // of the request ids of this process
		ids     atomic.Uint64
		buffers sync.Pool
		held    atomic.Int64 // bytes reserved for buffered bodies
		leaving atomic.Bool

		mu       sync.RWMutex
		services map[tackid.Service]*service
		ticking  bool
		stopped  bool

		running sync.WaitGroup // requests and finishes under way
		stop    chan struct{}
	}
)

// New returns a Handler. Shutdown ends it.
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
	life := rand.Uint64()
	h := &Handler{
		cfg:      cfg,
		limits:   cfg.Limits.withDefaults(),
		clock:    cfg.Clock,
		log:      cfg.Logger,
		meters:   newMeters(cfg.Registry),
		life:     tackledger.InstanceID(life),
		prefix:   fmt.Sprintf("%s-%012x-", cfg.Self, life&(1<<48-1)),
		services: make(map[tackid.Service]*service),
		stop:     make(chan struct{}),
	}
	h.asides.seed = maphash.MakeSeed()
	h.buffers.New = func() any { return new([bufferSize]byte) }
	h.sender.init(h.limits, &h.meters)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Done()
	c := &call{h: h, w: w, r: r, began: h.clock.Now()}
	if h.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	defer c.count()
	if f := c.serve(); f != nil {
		c.fail(f)
	}
}

// InFlight returns how many requests are being run on a VM.
func (h *Handler) InFlight(vm tackid.VM) int {
	n := 0
	for _, s := range h.all() {
		n += s.inFlight(vm)
	}
	return n
}

// Idle reports whether nothing is being run on a VM.
func (h *Handler) Idle(vm tackid.VM) bool {
	return h.InFlight(vm) == 0
}

// Loads returns for each service how many requests this entry VM has in flight
// on each of its backend servers.
func (h *Handler) Loads() map[tackid.Service][]tackroute.Load {
	loads := make(map[tackid.Service][]tackroute.Load)
	for _, s := range h.all() {
		if l := s.loads(); len(l) > 0 {
			loads[s.name] = l
		}
	}
	return loads
}

// Leave makes every answer from now on ask its caller to close the connection,
// so that callers come back by way of the balancer. Requests are still taken.
func (h *Handler) Leave() {
	h.leaving.Store(true)
}

// Shutdown waits for what runs and for the records of what ran, and closes the
// connections to the backend servers. No request may come in after it was
// called. It returns the context's error if that ends first.
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
		return fmt.Errorf("tackhttp: stopped with requests under way: %w", ctx.Err())
	}
}

// service returns the state of a service that the table knows, or nil.
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

func (h *Handler) all() []*service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]*service, 0, len(h.services))
	for _, s := range h.services {
		all = append(all, s)
	}
	return all
}

// tries returns how often a request may be dispatched.
func (h *Handler) tries() int {
	if h.cfg.Retry.MaxTries > 0 {
		return h.cfg.Retry.MaxTries
	}
	return defaultTries
}

// table returns the table to route by, nil while there is none.
func (h *Handler) table() *tackroute.Table {
	if h.cfg.Routes == nil {
		return nil
	}
	return h.cfg.Routes()
}
