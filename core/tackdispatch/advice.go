package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// maxAdviceWorkers is the number of workers that one call names. Each adds latency,
	// and the platform's own estimate of a job counts thirty.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the delay before a call is repeated that failed or that allowed
	// no worker with room.
	adviceRetryDelay = 500 * tackclock.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 300 * tackclock.Millisecond
)

type (
	// AdviceRequest asks the placement advisor which of the workers may run a step.
	AdviceRequest struct {
		Job        tackjob.ID
		Occurrence int32
		Step       int32
		Workers    []WorkerID
	}

	// Ticket is the advisor's permission for a worker to run a step.
	Ticket struct {
		Worker WorkerID
		Text   string
	}

	// advice holds a step's tickets and the state of the call for them.
	advice struct {
		tickets map[WorkerID]string
		until   tackclock.Time
		pending bool
		retryAt tackclock.Time
	}
)

// NextAdviceRequest returns the next call to make, for the first step by rank that has no
// valid ticket, or false if there is none.
func (d *Dispatcher) NextAdviceRequest(now tackclock.Time) (AdviceRequest, bool) {
	for _, p := range d.pools {
		for s := range p.steps.All() {
			if !s.job.Advised || len(s.waiting) == 0 || s.advice.pending || now < s.advice.retryAt || s.advice.valid(now) {
				continue
			}
			workers := d.adviceCandidates(now, p, s)
			if len(workers) == 0 {
				continue
			}
			s.advice.pending = true
			return AdviceRequest{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number, Workers: workers}, true
		}
	}
	return AdviceRequest{}, false
}

// adviceCandidates returns the workers that could run the step, those with the most room
// first.
func (d *Dispatcher) adviceCandidates(now tackclock.Time, p *pool, s *openStep) []WorkerID {
	var fit []*worker
	for _, w := range p.workers {
		if w.acceptsItems(now) && !w.silent(now) && w.hasLabel(s.Requires) && w.capacity.Fits(s.Reserved()) {
			fit = append(fit, w)
		}
	}
	slices.SortFunc(fit, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.room().MilliCores, a.room().MilliCores), cmp.Compare(a.id, b.id))
	})
	var ids []WorkerID
	for _, w := range fit[:min(len(fit), maxAdviceWorkers)] {
		ids = append(ids, w.id)
	}
	return ids
}

// AdviceReceived records the answer to a call; ok is false if the call failed. Tickets for
// workers that were not asked about are ignored.
func (d *Dispatcher) AdviceReceived(now tackclock.Time, r AdviceRequest, tickets []Ticket, valid tackclock.Duration, ok bool) {
	s := d.stepOf(stepKey{job: r.Job, occurrence: r.Occurrence, step: r.Step})
	if s == nil {
		return
	}
	a := &s.advice
	a.pending, a.retryAt = false, now.Add(adviceRetryDelay)
	if !ok {
		return
	}
	a.tickets = make(map[WorkerID]string, len(tickets))
	for _, t := range tickets {
		if slices.Contains(r.Workers, t.Worker) {
			a.tickets[t.Worker] = t.Text
		}
	}
	a.until = now.Add(valid - ticketMargin)
}

func (a *advice) valid(now tackclock.Time) bool {
	return now < a.until && len(a.tickets) > 0
}

// hasTicket reports whether the worker may run the step's items now.
func (s *openStep) hasTicket(now tackclock.Time, w *worker) bool {
	if !s.job.Advised {
		return true
	}
	_, ok := s.advice.tickets[w.id]
	return ok && now < s.advice.until
}

func (s *openStep) ticket(w *worker) string {
	return s.advice.tickets[w.id]
}
