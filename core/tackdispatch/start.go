package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
)

const (
	// startsInAnswer bounds the starts of one answer, so that it stays far
	// below the size that a worker takes.
	startsInAnswer = 64
	// awayFromData is how long an item waits for a worker on the rack of its
	// data before it starts on another.
	awayFromData = 400 * tackclock.Millisecond
	// spreadPatience is how long an item that lasts waits for a worker with
	// few of its step. The platform allows three seconds with room free.
	spreadPatience = 1500 * tackclock.Millisecond
	// packFactor is how many times the work that waits must fit the room of the
	// workers that run something: an item that waits costs its caller time.
	packFactor = 3
	// packPatience is how long anything waits before empty workers take it
	// after all. The rooms of several workers may do in sum and each be too
	// small.
	packPatience = 300 * tackclock.Millisecond
)

// start fills the worker's room with items that wait: first of jobs that can still be in
// time, by their deadlines, then of those that are late; and of each first what only
// workers with a label can run. Others would fill those few workers, since they wait for
// any.
func (d *Dispatcher) start(now tackclock.Time, w *worker, sequence uint64, o *Orders) {
	if !w.takesNew(now) {
		return
	}
	p := d.pools[w.service]
	d.review(now, p)
	d.clearFor(now, p)
	if d.startTrials(now, p, w) {
		return
	}
	d.placeGangs(now, p)
	if len(w.runs) == 0 && d.othersSuffice(now, p) {
		return
	}
	for _, turn := range [...]int{shelfLabelled, 0, shelfLabelled | shelfLate, shelfLate} {
		d.startTurn(now, p, w, turn, sequence, o)
	}
}

// startsNow returns what tells whether the steps of a shelf may start: until all leases of
// earlier leaders are over, what they may have started does not, but in copies.
func (d *Dispatcher) startsNow(now tackclock.Time) func(shelf int) bool {
	copies := now.Sub(d.began) > d.cfg.CopyAfter
	return func(shelf int) bool {
		return shelf&shelfGang == 0 && (shelf&shelfInherited == 0 || shelf&shelfCopied != 0 && copies)
	}
}

// startTurn starts items of the steps that are labelled, or late, as the turn says: first
// of workspaces that have no more than their shares, then of those that are further and
// further over them.
func (d *Dispatcher) startTurn(now tackclock.Time, p *pool, w *worker, turn int, sequence uint64, o *Orders) {
	starts := d.startsNow(now)
	has := func(shelf int) bool { return shelf&(shelfLabelled|shelfLate) == turn && starts(shelf) }
	var over [][]*openStep // by how far their workspaces are over their shares
	for s := range p.steps.Fitting(w.room().MilliCores, has) {
		if len(o.Start) >= startsInAnswer {
			return
		}
		if n := s.job.account.Over(); n > 0 && p.waiting.mostOver > 0 {
			for len(over) <= n {
				over = append(over, nil)
			}
			over[n] = append(over[n], s)
			continue
		}
		if d.startStep(now, p, w, s, sequence, o); !p.steps.Fits(w.room().MilliCores, has) {
			break
		}
	}
	for _, steps := range over {
		for _, s := range steps {
			d.startStep(now, p, w, s, sequence, o)
		}
	}
}

// startStep starts items of one step, if they may start on the worker.
func (d *Dispatcher) startStep(now tackclock.Time, p *pool, w *worker, s *openStep, sequence uint64, o *Orders) {
	if len(s.waiting) == 0 || !w.room().Fits(s.Takes()) || !d.mayStart(now, w, s) {
		return
	}
	if d.cordon[w.vm] && !d.stranded(now, p, s) || p.reserved.holds(now, w) && !s.LongRunning {
		return
	}
	d.startItems(now, w, s, sequence, o)
}

// takesNew reports whether the worker may get new items. One that is emptied for a
// move may not, one that is emptied for its upkeep is told apart by the caller.
func (w *worker) takesNew(now tackclock.Time) bool {
	return !w.draining && !w.leaving && now >= w.suspicion.until && now >= w.emptiedUntil && !w.trying()
}

// othersSuffice reports whether the pool's workers that run something anyway have room for
// all that waits. A worker that stays empty can be moved to another pool, or go to the
// standby pool. Workers that get nothing new don't count, whatever room they have: what
// waits would be left to them for good.
func (d *Dispatcher) othersSuffice(now tackclock.Time, p *pool) bool {
	if !p.waiting.simple || now.Sub(p.waiting.since) > packPatience {
		return false
	}
	return p.sums.besides.MilliCores > 0 && p.sums.besides.Fits(p.waiting.room.Times(packFactor))
}

// stranded reports whether the step's items must start on any worker, also one
// that is being emptied, since they have waited and nothing else will run them.
// If every worker of a small pool, or the only one with a label, is being
// emptied, they would wait for each other for good: the items for a worker, the
// worker for the end of its upkeep, and that for items to be at work elsewhere.
func (d *Dispatcher) stranded(now tackclock.Time, p *pool, s *openStep) bool {
	waited := slices.ContainsFunc(s.waiting, func(item waitingItem) bool { return now.Sub(item.since) > spreadPatience })
	return waited && (s.LongRunning || !d.runnable(now, p, s))
}

// late reports whether the step's job cannot be in time any more.
func (s *openStep) late(now tackclock.Time) bool {
	return !s.LongRunning && now.Add(s.Estimate) > s.job.deadline
}

func (d *Dispatcher) mayStart(now tackclock.Time, w *worker, s *openStep) bool {
	if !w.has(s.Requires) || !s.ticketed(now, w) {
		return false
	}
	return s.Affinity == "" || w.has(s.Affinity) || now.Sub(s.job.Accepted) > awayFromData
}

func (d *Dispatcher) startItems(now tackclock.Time, w *worker, s *openStep, sequence uint64, o *Orders) {
	takes := s.Takes()
	for len(s.waiting) > 0 && len(o.Start) < startsInAnswer && w.room().Fits(takes) {
		if w.steps[s.key()] >= d.mostHere(now, w, s) || !d.withinCap(now, s, 1) {
			return
		}
		next, ok := s.next(now, w)
		if !ok {
			return
		}
		d.startItem(now, w, s, next, sequence, o)
	}
}

// withinCap reports whether so many items of the step may start beside what its
// workspace has running.
func (d *Dispatcher) withinCap(now tackclock.Time, s *openStep, items int) bool {
	if s.job.account.Allows(now, s.Room.Times(items)) {
		return true
	}
	d.noteHeld(now, s)
	return false
}

func (d *Dispatcher) startItem(now tackclock.Time, w *worker, s *openStep, next waitingItem, sequence uint64, o *Orders) {
	r := d.makeRun(now, w, s, next)
	r.sentIn = sequence
	d.place(now, r)
	d.noteRun(now, EventStarted, r, "")
	o.Start = append(o.Start, Start{
		Item: r.item, Run: r.number, Text: s.job.Text, Checkpoint: next.checkpoint, Ticket: s.ticket(w),
	})
}

func (d *Dispatcher) makeRun(now tackclock.Time, w *worker, s *openStep, item waitingItem) *run {
	r := &run{
		item: s.item(item.index), number: d.nextRun(), worker: w, step: s, takes: s.Takes(),
		started: now, movedAt: now, checkpoint: item.checkpoint, pace: fullPace,
	}
	r.consult()
	return r
}

// next takes the item that has waited longest, may start beside others, and of which
// no copy is on the worker.
func (s *openStep) next(now tackclock.Time, w *worker) (waitingItem, bool) {
	for i := len(s.waiting) - 1; i >= 0; i-- {
		next := s.waiting[i]
		if !s.restraints[next.index].alone && s.startable(now, next.index) && w.runs[s.item(next.index)] == nil {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return next, true
		}
	}
	return waitingItem{}, false
}

// mostHere is how many items of the step the worker may run. Items that last
// are spread evenly: a worker that is lost, or taken down for its upkeep, then
// takes few of a step with it. One that has waited for a while starts anywhere.
func (d *Dispatcher) mostHere(now tackclock.Time, w *worker, s *openStep) int {
	most := s.Count
	if s.MaxPerWorker > 0 {
		most = s.MaxPerWorker
	}
	next := s.waiting[len(s.waiting)-1]
	if !s.LongRunning || now.Sub(next.since) > spreadPatience {
		return most
	}
	workers := max(len(d.pools[w.service].workers), 1)
	return min(most, (s.Count+workers-1)/workers)
}

// stop has a run ended with its worker's next heartbeat.
func (d *Dispatcher) stop(now tackclock.Time, r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	d.noteRun(now, EventStopped, r, reason)
}
