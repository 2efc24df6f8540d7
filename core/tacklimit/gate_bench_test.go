package tacklimit_test

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
)

func BenchmarkOfferRelease(b *testing.B) {
	b.ReportAllocs()
	g := warmGate()
	for b.Loop() {
		offerRelease(g)
	}
}

func BenchmarkQueueStartRelease(b *testing.B) {
	b.ReportAllocs()
	g := warmGate()
	fillSlots(g)
	for b.Loop() {
		queueStartRelease(g)
	}
}

// BenchmarkCancel cancels n waiting requests, oldest first, and reports the time
// for each, which must not depend on n.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				g := queueOf(n)
				b.StartTimer()
				for id := range n {
					g.Cancel(2, uint64(id+1))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/cancel")
		})
	}
}

// A burst of 2,000 or 20,000 cancellations must not stall other requests, as it
// did when each cancellation searched the queue. The test checks what the
// cancellations allocate and leave behind, since timings depend on the machine;
// BenchmarkCancel reports those.
func TestCancelLeavesNothingBehind(t *testing.T) {
	for _, n := range []int{2000, 20000} {
		g := queueOf(n)
		id := uint64(0)
		allocs := testing.AllocsPerRun(n-1, func() {
			id++
			g.Cancel(2, id)
		})
		if allocs > 0 || g.Waiting() != 0 {
			t.Errorf("after %d cancellations %d wait, and each allocated %v times; want none", n, g.Waiting(), allocs)
		}
		if started, expired := g.Tick(tackclock.Time(tackclock.Hour)); len(started)+len(expired) > 0 {
			t.Errorf("cancelled requests are still queued: started %v, expired %v", started, expired)
		}
	}
}

func TestOfferReleaseAllocatesNothing(t *testing.T) {
	g := warmGate()
	if n := testing.AllocsPerRun(1000, func() { offerRelease(g) }); n > 0 {
		t.Errorf("Offer and Release allocate %v times, want 0", n)
	}
	fillSlots(g)
	if n := testing.AllocsPerRun(1000, func() { queueStartRelease(g) }); n > 0 {
		t.Errorf("Offer, Tick and Release of a request that waits allocate %v times, want 0", n)
	}
}

// warmGate returns a Gate with 64 slots that has served requests of 45 teams.
func warmGate() *tacklimit.Gate {
	g := new(tacklimit.Gate)
	g.SetCapacity(64)
	for i := range 45 * 64 {
		g.Offer(1, tacklimit.Request{ID: uint64(i + 1), Team: teamOf(i), Deadline: 1000})
		g.Release(2, uint64(i+1))
	}
	return g
}

func teamOf(i int) tackid.Team {
	return teams[i%len(teams)]
}

var teams = func() []tackid.Team {
	names := make([]tackid.Team, 45)
	for i := range names {
		names[i] = tackid.Team(fmt.Sprint("team-", i))
	}
	return names
}()

func offerRelease(g *tacklimit.Gate) {
	g.Offer(3, tacklimit.Request{ID: 1 << 40, Team: teams[3], Deadline: 1000})
	g.Release(4, 1<<40)
}

// fillSlots takes every slot with a long request.
func fillSlots(g *tacklimit.Gate) {
	for i := range 64 {
		g.Offer(5, tacklimit.Request{ID: 1<<41 + uint64(i), Team: teams[0], Deadline: 1 << 40})
	}
}

// queueStartRelease queues a request, releases another so that the first one
// starts, and restores the initial state.
func queueStartRelease(g *tacklimit.Gate) {
	g.Offer(6, tacklimit.Request{ID: 1 << 40, Team: teams[3], Deadline: 1 << 40})
	g.Release(6, 1<<41)
	g.Release(6, 1<<40)
	g.Offer(6, tacklimit.Request{ID: 1 << 41, Team: teams[0], Deadline: 1 << 40})
}

// queueOf returns a Gate with n waiting requests of 45 teams.
func queueOf(n int) *tacklimit.Gate {
	g := &tacklimit.Gate{Settings: tacklimit.Settings{Queue: 100 * n}}
	for id := range n {
		g.Offer(1, tacklimit.Request{ID: uint64(id + 1), Team: teamOf(id), Deadline: tackclock.Time(1000 + id%30000)})
	}
	return g
}
