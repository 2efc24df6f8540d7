package tackwave

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// learnRate is the weight of the newest duration, one part in learnRate.
	learnRate = 8
	// priorWeight is how many durations the expectation counts for.
	priorWeight = 3

	// repairHorizon is how long after a repair a loss counts as the second
	// one, and the longest settling time.
	repairHorizon = 10 * tackclock.Minute
	// minSecondLosses is how many second losses must have been seen before
	// the settling time follows them.
	minSecondLosses = 3
	// maxRepairs bounds how many repairs are remembered.
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
	// span is a learned duration. Its zero value has seen nothing.
	span struct {
		mean tackclock.Duration
		seen int // up to learnRate-priorWeight
	}

	// times are the durations of one VM's maintenance.
	times struct {
		drain     span
		operation span
		back      span
	}

	// repairs learns how long a VM that came back must serve before it can
	// be relied on.
	repairs struct {
		away    map[tackid.VM]bool
		back    map[tackid.VM]tackclock.Time
		delays  []tackclock.Duration // after a repair, to the next loss; noLoss for none
		losses  int                  // how many delays are not noLoss
		settled tackclock.Duration
	}
)

// noLoss stands for a repair that no loss followed.
const noLoss = repairHorizon + 1

// add takes in a duration that was seen. What was expected before the first
// one counts like a few: one slow VM must not make a whole night look late.
func (s *span) add(d, expected tackclock.Duration) {
	if s.seen == 0 {
		s.mean = expected
	}
	s.seen = min(s.seen+1, learnRate-priorWeight)
	s.mean += (d - s.mean) / tackclock.Duration(s.seen+priorWeight)
}

func (s *span) or(d tackclock.Duration) tackclock.Duration {
	if s.seen > 0 {
		return s.mean
	}
	return d
}

// away returns how long a VM is expected to be out of service.
func (t *times) away(cfg Settings) tackclock.Duration {
	return t.drain.or(expectedDrain) + t.operation.or(cfg.Reboot) + t.back.or(expectedBack)
}

// follow takes in the health of one VM. A VM that was away, lost or under
// maintenance, and serves again has been repaired.
func (r *repairs) follow(now tackclock.Time, vm *tackfleet.VM) {
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

// settlingAfterRepair reports whether the VM came back from a loss less than
// d ago.
func (r *repairs) settlingAfterRepair(now tackclock.Time, vm tackid.VM, d tackclock.Duration) bool {
	back, ok := r.back[vm]
	return ok && now.Sub(back) < d
}

func (r *repairs) add(d tackclock.Duration) {
	r.delays = append(r.delays, d)
	r.losses += lossIn(d)
	if len(r.delays) > maxRepairs {
		r.losses -= lossIn(r.delays[0])
		r.delays = slices.Delete(r.delays, 0, 1)
	}
	r.settled = r.learn()
}

func lossIn(d tackclock.Duration) int {
	if d == noLoss {
		return 0
	}
	return 1
}

// learn returns the shortest settling time after which at most one repair in
// acceptedShare was followed by a loss, zero where too few were seen.
func (r *repairs) learn() tackclock.Duration {
	accepted := len(r.delays) / acceptedShare
	if r.losses < minSecondLosses || r.losses <= accepted {
		return 0
	}
	sorted := slices.Clone(r.delays)
	slices.Sort(sorted)
	return sorted[r.losses-1-accepted]
}

// settling returns the settling time, at least least.
func (r *repairs) settling(least tackclock.Duration) tackclock.Duration {
	return max(least, min(r.settled, repairHorizon))
}
