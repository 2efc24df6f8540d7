package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackroom"
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

// turn picks steps that are started before those of later turns.
type turn struct {
	late, labelled bool
}

// turns are in which order steps start on a worker: what can still be in time
// before what is late, and of each first what only workers with a label can
// run. Others would fill those few workers, since they wait for any.
var turns = [...]turn{{labelled: true}, {}, {late: true, labelled: true}, {late: true}}

// start fills the worker's room with items that wait: first of jobs that can
// still be in time, by their deadlines, then of those that are late.
func (d *Dispatcher) start(now tackclock.Time, w *worker, sequence uint64, o *Orders) {
	if !w.takesNew(now) {
		return
	}
	p := d.pools[w.service]
	p.tidy()
	d.clearFor(now, p)
	if d.startTrials(now, p, w) {
		return
	}
	d.placeGangs(now, p)
	if len(w.runs) == 0 && d.othersSuffice(now, p, w) {
		return
	}
	for _, turn := range turns {
		if turn.labelled && !p.labelled {
			continue
		}
		for over := range p.mostOver + 1 {
			d.startTurn(now, p, w, turn, over, sequence, o)
		}
	}
}

// startTurn starts items of the turn's steps, of workspaces that are so far over their
// shares.
func (d *Dispatcher) startTurn(now tackclock.Time, p *pool, w *worker, turn turn, over int, sequence uint64, o *Orders) {
	for _, s := range p.steps {
		if len(o.Start) >= startsInAnswer {
			return
		}
		if !turn.has(now, s) || p.mostOver > 0 && s.job.account.Over() != over || !d.mayStart(now, w, s) {
			continue
		}
		if d.cordon[w.vm] && !d.stranded(now, p, s) || p.reserved.holds(now, w) && !s.LongRunning {
			continue
		}
		d.startItems(now, w, s, sequence, o)
	}
}

func (t turn) has(now tackclock.Time, s *openStep) bool {
	return (s.Requires != "") == t.labelled && s.late(now) == t.late
}

// takesNew reports whether the worker may get new items. One that is emptied for a
// move may not, one that is emptied for its upkeep is told apart by the caller.
func (w *worker) takesNew(now tackclock.Time) bool {
	return !w.draining && !w.leaving && now >= w.suspicion.until && now >= w.emptiedUntil && !w.trying()
}

// othersSuffice reports whether the pool's workers that run something anyway
// have room for all that waits. A worker that stays empty can be moved to
// another pool, or go to the standby pool. Workers that get nothing new don't
// count, whatever room they have: what waits would be left to them for good.
func (d *Dispatcher) othersSuffice(now tackclock.Time, p *pool, w *worker) bool {
	var waiting, room tackroom.Room
	for _, s := range p.steps {
		if s.LongRunning || s.MaxPerWorker > 0 || s.Requires != "" || s.Gang || s.job.Advised || s.Affinity != "" {
			return false
		}
		if now.Sub(s.waiting[0].since) > packPatience {
			return false
		}
		waiting = waiting.Plus(s.Room.Times(len(s.waiting)))
	}
	for _, o := range p.workers {
		if o != w && len(o.runs) > 0 && o.takesNew(now) && !o.silent(now) && !d.cordon[o.vm] {
			room = room.Plus(o.room())
		}
	}
	return room.MilliCores > 0 && room.Fits(waiting.Times(packFactor))
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
	if !s.job.fresh && !d.Sure(now) && !(s.Speculative && now.Sub(d.began) > d.cfg.CopyAfter) {
		return false
	}
	if s.Gang || !w.has(s.Requires) || !s.ticketed(now, w) {
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
	d.place(r)
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
