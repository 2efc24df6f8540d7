// Package tackfleet is the state machine that the replicated log drives: VMs,
// pools, services and their budgets, quotas, settings, waves and tasks. The
// same changes in the same order give the same state on every peer.
//
// The rules are in the packages tackroster, tackrollout and tacktask. This
// package dispatches changes to them, makes repeated commands idempotent, and
// keeps the settings and the history.
package tackfleet

import (
	"crypto/sha256"
	"fmt"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tackrollout"
	"auburntack/core/tackroster"
	"auburntack/core/tacktable"
	"auburntack/core/tacktask"
)

const (
	// CommandAge is how long the answer to a command is remembered, measured
	// by the times of the log entries. A command that is resent later takes
	// effect again.
	CommandAge = 24 * tackclock.Hour
	// CommandLimit is the maximum number of answers that are remembered.
	CommandLimit = 200_000
	// EventLimit is the maximum number of events in the history.
	EventLimit = 10_000
)

type (
	// State is the fleet at one revision. Its zero value is an empty fleet.
	// It is not safe for concurrent use. The results of the query methods must
	// not be changed by the caller and are valid until the next Apply.
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

	// answer is the answer to the command with some id.
	answer struct {
		Revision    tackid.Revision `cbor:"1,keyasint"`
		Fingerprint fingerprint     `cbor:"2,keyasint"`
		Refused     *RefusedError   `cbor:"3,keyasint,omitempty"`
	}

	// fingerprint is a hash that identifies the content of a command.
	fingerprint [16]byte
)

// Apply applies the change at revision to the state; now is the time of its log
// entry. Apply never fails: an invalid change is refused in the result, in the
// same way on every peer.
//
// A command with an id that was seen before has no effect and gets the first
// answer. Otherwise an operator whose answer was lost, and who resends the
// command through another peer, could drain a VM or start a wave twice.
func (s *State) Apply(revision tackid.Revision, now tackclock.Time, c Change) Result {
	s.at = tackentry.At{Revision: revision, Time: max(s.at.Time, now)}
	s.answers.Trim(s.at.Time, CommandAge, CommandLimit)
	s.roster.Trim(s.at.Time)
	s.rollouts.Trim(s.at.Time)
	s.tasks.Trim(s.at.Time)
	if c.ID == "" {
		return s.applyChange(&c)
	}
	fp := fingerprintOf(c.Command)
	if first, found := s.answers.Get(c.ID); found {
		return first.repeat(fp, c.ID)
	}
	s.command = c.ID
	result := s.applyChange(&c)
	s.command = ""
	s.answers.Put(s.at.Time, c.ID, answer{Revision: revision, Fingerprint: fp, Refused: result.Refused})
	return result
}

// applyChange applies c, which is not a repeated command.
func (s *State) applyChange(c *Change) Result {
	result := Result{Revision: s.at.Revision}
	switch {
	case c.Command != nil:
		result.Refused = s.applyCommand(c.Command, c.Expect)
	case c.WaveStep != nil:
		result.Refused = s.waveStep(c.WaveStep)
	case c.WaveEnd != nil:
		result.Refused = s.waveEnd(c.WaveEnd)
	case len(c.Observe) > 0:
		result.Ignored, result.Refused = applyEach(c.Observe, s.observe)
	case len(c.WavePhases) > 0:
		result.Ignored, result.Refused = applyEach(c.WavePhases, s.wavePhase)
	case len(c.Drained) > 0:
		result.Ignored, result.Refused = applyEach(c.Drained, s.drained)
	case len(c.Joined) > 0:
		result.Ignored, result.Refused = applyEach(c.Joined, s.joined)
	case len(c.Tasks) > 0:
		result.Ignored, result.Refused = applyEach(c.Tasks, s.taskChange)
	}
	return result
}

// applyEach applies the items of a list one by one. It returns the number of
// items that were passed over, and the last refusal if no item took effect.
func applyEach[T any](items []T, apply func(*T) *RefusedError) (int, *RefusedError) {
	passedOver := 0
	var last *RefusedError
	for i := range items {
		if refused := apply(&items[i]); refused != nil {
			last = refused
			passedOver++
		}
	}
	if passedOver < len(items) {
		return passedOver, nil
	}
	return passedOver, last
}

// repeat returns the first answer again, or refuses the command if its id was
// used with another command before.
func (a *answer) repeat(fp fingerprint, id tackid.CommandID) Result {
	if a.Fingerprint != fp {
		return Result{
			Revision: a.Revision,
			Refused:  tackentry.Refuse(CodeReused, "command id %q came with another command at revision %d", id, a.Revision),
		}
	}
	return Result{Revision: a.Revision, Repeated: true, Refused: a.Refused}
}

func fingerprintOf(c *tackcommand.Command) fingerprint {
	data, err := tackcbor.Marshal(c)
	if err != nil {
		// Command holds only plain values, so this is a bug.
		panic(fmt.Sprintf("tackfleet: encode command: %v", err))
	}
	sum := sha256.Sum256(data)
	return fingerprint(sum[:len(fingerprint{})])
}
