package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// adviseWorkers is how many workers one call names. Each costs time, and
	// the platform's own measure of a job counts thirty.
	adviseWorkers = 30
	// adviseAgain is after which time a call that failed, or that allowed no
	// worker with room, is made again.
	adviseAgain = 500 * tackclock.Millisecond
	// ticketSlack is how long before its end a ticket is not used any more.
	ticketSlack = 300 * tackclock.Millisecond
)

type (
	// AdviceRequest asks which of the workers may run a step.
	AdviceRequest struct {
		Job        tackjob.ID
		Occurrence int32
		Step       int32
		Workers    []WorkerID
	}

	// Ticket allows a worker to run a step.
	Ticket struct {
		Worker WorkerID
		Text   string
	}

	// advice is what is known of who may run a step.
	advice struct {
		tickets map[WorkerID]string
		until   tackclock.Time
		asked   bool
		askAt   tackclock.Time
	}
)

// AdviceWanted returns the next call to make, for the step that waits longest
// in rank and has no ticket that is valid; false if there is none.
func (d *Dispatcher) AdviceWanted(now tackclock.Time) (AdviceRequest, bool) {
	for _, p := range d.pools {
		for s := range p.steps.All() {
			if !s.job.Advised || len(s.waiting) == 0 || s.advice.asked || now < s.advice.askAt || s.advice.valid(now) {
				continue
			}
			workers := d.likely(now, p, s)
			if len(workers) == 0 {
				continue
			}
			s.advice.asked = true
			return AdviceRequest{Job: s.job.ID, Occurrence: s.occ, Step: s.number, Workers: workers}, true
		}
	}
	return AdviceRequest{}, false
}

// likely names the workers that could run the step, those with most room first.
func (d *Dispatcher) likely(now tackclock.Time, p *pool, s *openStep) []WorkerID {
	var fit []*worker
	for _, w := range p.workers {
		if w.takesNew(now) && !w.silent(now) && w.has(s.Requires) && w.capacity.Fits(s.Takes()) {
			fit = append(fit, w)
		}
	}
	slices.SortFunc(fit, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.room().MilliCores, a.room().MilliCores), cmp.Compare(a.id, b.id))
	})
	var ids []WorkerID
	for _, w := range fit[:min(len(fit), adviseWorkers)] {
		ids = append(ids, w.id)
	}
	return ids
}

// Advised takes in the answer to a call. With ok false the call failed. Tickets for
// workers that were not asked about are passed over.
func (d *Dispatcher) Advised(now tackclock.Time, r AdviceRequest, tickets []Ticket, valid tackclock.Duration, ok bool) {
	s := d.stepOf(stepKey{job: r.Job, occurrence: r.Occurrence, step: r.Step})
	if s == nil {
		return
	}
	a := &s.advice
	a.asked, a.askAt = false, now.Add(adviseAgain)
	if !ok {
		return
	}
	a.tickets = make(map[WorkerID]string, len(tickets))
	for _, t := range tickets {
		if slices.Contains(r.Workers, t.Worker) {
			a.tickets[t.Worker] = t.Text
		}
	}
	a.until = now.Add(valid - ticketSlack)
}

func (a *advice) valid(now tackclock.Time) bool {
	return now < a.until && len(a.tickets) > 0
}

// ticketed reports whether the worker may run the step's items now.
func (s *openStep) ticketed(now tackclock.Time, w *worker) bool {
	if !s.job.Advised {
		return true
	}
	_, ok := s.advice.tickets[w.id]
	return ok && now < s.advice.until
}

func (s *openStep) ticket(w *worker) string {
	return s.advice.tickets[w.id]
}
