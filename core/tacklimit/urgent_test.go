package tacklimit_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
)

type (
	// timedRequest is a request with its service time.
	timedRequest struct {
		tacklimit.Request
		serviceTime tackclock.Duration
		offered     tackclock.Time
	}

	// simulation runs requests through a Gate on a simulated clock.
	simulation struct {
		gate    tacklimit.Gate
		now     tackclock.Time
		next    uint64
		offers  map[uint64]timedRequest
		ends    map[uint64]tackclock.Time
		waits   map[tackid.Team][]tackclock.Duration
		refused map[tackid.Team]int
		expired int
	}
)

func newSimulation(slots int) *simulation {
	s := &simulation{now: tackclock.Time(tackclock.Hour), offers: make(map[uint64]timedRequest),
		ends: make(map[uint64]tackclock.Time), waits: make(map[tackid.Team][]tackclock.Duration),
		refused: make(map[tackid.Team]int)}
	s.gate.SetCapacity(slots)
	return s
}

// offer offers a request with the service time and a deadline after the timeout.
func (s *simulation) offer(team tackid.Team, class tackid.Class, serviceTime, timeout tackclock.Duration) tacklimit.Verdict {
	s.next++
	r := tacklimit.Request{ID: s.next, Team: team, Class: class, Deadline: s.now.Add(timeout)}
	s.offers[r.ID] = timedRequest{Request: r, serviceTime: serviceTime, offered: s.now}
	v := s.gate.Offer(s.now, r)
	switch v.Decision {
	case tacklimit.Admitted:
		s.start(r.ID)
	case tacklimit.Refused:
		s.refused[team]++
	}
	return v
}

func (s *simulation) start(ids ...uint64) {
	for _, id := range ids {
		o := s.offers[id]
		s.ends[id] = s.now.Add(o.serviceTime)
		s.waits[o.Team] = append(s.waits[o.Team], s.now.Sub(o.offered))
	}
}

// run advances the clock by the span and calls arrive before each millisecond.
func (s *simulation) run(span tackclock.Duration, arrive func()) {
	for end := s.now.Add(span); s.now < end; s.now++ {
		arrive()
		var done []uint64
		for id, at := range s.ends {
			if at <= s.now {
				done = append(done, id)
			}
		}
		for _, id := range done {
			delete(s.ends, id)
			s.start(s.gate.Release(s.now, id)...)
		}
		if s.now%10 == 0 {
			started, expired := s.gate.Tick(s.now)
			s.start(started...)
			s.expired += len(expired)
		}
	}
}

func (s *simulation) every(interval tackclock.Duration, do func()) {
	if s.now%tackclock.Time(interval) == 0 {
		do()
	}
}

func largest(waits []tackclock.Duration) tackclock.Duration {
	var most tackclock.Duration
	for _, w := range waits {
		most = max(most, w)
	}
	return most
}

// assertPrompt checks that at least n requests of the team started, each within
// 2.3 s, and that none was refused.
func assertPrompt(s *simulation, team tackid.Team, n int) {
	convey.So(s.refused[team], convey.ShouldEqual, 0)
	convey.So(len(s.waits[team]), convey.ShouldBeGreaterThanOrEqualTo, n)
	convey.So(largest(s.waits[team]), convey.ShouldBeLessThanOrEqualTo, 2300*tackclock.Millisecond)
}

// An urgent request must start in time after other teams have filled all slots
// and the queue with requests of ten seconds. It waited for many seconds when
// the queue was full of requests of lower classes, or when no slot was released
// before the first of the slow requests ended.
func TestUrgentStartsUnderFlood(t *testing.T) {
	floods := []struct {
		name        string
		teams       int
		class       func(i int) tackid.Class
		serviceTime tackclock.Duration
	}{
		{"flood of normal requests from one team", 1, func(int) tackid.Class { return tackid.ClassNormal }, 10 * tackclock.Second},
		{"flood of normal and batch requests from 44 teams", 44, func(i int) tackid.Class { return tackid.Class(i % 2 * 2) }, 10 * tackclock.Second},
		{"flood of urgent requests from one team", 1, func(int) tackid.Class { return tackid.ClassUrgent }, 10 * tackclock.Second},
		{"flood of short urgent requests from 44 teams", 44, func(int) tackid.Class { return tackid.ClassUrgent }, 50 * tackclock.Millisecond},
	}
	for _, slots := range []int{5, 64} {
		for _, flood := range floods {
			t.Run(fmt.Sprintf("%d slots/%s", slots, flood.name), func(t *testing.T) {
				convey.Convey(flood.name, t, func() {
					s := newSimulation(slots)
					s.run(20*tackclock.Second, func() {
						for i := range 4 {
							team := tackid.Team(fmt.Sprint("flood-", (int(s.now)*4+i)%flood.teams))
							s.offer(team, flood.class(int(s.now)+i), flood.serviceTime, 30*tackclock.Second)
						}
						s.every(500, func() {
							s.offer("dispatch", tackid.ClassUrgent, 50, 5*tackclock.Second)
						})
					})
					assertPrompt(s, "dispatch", 39)
				})
			})
		}
	}
}

// Requests of a team must start while another team keeps the queue full of
// requests of a higher class or the same one. They starved with a strict order
// by class, and with first-in, first-out order over all teams.
func TestNobodyStarves(t *testing.T) {
	tests := []struct {
		name         string
		flood, other tackid.Class
		least        int
	}{
		{"batch under urgent", tackid.ClassUrgent, tackid.ClassBatch, 15},
		{"normal under urgent", tackid.ClassUrgent, tackid.ClassNormal, 15},
		{"batch under normal", tackid.ClassNormal, tackid.ClassBatch, 15},
		{"normal under normal of another team", tackid.ClassNormal, tackid.ClassNormal, 38},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			convey.Convey(tt.name, t, func() {
				s := newSimulation(8)
				s.run(20*tackclock.Second, func() {
					s.offer("flood", tt.flood, 40, 30*tackclock.Second)
					s.every(500, func() { s.offer("other", tt.other, 40, 30*tackclock.Second) })
				})
				convey.So(len(s.waits["other"]), convey.ShouldBeGreaterThanOrEqualTo, tt.least)
			})
		})
	}
}

// At five times the capacity, a request that can't start in time must be refused
// when it arrives, with a time to wait before a retry. When all requests were
// queued, callers waited until their deadline, got no answer and retried at once.
func TestRefusedAtOnceWithRetryTime(t *testing.T) {
	convey.Convey("At five times the capacity", t, func() {
		s := newSimulation(10)
		var verdicts []tacklimit.Verdict
		s.run(20*tackclock.Second, func() {
			v := s.offer("many", tackid.ClassNormal, 100, 2*tackclock.Second)
			if v.Decision == tacklimit.Refused && s.now > tackclock.Time(tackclock.Hour+10*tackclock.Second) {
				verdicts = append(verdicts, v)
			}
			for range 4 {
				s.every(10, func() { s.offer("many", tackid.ClassNormal, 100, 2*tackclock.Second) })
			}
		})
		convey.Convey("refusals carry a retry time that fits the rate of starts, and few requests expire in the queue", func() {
			convey.So(len(verdicts), convey.ShouldBeGreaterThan, 1000)
			for _, v := range verdicts {
				convey.So(v.Refusal.RetryAfter, convey.ShouldBeBetween, 1000, 3000)
			}
			convey.So(s.expired, convey.ShouldBeLessThan, s.refused["many"]/50)
		})
	})
}

// A team must be admitted to the queue after other teams have queued all they
// may. With a single bound on the whole queue, a flood from one team had every
// other team refused with queue_full.
func TestFloodLeavesRoomInQueue(t *testing.T) {
	convey.Convey("With 20 teams that have as many requests queued as they may", t, func() {
		var g tacklimit.Gate
		id := uint64(0)
		for team := range 20 {
			for range 5000 {
				id++
				g.Offer(1, tacklimit.Request{ID: id, Team: tackid.Team(fmt.Sprint(team))})
			}
		}
		convey.So(g.Waiting(), convey.ShouldBeLessThanOrEqualTo, 4096+20*16)
		v := g.Offer(1, tacklimit.Request{ID: id + 1, Team: "late comer"})
		convey.So(v.Decision, convey.ShouldEqual, tacklimit.Queued)
	})
}

// A team with short requests must hold as many slots as one whose requests take
// 40 times as long, when both always have requests waiting. When the teams took
// turns to start requests instead, it got hardly any slots.
func TestTeamsShareSlotsEvenly(t *testing.T) {
	convey.Convey("With long and short requests on 16 slots", t, func() {
		s := newSimulation(16)
		var slotTime, short int
		s.run(20*tackclock.Second, func() {
			s.every(5, func() {
				s.offer("long", tackid.ClassNormal, 2000, 30*tackclock.Second)
				s.offer("short", tackid.ClassNormal, 50, 30*tackclock.Second)
			})
			if s.now < tackclock.Time(tackclock.Hour+5*tackclock.Second) {
				return
			}
			for id := range s.ends {
				slotTime++
				if s.offers[id].Team == "short" {
					short++
				}
			}
		})
		convey.So(float64(short)/float64(slotTime), convey.ShouldBeBetween, 0.45, 0.55)
	})
}
