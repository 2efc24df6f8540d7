package tackroute_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

// flight is a request in a model of backend servers.
type flight struct {
	to   tackroute.Candidate
	ends tackclock.Time
}

// bench sends requests to backend servers of which some fail.
type bench struct {
	chooser tackroute.Chooser
	now     tackclock.Time
	fails   func(tackid.BackendServer) bool
	flights []flight
	sent    map[tackid.BackendServer]int
	failed  int
	pick    picker
	random  *rand.Rand
}

func newBench(servers int, fails func(tackid.BackendServer) bool) *bench {
	b := &bench{fails: fails, sent: make(map[tackid.BackendServer]int), random: rand.New(rand.NewPCG(1, 1))}
	b.pick = func(b *bench) (tackroute.Candidate, bool) {
		return b.chooser.Pick(b.now, tackroute.Ask{Home: here})
	}
	b.chooser.SetCandidates(candidates(here, servers))
	return b
}

// run sends one request each millisecond. A failure takes 1 ms, an answer 20.
func (b *bench) run(span tackclock.Duration) {
	for end := b.now.Add(span); b.now < end; b.now++ {
		b.land()
		to, ok := b.pick(b)
		if !ok {
			continue
		}
		b.sent[to.BackendServer]++
		took := tackclock.Duration(20)
		if b.fails(to.BackendServer) {
			took = 1
		}
		b.flights = append(b.flights, flight{to: to, ends: b.now.Add(took)})
	}
}

func (b *bench) land() {
	var still []flight
	for _, f := range b.flights {
		if f.ends > b.now {
			still = append(still, f)
			continue
		}
		outcome := tackroute.Outcome{Latency: 20}
		if b.fails(f.to.BackendServer) {
			outcome = tackroute.Outcome{Result: tackroute.Failed, Latency: 1}
			b.failed++
		}
		b.chooser.Done(b.now, f.to, outcome)
	}
	b.flights = still
}

// Symptom: one broken backend server of eight fails most requests of the service.
// Sequence: it fails each request within a millisecond, so it is idle whenever
// the next request comes, and gets that one too.
// Cause: the choice went by load alone.
func TestFastFailureAttractsNoWork(t *testing.T) {
	convey.Convey("With one of eight backend servers failing at once", t, func() {
		const bad tackid.BackendServer = "rennes-a-3"
		broken := true
		b := newBench(8, func(name tackid.BackendServer) bool { return broken && name == bad })
		b.run(30 * tackclock.Second)
		convey.So(b.failed, convey.ShouldBeLessThan, 20)
		convey.Convey("it wins its share back by probes once it is mended", func() {
			broken = false
			b.run(20 * tackclock.Second)
			clear(b.sent)
			b.run(8 * tackclock.Second)
			convey.So(b.sent[bad], convey.ShouldBeGreaterThan, 800)
		})
	})
}

// Symptom: a service refuses everything though its backend servers are up.
// Sequence: a fault that all of them share fails every request for a while;
// each is ejected in turn, and when the fault ends none may be chosen.
// Cause: ejection looked at each backend server by itself.
func TestNeverEjectsAll(t *testing.T) {
	tests := []struct {
		name string
		bad  func(tackid.BackendServer) bool
	}{
		{"all fail", func(tackid.BackendServer) bool { return true }},
		{"all but one fail", func(name tackid.BackendServer) bool { return name != "rennes-a-0" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			convey.Convey(tt.name, t, func() {
				b := newBench(6, tt.bad)
				for range 1000 {
					b.run(10)
					convey.So(b.chooser.Capacity(b.now, tackroute.Ask{Home: here}), convey.ShouldBeGreaterThan, 0)
				}
			})
		})
	}
}

// Symptom: callers time out one after another on a backend server whose
// connections go silent, while others are idle.
// Sequence: three requests in a row end without progress.
// Cause: a request that ends by silence was not held against the backend server.
func TestSilentIsAvoided(t *testing.T) {
	convey.Convey("After three silent requests", t, func() {
		var c tackroute.Chooser
		c.SetCandidates(candidates(here, 2))
		silent := tackid.BackendServer("rennes-a-0")
		for range 3 {
			got, _ := c.Pick(0, tackroute.Ask{Home: here, Exclude: []tackid.BackendServer{"rennes-a-1"}})
			convey.So(got.BackendServer, convey.ShouldEqual, silent)
			c.Done(0, got, tackroute.Outcome{Result: tackroute.Silent})
		}
		for range 8 {
			got, ok := c.Pick(1, tackroute.Ask{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.BackendServer, convey.ShouldNotEqual, silent)
		}
	})
}

// picker is a way of choosing, for the comparison with plain baselines.
type picker func(b *bench) (tackroute.Candidate, bool)

// BenchmarkChoice counts failed requests of 1,000 a second while one or four of
// eight backend servers fail at once, beside plain ways of choosing.
func BenchmarkChoice(b *testing.B) {
	table := candidates(here, 8)
	ways := map[string]picker{
		"chooser":      nil,
		"least_loaded": func(b *bench) (tackroute.Candidate, bool) { return leastLoaded(b, table), true },
		"random":       func(b *bench) (tackroute.Candidate, bool) { return table[b.random.IntN(8)], true },
		"round_robin":  func(b *bench) (tackroute.Candidate, bool) { return table[int(b.now)%8], true },
	}
	for _, broken := range []int{1, 4} {
		for _, name := range slices.Sorted(maps.Keys(ways)) {
			b.Run(fmt.Sprintf("broken=%d/%s", broken, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m := newBench(8, func(s tackid.BackendServer) bool { return s < tackid.BackendServer(fmt.Sprint(here, "-", broken)) })
					if ways[name] != nil {
						m.pick = ways[name]
					}
					m.run(30 * tackclock.Second)
					b.ReportMetric(float64(m.failed)/300, "failed_%")
				}
			})
		}
	}
}

func leastLoaded(b *bench, table []tackroute.Candidate) tackroute.Candidate {
	inFlight := make(map[tackid.BackendServer]int)
	for _, f := range b.flights {
		inFlight[f.to.BackendServer]++
	}
	best := table[0]
	for _, c := range table[1:] {
		if inFlight[c.BackendServer] < inFlight[best.BackendServer] {
			best = c
		}
	}
	return best
}

// Guards against a service that answers nothing although a backend server serves: it was
// ejected since others did better, and those have left since.
func TestLastCandidateIsReadmitted(t *testing.T) {
	var c tackroute.Chooser
	table := candidates(here, 2)
	c.SetCandidates(table)
	others := tackroute.Ask{Home: here, Exclude: []tackid.BackendServer{table[0].BackendServer}}
	for range 5 {
		got, _ := c.Pick(0, others)
		c.Done(0, got, tackroute.Outcome{Result: tackroute.Silent})
	}
	if got := c.Capacity(0, others); got != table[0].Slots {
		t.Fatalf("capacity of %d, want that of the other alone, %d", got, table[0].Slots)
	}
	c.SetCandidates(table[1:])
	if got := c.Capacity(0, tackroute.Ask{Home: here}); got != 1 {
		t.Errorf("capacity of %d with the ejected one alone, want a request on probation", got)
	}
}
