package tackdispatch

import (
	"cmp"
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackquota"
	"auburntack/core/tackroom"
)

// worker is one incarnation of a worker, that is, one run of its process.
type worker struct {
	id              WorkerID
	vm              tackid.VM
	fixed           bool // its VM can be neither moved nor taken down
	service         tackid.Service
	zone            tackid.DataCentre
	labels          []string
	capacity        tackroom.Resources
	used            tackroom.Resources
	longRunningUsed tackroom.Resources // the part of used that long-running items take
	sequence        uint64
	reports         int // accepted by this dispatcher
	// jitterPhase makes the jitter of workers differ that joined at the same time.
	jitterPhase uint64
	// leaseUntil is when everything that runs there is certain to have ended, if no
	// further heartbeat is answered.
	leaseUntil tackclock.Time
	draining   bool
	suspicion  suspicion
	leaving    bool // a move or an upkeep that ends it was ordered
	// left says that it has said goodbye, and may work on until its lease ends.
	left bool
	// unconfirmed says that a former incarnation of its VM or name may be the later one.
	unconfirmed bool
	// emptiedUntil is until when it gets nothing new, because its VM is to move.
	emptiedUntil tackclock.Time
	// joinedAt is when it was first heard, and heardAt when it was last heard.
	joinedAt, heardAt tackclock.Time
	// refused is the number of heartbeats that were refused since the last one that was
	// accepted, and refusedAt is when the last of them was.
	refused   int
	refusedAt tackclock.Time
	// refusedSequence is the sequence number of the last heartbeat that was refused.
	refusedSequence uint64
	// exposed says that it starts nothing but canaries and suspects of confined queues, and
	// exposedAt is when it was last chosen for it.
	exposed   bool
	exposedAt tackclock.Time
	idleSince tackclock.Time // when its last run ended
	runs      map[tackjob.Item]*run
	steps     map[stepKey]int
	ends      ends
	// orphanUsed is taken by runs that must stop and are not in runs; orphans are those
	// of them that count against a workspace.
	orphanUsed tackroom.Resources
	orphans    []orphanRun
	stops      []Stop
	// planned are starts of gangs and trials that wait for its next heartbeat.
	planned []planned
	// onTrial are isolated runs and runs on trial, during which nothing else may start
	// there.
	onTrial []*run
	// doubted says that doubts about its runs were recorded since it fell silent.
	doubted bool
	// silenceAllowance is how much longer than usual it may be silent, since it was told
	// to send heartbeats less often.
	silenceAllowance tackclock.Duration
	// countedSilent says that it is counted in Dispatcher.silentWorkers.
	countedSilent bool
	// index is its position in its pool's list of workers, countedTotals its contribution
	// to the pool's totals, and freePosition its position in the index of free cores.
	index         int
	countedTotals totals
	freePosition  freePosition
}

// orphanRun is a run whose item is no longer needed, or runs elsewhere. It counts against
// its workspace until the worker no longer lists it.
type orphanRun struct {
	account         *tackquota.Account
	resources       tackroom.Resources
	byEarlierLeader bool
}

// rack returns the worker's rack. The labels are the VM's kind and its rack, in this
// order.
func (w *worker) rack() string {
	if len(w.labels) == 0 {
		return ""
	}
	return w.labels[len(w.labels)-1]
}

// ends tracks which of a worker's ends may be forgotten.
type ends struct {
	highest uint64 // the highest number that was processed
	pending map[uint64]tackjob.End
}

// loggedUpTo returns the number up to which all ends that must be logged are in the log.
func (e *ends) loggedUpTo() uint64 {
	n := e.highest
	for number := range e.pending {
		n = min(n, number-1)
	}
	return n
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

// runsInOrder returns the worker's runs in the order of their starts. If several are lost
// at once, their items are queued in this order, so that the same faults have the same
// outcome.
func (w *worker) runsInOrder() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.item.Index, b.item.Index))
	})
}

// room returns what is free on the worker.
func (w *worker) room() tackroom.Resources {
	return w.capacity.Minus(w.used).Minus(w.orphanUsed)
}

// batchRoom returns the worker's room for batch items when all present ones have ended.
// Long-running items never make room for them.
func (w *worker) batchRoom() tackroom.Resources {
	return w.capacity.Minus(w.longRunningUsed)
}
