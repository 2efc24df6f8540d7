package tacklimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
)

const (
	goodputSlots    = 64
	goodputService  = 50.0 // mean, in ms
	goodputWarmup   = 5 * tackclock.Second
	goodputDuration = 30 * tackclock.Second
)

type (
	// admission is an admission policy.
	admission interface {
		offer(now tackclock.Time, r tacklimit.Request) (started, refused bool)
		release(now tackclock.Time, id uint64) []uint64
		tick(now tackclock.Time) (started, expired []uint64)
	}

	gateAdmission struct{ gate tacklimit.Gate }

	// fifoAdmission is the baseline: an unbounded first-in, first-out queue
	// that ignores deadlines.
	fifoAdmission struct {
		running int
		queue   []uint64
	}

	// goodput holds the results of a run after its warm-up.
	goodput struct {
		// part is the fraction of slot time spent on requests that were
		// answered in time.
		part   float64
		urgent tackclock.Duration // the longest wait for a start
		// expired counts requests that expired in the queue, late those that
		// were answered after their deadline.
		offered, refused, expired, late int
	}

	goodputModel struct {
		policy   admission
		random   *rand.Rand
		now      tackclock.Time
		requests map[uint64]timedRequest
		ends     map[tackclock.Time][]uint64
		next     uint64
		count    goodput
		useful   tackclock.Duration
	}
)

func (a *gateAdmission) offer(now tackclock.Time, r tacklimit.Request) (started, refused bool) {
	d := a.gate.Offer(now, r).Decision
	return d == tacklimit.Admitted, d == tacklimit.Refused
}

func (a *gateAdmission) release(now tackclock.Time, id uint64) []uint64 {
	return slices.Clone(a.gate.Release(now, id))
}

func (a *gateAdmission) tick(now tackclock.Time) (started, expired []uint64) {
	return a.gate.Tick(now)
}

func (a *fifoAdmission) offer(_ tackclock.Time, r tacklimit.Request) (started, refused bool) {
	if a.running < goodputSlots {
		a.running++
		return true, false
	}
	a.queue = append(a.queue, r.ID)
	return false, false
}

func (a *fifoAdmission) release(_ tackclock.Time, _ uint64) []uint64 {
	if len(a.queue) == 0 {
		a.running--
		return nil
	}
	id := a.queue[0]
	a.queue = a.queue[1:]
	return []uint64{id}
}

func (a *fifoAdmission) tick(tackclock.Time) (started, expired []uint64) { return nil, nil }

// runGoodput simulates a load that is a multiple of the capacity of 64 slots: a
// tenth of the requests urgent, a fifth batch, from 45 teams, with exponential
// service times and a deadline of two seconds.
func runGoodput(policy admission, multiple float64, seed uint64) goodput {
	m := &goodputModel{policy: policy, random: rand.New(rand.NewPCG(seed, 5)), now: tackclock.Time(tackclock.Hour),
		requests: make(map[uint64]timedRequest), ends: make(map[tackclock.Time][]uint64)}
	mean := multiple * goodputSlots / goodputService
	warm := m.now.Add(goodputWarmup)
	for end := warm.Add(goodputDuration); m.now < end; m.now++ {
		if m.now == warm {
			m.count, m.useful = goodput{}, 0
		}
		m.finish()
		for t := m.random.ExpFloat64() / mean; t < 1; t += m.random.ExpFloat64() / mean {
			m.arrive()
		}
		if m.now%10 == 0 {
			started, expired := m.policy.tick(m.now)
			m.start(started)
			m.count.expired += len(expired)
		}
	}
	m.count.part = float64(m.useful) / float64(goodputDuration) / goodputSlots
	return m.count
}

func (m *goodputModel) finish() {
	ids := m.ends[m.now]
	delete(m.ends, m.now)
	for _, id := range ids {
		o := m.requests[id]
		if m.now <= o.Deadline {
			m.useful += o.serviceTime
		} else {
			m.count.late++
		}
		delete(m.requests, id)
		m.start(m.policy.release(m.now, id))
	}
}

func (m *goodputModel) arrive() {
	m.next++
	class := tackid.ClassNormal
	switch p := m.random.IntN(10); {
	case p == 0:
		class = tackid.ClassUrgent
	case p < 3:
		class = tackid.ClassBatch
	}
	r := tacklimit.Request{ID: m.next, Team: teamOf(m.random.IntN(45)), Class: class, Deadline: m.now.Add(2 * tackclock.Second)}
	serviceTime := 1 + tackclock.Duration(m.random.ExpFloat64()*(goodputService-1))
	m.requests[r.ID] = timedRequest{Request: r, serviceTime: serviceTime, offered: m.now}
	m.count.offered++
	started, refused := m.policy.offer(m.now, r)
	if started {
		m.start([]uint64{r.ID})
	}
	if refused {
		m.count.refused++
	}
}

func (m *goodputModel) start(ids []uint64) {
	for _, id := range ids {
		o := m.requests[id]
		at := m.now.Add(o.serviceTime)
		m.ends[at] = append(m.ends[at], id)
		if o.Class == tackid.ClassUrgent {
			m.count.urgent = max(m.count.urgent, m.now.Sub(o.offered))
		}
	}
}

func newGateAdmission() admission {
	a := new(gateAdmission)
	a.gate.SetCapacity(goodputSlots)
	return a
}

func newFIFOAdmission() admission { return new(fifoAdmission) }

// Past saturation, with callers that leave after two seconds, the service must
// still answer requests in time. The goodput fell towards zero when slots were
// spent on requests that had waited too long to be answered in time.
func TestGoodputPastSaturation(t *testing.T) {
	for _, multiple := range []float64{1.2, 2, 5} {
		t.Run(fmt.Sprint(multiple, " times the capacity"), func(t *testing.T) {
			convey.Convey("Most slot time goes to requests answered in time, and urgent ones start in time", t, func() {
				for seed := range uint64(3) {
					g := runGoodput(newGateAdmission(), multiple, seed)
					convey.So(g.part, convey.ShouldBeGreaterThan, 0.95)
					convey.So(g.urgent, convey.ShouldBeLessThan, 2300*tackclock.Millisecond)
				}
			})
		})
	}
}

func BenchmarkGoodput(b *testing.B) {
	policies := []struct {
		name string
		make func() admission
	}{{"gate", newGateAdmission}, {"fifo", newFIFOAdmission}}
	for _, multiple := range []float64{0.5, 1, 2, 5} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("load=%v/%s", multiple, policy.name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					g := runGoodput(policy.make(), multiple, 1)
					b.ReportMetric(100*g.part, "goodput_%")
					b.ReportMetric(float64(g.urgent), "urgent_wait_ms")
					b.ReportMetric(100*float64(g.refused)/float64(g.offered), "refused_%")
					b.ReportMetric(100*float64(g.expired)/float64(g.offered), "expired_%")
					b.ReportMetric(100*float64(g.late)/float64(g.offered), "late_%")
				}
			})
		}
	}
}
