package tackwave

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
)

// slackShare is kept of the time that is left when the fewest VMs that end in
// time are worked out, one part in slackShare.
const slackShare = 10

// runningWave is a wave that takes VMs out, and where it stands.
type runningWave struct {
	wave     *tackfleet.Wave
	progress progress
	ends     tackclock.Time
}

// todo returns how many VMs the wave has still to bring through.
func (r *runningWave) todo() int {
	return len(r.progress.waiting) + r.progress.held()
}

// running returns the running waves in the order in which they take VMs: the
// one that must end first, then the one with the most VMs left.
func (t *tick) running(waves []tackfleet.Wave) []runningWave {
	var running []runningWave
	for i := range waves {
		w := &waves[i]
		if w.Status == tackfleet.WaveRunning {
			running = append(running, runningWave{wave: w, progress: t.progress(w), ends: t.cfg.ends(w)})
		}
	}
	slices.SortStableFunc(running, func(a, b runningWave) int {
		return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(b.todo(), a.todo()))
	})
	return running
}

// share sets how many more VMs the waves may take together. To hold few VMs
// idle, waves over several pools take turns as long as all of them end in
// time: for each end, the VMs of the waves due by then must fit into the
// rounds that are left until then. The number does not go down again before
// the waves have ended: a wave that slowed down whenever it was ahead would
// have to take more VMs at once for its last ones.
func (t *tick) share(running []runningWave) {
	t.slots = math.MaxInt
	if t.cfg.Prefer != PreferBuffer || len(running) == 0 {
		t.fewest = 1
		return
	}
	cycle := t.times.away(t.cfg) + t.settling()
	due, held := 0, 0
	for i := range running {
		r := &running[i]
		due += r.todo()
		held += r.progress.held()
		left := r.ends.Sub(t.now)
		rounds := int((left - left/slackShare) / cycle)
		if rounds < 1 {
			return
		}
		t.fewest = max(1, t.fewest, (due+rounds-1)/rounds)
	}
	t.slots = t.fewest - held
}
