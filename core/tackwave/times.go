package tackwave

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// meanSamples limits the weight of a new duration in the mean: in the long
	// run it is one part in meanSamples.
	meanSamples = 8
	// priorSamples is the number of samples that the expected duration counts
	// for in the mean.
	priorSamples = 3

	// repairHorizon is how long after a repair a loss counts as a second loss.
	// It is also the longest settling time.
	repairHorizon = 10 * tackclock.Minute
	// minSecondLosses is the number of second losses needed to derive the
	// settling time from them.
	minSecondLosses = 3
	// maxRepairs is the number of repairs that are remembered.
	maxRepairs = 512
	// acceptedShare is the share of repairs, one in acceptedShare, that may
	// be followed by a loss after the settling time.
	acceptedShare = 50
)

const (
	expectedDrain = 15 * tackclock.Second
	expectedBack  = 5 * tackclock.Second
)

type (
	// learnedDuration is a learned duration. Its zero value has no samples.
	learnedDuration struct {
		mean    tackclock.Duration
		samples int // number of samples, up to meanSamples-priorSamples
	}

	// times holds the learned durations of the maintenance of one VM.
	times struct {
		drain     learnedDuration
		operation learnedDuration
		back      learnedDuration
	}

	// repairs learns how long a repaired VM must serve before it can be
	// relied on.
	repairs struct {
		away    map[tackid.VM]bool
		back    map[tackid.VM]tackclock.Time
		delays  []tackclock.Duration // from a repair to the next loss, or noLoss
		losses  int                  // number of delays that are not noLoss
		learned tackclock.Duration   // the learned settling time
	}
)

// noLoss is the delay of a repair that was not followed by a loss.
const noLoss = repairHorizon + 1

// add adds a measured duration to the mean. The expected duration counts as
// priorSamples samples, so that one slow VM at the start does not make the
// whole night look late.
func (s *learnedDuration) add(d, expected tackclock.Duration) {
	if s.samples == 0 {
		s.mean = expected
	}
	s.samples = min(s.samples+1, meanSamples-priorSamples)
	s.mean += (d - s.mean) / tackclock.Duration(s.samples+priorSamples)
}

// or returns the mean, or d if there are no samples.
func (s *learnedDuration) or(d tackclock.Duration) tackclock.Duration {
	if s.samples > 0 {
		return s.mean
	}
	return d
}

// away returns how long a VM is expected to be out of service.
func (t *times) away(cfg Settings) tackclock.Duration {
	return t.drain.or(expectedDrain) + t.operation.or(cfg.Reboot) + t.back.or(expectedBack)
}

// observe updates the repairs from the state of one VM. A VM that was lost or
// under maintenance and serves again has been repaired.
func (r *repairs) observe(now tackclock.Time, vm *tackfleet.VM) {
	away := vm.Health == tackfleet.HealthLost || vm.State == tackfleet.VMMaintenance
	if !away && len(r.away) == 0 && len(r.back) == 0 {
		return
	}
	if r.away == nil {
		r.away = make(map[tackid.VM]bool)
		r.back = make(map[tackid.VM]tackclock.Time)
	}
	back, repaired := r.back[vm.ID]
	switch {
	case away && repaired:
		if vm.Health == tackfleet.HealthLost {
			r.add(now.Sub(back))
		}
		delete(r.back, vm.ID)
		r.away[vm.ID] = true
	case away:
		r.away[vm.ID] = true
	case repaired && now.Sub(back) > repairHorizon:
		r.add(noLoss)
		delete(r.back, vm.ID)
	case r.away[vm.ID] && vm.Available():
		r.back[vm.ID] = max(vm.Since, vm.HealthSince)
		delete(r.away, vm.ID)
	}
}

// settlingAfterRepair reports whether the VM was repaired less than d ago.
func (r *repairs) settlingAfterRepair(now tackclock.Time, vm tackid.VM, d tackclock.Duration) bool {
	back, ok := r.back[vm]
	return ok && now.Sub(back) < d
}

func (r *repairs) add(d tackclock.Duration) {
	r.delays = append(r.delays, d)
	r.losses += lossCount(d)
	if len(r.delays) > maxRepairs {
		r.losses -= lossCount(r.delays[0])
		r.delays = slices.Delete(r.delays, 0, 1)
	}
	r.learned = r.learn()
}

func lossCount(d tackclock.Duration) int {
	if d == noLoss {
		return 0
	}
	return 1
}

// learn returns the shortest settling time after which at most one repair in
// acceptedShare was followed by a loss. It returns zero if there were too few
// second losses.
func (r *repairs) learn() tackclock.Duration {
	accepted := len(r.delays) / acceptedShare
	if r.losses < minSecondLosses || r.losses <= accepted {
		return 0
	}
	sorted := slices.Clone(r.delays)
	slices.Sort(sorted)
	return sorted[r.losses-1-accepted]
}

// settling returns the learned settling time, but no less than least.
func (r *repairs) settling(least tackclock.Duration) tackclock.Duration {
	return max(least, min(r.learned, repairHorizon))
}
