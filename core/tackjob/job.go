// Package tackjob holds jobs: their steps, the dependencies between the steps, the items
// of each step, and the progress made. It is driven by the replicated log and has no
// knowledge of workers.
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
	// Open jobs have work left to do.
	Open Phase = iota
	// Complete jobs have all their items done.
	Complete
	// Failed jobs have an item that failed too often or that was found to crash workers.
	Failed
	// Cancelled jobs were cancelled by their caller.
	Cancelled
)

const (
	// MaxSpecBytes is the size limit of the text that is passed to the workers.
	MaxSpecBytes = 4000
	// maxItems limits the items of one job over all steps and occurrences, so that one
	// request cannot exhaust the memory of every replica.
	maxItems = 100_000
	// MaxSteps limits the steps of one job.
	MaxSteps = 1000
	idLength = 16
)

type (
	// ID identifies a job; the caller chooses it.
	ID string

	// Phase is the stage of a job's life cycle.
	Phase uint8

	// Step is a set of items with the same requirements.
	Step struct {
		Count int `cbor:"1,keyasint"`
		// Resources is encoded under a key of its own: if it were inlined, its keys would
		// collide with those of the step's first fields, and the codec drops colliding
		// fields silently.
		tackroom.Resources `cbor:"2,keyasint"`
		// Estimate is the caller's estimate of an item's run time.
		Estimate tackclock.Duration `cbor:"4,keyasint,omitempty"`
		// After lists the steps that must be done before this one starts.
		After       []int `cbor:"5,keyasint,omitempty"`
		Checkpoints bool  `cbor:"6,keyasint,omitempty"`
		// Gang says that the items run only all together.
		Gang     bool `cbor:"7,keyasint,omitempty"`
		SameRack bool `cbor:"8,keyasint,omitempty"`
		// Requires is a label that the worker must have.
		Requires string `cbor:"9,keyasint,omitempty"`
		// Affinity is the rack on which the items run fastest.
		Affinity string `cbor:"10,keyasint,omitempty"`
		// MaxPerWorker limits the items of one occurrence on one worker; 0 means no
		// limit.
		MaxPerWorker int `cbor:"11,keyasint,omitempty"`
		// Speculative says that an item may run in several copies at once.
		Speculative bool `cbor:"12,keyasint,omitempty"`
		// LongRunning says that the items run until the job is cancelled.
		LongRunning bool `cbor:"13,keyasint,omitempty"`
		// Image identifies what the items run.
		Image string `cbor:"14,keyasint,omitempty"`
		// LatencyTarget limits the tail latency of items that serve requests.
		LatencyTarget tackclock.Duration `cbor:"15,keyasint,omitempty"`
		// BestEffort marks items that use only the processor time left over by others; their
		// MilliCores do not count against the capacity of a worker.
		BestEffort bool `cbor:"16,keyasint,omitempty"`
		// MaxUnavailable is the number of items that the system may take down at a time, for
		// example for maintenance.
		MaxUnavailable int `cbor:"17,keyasint,omitempty"`
	}

	// Spec is a job as it was submitted.
	Spec struct {
		ID    ID                   `cbor:"1,keyasint"`
		Queue tackcatalog.QueueKey `cbor:"2,keyasint"`
		// Text is passed to the workers without being interpreted.
		Text  string `cbor:"3,keyasint,omitempty"`
		Steps []Step `cbor:"4,keyasint"`
		// Repeats, if above zero, is the number of times the steps run: at First and at
		// every Interval after it.
		Repeats  int                `cbor:"5,keyasint,omitempty"`
		First    tackclock.Time     `cbor:"6,keyasint,omitempty"`
		Interval tackclock.Duration `cbor:"7,keyasint,omitempty"`
	}

	// Item identifies one piece of work of a job.
	Item struct {
		Job        ID    `cbor:"1,keyasint"`
		Occurrence int32 `cbor:"2,keyasint,omitempty"`
		Step       int32 `cbor:"3,keyasint,omitempty"`
		Index      int32 `cbor:"4,keyasint,omitempty"`
	}

	// Job is an accepted job with its progress.
	Job struct {
		Spec
		// Attempts, Service, Priority and the objective are those of the queue at the
		// time the job was accepted. Service is updated when the catalog changes.
		Service   tackid.Service     `cbor:"8,keyasint"`
		Attempts  int                `cbor:"9,keyasint,omitempty"`
		Priority  int                `cbor:"10,keyasint,omitempty"`
		Objective tackclock.Duration `cbor:"11,keyasint,omitempty"`
		Stretch   float64            `cbor:"12,keyasint,omitempty"`
		Advised   bool               `cbor:"18,keyasint,omitempty"`
		// Workspace is the holder of the key that the job was submitted with; empty if
		// none was needed.
		Workspace tackid.Workspace `cbor:"19,keyasint,omitempty"`
		// Accepted and Closed are log times. Term is the term of the leader that appended
		// the job to the log.
		Accepted tackclock.Time     `cbor:"13,keyasint,omitempty"`
		Closed   tackclock.Time     `cbor:"14,keyasint,omitempty"`
		Term     tackreplica.Term   `cbor:"15,keyasint,omitempty"`
		Phase    Phase              `cbor:"16,keyasint,omitempty"`
		Progress map[int32]Progress `cbor:"17,keyasint,omitempty"` // by occurrence
	}

	// Progress is the progress of the steps of one occurrence.
	Progress struct {
		Steps []StepProgress `cbor:"1,keyasint"`
	}

	// StepProgress records the results of a step's items. Done has one bit for each item.
	StepProgress struct {
		Done     []byte             `cbor:"1,keyasint,omitempty"`
		Count    int                `cbor:"2,keyasint,omitempty"`
		Failures map[int32]Failures `cbor:"3,keyasint,omitempty"`
		// Crashes are the crash records of the items, by index. That of a gang is kept at
		// 0.
		Crashes map[int32]tackcrash.Record `cbor:"4,keyasint,omitempty"`
	}

	// Failures are the numbers of the failed runs of an item. A worker reports the end of
	// a run until it is told that the end is recorded, so after a change of leader an end
	// that was counted already may be reported again. Run numbers are kept one by one
	// because concurrent copies of an item need not fail in numerical order.
	Failures struct {
		// Earlier is the number of failed runs counted by a previous release, which
		// stored no run numbers, and LastEarlier is the highest run number among them.
		Earlier     int      `cbor:"1,keyasint,omitempty"`
		LastEarlier uint64   `cbor:"2,keyasint,omitempty"`
		Runs        []uint64 `cbor:"3,keyasint,omitempty"`
	}

	// InvalidError reports the first problem found in a job.
	InvalidError struct {
		Field   string
		Problem string
	}
)

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}

// Valid reports whether the ID is 16 hexadecimal digits.
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

// String returns the form of the item that is used in log messages.
func (i Item) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", i.Job, i.Occurrence, i.Step, i.Index)
}

// Occurrences returns the number of times the steps run.
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

// Due returns the time at which an occurrence may start; zero means immediately.
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
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return &InvalidError{Field: "steps", Problem: fmt.Sprintf("must be 1 to %d", MaxSteps)}
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
	if s.MilliCores < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return &InvalidError{Field: field, Problem: "negative amount"}
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return &InvalidError{Field: field + ".after", Problem: "must name earlier steps"}
		}
	}
	return nil
}

// Reserved returns the resources that one item reserves on a worker.
func (s *Step) Reserved() tackroom.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}
