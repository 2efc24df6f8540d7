package tackpool

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// gapsKept is how many idle times are remembered. A pool of 50 VMs has as many in
	// some turns, so that a change of the load counts within minutes.
	gapsKept = 512
	// gapsMean is how many must be known before they are gone by.
	gapsMean = 64
	// leastRest is the shortest idle time after which a VM rests. A move there and one
	// back take longer.
	leastRest = 2500 * tackclock.Millisecond
	// judgeEvery spaces out the judgement of the idle times.
	judgeEvery = tackclock.Second
)

type (
	// Rest judges after which idle time VMs go to the standby pool. It goes by how long
	// VMs were idle before they were needed again. Its zero value knows nothing yet.
	//
	// Load pattern: turns that follow each other within seconds, or by the hour, or
	// never. A VM that waits costs its keep; one that rests and is needed costs two
	// moves, and what callers lose while it is on its way. With the break-even time
	// alone, all VMs of an office that is quiet all night wait for as long as that; with
	// a short time, each turn begins without the VMs that it needs.
	Rest struct {
		idle    map[tackid.VM]idleVM
		round   uint64               // counts calls of Observe
		gaps    []tackclock.Duration // the newest idle times, as a ring
		next    int                  // where the next one goes
		judgeAt tackclock.Time
		after   tackclock.Duration
	}

	// idleVM is a VM that has been idle, or at rest, since a time. It was there in a round.
	idleVM struct {
		since tackclock.Time
		round uint64
	}
)

// Observe takes in how VMs stand. A VM's idle time ends when it runs something, or is
// sent to another pool than the standby pool.
func (r *Rest) Observe(now tackclock.Time, pools []Pool) {
	if r.idle == nil {
		r.idle = make(map[tackid.VM]idleVM)
	}
	r.round++
	for i := range pools {
		for k := range pools[i].VMs {
			r.observeVM(now, &pools[i].VMs[k], pools[i].Standby)
		}
		for k := range pools[i].Coming {
			if name := pools[i].Coming[k].Name; !pools[i].Standby {
				r.needed(now, name)
			} else if x, known := r.idle[name]; known {
				x.round = r.round
				r.idle[name] = x
			}
		}
	}
	for name, x := range r.idle {
		if x.round != r.round {
			delete(r.idle, name) // it is gone, or cut off
		}
	}
}

func (r *Rest) observeVM(now tackclock.Time, vm *VM, standby bool) {
	if vm.Idle == 0 && !standby {
		r.needed(now, vm.Name)
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

// needed ends a VM's idle time.
func (r *Rest) needed(now tackclock.Time, name tackid.VM) {
	x, known := r.idle[name]
	if !known {
		return
	}
	delete(r.idle, name)
	gap := now.Sub(x.since)
	if len(r.gaps) < gapsKept {
		r.gaps = append(r.gaps, gap)
		return
	}
	r.gaps[r.next] = gap
	r.next = (r.next + 1) % gapsKept
}

// Known is how many idle times are remembered.
func (r *Rest) Known() int {
	return len(r.gaps)
}

// After is the idle time after which a VM should rest. breakEven is the idle time that
// costs as much as a rest and a return; it is what After is while little is known, and
// at most.
func (r *Rest) After(now tackclock.Time, breakEven tackclock.Duration) tackclock.Duration {
	if now < r.judgeAt && r.after > 0 {
		return min(r.after, breakEven)
	}
	r.judgeAt = now.Add(judgeEvery)
	r.after = cheapest(r.known(now, breakEven), breakEven)
	return r.after
}

// known are the remembered idle times, and those that go on and are long already.
func (r *Rest) known(now tackclock.Time, breakEven tackclock.Duration) []tackclock.Duration {
	gaps := slices.Clone(r.gaps)
	for _, x := range r.idle {
		if now.Sub(x.since) > breakEven {
			gaps = append(gaps, now.Sub(x.since))
		}
	}
	return gaps
}

// cheapest is the idle time before rest that would have cost least over the gaps: a VM
// that was needed sooner costs its gap, another the wait and the break-even time.
func cheapest(gaps []tackclock.Duration, breakEven tackclock.Duration) tackclock.Duration {
	if len(gaps) < gapsMean {
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
		after := max(gap, leastRest)
		if i+1 < len(gaps) && max(gaps[i+1], leastRest) == after {
			continue // the next one is no longer
		}
		rest := tackclock.Duration(len(gaps) - 1 - i)
		if c := waited + rest*(after+breakEven); c < bestCost {
			best, bestCost = after, c
		}
	}
	return min(breakEven, max(best, leastRest))
}

// cost is what the gaps cost with rest after a time.
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
