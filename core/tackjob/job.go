// Package tackjob holds jobs: steps that wait for each other, the items of
// each step, and how far they have come. It is driven by the replicated log
// and knows nothing of workers.
package tackjob

import (
	"fmt"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackcrash"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
	"auburntack/core/tackroom"
)

const (
	// Open jobs are owed.
	Open Phase = iota
	// Complete jobs have all items done.
	Complete
	// Failed jobs have an item that failed too often.
	Failed
	// Cancelled jobs were withdrawn by their caller.
	Cancelled
)

const (
	// MaxSpecBytes bounds the text that is handed to the workers.
	MaxSpecBytes = 4000
	// maxItems bounds the items of one job over all steps and occurrences, so
	// that one request cannot fill the memory of every replica.
	maxItems = 100_000
	// maxSteps bounds the steps of one job.
	maxSteps = 1000
	idLength = 16
)

type (
	// ID names a job; the caller chooses it.
	ID string

	// Phase is how a job stands.
	Phase uint8

	// Step is a set of like items.
	Step struct {
		Count int `cbor:"1,keyasint"`
		// Room has a key of its own: its fields' keys are those of the step's
		// first ones, and would be lost without notice.
		tackroom.Room `cbor:"2,keyasint"`
		// Estimate is the caller's rough guess of an item's run time.
		Estimate tackclock.Duration `cbor:"4,keyasint,omitempty"`
		// After are the steps that must be done before this one starts.
		After       []int `cbor:"5,keyasint,omitempty"`
		Checkpoints bool  `cbor:"6,keyasint,omitempty"`
		// Gang items work only together.
		Gang     bool `cbor:"7,keyasint,omitempty"`
		SameRack bool `cbor:"8,keyasint,omitempty"`
		// Requires is a label that the worker must carry.
		Requires string `cbor:"9,keyasint,omitempty"`
		// Affinity is the rack on which the items run fastest.
		Affinity string `cbor:"10,keyasint,omitempty"`
		// MaxPerWorker bounds the items of one occurrence on one worker; 0
		// is no bound.
		MaxPerWorker int `cbor:"11,keyasint,omitempty"`
		// Speculative items may run in copies.
		Speculative bool `cbor:"12,keyasint,omitempty"`
		// LongRunning items run until the job is cancelled.
		LongRunning bool `cbor:"13,keyasint,omitempty"`
		// Image names what the items run.
		Image string `cbor:"14,keyasint,omitempty"`
		// LatencyTarget bounds the tail latency of items that serve.
		LatencyTarget tackclock.Duration `cbor:"15,keyasint,omitempty"`
		// Fills marks items that take only the processor time that others
		// leave; their MilliCores do not count against a worker.
		Fills bool `cbor:"16,keyasint,omitempty"`
		// MayMiss is how many items may be away by the system's own doing.
		MayMiss int `cbor:"17,keyasint,omitempty"`
	}

	// Spec is a job as it was handed in.
	Spec struct {
		ID    ID                   `cbor:"1,keyasint"`
		Queue tackcatalog.QueueKey `cbor:"2,keyasint"`
		// Text goes to the workers unread.
		Text  string `cbor:"3,keyasint,omitempty"`
		Steps []Step `cbor:"4,keyasint"`
		// Repeats, if above zero, is how often the steps run, at First and
		// every Interval after it.
		Repeats  int                `cbor:"5,keyasint,omitempty"`
		First    tackclock.Time     `cbor:"6,keyasint,omitempty"`
		Interval tackclock.Duration `cbor:"7,keyasint,omitempty"`
	}

	// Item names one piece of work of a job.
	Item struct {
		Job        ID    `cbor:"1,keyasint"`
		Occurrence int32 `cbor:"2,keyasint,omitempty"`
		Step       int32 `cbor:"3,keyasint,omitempty"`
		Index      int32 `cbor:"4,keyasint,omitempty"`
	}

	// Job is an accepted job and its progress.
	Job struct {
		Spec
		// Attempts, Service, Priority and the objective are those of the
		// queue when the job was accepted; Service follows later catalogs.
		Service   tackid.Service     `cbor:"8,keyasint"`
		Attempts  int                `cbor:"9,keyasint,omitempty"`
		Priority  int                `cbor:"10,keyasint,omitempty"`
		Objective tackclock.Duration `cbor:"11,keyasint,omitempty"`
		Stretch   float64            `cbor:"12,keyasint,omitempty"`
		Advised   bool               `cbor:"18,keyasint,omitempty"`
		// Workspace is whose key the job was handed in with; empty if it needed none.
		Workspace tackid.Workspace `cbor:"19,keyasint,omitempty"`
		// Accepted and Closed are log times; Term is the leader's that
		// appended the job.
		Accepted tackclock.Time     `cbor:"13,keyasint,omitempty"`
		Closed   tackclock.Time     `cbor:"14,keyasint,omitempty"`
		Term     tackreplica.Term   `cbor:"15,keyasint,omitempty"`
		Phase    Phase              `cbor:"16,keyasint,omitempty"`
		Progress map[int32]Progress `cbor:"17,keyasint,omitempty"` // by occurrence
	}

	// Progress is how far the steps of one occurrence are.
	Progress struct {
		Steps []StepProgress `cbor:"1,keyasint"`
	}

	// StepProgress counts the ends of a step's items. Done has a bit for each
	// item.
	StepProgress struct {
		Done     []byte             `cbor:"1,keyasint,omitempty"`
		Count    int                `cbor:"2,keyasint,omitempty"`
		Failures map[int32]Failures `cbor:"3,keyasint,omitempty"`
		// Crashes are the workers' crashes under each item, by index; a gang's stand
		// at 0.
		Crashes map[int32]tackcrash.Record `cbor:"4,keyasint,omitempty"`
	}

	// Failures are the numbers of an item's runs that failed. A worker lists an
	// end until it is told that it may forget it, so after a change of the leader
	// it may list one that was counted before. Copies do not fail in the order of
	// their numbers.
	Failures struct {
		// Earlier is how many runs an earlier release counted, and LastEarlier the
		// number of the last of them, to which their numbers rose.
		Earlier     int      `cbor:"1,keyasint,omitempty"`
		LastEarlier uint64   `cbor:"2,keyasint,omitempty"`
		Runs        []uint64 `cbor:"3,keyasint,omitempty"`
	}

	// InvalidError reports the first thing that is wrong with a job.
	InvalidError struct {
		Field   string
		Problem string
	}
)

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}

// Valid reports whether the id is 16 hexadecimal digits.
func (id ID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// String returns the item as it stands in log lines.
func (i Item) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", i.Job, i.Occurrence, i.Step, i.Index)
}

// Occurrences is how often the steps run.
func (s *Spec) Occurrences() int {
	return max(s.Repeats, 1)
}

// LongRunning reports whether the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due is when an occurrence may start; zero is at once.
func (s *Spec) Due(occurrence int32) tackclock.Time {
	if s.Repeats == 0 {
		return 0
	}
	return s.First.Add(tackclock.Duration(occurrence) * s.Interval)
}

// Validate returns an *InvalidError if the job cannot be run.
func (s *Spec) Validate() error {
	switch {
	case !s.ID.Valid():
		return &InvalidError{Field: "id", Problem: "must be 16 hexadecimal digits"}
	case len(s.Text) > MaxSpecBytes:
		return &InvalidError{Field: "spec", Problem: fmt.Sprintf("longer than %d bytes", MaxSpecBytes)}
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return &InvalidError{Field: "steps", Problem: fmt.Sprintf("must be 1 to %d", maxSteps)}
	case s.Repeats < 0 || s.Interval < 0 || s.First < 0:
		return &InvalidError{Field: "repeats", Problem: "negative repeats or times"}
	}
	items := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		items += s.Steps[i].Count
		if items > maxItems/s.Occurrences() {
			return &InvalidError{Field: "steps", Problem: fmt.Sprintf("more than %d items", maxItems)}
		}
	}
	return nil
}

func (s *Step) validate(number int) error {
	field := fmt.Sprintf("steps[%d]", number)
	if s.Count <= 0 || s.Count > maxItems {
		return &InvalidError{Field: field + ".count", Problem: fmt.Sprintf("must be 1 to %d", maxItems)}
	}
	if s.MilliCores < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MayMiss < 0 {
		return &InvalidError{Field: field, Problem: "negative amount"}
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return &InvalidError{Field: field + ".after", Problem: "must name earlier steps"}
		}
	}
	return nil
}

// Takes is what one item counts against a worker's capacity.
func (s *Step) Takes() tackroom.Room {
	r := s.Room
	if s.Fills {
		r.MilliCores = 0
	}
	return r
}
