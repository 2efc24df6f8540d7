package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// maxAdviceWorkers is the number of workers that the first call for a step names. Each
	// adds latency, and the platform's own estimate of a job counts thirty.
	maxAdviceWorkers = 30
	// maxFurtherWorkers is the number of workers that a call names after one that allowed
	// none. The platform accepts a hundred.
	maxFurtherWorkers = 100
	// adviceRetryDelay is the delay before a call is repeated that failed, or before the
	// workers are asked about again of which none is allowed.
	adviceRetryDelay = 500 * tackclock.Millisecond
	// furtherAdviceDelay is the delay before a call for a step names further workers, in
	// which other steps get their turn.
	furtherAdviceDelay = 100 * tackclock.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 300 * tackclock.Millisecond
)

type (
	// AdviceRequest asks the placement advisor which of the workers may run a step. Further
	// is the number of workers that could run it and that no call has named yet.
	AdviceRequest struct {
		Job        tackjob.ID
		Occurrence int32
		Step       int32
		Workers    []WorkerID
		Further    int
	}

	// Ticket is the advisor's permission for a worker to run a step.
	Ticket struct {
		Worker WorkerID
		Text   string
	}

	// advice holds a step's tickets and the state of the calls for them.
	advice struct {
		tickets map[WorkerID]heldTicket
		// denied are the workers that the advisor did not allow. Which workers a step may
		// run on does not change.
		denied map[WorkerID]bool
		// fruitless says that the last call allowed no worker.
		fruitless bool
		pending   bool
		askedAt   tackclock.Time // zero if there was no call
		retryAt   tackclock.Time
	}

	heldTicket struct {
		text  string
		until tackclock.Time
	}
)

// NextAdviceRequest returns the next call to make, or false if there is none. Steps for which
// there was no call yet take turns, in order of rank, with the one whose last call is the
// longest ago: if those by rank always went first, a few that no worker may run would keep
// the others from ever being asked for.
func (d *Dispatcher) NextAdviceRequest(now tackclock.Time) (AdviceRequest, bool) {
	var first, again *openStep
	for _, p := range d.pools {
		for s := range p.steps.All() {
			switch {
			case !d.wantsAdvice(now, p, s):
			case s.advice.askedAt == 0:
				if first == nil || s.rank.Compare(first.rank) < 0 {
					first = s
				}
			case again == nil || s.advice.askedAt < again.advice.askedAt:
				again = s
			}
		}
	}
	next := first
	if again != nil && (first == nil || d.adviceRepeats) {
		next = again
	}
	if next == nil {
		return AdviceRequest{}, false
	}
	d.adviceRepeats = next == first
	return d.adviceRequest(now, next)
}

// wantsAdvice reports whether a call for the step may be made now: there is none under way,
// and no worker with a ticket could run an item, at least for a while.
func (d *Dispatcher) wantsAdvice(now tackclock.Time, p *pool, s *openStep) bool {
	a := &s.advice
	if !s.job.Advised || len(s.waiting) == 0 || a.pending || now < a.retryAt {
		return false
	}
	valid, usable := d.ticketsOf(now, p, s)
	if usable {
		return false
	}
	return !valid || slices.ContainsFunc(s.waiting, func(i waitingItem) bool { return now.Sub(i.since) > spreadPatience })
}

// ticketsOf reports whether the step has valid tickets for workers of the pool, and whether
// these workers have room for an item, or for the whole gang.
func (d *Dispatcher) ticketsOf(now tackclock.Time, p *pool, s *openStep) (valid, usable bool) {
	var hosts []*worker
	for id, t := range s.advice.tickets {
		w := d.workers[id]
		if w == nil || w.service != p.service || now >= t.until {
			continue
		}
		valid = true
		if w.acceptsItems(now) && !w.silent(now) && w.room().Fits(s.Reserved()) {
			hosts = append(hosts, w)
		}
	}
	if s.Gang {
		return valid, fillHosts(s, hosts, (*worker).room) != nil
	}
	return valid, len(hosts) > 0
}

// adviceRequest returns the call for a step. Once every worker that could run it has been
// named in vain, they are all asked about again.
func (d *Dispatcher) adviceRequest(now tackclock.Time, s *openStep) (AdviceRequest, bool) {
	a, p := &s.advice, d.pool(s.job.Service)
	candidates := d.adviceCandidates(now, p, s)
	if len(candidates) == 0 {
		if valid, _ := d.ticketsOf(now, p, s); !valid {
			clear(a.denied)
		}
		a.askedAt, a.retryAt = now, now.Add(adviceRetryDelay)
		return AdviceRequest{}, false
	}
	limit := maxAdviceWorkers
	if a.fruitless {
		limit = maxFurtherWorkers
	}
	named := min(len(candidates), limit)
	a.pending, a.askedAt = true, now
	return AdviceRequest{
		Job: s.job.ID, Occurrence: s.occurrence, Step: s.number, Workers: candidates[:named], Further: len(candidates) - named,
	}, true
}

// adviceCandidates returns the workers that could run the step, except those that are not
// allowed or have valid tickets: first those that had tickets, then those with the most room.
func (d *Dispatcher) adviceCandidates(now tackclock.Time, p *pool, s *openStep) []WorkerID {
	a := &s.advice
	var fit []*worker
	for _, w := range p.workers {
		if a.denied[w.id] || now < a.tickets[w.id].until {
			continue
		}
		if w.acceptsItems(now) && !w.silent(now) && w.hasLabel(s.Requires) && w.capacity.Fits(s.Reserved()) {
			fit = append(fit, w)
		}
	}
	allowed := func(w *worker) int {
		if _, ok := a.tickets[w.id]; ok {
			return 1
		}
		return 0
	}
	slices.SortFunc(fit, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(allowed(b), allowed(a)), cmp.Compare(b.room().MilliCores, a.room().MilliCores), cmp.Compare(a.id, b.id),
		)
	})
	ids := make([]WorkerID, len(fit))
	for i, w := range fit {
		ids[i] = w.id
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
	a.pending, a.fruitless, a.retryAt = false, ok && len(tickets) == 0, now.Add(adviceRetryDelay)
	if !ok {
		return
	}
	if a.fruitless {
		a.retryAt = now.Add(furtherAdviceDelay)
	}
	if a.tickets == nil {
		a.tickets, a.denied = make(map[WorkerID]heldTicket), make(map[WorkerID]bool)
	}
	for _, id := range r.Workers {
		delete(a.tickets, id)
		a.denied[id] = true
	}
	for _, t := range tickets {
		if slices.Contains(r.Workers, t.Worker) {
			a.tickets[t.Worker] = heldTicket{text: t.Text, until: now.Add(valid - ticketMargin)}
			delete(a.denied, t.Worker)
		}
	}
}

// hasTicket reports whether the worker may run the step's items now.
func (s *openStep) hasTicket(now tackclock.Time, w *worker) bool {
	return !s.job.Advised || now < s.advice.tickets[w.id].until
}

func (s *openStep) ticket(w *worker) string {
	return s.advice.tickets[w.id].text
}
