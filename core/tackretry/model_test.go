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
	// budget decides on retries; the baseline always allows them.
	budget interface {
		Record(tackclock.Time)
		Decide(tackclock.Time, tackretry.Attempt) tackretry.Decision
	}

	noBudget struct{}

	// chain is a request on its way through the backend servers.
	chain struct {
		tried []tackid.BackendServer
		to    tackroute.Candidate
		ends  tackclock.Time
		fails bool
	}

	// retryModel sends requests, one each millisecond, to backend servers of
	// which some fail.
	retryModel struct {
		budget  budget
		chooser tackroute.Chooser
		random  *rand.Rand
		rate    float64 // of failure on the bad half
		// blind chooses at random, without regard to outcomes.
		blind    bool
		servers  []tackroute.Candidate
		requests int
		sent     int
		answered int
		flights  []chain
	}
)

const settle = 5 * tackclock.Second

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

// run returns the dispatches for each request, and the part that was answered,
// once the budget has settled.
func (m *retryModel) run(span tackclock.Duration) (dispatches, answered float64) {
	for now := tackclock.Time(0); now < tackclock.Time(settle+span); now++ {
		if now == tackclock.Time(settle) {
			m.requests, m.sent, m.answered = 0, 0, 0
		}
		m.land(now)
		m.requests++
		m.budget.Record(now)
		m.dispatch(now, chain{})
	}
	return float64(m.sent) / float64(m.requests), float64(m.answered) / float64(m.requests)
}

func (m *retryModel) dispatch(now tackclock.Time, c chain) {
	to, ok := m.pick(now, c.tried)
	if !ok {
		return
	}
	m.sent++
	c.to = to
	c.tried = append(c.tried, to.BackendServer)
	c.ends = now.Add(20)
	c.fails = to.BackendServer < "names-api-4" && m.random.Float64() < m.rate
	if c.fails {
		c.ends = now.Add(1)
	}
	m.flights = append(m.flights, c)
}

func (m *retryModel) pick(now tackclock.Time, tried []tackid.BackendServer) (tackroute.Candidate, bool) {
	if m.blind {
		return m.servers[m.random.IntN(len(m.servers))], true
	}
	return m.chooser.Pick(now, tackroute.Ask{Home: "rennes-a", Exclude: tried})
}

func (m *retryModel) land(now tackclock.Time) {
	flights := m.flights
	m.flights = nil
	for _, c := range flights {
		switch {
		case c.ends > now:
			m.flights = append(m.flights, c)
		case c.fails:
			m.chooser.Done(now, c.to, tackroute.Outcome{Result: tackroute.Failed, Latency: 1})
			attempt := tackretry.Attempt{Idempotent: true, Tries: len(c.tried), TimeLeft: tackclock.Second}
			if m.budget.Decide(now, attempt).Retry {
				m.dispatch(now, c)
			}
		default:
			m.chooser.Done(now, c.to, tackroute.Outcome{Latency: 20})
			m.answered++
		}
	}
}

// Symptom: while half of the backend servers fail, the others get several times
// the load that callers send, and fail too.
// Sequence: each request that fails is sent again, and again.
// Cause: nothing bounded the retries of a service as a whole.
func TestDispatchesStayBounded(t *testing.T) {
	for _, rate := range []float64{1, 0.5, 0.2} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("rate %v seed %d", rate, seed), func(t *testing.T) {
				convey.Convey("With half of the backend servers failing", t, func() {
					m := newRetryModel(new(tackretry.Budget), seed, rate)
					convey.Convey("few requests are sent twice, and nearly all answered", func() {
						dispatches, answered := m.run(30 * tackclock.Second)
						convey.So(dispatches, convey.ShouldBeLessThan, 1.2)
						convey.So(answered, convey.ShouldBeGreaterThan, 0.9)
					})
					convey.Convey("few are sent twice also if they are chosen blindly", func() {
						m.blind = true
						dispatches, _ := m.run(30 * tackclock.Second)
						convey.So(dispatches, convey.ShouldBeLessThan, 1.2)
					})
				})
			})
		}
	}
}

// Symptom: as above, when every backend server fails and none can be avoided.
func TestDispatchesStayBoundedWhenAllFail(t *testing.T) {
	convey.Convey("With every retry allowed by all else", t, func() {
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

// BenchmarkRetries shows the budget beside retries without one.
func BenchmarkRetries(b *testing.B) {
	for _, rate := range []float64{1, 0.5, 0.2} {
		for _, way := range []string{"budget", "no_budget", "random_choice_and_budget", "random_choice_and_no_budget"} {
			b.Run(fmt.Sprintf("failing=%v/%s", rate, way), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m := newRetryModel(new(tackretry.Budget), 1, rate)
					m.blind = strings.HasPrefix(way, "random_choice")
					if strings.HasSuffix(way, "no_budget") {
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
