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
	// slowFactor is how many times as long as the slowest recent answer an
	// answer takes to be considered late.
	slowFactor = 4
	// slowestDecay is approximately the number of answers after which a slow
	// one no longer counts.
	slowestDecay = 64
	// earlyDivisor divides the time left to get the longest time after which a
	// request is retried elsewhere. With three tries, more than half of the
	// time is left for the last one, so that long-running requests are answered
	// too.
	earlyDivisor = 4
)

// tickInterval is the interval at which the queues are checked while any
// request waits.
const tickInterval = 10 * time.Millisecond

type (
	// service is the state of one service on this entry VM.
	service struct {
		h    *Handler
		name tackid.Service

		mu      sync.Mutex
		table   *tackroute.Table // used by chooser and gate
		chooser tackroute.Chooser
		gate    tacklimit.Gate
		budget  tackretry.Budget
		waiters map[uint64]chan admission

		slowest tackclock.Duration // time to the first byte of the slowest recent answer, decaying
	}

	// admission is the result of waiting in the queue.
	admission uint8
)

const (
	started admission = iota + 1
	expired
)

func newService(h *Handler, name tackid.Service) *service {
	s := &service{h: h, name: name, waiters: make(map[uint64]chan admission)}
	s.gate.Settings = h.cfg.Admission
	s.gate.Quotas = &h.quotas.Quotas
	s.budget.Settings = h.cfg.Retry
	return s
}

// setTable updates chooser and gate from the table. The caller must hold s.mu.
func (s *service) setTable(now tackclock.Time, table *tackroute.Table) {
	if s.table != table {
		s.table = table
		s.chooser.SetCandidates(table.Services[s.name])
		s.h.quotas.setTable(table)
	}
	s.gate.SetCapacity(s.chooser.Capacity(now, s.constraints()))
}

func (s *service) constraints() tackroute.Constraints {
	return tackroute.Constraints{Home: s.h.cfg.Home, HomeOnly: s.table.HomeOnly}
}

// admit admits a request, which may wait in the queue before. If it returns
// nil, the request may run and must be released afterwards.
func (s *service) admit(ctx context.Context, table *tackroute.Table, r tacklimit.Request) *failure {
	now := s.h.clock.Now()
	s.mu.Lock()
	s.setTable(now, table)
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
		return admissionFailure(verdict.Refusal)
	}
	waiter := make(chan admission, 1)
	s.waiters[r.ID] = waiter
	s.mu.Unlock()
	s.h.startTicking()
	return s.wait(ctx, r, waiter)
}

// wait waits in the queue until the request is started or expires, or its
// caller is gone.
func (s *service) wait(ctx context.Context, r tacklimit.Request, waiter chan admission) *failure {
	s.h.meters.queued.Inc(1)
	s.h.quotas.addWaiting(r.Team, 1)
	defer s.h.quotas.addWaiting(r.Team, -1)
	select {
	case a := <-waiter:
		return s.admissionResult(a, r)
	case <-ctx.Done():
	}
	s.mu.Lock()
	queued := s.gate.Cancel(s.h.clock.Now(), r.ID)
	delete(s.waiters, r.ID)
	s.mu.Unlock()
	if !queued {
		// The request may have been started in the meantime.
		select {
		case a := <-waiter:
			if a == started {
				s.release(r.ID)
			}
		default:
		}
	}
	return refusal(http.StatusServiceUnavailable, codeCallerGone, "the caller left the queue", noRetryAfter)
}

func (s *service) admissionResult(a admission, r tacklimit.Request) *failure {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a == started {
		s.budget.Record(now)
		return nil
	}
	return admissionFailure(tacklimit.RefusedError{Code: tacklimit.CodeTooLate, RetryAfter: s.gate.RetryAfter(now, r)})
}

// release releases the place of a request and starts the next ones.
func (s *service) release(id uint64) {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.gate.Release(now, id), started)
}

// tick starts and expires waiting requests, and reports whether any are left.
func (s *service) tick(now tackclock.Time) (waiting bool) {
	table := s.h.table()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		return false
	}
	if table != nil {
		s.setTable(now, table)
	}
	begun, late := s.gate.Tick(now)
	s.notify(begun, started)
	s.notify(late, expired)
	return len(s.waiters) > 0
}

// notify sends waiting requests their result. The caller must hold s.mu.
func (s *service) notify(ids []uint64, a admission) {
	for _, id := range ids {
		if waiter := s.waiters[id]; waiter != nil {
			waiter <- a
			delete(s.waiters, id)
		}
	}
}

// pick chooses a backend server and reserves one of its slots.
func (s *service) pick(exclude []tackid.BackendServer) (tackroute.Candidate, bool) {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// Use the current table: a request that waited in the queue must not be
	// sent to a backend server that was removed in the meantime.
	if table := s.h.table(); table != nil {
		s.setTable(now, table)
	}
	ask := s.constraints()
	ask.Exclude = exclude
	return s.chooser.Pick(now, ask)
}

// done releases the slot.
func (s *service) done(c tackroute.Candidate, result tackroute.Result, latency tackclock.Duration) {
	now := s.h.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Done(now, c, tackroute.Outcome{Result: result, Latency: latency})
}

// recordFirstByte records how long an answer took to begin.
func (s *service) recordFirstByte(latency tackclock.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency = max(latency, tackclock.Millisecond) // zero means that no answer was recorded
	if latency >= s.slowest {
		s.slowest = latency
		return
	}
	s.slowest -= (s.slowest - latency) / slowestDecay
}

// earlyRetryDelay returns how long to wait for an answer before an idempotent
// request is retried elsewhere. A dead connection can't be told from a slow
// answer, so the delay is derived from the recent answers.
func (s *service) earlyRetryDelay(left tackclock.Duration) tackclock.Duration {
	return max(minFirstByte, min(s.lateAfter(), left/earlyDivisor))
}

// lateAfter returns how long an answer may take to begin, judged by the recent
// ones, before it is considered late.
func (s *service) lateAfter() tackclock.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowest == 0 {
		return s.h.limits.FirstByteTimeout
	}
	return min(s.h.limits.FirstByteTimeout, max(minFirstByte, slowFactor*s.slowest))
}

func (s *service) healthy(c tackroute.Candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Healthy(c.BackendServer)
}

// retry reports whether a failed attempt may be retried, and charges the retry
// to the budget if so.
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

// admissionFailure returns the failure for a refusal by admission control: 429
// if a team sends too much, and 503 if the service has no capacity.
func admissionFailure(e tacklimit.RefusedError) *failure {
	status := http.StatusServiceUnavailable
	if e.Code == tacklimit.CodeQueueFull {
		status = http.StatusTooManyRequests
	}
	return refusal(status, Code(e.Code), "not admitted: "+string(e.Code), max(e.RetryAfter, tackclock.Second))
}

// startTicking starts checking the queues, until no request waits.
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

// tickAll checks every queue once, and stops the ticking if all are empty.
func (h *Handler) tickAll() (waiting bool) {
	now := h.clock.Now()
	for _, s := range h.allServices() {
		waiting = s.tick(now) || waiting
	}
	if waiting {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A request that began to wait after its queue was checked has not started
	// another ticker, as ticking was still set. Therefore check the queues
	// again.
	for _, s := range h.services {
		s.mu.Lock()
		waiting = waiting || len(s.waiters) > 0
		s.mu.Unlock()
	}
	h.ticking = waiting
	return waiting
}
