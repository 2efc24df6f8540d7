// Package tackfleet is the state machine that the replicated log drives: VMs,
// pools, services and their budgets, quotas, settings, waves and tasks. The
// same changes in the same order give the same state on every peer.
package tackfleet

import (
	"crypto/sha256"
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
	"auburntack/core/tacktable"

	"github.com/fxamacker/cbor/v2"
)

const (
	// CommandAge is how long the answer to a command is remembered, by the
	// time of the log's entries. A command resent later takes effect again.
	CommandAge = 24 * tackclock.Hour
	// CommandLimit is how many answers are remembered at most.
	CommandLimit = 200_000
	// EventLimit is how many events the history keeps.
	EventLimit = 10_000
	// EndedAge is how long a task that ended is kept.
	EndedAge = 24 * tackclock.Hour
	// EndedTaskLimit is how many ended tasks are kept at most.
	EndedTaskLimit = 10_000
	// EndedWaveLimit is how many ended waves are kept at most.
	EndedWaveLimit = 200
	// RemovedAge is how long a removed VM is remembered, so that one added
	// again at once is fenced from its old pool first.
	RemovedAge = 10 * tackclock.Minute
	// RemovedLimit is how many removed VMs are remembered at most.
	RemovedLimit = 10_000
)

const waveAge = 365 * tackclock.Day

type (
	// State is the fleet at one revision. Its zero value is an empty fleet.
	// It is not safe for concurrent use; what the query methods return must
	// not be changed by the caller and holds until the next Apply.
	State struct {
		revision tackid.Revision
		now      tackclock.Time

		vms      tacktable.Table[tackid.VM, VM]
		pools    tacktable.Table[tackid.Pool, Pool]
		services tacktable.Table[tackid.Service, Service]
		quotas   tacktable.Table[tackid.Team, Quota]
		settings tacktable.Table[string, Setting]
		waves    tacktable.Table[tackid.Wave, Wave]
		tasks    tacktable.Table[tackid.Task, Task]

		answers    tacktable.Recent[tackid.CommandID, answer]
		removed    tacktable.Recent[tackid.VM, struct{}]
		endedTasks tacktable.Recent[tackid.Task, struct{}]
		endedWaves tacktable.Recent[tackid.Wave, struct{}]
		events     []Event

		// What follows is worked out from the above.
		members map[tackid.Pool][]tackid.VM
		running map[tackid.VM]int
		cores   map[tackid.Team]int

		// command is the id of the command that is being applied.
		command tackid.CommandID
	}

	// answer is what a command id was answered with.
	answer struct {
		Revision tackid.Revision `cbor:"1,keyasint"`
		Print    fingerprint     `cbor:"2,keyasint"`
		Refused  *RefusedError   `cbor:"3,keyasint,omitempty"`
	}

	// fingerprint tells two commands apart.
	fingerprint [16]byte
)

// Apply takes the change at revision into the state. The time is the log
// entry's. It never fails: a change that may not take effect is refused by
// the result, the same way on every peer.
//
// A command whose id was seen before does nothing and gets the first answer.
// Without that, an operator who lost the answer and sends again through
// another peer would drain or start twice.
func (s *State) Apply(revision tackid.Revision, now tackclock.Time, c Change) Result {
	s.revision = revision
	s.now = max(s.now, now)
	s.trim()
	if c.ID == "" {
		return s.change(&c)
	}
	printed := fingerprintOf(c.Command)
	if first, found := s.answers.Get(c.ID); found {
		return first.repeat(printed, c.ID)
	}
	s.command = c.ID
	result := s.change(&c)
	s.command = ""
	s.answers.Put(s.now, c.ID, answer{Revision: revision, Print: printed, Refused: result.Refused})
	return result
}

// trim drops what is too old or too much to be kept.
func (s *State) trim() {
	s.answers.Trim(s.now, CommandAge, CommandLimit)
	s.removed.Trim(s.now, RemovedAge, RemovedLimit)
	for _, ended := range s.endedTasks.Trim(s.now, EndedAge, EndedTaskLimit) {
		s.tasks.Delete(ended.Key)
	}
	for _, ended := range s.endedWaves.Trim(s.now, waveAge, EndedWaveLimit) {
		s.dropWave(ended.Key)
	}
}

// dropWave forgets an ended wave, unless it still holds a VM: without its
// wave the VM could never come back.
func (s *State) dropWave(id tackid.Wave) {
	if w := s.waves.Get(id); w != nil && w.Holding() > 0 {
		s.endedWaves.Put(s.now, id, struct{}{})
		return
	}
	s.waves.Delete(id)
}

// change applies c, which is known not to be a repetition.
func (s *State) change(c *Change) Result {
	result := Result{Revision: s.revision}
	switch {
	case c.Command != nil:
		result.Refused = s.commanded(c.Command, c.Expect)
	case c.WaveStep != nil:
		result.Refused = s.waveStep(c.WaveStep)
	case c.WaveEnd != nil:
		result.Refused = s.waveEnd(c.WaveEnd)
	case len(c.Observe) > 0:
		result.PassedOver, result.Refused = each(c.Observe, s.observe)
	case len(c.WavePhases) > 0:
		result.PassedOver, result.Refused = each(c.WavePhases, s.wavePhase)
	case len(c.Drained) > 0:
		result.PassedOver, result.Refused = each(c.Drained, s.drained)
	case len(c.Joined) > 0:
		result.PassedOver, result.Refused = each(c.Joined, s.joined)
	case len(c.Tasks) > 0:
		result.PassedOver, result.Refused = each(c.Tasks, s.taskChange)
	}
	return result
}

// each applies the items of a list one by one and returns how many were
// passed over, and the last refusal if none took effect.
func each[T any](items []T, apply func(*T) *RefusedError) (int, *RefusedError) {
	passed := 0
	var last *RefusedError
	for i := range items {
		if refused := apply(&items[i]); refused != nil {
			last = refused
			passed++
		}
	}
	if passed < len(items) {
		return passed, nil
	}
	return passed, last
}

// repeat returns the first answer again, or refuses an id that came with
// another command before.
func (a *answer) repeat(printed fingerprint, id tackid.CommandID) Result {
	if a.Print != printed {
		return Result{
			Revision: a.Revision,
			Refused:  refuse(CodeReused, "command id %q came with another command at revision %d", id, a.Revision),
		}
	}
	return Result{Revision: a.Revision, Repeated: true, Refused: a.Refused}
}

// fingerprintOf returns the fingerprint of a command.
func fingerprintOf(c *tackcommand.Command) fingerprint {
	data, err := cbor.Marshal(c)
	if err != nil {
		// Command holds plain values only, so this is a fault of the program.
		panic(fmt.Sprintf("tackfleet: encode command: %v", err))
	}
	sum := sha256.Sum256(data)
	return fingerprint(sum[:len(fingerprint{})])
}

// refuse returns a refusal with a formatted reason.
func refuse(code Code, format string, args ...any) *RefusedError {
	return &RefusedError{Code: code, Reason: fmt.Sprintf(format, args...)}
}
