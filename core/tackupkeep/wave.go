// Package tackupkeep holds waves of upkeep over workers' VMs and decides which
// VM may go next: never more at once than the wave allows, and only when what
// runs there can be missed.
package tackupkeep

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

type (
	// Number names a wave; the operator chooses it.
	Number int64

	// Wave is an accepted request for upkeep. Due is a log time.
	Wave struct {
		Number Number             `cbor:"1,keyasint"`
		VMs    []tackid.VM        `cbor:"2,keyasint"`
		Within tackclock.Duration `cbor:"3,keyasint,omitempty"`
		// AtOnce is how many VMs may be down for the wave at a time.
		AtOnce   int            `cbor:"4,keyasint,omitempty"`
		Accepted tackclock.Time `cbor:"5,keyasint,omitempty"`
		// Term is that of the leader that accepted the wave.
		Term tackreplica.Term `cbor:"7,keyasint,omitempty"`
		// Begun are VMs whose upkeep the platform has begun or that are gone.
		Begun []tackid.VM `cbor:"6,keyasint,omitempty"`
	}

	// Table is all waves that are known. Its zero value is empty.
	Table struct {
		waves []*Wave
	}
)

// Add adds a wave unless its number is known.
func (t *Table) Add(w *Wave) *Wave {
	if known := t.Get(w.Number); known != nil {
		return known
	}
	t.waves = append(t.waves, w)
	return w
}

// Get returns the wave, or nil.
func (t *Table) Get(n Number) *Wave {
	for _, w := range t.waves {
		if w.Number == n {
			return w
		}
	}
	return nil
}

// All returns the waves in the order in which they came.
func (t *Table) All() []*Wave {
	return t.waves
}

// Restore replaces the waves by those of a snapshot.
func (t *Table) Restore(waves []*Wave) {
	t.waves = waves
}

// Begin notes that the upkeep of vm has begun.
func (w *Wave) Begin(vm tackid.VM) {
	if !slices.Contains(w.Begun, vm) {
		w.Begun = append(w.Begun, vm)
	}
}

// Due is the log time by which all upkeep should have begun.
func (w *Wave) Due() tackclock.Time {
	return w.Accepted.Add(w.Within)
}

// Complete reports whether every VM's upkeep has begun.
func (w *Wave) Complete() bool {
	return len(w.Left()) == 0
}

// Left returns the VMs whose upkeep has not begun.
func (w *Wave) Left() []tackid.VM {
	var left []tackid.VM
	for _, vm := range w.VMs {
		if !slices.Contains(w.Begun, vm) {
			left = append(left, vm)
		}
	}
	return left
}
