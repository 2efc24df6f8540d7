package tackhttp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
	"auburntack/core/tackretry"
	"auburntack/core/tackroute"
)

const (
	// minFirstByte is the least time that an answer is given to begin.
	minFirstByte = 250 * tackclock.Millisecond
	// lateFactor is how many times as long as the slowest recent answer one
	// takes that is late.
	lateFactor = 4
	// slowestDecay is how many answers it takes, about, until a slow one is
	// forgotten.
	slowestDecay = 64
	// earlyPart is the part of the time left after which a request may be
	// asked for elsewhere. Three tries leave the last one more than half of
	// the time, so work that takes long is still answered.
	earlyPart = 4
)

// tickInterval is how often queues are looked at while any request waits.
const tickInterval = 10 * time.Millisecond

type (
	// service is the state of one service on this entry VM.
	service struct {
		h    *Handler
		name tackid.Service

		mu      sync.Mutex
		table   *tackroute.Table // that chooser and gate follow
		chooser tackroute.Chooser
		gate    tacklimit.Gate
		budget  tackretry.Budget
		waiters map[uint64]chan admission

		slowest tackclock.Duration // to the first byte, of the recent answers
	}

	// admission is what a request that waits is told.
	admission uint8
)

const (
	started admission = iota + 1
	expired
)

func newService(h *Handler, name tackid.Service) *service {
	s := &service{h: h, name: name, waiters: make(map[uint64]chan admission)}
	s.gate.Settings = h.cfg.Admit
	s.gate.Quotas = &h.quotas.Quotas
	s.budget.Settings = h.cfg.Retry
	return s
}

// follow brings chooser and gate up to the table. The caller holds s.mu.
func (s *service) follow(now tackclock.Time, table *tackroute.Table) {
	if s.table != table {
		s.table = table
		s.chooser.SetCandidates(table.Services[s.name])
		s.h.quotas.follow(table)
	}
	s.gate.SetCapacity(s.chooser.Capacity(now, s.ask()))
}

func (s *service) ask() tackroute.Constraints {
	return tackroute.Constraints{Home: s.h.cfg.Home, HomeOnly: s.table.HomeOnly}
}

// enter admits a request, after a wait in the queue if need be. A nil failure
// means that it may run and must leave again.
func (s *service) enter(ctx context.Context, table *tackroute.Table, r tacklimit.Request) *failure {
	now := s.h.clock.Now()
	s.mu.Lock()
	s.follow(now, table)
	if len(table.Services[s.name]) == 0 {
		s.mu.Unlock()
		return refusal(http.StatusServiceUnavailable, codeNoBackend, "no backend server serves here", tackclock.Second)
	}
	verdict := s.gate.Offer(now, r)
	switch verdict.Decision {
	case tacklimit.Admitted:
		s.budget.Record(now)
		s.mu.Unlock()
		return nil
	case tacklimit.Refused:
		s.mu.Unlock()
		return refused(verdict.Refusal)
	}
	waiter := make(chan admission, 1)
	s.waiters[r.ID] = waiter
	s.mu.Unlock()
	s.h.startTicking()
	return s.wait(ctx, r, waiter)
}

// wait waits in the queue.
func (s *service) wait(ctx context.Context, r tacklimit.Request, waiter chan admission) *failure {
	s.h.meters.queued.Inc(1)
	s.h.quotas.wait(r.Team, 1)
	defer s.h.quotas.wait(r.Team, -1)
	select {
	case a := <-waiter:
		return s.admitted(a, r)
	case <-ctx.Done():
	}
	s.mu.Lock()
	queued := s.gate.Cancel(s.h.clock.Now(), r.ID)
	delete(s.waiters, r.ID)
	s.mu.Unlock()
	if !queued {
		// It may have been started at the same moment.
		select {
		case a := <-waiter:
			if a == started {
				s.leave(r.ID)
			}
		default:
		}
	}
	return refusal(http.StatusServiceUnavailable, codeCallerGone, "the caller left the queue", noRetryAfter)
}

func (s *service) admitted(a admission, r tacklimit.Request) *failure {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a == started {
		s.budget.Record(now)
		return nil
	}
	return refused(tacklimit.RefusedError{Code: tacklimit.CodeTooLate, RetryAfter: s.gate.RetryAfter(now, r)})
}

// leave gives the request's place back and starts those that follow.
func (s *service) leave(id uint64) {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.gate.Release(now, id), started)
}

// tick lets the queue go on and reports whether any request still waits.
func (s *service) tick(now tackclock.Time) (waiting bool) {
	table := s.h.table()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		return false
	}
	if table != nil {
		s.follow(now, table)
	}
	begun, late := s.gate.Tick(now)
	s.wake(begun, started)
	s.wake(late, expired)
	return len(s.waiters) > 0
}

// wake tells the waiting requests. The caller holds s.mu.
func (s *service) wake(ids []uint64, a admission) {
	for _, id := range ids {
		if waiter := s.waiters[id]; waiter != nil {
			waiter <- a
			delete(s.waiters, id)
		}
	}
}

// pick chooses a backend server and takes a slot there.
func (s *service) pick(exclude []tackid.BackendServer) (tackroute.Candidate, bool) {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// The table is followed again: a request that waited in the queue must
	// not go to a backend server that left in the meantime.
	if table := s.h.table(); table != nil {
		s.follow(now, table)
	}
	ask := s.ask()
	ask.Exclude = exclude
	return s.chooser.Pick(now, ask)
}

// done gives the slot back.
func (s *service) done(c tackroute.Candidate, result tackroute.Result, latency tackclock.Duration) {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Done(now, c, tackroute.Outcome{Result: result, Latency: latency})
}

// began learns how long an answer took to begin.
func (s *service) began(took tackclock.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took = max(took, tackclock.Millisecond) // zero means that there was none
	if took >= s.slowest {
		s.slowest = took
		return
	}
	s.slowest -= (s.slowest - took) / slowestDecay
}

// earlyWait returns after how long a request that may run twice is asked for
// elsewhere. A connection that went silent for good looks like a slow answer;
// the recent answers tell what is slow.
func (s *service) earlyWait(left tackclock.Duration) tackclock.Duration {
	return max(minFirstByte, min(s.late(), left/earlyPart))
}

// late returns after how long an answer that has not begun is late, by the
// recent ones.
func (s *service) late() tackclock.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowest == 0 {
		return s.h.limits.FirstByte
	}
	return min(s.h.limits.FirstByte, max(minFirstByte, lateFactor*s.slowest))
}

func (s *service) healthy(c tackroute.Candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Healthy(c.BackendServer)
}

// retry asks whether a failed attempt may be followed by another.
func (s *service) retry(a tackretry.Attempt) bool {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(now, a).Retry
}

func (s *service) inFlight(vm tackid.VM) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.InFlight(vm)
}

func (s *service) loads() []tackroute.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Loads()
}

// refused turns a refusal of admission into an answer. A team that sends too
// much is told 429; where the service has no room it is 503.
func refused(e tacklimit.RefusedError) *failure {
	status := http.StatusServiceUnavailable
	if e.Code == tacklimit.CodeQueueFull {
		status = http.StatusTooManyRequests
	}
	return refusal(status, Code(e.Code), "not admitted: "+string(e.Code), max(e.RetryAfter, tackclock.Second))
}

// startTicking has the queues looked at until none holds a request.
func (h *Handler) startTicking() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ticking {
		return
	}
	h.ticking = true
	h.running.Add(1)
	go h.tickQueues()
}

func (h *Handler) tickQueues() {
	defer h.running.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !h.tickAll() {
			return
		}
	}
}

// tickAll looks at every queue once, and ends the ticking if all are empty.
func (h *Handler) tickAll() (waiting bool) {
	now := h.clock.Now()
	for _, s := range h.all() {
		waiting = s.tick(now) || waiting
	}
	if waiting {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A request that began to wait after its queue was looked at has found
	// the ticking still on, so the queues are looked at once more.
	for _, s := range h.services {
		s.mu.Lock()
		waiting = waiting || len(s.waiters) > 0
		s.mu.Unlock()
	}
	h.ticking = waiting
	return waiting
}
