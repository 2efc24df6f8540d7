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

// worker is one life of a worker.
type worker struct {
	id       WorkerID
	vm       tackid.VM
	fixed    bool // its VM cannot be ordered about
	service  tackid.Service
	zone     tackid.DataCentre
	labels   []string
	capacity tackroom.Room
	used     tackroom.Room
	lasting  tackroom.Room // the part of used that items that last take
	sequence uint64
	reports  int // taken in by this dispatcher
	// phase tells workers apart that joined in step.
	phase uint64
	// leaseUntil is when everything that runs there has surely ended, if no
	// further heartbeat is answered.
	leaseUntil tackclock.Time
	draining   bool
	suspicion  suspicion
	leaving    bool // a call that ends it is under way
	// emptiedUntil is until when it gets nothing new, since its VM is to move.
	emptiedUntil tackclock.Time
	heardAt      tackclock.Time
	idleFrom     tackclock.Time // when its last run ended
	runs         map[tackjob.Item]*run
	steps        map[stepKey]int
	ends         ends
	// strange is what it runs that the dispatcher wants stopped and has no run for;
	// strangers are the parts of it that count against a workspace.
	strange   tackroom.Room
	strangers []stranger
	stops     []Stop
	// planned are starts of gangs that wait for its next heartbeat.
	planned []planned
	// onTrial are runs beside which nothing else may start for now.
	onTrial []*run
	// doubted says that its silence has put its runs in doubt.
	doubted bool
	// patience is by how much longer its heartbeats are waited for than those of others,
	// since it was told to ask less often.
	patience tackclock.Duration
	// fellSilent says that it is counted among those that are silent.
	fellSilent bool
	// at is its place in its pool, counted what it adds to the pool's sums, and free
	// where it stands in the index of free cores.
	at      int
	counted sums
	free    freePlace
}

// stranger is something that runs and is not owed. It counts until it is not listed
// any more.
type stranger struct {
	account *tackquota.Account
	room    tackroom.Room
	earlier bool
}

// rack is the worker's rack. Its labels are its kind and its rack, in this
// order.
func (w *worker) rack() string {
	if len(w.labels) == 0 {
		return ""
	}
	return w.labels[len(w.labels)-1]
}

// ends keeps track of which of a worker's ends may be forgotten.
type ends struct {
	taken   uint64 // the highest number that was looked at
	pending map[uint64]tackjob.End
}

// noted is the highest number below all that still wait for the log.
func (e *ends) noted() uint64 {
	n := e.taken
	for number := range e.pending {
		n = min(n, number-1)
	}
	return n
}

func (w *worker) has(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

// inOrder are the worker's runs in the order of their starts. Where several are lost at
// once their items wait in this order, so that the same faults bring the same outcome.
func (w *worker) inOrder() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.item.Index, b.item.Index))
	})
}

// room is what a worker has left.
func (w *worker) room() tackroom.Room {
	return w.capacity.Minus(w.used).Minus(w.strange)
}

// forWork is what a worker has for items that end. Those that last never make
// room for them.
func (w *worker) forWork() tackroom.Room {
	return w.capacity.Minus(w.lasting)
}
