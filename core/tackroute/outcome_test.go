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

// flight is a request in flight in the simulation.
type flight struct {
	to   tackroute.Candidate
	ends tackclock.Time
}

// simulation sends requests to simulated backend servers of which some fail.
type simulation struct {
	chooser  tackroute.Chooser
	now      tackclock.Time
	fails    func(tackid.BackendServer) bool
	inFlight []flight
	sent     map[tackid.BackendServer]int
	failed   int
	pick     picker
	random   *rand.Rand
}

func newSimulation(servers int, fails func(tackid.BackendServer) bool) *simulation {
	s := &simulation{fails: fails, sent: make(map[tackid.BackendServer]int), random: rand.New(rand.NewPCG(1, 1))}
	s.pick = func(s *simulation) (tackroute.Candidate, bool) {
		return s.chooser.Pick(s.now, tackroute.Constraints{Home: here})
	}
	s.chooser.SetCandidates(candidates(here, servers))
	return s
}

// run sends one request each millisecond. A failure takes 1 ms, an answer 20 ms.
func (s *simulation) run(span tackclock.Duration) {
	for end := s.now.Add(span); s.now < end; s.now++ {
		s.complete()
		to, ok := s.pick(s)
		if !ok {
			continue
		}
		s.sent[to.BackendServer]++
		took := tackclock.Duration(20)
		if s.fails(to.BackendServer) {
			took = 1
		}
		s.inFlight = append(s.inFlight, flight{to: to, ends: s.now.Add(took)})
	}
}

func (s *simulation) complete() {
	var remaining []flight
	for _, f := range s.inFlight {
		if f.ends > s.now {
			remaining = append(remaining, f)
			continue
		}
		outcome := tackroute.Outcome{Latency: 20}
		if s.fails(f.to.BackendServer) {
			outcome = tackroute.Outcome{Result: tackroute.Failed, Latency: 1}
			s.failed++
		}
		s.chooser.Done(s.now, f.to, outcome)
	}
	s.inFlight = remaining
}

// One broken backend server of eight must not fail most requests of the service.
// It fails each request within a millisecond, so it is idle whenever the next
// request comes and, chosen by load alone, got that one too.
func TestFastFailureAttractsNoWork(t *testing.T) {
	convey.Convey("With one of eight backend servers failing at once", t, func() {
		const bad tackid.BackendServer = "rennes-a-3"
		broken := true
		s := newSimulation(8, func(name tackid.BackendServer) bool { return broken && name == bad })
		s.run(30 * tackclock.Second)
		convey.So(s.failed, convey.ShouldBeLessThan, 20)
		convey.Convey("it regains its share through probes once it works again", func() {
			broken = false
			s.run(20 * tackclock.Second)
			clear(s.sent)
			s.run(8 * tackclock.Second)
			convey.So(s.sent[bad], convey.ShouldBeGreaterThan, 800)
		})
	})
}

// A fault common to all backend servers must not get all of them ejected. When
// ejection considered each backend server by itself, a fault that failed every
// request for a while ejected one after another, and once it ended the service
// still refused all requests.
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
				s := newSimulation(6, tt.bad)
				for range 1000 {
					s.run(10)
					convey.So(s.chooser.Capacity(s.now, tackroute.Constraints{Home: here}), convey.ShouldBeGreaterThan, 0)
				}
			})
		})
	}
}

// A backend server on which three requests in a row made no progress must be
// avoided. When such requests did not count as failures, callers timed out on it
// one after another while other backend servers were idle.
func TestSilentIsAvoided(t *testing.T) {
	convey.Convey("After three silent requests", t, func() {
		var c tackroute.Chooser
		c.SetCandidates(candidates(here, 2))
		silent := tackid.BackendServer("rennes-a-0")
		for range 3 {
			got, _ := c.Pick(0, tackroute.Constraints{Home: here, Exclude: []tackid.BackendServer{"rennes-a-1"}})
			convey.So(got.BackendServer, convey.ShouldEqual, silent)
			c.Done(0, got, tackroute.Outcome{Result: tackroute.Silent})
		}
		for range 8 {
			got, ok := c.Pick(1, tackroute.Constraints{Home: here})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.BackendServer, convey.ShouldNotEqual, silent)
		}
	})
}

// picker is a policy for choosing a backend server.
type picker func(s *simulation) (tackroute.Candidate, bool)

// BenchmarkChoice reports how many of 1,000 requests per second fail while one or
// four of eight backend servers fail at once, for a Chooser and for baseline
// policies.
func BenchmarkChoice(b *testing.B) {
	table := candidates(here, 8)
	policies := map[string]picker{
		"chooser":      nil,
		"least_loaded": func(b *simulation) (tackroute.Candidate, bool) { return leastLoaded(b, table), true },
		"random":       func(b *simulation) (tackroute.Candidate, bool) { return table[b.random.IntN(8)], true },
		"round_robin":  func(b *simulation) (tackroute.Candidate, bool) { return table[int(b.now)%8], true },
	}
	for _, broken := range []int{1, 4} {
		for _, name := range slices.Sorted(maps.Keys(policies)) {
			b.Run(fmt.Sprintf("broken=%d/%s", broken, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m := newSimulation(8, func(s tackid.BackendServer) bool { return s < tackid.BackendServer(fmt.Sprint(here, "-", broken)) })
					if policies[name] != nil {
						m.pick = policies[name]
					}
					m.run(30 * tackclock.Second)
					b.ReportMetric(float64(m.failed)/300, "failed_%")
				}
			})
		}
	}
}

func leastLoaded(s *simulation, table []tackroute.Candidate) tackroute.Candidate {
	inFlight := make(map[tackid.BackendServer]int)
	for _, f := range s.inFlight {
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

// The last candidate must be readmitted if it was ejected because others did
// better and those have left since. Otherwise the service answers no requests
// although a backend server is available.
func TestLastCandidateIsReadmitted(t *testing.T) {
	var c tackroute.Chooser
	table := candidates(here, 2)
	c.SetCandidates(table)
	others := tackroute.Constraints{Home: here, Exclude: []tackid.BackendServer{table[0].BackendServer}}
	for range 5 {
		got, _ := c.Pick(0, others)
		c.Done(0, got, tackroute.Outcome{Result: tackroute.Silent})
	}
	if got := c.Capacity(0, others); got != table[0].Slots {
		t.Fatalf("capacity is %d, want that of the other candidate alone, %d", got, table[0].Slots)
	}
	c.SetCandidates(table[1:])
	if got := c.Capacity(0, tackroute.Constraints{Home: here}); got != 1 {
		t.Errorf("capacity is %d with the ejected candidate alone, want 1, for a request on probation", got)
	}
}
