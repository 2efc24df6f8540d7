package tackrollout

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackroster"
)

// Create creates a planned wave. The caller has checked that the pool exists.
func (o *Rollouts) Create(at tackentry.At, c *tackcommand.CreateWave) *tackentry.RefusedError {
	if o.waves.Get(c.Wave) != nil {
		return tackentry.Refuse(tackentry.CodeExists, "wave %q exists", c.Wave)
	}
	action := Action(c.Action)
	if action != ActionReboot && action != ActionUpgrade {
		return tackentry.Refuse(tackentry.CodeInvalid, "unknown action %q, want reboot or upgrade", c.Action)
	}
	if c.MaxParallel < 0 {
		return tackentry.Refuse(tackentry.CodeInvalid, "max_parallel is a number from 0")
	}
	o.waves.Put(c.Wave, Wave{
		ID: c.Wave, Pool: c.Pool, Action: action, MaxParallel: c.MaxParallel,
		Created: at.Time, Touched: at.Revision,
	})
	return nil
}

// Change starts, pauses, resumes or cancels a wave.
func (o *Rollouts) Change(at tackentry.At, r *tackroster.Roster, c *tackcommand.ChangeWave) *tackentry.RefusedError {
	w := o.waves.Get(c.Wave)
	if w == nil {
		return missing(c.Wave)
	}
	var refused *tackentry.RefusedError
	switch c.Change {
	case tackcommand.WaveStart:
		refused = w.start(at, r)
	case tackcommand.WavePause:
		refused = w.pause(at, r)
	case tackcommand.WaveResume:
		refused = w.resume(at, r)
	case tackcommand.WaveCancel:
		refused = o.cancel(at, r, w)
	default:
		refused = tackentry.Refuse(tackentry.CodeInvalid, "unknown change %q of a wave", c.Change)
	}
	if refused == nil {
		w.Touched = at.Revision
	}
	return refused
}

// start starts the wave with the VMs that are in its pool now. VMs that join
// the pool later are not part of the wave.
func (w *Wave) start(at tackentry.At, r *tackroster.Roster) *tackentry.RefusedError {
	if w.Status != WavePlanned {
		return w.refuse("start")
	}
	for _, id := range r.Members(w.Pool) {
		if r.VM(id).State != tackroster.VMMoving {
			w.VMs = append(w.VMs, WaveVM{VM: id, Since: at.Time})
		}
	}
	w.Status = WaveRunning
	w.Started = at.Time
	w.Resumed = at.Time
	return nil
}

func (w *Wave) pause(at tackentry.At, r *tackroster.Roster) *tackentry.RefusedError {
	if w.Status != WaveRunning {
		return w.refuse("pause")
	}
	w.releaseDraining(at, r, PhaseWaiting)
	w.Status = WavePaused
	return nil
}

// resume continues a paused or stopped wave. Failed VMs that an operator has
// returned to service are maintained again.
func (w *Wave) resume(at tackentry.At, r *tackroster.Roster) *tackentry.RefusedError {
	if w.Status != WavePaused && w.Status != WaveStopped {
		return w.refuse("resume")
	}
	for i := range w.VMs {
		m := &w.VMs[i]
		if m.Phase != PhaseFailed {
			continue
		}
		if v := r.VM(m.VM); v != nil && v.Pool == w.Pool && v.State == tackroster.VMInService {
			m.setPhase(PhaseWaiting, at.Time)
		}
	}
	w.Status = WaveRunning
	w.Resumed = at.Time
	w.Reason = ""
	return nil
}

func (o *Rollouts) cancel(at tackentry.At, r *tackroster.Roster, w *Wave) *tackentry.RefusedError {
	if w.ended() {
		return w.refuse("cancel")
	}
	w.releaseDraining(at, r, PhaseSkipped)
	for i := range w.VMs {
		if w.VMs[i].Phase == PhaseWaiting {
			w.VMs[i].setPhase(PhaseSkipped, at.Time)
		}
	}
	o.end(at, w, WaveCancelled)
	return nil
}
