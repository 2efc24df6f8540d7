package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// EventJoined is the first heartbeat of a worker's life.
	EventJoined EventKind = iota
	// EventLost is the end of one.
	EventLost
	// EventDraining says that a worker takes nothing new.
	EventDraining
	// EventStarted is an order to start.
	EventStarted
	// EventStopped is the decision to stop a run.
	EventStopped
	// EventEnded is an end that a worker listed.
	EventEnded
	// EventAdopted is a run of an earlier leader that was taken over.
	EventAdopted
	// EventStrange is a run that is stopped because it is owed no more, or
	// runs elsewhere.
	EventStrange
	// EventNotStarted is an order that did not arrive.
	EventNotStarted
	// EventUpkeep is the decision to take a VM down.
	EventUpkeep
	// EventMove is the decision to send a VM to another pool.
	EventMove
	// EventSuspected says that a worker gets nothing new for a while.
	EventSuspected
	// EventEmptied says that a worker gets nothing new, so that its VM can move.
	EventEmptied
	// EventCopied says that the item of a run is to start elsewhere as well.
	EventCopied
	// EventRunLost is a run that ended with its worker.
	EventRunLost
	// EventItemDoubted says that a worker fell silent before it listed an item.
	EventItemDoubted
	// EventItemSuspected says that a worker crashed under an item.
	EventItemSuspected
	// EventItemGivenUp says that an item is not started any more, and its job failed.
	EventItemGivenUp
	// EventItemForgiven says that a suspected item has run for long enough.
	EventItemForgiven
	// EventHeld says that items wait, since their workspace has all running that it
	// may.
	EventHeld
)

const (
	// maxEvents bounds what is kept between two looks at the events.
	maxEvents = 4096
	// heldEvery spaces out what is noted of items of one step that their workspace's cap
	// holds back.
	heldEvery = tackclock.Second
)

type (
	// EventKind says what was decided or learnt.
	EventKind uint8

	// Event is one decision, or one change of what dispatch believes, with
	// what decided it. Age is how old the input is that decided it.
	Event struct {
		Kind   EventKind
		At     tackclock.Time
		Worker WorkerID
		VM     tackid.VM
		Item   tackjob.Item
		Run    RunNumber
		Reason string
		Age    tackclock.Duration
		// Ran is for how long a lost run had been listed by its worker, zero if it
		// never was, and Beside how many others were lost with it.
		Ran    tackclock.Duration
		Beside int
	}
)

var eventNames = [...]string{
	"worker joined", "worker lost", "worker drains", "run ordered", "run stopped", "run ended",
	"run adopted", "run not owed", "order lost", "upkeep chosen", "move chosen", "worker suspected", "worker emptied", "run copied",
	"run lost", "item in doubt", "item suspected", "item given up", "item forgiven", "items held",
}

// String names the event in logs.
func (k EventKind) String() string {
	return eventNames[k]
}

// Events returns what happened since the last call, and how many events were
// left out because nobody took them.
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

// noteHeld notes that the items of a step wait for what their workspace has running.
func (d *Dispatcher) noteHeld(now tackclock.Time, s *openStep) {
	if now < s.heldAgain {
		return
	}
	s.heldAgain = now.Add(heldEvery)
	d.note(Event{
		Kind: EventHeld, At: now, Item: s.item(s.waiting[len(s.waiting)-1].index), Age: now.Sub(s.waiting[len(s.waiting)-1].since),
		Reason: s.job.account.String(),
	})
}

// noteLost notes a run that its worker took with it. Without the line a run that was
// lost is told from one that was never ordered only by its number, and which others
// were lost with it cannot be told at all.
func (d *Dispatcher) noteLost(now tackclock.Time, r *run, reason string) {
	w := r.worker
	e := Event{
		Kind: EventRunLost, At: now, Worker: w.id, VM: w.vm, Item: r.item, Run: r.number, Reason: reason,
		Age: now.Sub(w.heardAt), Beside: len(w.runs) - 1,
	}
	if r.listed {
		e.Ran = max(1, w.heardAt.Sub(r.listedAt))
	}
	d.note(e)
}

func (d *Dispatcher) noteWorker(now tackclock.Time, k EventKind, w *worker, reason string) {
	d.note(Event{Kind: k, At: now, Worker: w.id, VM: w.vm, Reason: reason, Age: now.Sub(w.heardAt)})
}
