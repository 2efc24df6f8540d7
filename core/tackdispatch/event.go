package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// EventJoined is the first heartbeat of a worker's incarnation.
	EventJoined EventKind = iota
	// EventReturned is the first heartbeat of an incarnation after another was registered in
	// its place, or after its lease ran out.
	EventReturned
	// EventLost is the end of a worker's incarnation, or of its lease, or that another
	// incarnation was registered in its place.
	EventLost
	// EventDraining says that a worker drains and accepts nothing new.
	EventDraining
	// EventStarted is an order to start.
	EventStarted
	// EventStopped is the decision to stop a run.
	EventStopped
	// EventEnded is the end of a run, as listed by its worker.
	EventEnded
	// EventAdopted is the takeover of a run that an earlier leader started.
	EventAdopted
	// EventOrphaned is the order to stop a run whose item is no longer needed, or runs
	// elsewhere.
	EventOrphaned
	// EventNotStarted is an order to start that did not arrive.
	EventNotStarted
	// EventUpkeep is the decision to take a VM down.
	EventUpkeep
	// EventMove is the decision to send a VM to another pool.
	EventMove
	// EventSuspected says that a worker is suspected to be faulty and gets nothing new
	// for a while.
	EventSuspected
	// EventEmptied says that a worker gets nothing new, so that its VM can move.
	EventEmptied
	// EventCopied says that the item of a run is to start elsewhere as well.
	EventCopied
	// EventRunLost is a run that ended with its worker.
	EventRunLost
	// EventItemInDoubt says that a worker fell silent, and may have crashed under an
	// item.
	EventItemInDoubt
	// EventItemSuspected says that a worker crashed under an item.
	EventItemSuspected
	// EventItemGivenUp says that an item is not started any more and its job has failed.
	EventItemGivenUp
	// EventItemCleared says that a suspected item has run for long enough to be cleared.
	EventItemCleared
	// EventItemsHeld says that items wait because their workspace has reached its cap.
	EventItemsHeld
	// EventCrashExcused says that the end of a worker does not count as a crash under one
	// of its runs.
	EventCrashExcused
	// EventStartsLimited says that a worker that was starting items fell silent, so that
	// the workers of its pool get fewer new items at a time.
	EventStartsLimited
	// EventForecastChanged says that another demand is expected of a pool.
	EventForecastChanged
	// EventForecastHit says that an expected burst came, and EventForecastMiss that one
	// did not.
	EventForecastHit
	EventForecastMiss
	// EventQueueConfined says that the starts of a queue's items, or of those with an
	// image, are confined, and EventQueueReleased that they no longer are.
	EventQueueConfined
	EventQueueReleased
	// EventWorkerExposed says that a worker starts nothing but canaries.
	EventWorkerExposed
	// EventCanarySurvived says that a canary has survived its start, so that the other
	// items of its job may start.
	EventCanarySurvived
	// EventPromised says that room is reserved for the caller of a refused job.
	EventPromised
	// EventPromiseKept says that a caller returned at its time and was accepted.
	EventPromiseKept
	// EventPromiseBroken says that a caller returned at its time and was refused, since
	// capacity was lost.
	EventPromiseBroken
	// EventPromisesExpired says that callers of a pool did not return. Beside is their
	// number.
	EventPromisesExpired
	// EventReturnHabit says that the refused callers of a pool begin to return when they
	// were told to, or before.
	EventReturnHabit
	// EventReleased says that a former incarnation of a worker is certain to run nothing, so
	// that what it ran may start anywhere.
	EventReleased
	// EventEndedLate is the end of a run that was taken to be over, after its item was
	// started again.
	EventEndedLate
)

const (
	// maxEvents is the number of events that are kept between two calls of Events.
	maxEvents = 4096
	// heldEvery is the least interval between two events about items of one step that
	// their workspace's cap holds back.
	heldEvery = tackclock.Second
	// proofEarlierLeases and proofNone are the proofs for the first start of an item that an
	// earlier leader may have started, and of which this leader knows no run: the leases of
	// earlier leaders have ended, or have not and the item may run twice.
	proofEarlierLeases = "leases of earlier leaders ended"
	proofNone          = "leases of earlier leaders not ended"
)

type (
	// EventKind is the kind of an event.
	EventKind uint8

	// Event is a decision, or a change in what the dispatcher knows, with its reason. Age
	// is the age of the input that led to it. Outcome is what became of an end.
	Event struct {
		Kind   EventKind
		At     tackclock.Time
		Worker WorkerID
		VM     tackid.VM
		Item   tackjob.Item
		Run    RunNumber
		Reason string
		Age    tackclock.Duration
		// Ran is how long the worker had listed a lost run, zero if it never did, and
		// Beside how many other runs were lost with it, or how many promises expired.
		Ran     tackclock.Duration
		Beside  int
		Outcome string
		// Other is another run of the same item: the one before a start, or the one that
		// is under way beside an orphan or a late end.
		Other FormerRun
		// Sequence is the sequence number of a worker's first heartbeat.
		Sequence uint64
		// Refused is how many heartbeats of a lost worker were refused since the last
		// that was accepted, and RefusedAge is how long ago the last of them was.
		Refused    int
		RefusedAge tackclock.Duration
	}

	// FormerRun is a run of an item before its next start. Proof is what showed that the run
	// was over, and At is when its worker had last been heard from. Run is zero if this leader
	// knows of no run before, but an earlier leader may have ordered one; At is then when this
	// leader began.
	FormerRun struct {
		Run   RunNumber
		Proof string
		At    tackclock.Time
	}
)

var eventNames = [...]string{
	"worker joined", "worker returned", "worker lost", "worker drains", "run ordered", "run stopped", "run ended",
	"run adopted", "run not owed", "order lost", "upkeep chosen", "move chosen", "worker suspected", "worker emptied", "run copied",
	"run lost", "item in doubt", "item suspected", "item given up", "item forgiven", "items held", "crash excused", "starts limited",
	"forecast changed", "forecast hit", "forecast missed",
	"queue confined", "queue released", "worker exposed", "canary survived",
	"return promised", "promise kept", "promise broken", "promises expired", "return habit changed",
	"worker released", "run ended late",
}

// TellsOfRestart reports whether the event tells why an item is started again, or that two
// of its runs overlap.
func (e *Event) TellsOfRestart() bool {
	switch e.Kind {
	case EventRunLost, EventNotStarted, EventCopied, EventEndedLate, EventOrphaned, EventLost, EventReleased:
		return true
	case EventStarted:
		return e.Other.Proof != ""
	case EventEnded:
		return e.Outcome != endToLog.String() && e.Outcome != endNotCounted.String()
	}
	return false
}

// String returns the event's log message.
func (k EventKind) String() string {
	return eventNames[k]
}

// Events returns the events since the last call, and how many were dropped because the
// buffer was full.
func (d *Dispatcher) Events() (events []Event, left int) {
	events, left = d.events, d.eventsLeft
	d.events, d.eventsLeft = nil, 0
	return events, left
}

func (d *Dispatcher) note(e Event) {
	if len(d.events) >= maxEvents {
		d.eventsLeft++
		return
	}
	d.events = append(d.events, e)
}

func (d *Dispatcher) noteRun(now tackclock.Time, k EventKind, r *run, reason string) {
	d.note(Event{
		Kind: k, At: now, Worker: r.worker.id, VM: r.worker.vm, Item: r.item, Run: r.number, Reason: reason,
		Age: now.Sub(r.worker.heardAt),
	})
}

// noteStarted records an order to start, and what showed that the run before it was over.
func (d *Dispatcher) noteStarted(now tackclock.Time, r *run, reason string) {
	former := r.former
	if former == (FormerRun{}) && r.step.inherited {
		former = FormerRun{Proof: proofNone, At: d.began}
		if d.EarlierLeasesEnded(now) {
			former.Proof = proofEarlierLeases
		}
	}
	d.note(Event{
		Kind: EventStarted, At: now, Worker: r.worker.id, VM: r.worker.vm, Item: r.item, Run: r.number, Reason: reason,
		Age: now.Sub(r.worker.heardAt), Other: former,
	})
}

// noteHeld records that the items of a step wait because of their workspace's cap.
func (d *Dispatcher) noteHeld(now tackclock.Time, s *openStep) {
	if now < s.heldNoteAt {
		return
	}
	s.heldNoteAt = now.Add(heldEvery)
	d.note(Event{
		Kind: EventItemsHeld, At: now, Item: s.item(s.waiting[len(s.waiting)-1].index), Age: now.Sub(s.waiting[len(s.waiting)-1].since),
		Reason: s.job.account.String(),
	})
}

// noteLost records a run that was lost with its worker. Without this event a lost run
// could be told from one that was never ordered only by its number, and it could not be
// seen which others were lost with it.
func (d *Dispatcher) noteLost(now tackclock.Time, r *run, reason string) {
	w := r.worker
	e := Event{
		Kind: EventRunLost, At: now, Worker: w.id, VM: w.vm, Item: r.item, Run: r.number, Reason: reason,
		Age: now.Sub(w.heardAt), Beside: len(w.runs) - 1, Refused: w.refused,
	}
	if w.refused > 0 {
		e.RefusedAge = now.Sub(w.refusedAt)
	}
	if r.listed {
		e.Ran = max(1, w.heardAt.Sub(r.listedAt))
	}
	d.note(e)
}

// noteJoined records that an incarnation was registered. Age is how long ago it was last
// heard, if it had been registered before.
func (d *Dispatcher) noteJoined(now tackclock.Time, w *worker, sequence uint64, before *former) {
	e := Event{Kind: EventJoined, At: now, Worker: w.id, VM: w.vm, Reason: string(w.service), Sequence: sequence}
	if before != nil {
		e.Kind, e.Age = EventReturned, now.Sub(before.heardAt)
	}
	d.note(e)
}

// noteFormer records what has become certain about a former incarnation. Beside is the
// number of items that it holds.
func (d *Dispatcher) noteFormer(now tackclock.Time, k EventKind, f *former, reason string) {
	d.note(Event{Kind: k, At: now, Worker: f.id, VM: f.vm, Reason: reason, Age: now.Sub(f.heardAt), Beside: len(f.held)})
}

func (d *Dispatcher) noteWorker(now tackclock.Time, k EventKind, w *worker, reason string) {
	d.note(Event{Kind: k, At: now, Worker: w.id, VM: w.vm, Reason: reason, Age: now.Sub(w.heardAt)})
}
