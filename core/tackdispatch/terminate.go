package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// terminationTime is how long processes on a VM may go on after the platform has consented to
// take the VM down: the consent may be read before the last of them has ended.
const terminationTime = 250 * tackclock.Millisecond

// terminate removes a worker whose VM the platform takes down. What ran there may start
// elsewhere after terminationTime, or on the next incarnation of the VM.
func (d *Dispatcher) terminate(now tackclock.Time, w *worker, reason string) {
	f := d.newFormer(now, w)
	others := slices.Clone(w.orphans)
	for _, r := range w.runsInOrder() {
		switch {
		case r.sentIn == notSent:
		case r.copyReason == "" && !r.step.Speculative:
			d.holdItem(f, r)
		default:
			others = append(others, orphanRun{account: r.step.job.account, resources: r.step.Resources, byEarlierLeader: r.byEarlierLeader})
		}
	}
	for _, x := range others {
		f.charge(x)
	}
	d.remove(now, w, reason)
	d.formers.add(f)
	d.terminateFormer(now, f)
}

// terminateFormer records that the platform ends a former incarnation.
func (d *Dispatcher) terminateFormer(now tackclock.Time, f *former) {
	if len(f.charges) == 0 {
		d.endFormer(now, f)
		return
	}
	d.endedIncarnations[f.id] = now
	f.terminated, f.overdueAt = true, 0
	f.leaseOverAt = min(f.leaseOverAt, f.leaseUntil, now.Add(terminationTime))
}

// terminateFormers records that the platform ends those former incarnations on a VM that ends
// reports.
func (d *Dispatcher) terminateFormers(now tackclock.Time, vm tackid.VM, ends func(*former) bool) {
	for _, f := range slices.Clone(d.formers.byVM[vm]) {
		if ends(f) {
			d.terminateFormer(now, f)
		}
	}
}

// forget removes a former incarnation.
func (d *Dispatcher) forget(now tackclock.Time, f *former) {
	d.releaseItems(now, f)
	d.formers.remove(f)
}

// endFormer records that a former incarnation is over.
func (d *Dispatcher) endFormer(now tackclock.Time, f *former) {
	d.forget(now, f)
	d.endedIncarnations[f.id] = now
}

// releaseLapsed releases the items of former incarnations whose lease is over.
func (d *Dispatcher) releaseLapsed(now tackclock.Time) {
	for _, f := range slices.Clone(d.formers.holding) {
		switch {
		case f.terminated && now >= f.leaseOverAt:
			d.noteFormer(now, EventReleased, f, "terminated")
			d.endFormer(now, f)
		case !f.terminated && d.overSince(now, f.leaseOverAt):
			d.noteFormer(now, EventReleased, f, "lease ran out")
			d.releaseItems(now, f)
		}
	}
}
