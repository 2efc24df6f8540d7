// Package tackrollout is the state of the maintenance waves: which VMs each
// wave has taken, in which phase each VM is, and which changes of a wave are
// allowed next. VMs are taken out of service and returned through the package
// tackroster, which checks the budgets.
package tackrollout

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
	"auburntack/core/tackroster"
	"auburntack/core/tacktable"
)

const (
	// EndedAge is how long a wave is kept after it has ended.
	EndedAge = 365 * tackclock.Day
	// EndedLimit is the maximum number of ended waves that are kept.
	EndedLimit = 200
)

type (
	// Rollouts holds the waves of a fleet. Its zero value is empty.
	Rollouts struct {
		waves tacktable.Table[tackid.Wave, Wave]
		ended tacktable.Recent[tackid.Wave, struct{}]
	}

	// Snapshot is the encoding of Rollouts, sorted by id.
	Snapshot struct {
		Waves []Wave                         `cbor:"1,keyasint,omitempty"`
		Ended []tacktable.Stamp[tackid.Wave] `cbor:"2,keyasint,omitempty"`
	}
)

// Trim removes the waves that ended long ago. A wave that still holds a VM is
// kept, since the VM could never return to service without its wave.
func (o *Rollouts) Trim(now tackclock.Time) {
	for _, ended := range o.ended.Trim(now, EndedAge, EndedLimit) {
		if w := o.waves.Get(ended.Key); w != nil && w.HeldCount() > 0 {
			o.ended.Put(now, ended.Key, struct{}{})
			continue
		}
		o.waves.Delete(ended.Key)
	}
}

// Wave returns one wave, or nil. The caller must not change it.
func (o *Rollouts) Wave(id tackid.Wave) *Wave {
	return o.waves.Get(id)
}

// Waves returns every wave, sorted by id.
func (o *Rollouts) Waves() []Wave {
	return o.waves.Values()
}

// Unended returns a wave over the pool that has not ended, or nil.
func (o *Rollouts) Unended(pool tackid.Pool) *Wave {
	for _, w := range o.waves.All() {
		if w.Pool == pool && !w.ended() {
			return w
		}
	}
	return nil
}

// Skip marks the VM as skipped in every wave that has not taken it yet,
// because it left its pool.
func (o *Rollouts) Skip(at tackentry.At, id tackid.VM) {
	for _, w := range o.waves.All() {
		if w.ended() {
			continue
		}
		if m := w.member(id); m != nil && m.Phase == PhaseWaiting {
			m.setPhase(PhaseSkipped, at.Time)
		}
	}
}

// Snapshot returns the waves for a snapshot.
func (o *Rollouts) Snapshot() Snapshot {
	return Snapshot{Waves: o.waves.Values(), Ended: o.ended.Stamps()}
}

// Restore replaces the waves by those of a snapshot.
func (o *Rollouts) Restore(s Snapshot) {
	*o = Rollouts{}
	for _, w := range s.Waves {
		o.waves.Put(w.ID, w)
	}
	for _, stamp := range s.Ended {
		o.ended.Put(stamp.Time, stamp.Key, struct{}{})
	}
}

// end ends a wave. Operations that the platform has started are completed.
func (o *Rollouts) end(at tackentry.At, w *Wave, status WaveStatus) {
	w.Status = status
	w.Ended = at.Time
	o.ended.Put(at.Time, w.ID, struct{}{})
}

// releaseDraining returns the VMs that are draining to service and moves them
// to the phase next. A VM on which the platform already operates can't be
// returned early: it completes its remaining phases even if the wave is
// paused, stopped or cancelled.
func (w *Wave) releaseDraining(at tackentry.At, r *tackroster.Roster, next Phase) {
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase != PhaseDraining {
			continue
		}
		m.setPhase(next, at.Time)
		r.Release(at, m.VM, tackroster.VMInService)
	}
}

func (w *Wave) refuse(what string) *tackentry.RefusedError {
	return tackentry.Refuse(tackentry.CodeState, "can't %s wave %q, it is %s", what, w.ID, w.Status)
}

func missing(id tackid.Wave) *tackentry.RefusedError {
	return tackentry.Refuse(tackentry.CodeMissing, "no wave %q", id)
}
