package tackdispatch

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

const (
	// EndDone is the end of an item that completed.
	EndDone EndKind = iota
	// EndFailed is a failure, which counts as an attempt.
	EndFailed
	// EndStopped is the end of a run that was ordered to stop.
	EndStopped
	// EndLapsed means that the worker's lease ran out.
	EndLapsed
	// EndGangBroken means that another item of the gang ended.
	EndGangBroken
	// EndGangTimeout means that the other members of the gang did not start in time.
	EndGangTimeout
	// EndRefused means that the worker did not start the item.
	EndRefused
)

type (
	// RunNumber numbers the starts of items. It rises across leaders, since its upper
	// bits are the leader's term.
	RunNumber uint64

	// EndKind says how a run ended.
	EndKind uint8

	// Report is a worker's heartbeat. Control VMs forward it to each other in CBOR.
	Report struct {
		Worker WorkerID  `cbor:"1,keyasint,omitempty"`
		VM     tackid.VM `cbor:"2,keyasint,omitempty"`
		// Fixed says that the platform gives the worker's VM no name, so it can be
		// neither moved nor taken down. VM is the worker's address then: another
		// incarnation that reports from there shows that the previous one is over.
		Fixed    bool               `cbor:"3,keyasint,omitempty"`
		Service  tackid.Service     `cbor:"4,keyasint,omitempty"`
		Zone     tackid.DataCentre  `cbor:"5,keyasint,omitempty"`
		Labels   []string           `cbor:"6,keyasint,omitempty"`
		Capacity tackroom.Resources `cbor:"7,keyasint,omitempty"`
		// Sequence increases with every heartbeat of one incarnation.
		Sequence uint64 `cbor:"8,keyasint,omitempty"`
		Draining bool   `cbor:"9,keyasint,omitempty"`
		// Remaining is how long a draining worker stays at the least.
		Remaining tackclock.Duration `cbor:"10,keyasint,omitempty"`
		Running   []Running          `cbor:"11,keyasint,omitempty"`
		Ended     []Ended            `cbor:"12,keyasint,omitempty"`
	}

	// Running is a run that the worker lists.
	Running struct {
		Item       tackjob.Item `cbor:"1,keyasint,omitempty"`
		Run        RunNumber    `cbor:"2,keyasint,omitempty"`
		Checkpoint string       `cbor:"3,keyasint,omitempty"`
		// Percent is the run's progress; for a long-running item, 100 says that it is
		// serving.
		Percent int `cbor:"4,keyasint,omitempty"`
		// Tail is the tail latency of a serving item in milliseconds; for other items the
		// worker reports its processor use here.
		Tail int `cbor:"5,keyasint,omitempty"`
	}

	// Ended is a run that is over. Number increases within one incarnation of a worker.
	Ended struct {
		Number     uint64       `cbor:"1,keyasint,omitempty"`
		Item       tackjob.Item `cbor:"2,keyasint,omitempty"`
		Run        RunNumber    `cbor:"3,keyasint,omitempty"`
		Kind       EndKind      `cbor:"4,keyasint,omitempty"`
		Checkpoint string       `cbor:"5,keyasint,omitempty"`
	}

	// Orders is the answer to a heartbeat. Without a Hold the worker's lease is not
	// extended and nothing is started. Without a Fence it says nothing.
	Orders struct {
		Hold tackclock.Duration `cbor:"1,keyasint,omitempty"`
		// Noted is the number up to which the worker may forget ends.
		Noted uint64  `cbor:"2,keyasint,omitempty"`
		Fence uint64  `cbor:"3,keyasint,omitempty"`
		Start []Start `cbor:"4,keyasint,omitempty"`
		Stop  []Stop  `cbor:"5,keyasint,omitempty"`
		Pace  []Pace  `cbor:"6,keyasint,omitempty"`
		// Retry is when the worker should send its next heartbeat.
		Retry tackclock.Duration `cbor:"7,keyasint,omitempty"`
	}

	// Start orders a run.
	Start struct {
		Item       tackjob.Item `cbor:"1,keyasint,omitempty"`
		Run        RunNumber    `cbor:"2,keyasint,omitempty"`
		Text       string       `cbor:"3,keyasint,omitempty"`
		Checkpoint string       `cbor:"4,keyasint,omitempty"`
		// Ticket is the placement advisor's permission, where the queue needs one.
		Ticket string `cbor:"5,keyasint,omitempty"`
	}

	// Stop ends a run.
	Stop struct {
		Item tackjob.Item `cbor:"1,keyasint,omitempty"`
		Run  RunNumber    `cbor:"2,keyasint,omitempty"`
	}

	// Pace limits a backfill item to a part of its full speed, in percent.
	Pace struct {
		Item    tackjob.Item `cbor:"1,keyasint,omitempty"`
		Run     RunNumber    `cbor:"2,keyasint,omitempty"`
		Percent int          `cbor:"3,keyasint,omitempty"`
	}
)

var endKindNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "refused"}

// String returns the name of the kind of end.
func (k EndKind) String() string {
	if int(k) < len(endKindNames) {
		return endKindNames[k]
	}
	return "unknown"
}

// ParseEndKind returns the kind of end with that name, or false if there is none.
func ParseEndKind(text string) (EndKind, bool) {
	for k, name := range endKindNames {
		if name == text {
			return EndKind(k), true
		}
	}
	return 0, false
}
