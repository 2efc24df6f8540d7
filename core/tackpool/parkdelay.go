package tackpool

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// maxGaps is the number of idle times that are remembered. A pool of 50 VMs has as
	// many in a few bursts, so a change of the load takes effect within minutes.
	maxGaps = 512
	// minGaps is the number of idle times that must be known before they are used.
	minGaps = 64
	// minParkAfter is the shortest idle time after which a VM is parked. Parking it and
	// recalling it takes longer.
	minParkAfter = 2500 * tackclock.Millisecond
	// judgeInterval is the interval between evaluations of the idle times.
	judgeInterval = tackclock.Second
)

type (
	// ParkDelay determines the idle time after which VMs move to the standby pool, from how
	// long VMs were idle before they were needed again. Its zero value has observed
	// nothing.
	//
	// Load pattern: bursts that follow each other within seconds, or by the hour, or
	// never. A VM that is kept idle costs money for that time; one that is parked and
	// then needed costs two moves, and what callers lose while it is on its way. With the
	// break-even time alone, all VMs of a service without load at night are kept idle for
	// that long; with a short time, each burst begins without the VMs that it needs.
	ParkDelay struct {
		idle      map[tackid.VM]idleVM
		round     uint64               // number of calls of Observe
		gaps      []tackclock.Duration // ring buffer of the newest idle times
		next      int                  // index in gaps of the next one
		nextJudge tackclock.Time
		after     tackclock.Duration
	}

	// idleVM is a VM that has been idle or parked since the given time. It was last
	// observed in the given round.
	idleVM struct {
		since tackclock.Time
		round uint64
	}
)

// Observe records the state of the VMs. The idle time of a VM ends when it runs
// something, or is sent to a pool other than the standby pool.
func (r *ParkDelay) Observe(now tackclock.Time, pools []Pool) {
	if r.idle == nil {
		r.idle = make(map[tackid.VM]idleVM)
	}
	r.round++
	for i := range pools {
		for k := range pools[i].VMs {
			r.observeVM(now, &pools[i].VMs[k], pools[i].Standby)
		}
		for k := range pools[i].Incoming {
			if name := pools[i].Incoming[k].Name; !pools[i].Standby {
				r.endIdle(now, name)
			} else if x, known := r.idle[name]; known {
				x.round = r.round
				r.idle[name] = x
			}
		}
	}
	for name, x := range r.idle {
		if x.round != r.round {
			delete(r.idle, name) // the VM is gone or unreachable
		}
	}
}

func (r *ParkDelay) observeVM(now tackclock.Time, vm *VM, standby bool) {
	if vm.Idle == 0 && !standby {
		r.endIdle(now, vm.Name)
		return
	}
	x, known := r.idle[vm.Name]
	if !known && vm.Idle == 0 {
		return
	}
	if !known {
		x.since = now.Add(-vm.Idle)
	}
	x.round = r.round
	r.idle[vm.Name] = x
}

// endIdle ends the idle time of a VM.
func (r *ParkDelay) endIdle(now tackclock.Time, name tackid.VM) {
	x, known := r.idle[name]
	if !known {
		return
	}
	delete(r.idle, name)
	gap := now.Sub(x.since)
	if len(r.gaps) < maxGaps {
		r.gaps = append(r.gaps, gap)
		return
	}
	r.gaps[r.next] = gap
	r.next = (r.next + 1) % maxGaps
}

// Known returns the number of remembered idle times.
func (r *ParkDelay) Known() int {
	return len(r.gaps)
}

// After returns the idle time after which a VM should be parked. breakEven is the idle
// time that costs as much as parking and recalling a VM; After returns it while too few
// idle times are known, and never returns more.
func (r *ParkDelay) After(now tackclock.Time, breakEven tackclock.Duration) tackclock.Duration {
	if now < r.nextJudge && r.after > 0 {
		return min(r.after, breakEven)
	}
	r.nextJudge = now.Add(judgeInterval)
	r.after = cheapest(r.known(now, breakEven), breakEven)
	return r.after
}

// known returns the remembered idle times, and the current ones that are longer than
// breakEven already.
func (r *ParkDelay) known(now tackclock.Time, breakEven tackclock.Duration) []tackclock.Duration {
	gaps := slices.Clone(r.gaps)
	for _, x := range r.idle {
		if now.Sub(x.since) > breakEven {
			gaps = append(gaps, now.Sub(x.since))
		}
	}
	return gaps
}

// cheapest returns the time before parking that would have cost least over the gaps: a VM
// that was needed sooner costs its gap, any other one the time before parking and the
// break-even time.
func cheapest(gaps []tackclock.Duration, breakEven tackclock.Duration) tackclock.Duration {
	if len(gaps) < minGaps {
		return breakEven
	}
	slices.Sort(gaps)
	best, bestCost := breakEven, cost(gaps, breakEven, breakEven)
	var waited tackclock.Duration // sum of the gaps so far
	for i, gap := range gaps {
		if gap > breakEven {
			break
		}
		waited += gap
		after := max(gap, minParkAfter)
		if i+1 < len(gaps) && max(gaps[i+1], minParkAfter) == after {
			continue // the next gap has the same time before parking
		}
		longer := tackclock.Duration(len(gaps) - 1 - i)
		if c := waited + longer*(after+breakEven); c < bestCost {
			best, bestCost = after, c
		}
	}
	return min(breakEven, max(best, minParkAfter))
}

// cost returns the cost of the gaps if VMs are parked after the given time.
func cost(gaps []tackclock.Duration, after, breakEven tackclock.Duration) tackclock.Duration {
	var sum tackclock.Duration
	for _, gap := range gaps {
		if gap <= after {
			sum += gap
		} else {
			sum += after + breakEven
		}
	}
	return sum
}
