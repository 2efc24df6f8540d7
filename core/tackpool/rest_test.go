package tackpool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const breakEven = 30 * tackclock.Second

// fleetGaps is how long each of some VMs is idle, gap after gap, by a pattern of load.
type fleetGaps func(r *rand.Rand) tackclock.Duration

// replay has VMs be idle by the pattern for a while, between items of half a second,
// and returns what their idle time costs with the rest that is judged, and with a fixed
// one.
func replay(gaps fleetGaps, fixed ...tackclock.Duration) (judged tackclock.Duration, others []tackclock.Duration) {
	const (
		vms    = 20
		rounds = 120
		run    = 500 * tackclock.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	others = make([]tackclock.Duration, len(fixed))
	var r Rest
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
			r.needed(began.Add(gap), pool.VMs[n].Name)
			now = max(now, began.Add(gap))
		}
		r.Observe(now, []Pool{pool})
		now = now.Add(run)
	}
	return judged, others
}

// Symptom: VMs wait for hours beside queues that have their turn once an hour, or are
// missed at the start of each turn of queues that have theirs every few seconds. Cause:
// one time before rest for all loads.
func TestRestFollowsTheTurns(t *testing.T) {
	around := func(d tackclock.Duration) fleetGaps {
		return func(r *rand.Rand) tackclock.Duration { return d*9/10 + tackclock.Duration(r.Int64N(int64(d)/5)) }
	}
	short := func(r *rand.Rand) tackclock.Duration { return tackclock.Duration(100 + r.Int64N(1400)) }
	turns := func(d tackclock.Duration) fleetGaps {
		return func(r *rand.Rand) tackclock.Duration {
			if r.IntN(4) > 0 {
				return short(r)
			}
			return around(d)(r)
		}
	}
	for _, test := range []struct {
		name string
		gaps fleetGaps
		// overBest is the cost over that of the best fixed time, in percent, at most:
		// what is paid before the pattern is known.
		overBest int
	}{
		{"turns every 5 s", turns(5 * tackclock.Second), 0},
		{"turns every 60 s", turns(tackclock.Minute), 10},
		{"turns every 30 min", turns(30 * tackclock.Minute), 10},
		{"steady work", short, 0},
		{"random", func(r *rand.Rand) tackclock.Duration {
			return tackclock.Duration(r.ExpFloat64() * float64(40*tackclock.Second))
		}, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			judged, fixed := replay(test.gaps, leastRest, 10*tackclock.Second, breakEven, tackclock.Hour)
			best := min(fixed[0], fixed[1], fixed[2], fixed[3])
			if judged > best+best*tackclock.Duration(test.overBest)/100 {
				t.Errorf("cost %v, fixed times %v, the best of them %v", judged, fixed, best)
			}
			t.Logf("cost %v, after 2.5 s %v, 10 s %v, 30 s %v, never %v", judged, fixed[0], fixed[1], fixed[2], fixed[3])
		})
	}
}

func TestRestIsNeverLaterThanBreakEven(t *testing.T) {
	gaps := make([]tackclock.Duration, gapsMean)
	for _, breakEven := range []tackclock.Duration{100, tackclock.Second, tackclock.Minute} {
		if got := cheapest(gaps, breakEven); got > breakEven {
			t.Errorf("rest after %v, break-even after %v", got, breakEven)
		}
	}
}

func TestRestKnowsNothingAtFirst(t *testing.T) {
	var r Rest
	if got := r.After(1000, breakEven); got != breakEven {
		t.Errorf("rest after %v, want the break-even time", got)
	}
	r.Observe(1000, []Pool{{VMs: idle("a")}, {Standby: true, VMs: idle("b")}})
	r.Observe(5000, []Pool{{VMs: busy("a")}, {Coming: idle("b")}})
	if len(r.gaps) != 2 || r.gaps[0] != 5000 {
		t.Errorf("idle times %v, want two, the first of 5 s", r.gaps)
	}
	r.Observe(6000, []Pool{{VMs: idle("a")}})
	r.Observe(7000, nil)
	if len(r.idle) != 0 {
		t.Errorf("VMs that are gone are idle since %v", r.idle)
	}
}
