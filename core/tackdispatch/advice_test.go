package tackdispatch

import (
	"fmt"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
)

const (
	// adviceTakes is how long a call for advice takes, and adviceHolds for how long its
	// tickets are valid.
	adviceTakes = 50 * tackclock.Millisecond
	adviceHolds = 3 * tackclock.Second
)

// modelAdvisor answers one call for advice at a time.
type modelAdvisor struct {
	w       *world
	allowed map[tackjob.ID][]WorkerID
	calls   []AdviceRequest
	open    *AdviceRequest
	readyAt tackclock.Time
}

func newAdvised(w *world) *modelAdvisor {
	return &modelAdvisor{w: w, allowed: make(map[tackjob.ID][]WorkerID)}
}

// submit submits a job of an advised queue that may run on the given workers.
func (a *modelAdvisor) submit(id tackjob.ID, step tackjob.Step, allowed ...WorkerID) {
	a.w.submit(id, step)
	a.w.state.Jobs.Get(id).Advised = true
	a.allowed[id] = allowed
}

// run advances time by d while calls are made and answered.
func (a *modelAdvisor) run(d tackclock.Duration) {
	for until := a.w.now.Add(d); a.w.now < until; {
		if a.open != nil && a.w.now >= a.readyAt {
			var tickets []Ticket
			for _, id := range a.open.Workers {
				if slices.Contains(a.allowed[a.open.Job], id) {
					tickets = append(tickets, Ticket{Worker: id, Text: "t-" + string(id)})
				}
			}
			a.w.d.AdviceReceived(a.w.now, *a.open, tickets, adviceHolds, true)
			a.open = nil
		}
		if a.open == nil {
			if r, wanted := a.w.d.NextAdviceRequest(a.w.now); wanted {
				a.calls = append(a.calls, r)
				a.open, a.readyAt = &r, a.w.now.Add(adviceTakes)
			}
		}
		a.w.step()
	}
}

// callsFor returns the calls for a job.
func (a *modelAdvisor) callsFor(id tackjob.ID) []AdviceRequest {
	return slices.DeleteFunc(slices.Clone(a.calls), func(r AdviceRequest) bool { return r.Job != id })
}

func assertBatches(t *testing.T, calls []AdviceRequest) {
	t.Helper()
	for _, r := range calls {
		if len(r.Workers) == 0 || len(r.Workers) > maxFurtherWorkers {
			t.Errorf("a call names %d workers", len(r.Workers))
		}
	}
}

// Guards against jobs that never start: the advisor was asked about the same workers for ever,
// and never about the only one that may run the job.
func TestAdviceReachesEveryWorker(t *testing.T) {
	t.Run("in a small pool", func(t *testing.T) {
		w := newWorld(t, 34)
		a := newAdvised(w)
		w.run(tackclock.Second)
		a.submit(job(1), batch(2, 1, 300), "i-34")
		a.run(2 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
		assertBatches(t, a.calls)
	})
	t.Run("in a large pool", func(t *testing.T) {
		w := newWorld(t, 600)
		a := newAdvised(w)
		w.run(tackclock.Second)
		a.submit(job(1), batch(2, 1, 300), "i-600")
		a.run(4 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
		assertBatches(t, a.calls)
	})
	t.Run("after the worker that had a ticket is lost", func(t *testing.T) {
		w := newWorld(t, 34)
		a := newAdvised(w)
		w.run(tackclock.Second)
		a.submit(job(1), batch(1, 1, 20*tackclock.Second), "i-5", "i-34")
		a.run(tackclock.Second)
		assertRuns(t, w, job(1), 1)
		w.workers[4].dead = true
		a.run(8 * tackclock.Second)
		assertRuns(t, w, job(1), 1)
	})
	t.Run("while the worker that has a ticket is busy", func(t *testing.T) {
		w := newWorld(t, 34)
		a := newAdvised(w)
		w.run(tackclock.Second)
		a.submit(job(1), batch(1, 16, 20*tackclock.Second), "i-5")
		a.run(tackclock.Second)
		a.submit(job(2), batch(2, 12, 500), "i-5", "i-34")
		a.run(4 * tackclock.Second)
		assertPhase(t, w, job(2), tackjob.Complete)
	})
	t.Run("once the only one allowed joins", func(t *testing.T) {
		w := newWorld(t, 34)
		a := newAdvised(w)
		w.run(tackclock.Second)
		a.submit(job(1), batch(1, 1, 300), "i-35")
		a.run(3 * tackclock.Second)
		w.addWorker("m-late", 9)
		a.run(2 * tackclock.Second)
		assertPhase(t, w, job(1), tackjob.Complete)
	})
}

// Guards against steps that no worker may run and that keep the advisor from being asked about
// others: those first by rank were asked for again and again.
func TestEveryStepIsAdvised(t *testing.T) {
	w := newWorld(t, 34)
	a := newAdvised(w)
	w.run(tackclock.Second)
	for n := 1; n <= 40; n++ {
		a.submit(job(n), batch(1, 1, 300), "i-gone")
	}
	a.run(10 * tackclock.Second)
	a.submit(job(41), batch(1, 1, 300), "i-3")
	a.submit(job(42), batch(1, 1, 300), "i-34")
	a.run(10 * tackclock.Second)
	assertPhase(t, w, job(41), tackjob.Complete)
	assertPhase(t, w, job(42), tackjob.Complete)
	last := a.calls[len(a.calls)-200:]
	for n := 1; n <= 40; n++ {
		if !slices.ContainsFunc(last, func(r AdviceRequest) bool { return r.Job == job(n) }) {
			t.Errorf("no call for job %d among the last 200", n)
		}
	}
}

// The advisor pays for each worker that a call names, and what it denied does not change.
func TestAdviceIsNotAskedForInVain(t *testing.T) {
	w := newWorld(t, 34)
	a := newAdvised(w)
	w.run(tackclock.Second)
	a.submit(job(1), batch(40, 8, 2*tackclock.Second), "i-2", "i-3")
	a.run(20 * tackclock.Second)
	named := make(map[WorkerID]int)
	for _, r := range a.callsFor(job(1)) {
		for _, id := range r.Workers {
			named[id]++
		}
	}
	for n := 1; n <= 34; n++ {
		id := WorkerID(fmt.Sprintf("i-%d", n))
		if allowed := n == 2 || n == 3; !allowed && named[id] != 1 {
			t.Errorf("%s is named %d times, want once", id, named[id])
		}
	}
	if named["i-2"] < 3 || w.runsOf(job(1)) != 4 {
		t.Errorf("named %d times, %d items run; want the tickets renewed", named["i-2"], w.runsOf(job(1)))
	}
}

// A queue that moves to another service needs tickets for its workers.
func TestAdviceAfterAMove(t *testing.T) {
	w := newTwoPools(t, 2, 2)
	a := newAdvised(w)
	a.submit(job(1), batch(8, 8, 5*tackclock.Second), "i-1", "i-3")
	a.run(500)
	assertRuns(t, w, job(1), 2)
	w.moveQueue(otherService)
	a.run(tackclock.Second)
	assertRuns(t, w, job(1), 4)
}

// Guards against a start that its worker refuses, since the ticket expired while the start
// waited for the worker's heartbeat.
func TestPlannedStartNeedsAValidTicket(t *testing.T) {
	w := newWorld(t, 2)
	w.run(tackclock.Second)
	gang := batch(2, 9, 5*tackclock.Second)
	gang.Gang = true
	w.submit(job(1), gang)
	w.state.Jobs.Get(job(1)).Advised = true
	r, wanted := w.d.NextAdviceRequest(w.now)
	if !wanted {
		t.Fatal("no advice wanted")
	}
	w.workers[0].heartbeatAt, w.workers[1].heartbeatAt = w.now, w.now.Add(500)
	w.d.AdviceReceived(w.now, r, []Ticket{{Worker: "i-1", Text: "t"}, {Worker: "i-2", Text: "u"}}, ticketMargin+200, true)
	w.run(100)
	assertRuns(t, w, job(1), 1)
	w.run(tackclock.Second)
	assertRuns(t, w, job(1), 1)
}
