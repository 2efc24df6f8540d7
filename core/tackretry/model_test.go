package tackretry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackretry"
	"auburntack/core/tackroute"
)

type (
	// budget decides on retries; the baseline noBudget always allows them.
	budget interface {
		Record(tackclock.Time)
		Decide(tackclock.Time, tackretry.Attempt) tackretry.Decision
	}

	noBudget struct{}

	// inFlight is a request in flight, with the backend servers tried so far.
	inFlight struct {
		tried  []tackid.BackendServer
		server tackroute.Candidate
		ends   tackclock.Time
		fails  bool
	}

	// retryModel sends one request each millisecond to backend servers of
	// which some fail.
	retryModel struct {
		budget  budget
		chooser tackroute.Chooser
		random  *rand.Rand
		rate    float64 // failure rate of the bad half
		// randomChoice chooses at random, without regard to outcomes.
		randomChoice bool
		servers      []tackroute.Candidate
		requests     int
		sent         int
		answered     int
		inFlight     []inFlight
	}
)

const warmUp = 5 * tackclock.Second

func (noBudget) Record(tackclock.Time) {}

func (noBudget) Decide(_ tackclock.Time, a tackretry.Attempt) tackretry.Decision {
	return tackretry.Decision{Retry: a.Tries < 3}
}

func newRetryModel(b budget, seed uint64, rate float64) *retryModel {
	m := &retryModel{budget: b, random: rand.New(rand.NewPCG(seed, 3)), rate: rate}
	for i := range 8 {
		name := fmt.Sprint("names-api-", i)
		m.servers = append(m.servers, tackroute.Candidate{BackendServer: tackid.BackendServer(name), VM: tackid.VM(name),
			DataCentre: "rennes-a", Slots: 8, Incarnation: 1})
	}
	m.chooser.SetCandidates(m.servers)
	return m
}

// run returns the number of dispatches per request, and the part of the requests
// that were answered, after a warm-up.
func (m *retryModel) run(span tackclock.Duration) (dispatches, answered float64) {
	for now := tackclock.Time(0); now < tackclock.Time(warmUp+span); now++ {
		if now == tackclock.Time(warmUp) {
			m.requests, m.sent, m.answered = 0, 0, 0
		}
		m.complete(now)
		m.requests++
		m.budget.Record(now)
		m.dispatch(now, inFlight{})
	}
	return float64(m.sent) / float64(m.requests), float64(m.answered) / float64(m.requests)
}

func (m *retryModel) dispatch(now tackclock.Time, c inFlight) {
	to, ok := m.pick(now, c.tried)
	if !ok {
		return
	}
	m.sent++
	c.server = to
	c.tried = append(c.tried, to.BackendServer)
	c.ends = now.Add(20)
	c.fails = to.BackendServer < "names-api-4" && m.random.Float64() < m.rate
	if c.fails {
		c.ends = now.Add(1)
	}
	m.inFlight = append(m.inFlight, c)
}

func (m *retryModel) pick(now tackclock.Time, tried []tackid.BackendServer) (tackroute.Candidate, bool) {
	if m.randomChoice {
		return m.servers[m.random.IntN(len(m.servers))], true
	}
	return m.chooser.Pick(now, tackroute.Constraints{Home: "rennes-a", Exclude: tried})
}

func (m *retryModel) complete(now tackclock.Time) {
	flights := m.inFlight
	m.inFlight = nil
	for _, c := range flights {
		switch {
		case c.ends > now:
			m.inFlight = append(m.inFlight, c)
		case c.fails:
			m.chooser.Done(now, c.server, tackroute.Outcome{Result: tackroute.Failed, Latency: 1})
			attempt := tackretry.Attempt{Idempotent: true, Tries: len(c.tried), TimeLeft: tackclock.Second}
			if m.budget.Decide(now, attempt).Retry {
				m.dispatch(now, c)
			}
		default:
			m.chooser.Done(now, c.server, tackroute.Outcome{Latency: 20})
			m.answered++
		}
	}
}

// While half of the backend servers fail, retries must not multiply the load on
// the others until they fail too, as they did without a limit on the retries of
// a service as a whole.
func TestDispatchesStayBounded(t *testing.T) {
	for _, rate := range []float64{1, 0.5, 0.2} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("rate %v seed %d", rate, seed), func(t *testing.T) {
				convey.Convey("With half of the backend servers failing", t, func() {
					m := newRetryModel(new(tackretry.Budget), seed, rate)
					convey.Convey("few requests are sent twice, and nearly all are answered", func() {
						dispatches, answered := m.run(30 * tackclock.Second)
						convey.So(dispatches, convey.ShouldBeLessThan, 1.2)
						convey.So(answered, convey.ShouldBeGreaterThan, 0.9)
					})
					convey.Convey("few requests are sent twice if backend servers are chosen at random", func() {
						m.randomChoice = true
						dispatches, _ := m.run(30 * tackclock.Second)
						convey.So(dispatches, convey.ShouldBeLessThan, 1.2)
					})
				})
			})
		}
	}
}

// As TestDispatchesStayBounded, but every backend server fails, so that none can
// be avoided.
func TestDispatchesStayBoundedWhenAllFail(t *testing.T) {
	convey.Convey("With retries limited by the budget alone", t, func() {
		b := budgetAfter(10000)
		allowed := 0
		for range 10000 {
			b.Record(0)
			for tries := 1; tries < 3; tries++ {
				if b.Decide(0, tackretry.Attempt{Idempotent: true, Tries: tries, TimeLeft: tackclock.Second}).Retry {
					allowed++
				}
			}
		}
		convey.So(allowed, convey.ShouldBeLessThan, 2000)
	})
}

// BenchmarkRetries compares retries with and without a budget.
func BenchmarkRetries(b *testing.B) {
	for _, rate := range []float64{1, 0.5, 0.2} {
		for _, variant := range []string{"budget", "no_budget", "random_choice_and_budget", "random_choice_and_no_budget"} {
			b.Run(fmt.Sprintf("failing=%v/%s", rate, variant), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m := newRetryModel(new(tackretry.Budget), 1, rate)
					m.randomChoice = strings.HasPrefix(variant, "random_choice")
					if strings.HasSuffix(variant, "no_budget") {
						m.budget = noBudget{}
					}
					dispatches, answered := m.run(30 * tackclock.Second)
					b.ReportMetric(dispatches, "dispatches/request")
					b.ReportMetric(100*answered, "answered_%")
				}
			})
		}
	}
}
