package tackrollout

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// nextPhases lists the phases that may follow each phase. A VM that is lost
// while it settles may go back to returning. PhaseOperating may follow itself
// for an operation that is requested again with a new id.
var nextPhases = [...][]Phase{
	PhaseWaiting:   {PhaseSkipped},
	PhaseDraining:  {PhaseOperating, PhaseWaiting, PhaseFailed},
	PhaseOperating: {PhaseOperating, PhaseReturning, PhaseFailed},
	PhaseReturning: {PhaseSettling, PhaseFailed},
	PhaseSettling:  {PhaseDone, PhaseReturning, PhaseFailed},
	PhaseDone:      nil,
	PhaseFailed:    nil,
	PhaseSkipped:   nil,
}

// leadsTo reports whether a WavePhase may move a VM from p to next.
func (p Phase) leadsTo(next Phase) bool {
	return int(p) < len(nextPhases) && slices.Contains(nextPhases[p], next)
}

// ended reports whether the wave is done with a VM in this phase.
func (p Phase) ended() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseSkipped
}

// out reports whether a VM in this phase is out of service.
func (p Phase) out() bool {
	return p == PhaseDraining || p == PhaseOperating || p == PhaseReturning
}

func (m *WaveVM) setPhase(phase Phase, now tackclock.Time) {
	m.Phase = phase
	m.Since = now
}

// OutCount returns the number of VMs that the wave has out of service.
func (w *Wave) OutCount() int {
	n := 0
	for i := range w.VMs {
		if w.VMs[i].Phase.out() {
			n++
		}
	}
	return n
}

// HeldCount returns the number of VMs that the wave holds: those that are out of
// service and those that are settling.
func (w *Wave) HeldCount() int {
	n := w.OutCount()
	for i := range w.VMs {
		if w.VMs[i].Phase == PhaseSettling {
			n++
		}
	}
	return n
}

// Member returns the state of a VM in the wave and whether it is part of the
// wave.
func (w *Wave) Member(id tackid.VM) (WaveVM, bool) {
	if m := w.member(id); m != nil {
		return *m, true
	}
	return WaveVM{}, false
}

// member returns the wave's entry for a VM, or nil. The entries are sorted by
// VM.
func (w *Wave) member(id tackid.VM) *WaveVM {
	i, found := slices.BinarySearchFunc(w.VMs, id, func(m WaveVM, id tackid.VM) int {
		switch {
		case m.VM < id:
			return -1
		case m.VM > id:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &w.VMs[i]
}

// ended reports whether the wave is finished or cancelled.
func (w *Wave) ended() bool {
	return w.Status == WaveFinished || w.Status == WaveCancelled
}
