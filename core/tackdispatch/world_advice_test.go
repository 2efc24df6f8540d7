package tackdispatch

import (
	"fmt"
	"hash/fnv"
	"strings"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

// worldAdvisor is the model of a placement advisor. It answers one call at a time.
type worldAdvisor struct {
	// policies are the groups of VMs that may run each job, one bit for each.
	policies map[tackjob.ID]uint64
	call     *AdviceRequest
	calledAt tackclock.Time
	fails    bool
	tickets  map[modelTicket]tackclock.Time // until when each is valid
}

// modelTicket is the permission for one worker to run one step.
type modelTicket struct {
	worker WorkerID
	step   string
}

var advisedQueue = tackcatalog.Queue{
	QueueKey: tackcatalog.QueueKey{Host: "a.example", Prefix: "/advised/"}, Service: "names-api",
	Timeout: 3000, Objective: 3600, Stretch: 1.6, Attempts: 3, Advised: true,
}

// text returns the ticket as a worker is shown it.
func (x modelTicket) text() string { return fmt.Sprintf("%s may run %s", x.worker, x.step) }

// allows reports whether a VM may run a job.
func (a *worldAdvisor) allows(id tackjob.ID, vm tackid.VM) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm)) // never fails
	return strings.HasPrefix(string(vm), "fresh-") || a.policies[id]>>(h.Sum32()%64)&1 == 1
}

// advise makes and answers the calls for advice.
func (w *world) advise() {
	a := &w.advisor
	if a.call != nil && w.now.Sub(a.calledAt) >= adviceTakes {
		w.d.AdviceReceived(a.calledAt, *a.call, w.grantTickets(a.call), adviceHolds, !a.fails)
		a.call = nil
	}
	if a.call != nil || len(a.policies) == 0 {
		return
	}
	if r, wanted := w.d.NextAdviceRequest(w.now); wanted {
		a.call, a.calledAt = &r, w.now
	}
}

func (w *world) grantTickets(r *AdviceRequest) []Ticket {
	a := &w.advisor
	if a.fails {
		return nil
	}
	if a.tickets == nil {
		a.tickets = make(map[modelTicket]tackclock.Time)
	}
	var list []Ticket
	for _, id := range r.Workers {
		x := modelTicket{worker: id, step: fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step)}
		if m := w.modelOf(id); m != nil && a.allows(r.Job, m.vm) {
			a.tickets[x] = a.calledAt.Add(adviceHolds)
			list = append(list, Ticket{Worker: id, Text: x.text()})
		}
	}
	return list
}

// modelOf returns the incarnation with an id, or nil.
func (w *world) modelOf(id WorkerID) *modelWorker {
	for _, m := range w.workers {
		if m.id == id && !m.dead {
			return m
		}
	}
	return nil
}

// checkTicket fails the test if an item of an advised job starts without a valid ticket.
func (w *world) checkTicket(j *tackjob.Job, m *modelWorker, s *Start) {
	w.t.Helper()
	if _, modelled := w.advisor.policies[j.ID]; !modelled {
		return
	}
	x := modelTicket{worker: m.id, step: fmt.Sprintf("%s.%d.%d", j.ID, s.Item.Occurrence, s.Item.Step)}
	if until := w.advisor.tickets[x]; s.Ticket != x.text() || w.now >= until {
		w.t.Fatalf("%v starts on %s with the ticket %q, valid until %d", s.Item, m.id, s.Ticket, until)
	}
}
