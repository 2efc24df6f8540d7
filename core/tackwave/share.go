package tackwave

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
)

// timeMargin sets the safety margin of setSlots: one part in timeMargin of the
// remaining time is not planned for.
const timeMargin = 10

// runningWave is a wave that is taking VMs out of service.
type runningWave struct {
	wave     *tackfleet.Wave
	progress progress
	ends     tackclock.Time
}

// remaining returns the number of VMs that the wave has yet to finish.
func (r *runningWave) remaining() int {
	return len(r.progress.waiting) + r.progress.held()
}

// running returns the running waves in the order in which they take VMs: by
// the time at which they must end, then by the number of VMs left, largest
// first.
func (t *tick) running(waves []tackfleet.Wave) []runningWave {
	var running []runningWave
	for i := range waves {
		w := &waves[i]
		if w.Status == tackfleet.WaveRunning {
			running = append(running, runningWave{wave: w, progress: t.progress(w), ends: t.cfg.ends(w)})
		}
	}
	slices.SortStableFunc(running, func(a, b runningWave) int {
		return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(b.remaining(), a.remaining()))
	})
	return running
}

// setSlots sets how many more VMs the waves may take together. With
// PreferBuffer this is the smallest number with which all waves end in time,
// so waves over several pools take turns: for each deadline, the VMs of the
// waves due by then must fit into the rounds left until then. The number never
// decreases before the waves have ended: a wave that slowed down whenever it
// was ahead would have to take more VMs at once at its end.
func (t *tick) setSlots(running []runningWave) {
	t.slots = math.MaxInt
	if t.cfg.Prefer != PreferBuffer || len(running) == 0 {
		t.minParallel = 1
		return
	}
	cycle := t.times.away(t.cfg) + t.settling()
	due, held := 0, 0
	for i := range running {
		r := &running[i]
		due += r.remaining()
		held += r.progress.held()
		left := r.ends.Sub(t.now)
		rounds := int((left - left/timeMargin) / cycle)
		if rounds < 1 {
			return
		}
		t.minParallel = max(1, t.minParallel, (due+rounds-1)/rounds)
	}
	t.slots = t.minParallel - held
}
