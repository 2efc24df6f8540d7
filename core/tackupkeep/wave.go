// Package tackupkeep holds the waves of upkeep over the VMs of workers. An upkeep is the
// maintenance that the platform carries out on a VM, which is down meanwhile. The
// dispatcher decides by the waves which VM may go down next: never more at a time than
// the wave allows, and only when what runs there can be interrupted.
package tackupkeep

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

type (
	// Number identifies a wave; the operator chooses it.
	Number int64

	// Wave is an accepted request for the upkeep of VMs. Accepted and Due are log times.
	Wave struct {
		Number Number             `cbor:"1,keyasint"`
		VMs    []tackid.VM        `cbor:"2,keyasint"`
		Within tackclock.Duration `cbor:"3,keyasint,omitempty"`
		// MaxDown is the number of VMs that the wave may have down at a time.
		MaxDown  int            `cbor:"4,keyasint,omitempty"`
		Accepted tackclock.Time `cbor:"5,keyasint,omitempty"`
		// Term is that of the leader that accepted the wave.
		Term tackreplica.Term `cbor:"7,keyasint,omitempty"`
		// Begun are the VMs that are gone or whose upkeep the platform has begun.
		Begun []tackid.VM `cbor:"6,keyasint,omitempty"`
	}

	// Table holds all known waves. Its zero value is empty.
	Table struct {
		waves []*Wave
	}
)

// Add adds the wave, unless a wave with its number is known, and returns the wave that is
// stored under the number.
func (t *Table) Add(w *Wave) *Wave {
	if known := t.Get(w.Number); known != nil {
		return known
	}
	t.waves = append(t.waves, w)
	return w
}

// Get returns the wave with the number, or nil.
func (t *Table) Get(n Number) *Wave {
	for _, w := range t.waves {
		if w.Number == n {
			return w
		}
	}
	return nil
}

// All returns the waves in the order in which they were added.
func (t *Table) All() []*Wave {
	return t.waves
}

// Restore replaces all waves by those of a snapshot.
func (t *Table) Restore(waves []*Wave) {
	t.waves = waves
}

// Begin records that the upkeep of vm has begun.
func (w *Wave) Begin(vm tackid.VM) {
	if !slices.Contains(w.Begun, vm) {
		w.Begun = append(w.Begun, vm)
	}
}

// Due returns the log time by which every upkeep should have begun.
func (w *Wave) Due() tackclock.Time {
	return w.Accepted.Add(w.Within)
}

// Complete reports whether the upkeep of every VM has begun.
func (w *Wave) Complete() bool {
	return len(w.Remaining()) == 0
}

// Remaining returns the VMs whose upkeep has not begun.
func (w *Wave) Remaining() []tackid.VM {
	var left []tackid.VM
	for _, vm := range w.VMs {
		if !slices.Contains(w.Begun, vm) {
			left = append(left, vm)
		}
	}
	return left
}
