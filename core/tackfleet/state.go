// Package tackfleet is the state machine that the replicated log drives: VMs,
// pools, services and their budgets, quotas, settings, waves and tasks. The
// same changes in the same order give the same state on every peer.
//
// The rules are in the packages tackroster, tackrollout and tacktask. This one
// decides between them, answers a command once however often it is sent, and
// keeps the settings and the history.
package tackfleet

import (
	"crypto/sha256"
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tackrollout"
	"auburntack/core/tackroster"
	"auburntack/core/tacktable"
	"auburntack/core/tacktask"

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
)

type (
	// State is the fleet at one revision. Its zero value is an empty fleet.
	// It is not safe for concurrent use; what the query methods return must
	// not be changed by the caller and holds until the next Apply.
	State struct {
		at       tackentry.At
		roster   tackroster.Roster
		rollouts tackrollout.Rollouts
		tasks    tacktask.Tasks
		settings tacktable.Table[string, Setting]
		answers  tacktable.Recent[tackid.CommandID, answer]
		events   []Event

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
	s.at = tackentry.At{Revision: revision, Time: max(s.at.Time, now)}
	s.answers.Trim(s.at.Time, CommandAge, CommandLimit)
	s.roster.Trim(s.at.Time)
	s.rollouts.Trim(s.at.Time)
	s.tasks.Trim(s.at.Time)
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
	s.answers.Put(s.at.Time, c.ID, answer{Revision: revision, Print: printed, Refused: result.Refused})
	return result
}

// change applies c, which is known not to be a repetition.
func (s *State) change(c *Change) Result {
	result := Result{Revision: s.at.Revision}
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
			Refused:  tackentry.Refuse(CodeReused, "command id %q came with another command at revision %d", id, a.Revision),
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
