package tackpool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const breakEven = 30 * tackclock.Second

// gapPattern returns the length of the next idle time of a VM under some load.
type gapPattern func(r *rand.Rand) tackclock.Duration

// replay simulates VMs with idle times of the pattern between items of half a second. It
// returns what the idle time costs with the time before parking that ParkDelay
// determines, and with fixed ones.
func replay(gaps gapPattern, fixed ...tackclock.Duration) (judged tackclock.Duration, others []tackclock.Duration) {
	const (
		vms    = 20
		rounds = 120
		run    = 500 * tackclock.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	others = make([]tackclock.Duration, len(fixed))
	var r ParkDelay
	now := tackclock.Time(1_000_000)
	for range rounds {
		var pool Pool
		for n := range vms {
			pool.VMs = append(pool.VMs, VM{Name: tackid.VM(fmt.Sprint(n)), Idle: 1})
		}
		r.Observe(now, []Pool{pool})
		began := now
		for n := range vms {
			gap := gaps(random)
			after := r.After(began, breakEven)
			judged += cost([]tackclock.Duration{gap}, after, breakEven)
			for i, f := range fixed {
				others[i] += cost([]tackclock.Duration{gap}, f, breakEven)
			}
			pool.VMs[n].Idle = 0
			r.idle[pool.VMs[n].Name] = idleVM{since: began}
			r.endIdle(began.Add(gap), pool.VMs[n].Name)
			now = max(now, began.Add(gap))
		}
		r.Observe(now, []Pool{pool})
		now = now.Add(run)
	}
	return judged, others
}

// No fixed time before parking suits all loads: VMs are kept idle for hours for queues
// with a burst once an hour, or are missing at the start of each burst of queues with one
// every few seconds.
func TestParkDelayFollowsLoadPattern(t *testing.T) {
	around := func(d tackclock.Duration) gapPattern {
		return func(r *rand.Rand) tackclock.Duration { return d*9/10 + tackclock.Duration(r.Int64N(int64(d)/5)) }
	}
	short := func(r *rand.Rand) tackclock.Duration { return tackclock.Duration(100 + r.Int64N(1400)) }
	bursts := func(d tackclock.Duration) gapPattern {
		return func(r *rand.Rand) tackclock.Duration {
			if r.IntN(4) > 0 {
				return short(r)
			}
			return around(d)(r)
		}
	}
	for _, test := range []struct {
		name string
		gaps gapPattern
		// overBest is the maximum excess over the cost of the best fixed time, in
		// percent. The excess is the cost before the pattern is known.
		overBest int
	}{
		{"bursts every 5 s", bursts(5 * tackclock.Second), 0},
		{"bursts every 60 s", bursts(tackclock.Minute), 10},
		{"bursts every 30 min", bursts(30 * tackclock.Minute), 10},
		{"steady work", short, 0},
		{"random", func(r *rand.Rand) tackclock.Duration {
			return tackclock.Duration(r.ExpFloat64() * float64(40*tackclock.Second))
		}, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			judged, fixed := replay(test.gaps, minParkAfter, 10*tackclock.Second, breakEven, tackclock.Hour)
			best := min(fixed[0], fixed[1], fixed[2], fixed[3])
			if judged > best+best*tackclock.Duration(test.overBest)/100 {
				t.Errorf("cost %v, fixed times %v, the best of them %v", judged, fixed, best)
			}
			t.Logf("cost %v, after 2.5 s %v, 10 s %v, 30 s %v, never %v", judged, fixed[0], fixed[1], fixed[2], fixed[3])
		})
	}
}

func TestParkDelayNeverExceedsBreakEven(t *testing.T) {
	gaps := make([]tackclock.Duration, minGaps)
	for _, breakEven := range []tackclock.Duration{100, tackclock.Second, tackclock.Minute} {
		if got := cheapest(gaps, breakEven); got > breakEven {
			t.Errorf("parked after %v, want at most the break-even time %v", got, breakEven)
		}
	}
}

func TestParkDelayStartsAtBreakEven(t *testing.T) {
	var r ParkDelay
	if got := r.After(1000, breakEven); got != breakEven {
		t.Errorf("parked after %v, want the break-even time", got)
	}
	r.Observe(1000, []Pool{{VMs: idle("a")}, {Standby: true, VMs: idle("b")}})
	r.Observe(5000, []Pool{{VMs: busy("a")}, {Incoming: idle("b")}})
	if len(r.gaps) != 2 || r.gaps[0] != 5000 {
		t.Errorf("idle times %v, want two, the first of 5 s", r.gaps)
	}
	r.Observe(6000, []Pool{{VMs: idle("a")}})
	r.Observe(7000, nil)
	if len(r.idle) != 0 {
		t.Errorf("VMs that are gone are still recorded as idle: %v", r.idle)
	}
}
