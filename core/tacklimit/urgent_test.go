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
	// offer is a request with the time that it will take.
	offer struct {
		tacklimit.Request
		takes   tackclock.Duration
		offered tackclock.Time
	}

	// floor drives a Gate by a model clock.
	floor struct {
		gate    tacklimit.Gate
		now     tackclock.Time
		next    uint64
		offers  map[uint64]offer
		ends    map[uint64]tackclock.Time
		waits   map[tackid.Team][]tackclock.Duration
		refused map[tackid.Team]int
		late    int
	}
)

func newFloor(slots int) *floor {
	f := &floor{now: tackclock.Time(tackclock.Hour), offers: make(map[uint64]offer),
		ends: make(map[uint64]tackclock.Time), waits: make(map[tackid.Team][]tackclock.Duration),
		refused: make(map[tackid.Team]int)}
	f.gate.SetCapacity(slots)
	return f
}

// offer brings a request that waits at most patience.
func (f *floor) offer(team tackid.Team, class tackid.Class, takes, patience tackclock.Duration) tacklimit.Verdict {
	f.next++
	r := tacklimit.Request{ID: f.next, Team: team, Class: class, Deadline: f.now.Add(patience)}
	f.offers[r.ID] = offer{Request: r, takes: takes, offered: f.now}
	v := f.gate.Offer(f.now, r)
	switch v.Decision {
	case tacklimit.Admitted:
		f.start(r.ID)
	case tacklimit.Refused:
		f.refused[team]++
	}
	return v
}

func (f *floor) start(ids ...uint64) {
	for _, id := range ids {
		o := f.offers[id]
		f.ends[id] = f.now.Add(o.takes)
		f.waits[o.Team] = append(f.waits[o.Team], f.now.Sub(o.offered))
	}
}

// run lets a span pass and calls arrive before each millisecond of it.
func (f *floor) run(span tackclock.Duration, arrive func()) {
	for end := f.now.Add(span); f.now < end; f.now++ {
		arrive()
		var done []uint64
		for id, at := range f.ends {
			if at <= f.now {
				done = append(done, id)
			}
		}
		for _, id := range done {
			delete(f.ends, id)
			f.start(f.gate.Release(f.now, id)...)
		}
		if f.now%10 == 0 {
			started, expired := f.gate.Tick(f.now)
			f.start(started...)
			f.late += len(expired)
		}
	}
}

func (f *floor) every(interval tackclock.Duration, do func()) {
	if f.now%tackclock.Time(interval) == 0 {
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

// assertPrompt holds that the team had at least n starts, none refused and each
// within 2.3 s.
func assertPrompt(f *floor, team tackid.Team, n int) {
	convey.So(f.refused[team], convey.ShouldEqual, 0)
	convey.So(len(f.waits[team]), convey.ShouldBeGreaterThanOrEqualTo, n)
	convey.So(largest(f.waits[team]), convey.ShouldBeLessThanOrEqualTo, 2300*tackclock.Millisecond)
}

// Symptom: emergency dispatch waits for many seconds.
// Sequence: others send work of ten seconds until every slot and the queue are
// full; an urgent request comes.
// Cause: either the queue was full of lower classes, or no slot comes free
// before the first of the slow requests ends.
func TestUrgentStartsUnderFlood(t *testing.T) {
	floods := []struct {
		name  string
		teams int
		class func(i int) tackid.Class
		takes tackclock.Duration
	}{
		{"one team floods with normal work", 1, func(int) tackid.Class { return tackid.ClassNormal }, 10 * tackclock.Second},
		{"44 teams flood with normal and batch work", 44, func(i int) tackid.Class { return tackid.Class(i % 2 * 2) }, 10 * tackclock.Second},
		{"one team floods with urgent work", 1, func(int) tackid.Class { return tackid.ClassUrgent }, 10 * tackclock.Second},
		{"44 teams flood with short urgent work", 44, func(int) tackid.Class { return tackid.ClassUrgent }, 50 * tackclock.Millisecond},
	}
	for _, slots := range []int{5, 64} {
		for _, flood := range floods {
			t.Run(fmt.Sprintf("%d slots/%s", slots, flood.name), func(t *testing.T) {
				convey.Convey(flood.name, t, func() {
					f := newFloor(slots)
					f.run(20*tackclock.Second, func() {
						for i := range 4 {
							team := tackid.Team(fmt.Sprint("flood-", (int(f.now)*4+i)%flood.teams))
							f.offer(team, flood.class(int(f.now)+i), flood.takes, 30*tackclock.Second)
						}
						f.every(500, func() {
							f.offer("dispatch", tackid.ClassUrgent, 50, 5*tackclock.Second)
						})
					})
					assertPrompt(f, "dispatch", 39)
				})
			})
		}
	}
}

// Symptom: a team's requests are never started for as long as another floods.
// Sequence: one team keeps the queue full of a higher class or of the same.
// Cause: strict order by class, or first come first served over all teams.
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
				f := newFloor(8)
				f.run(20*tackclock.Second, func() {
					f.offer("flood", tt.flood, 40, 30*tackclock.Second)
					f.every(500, func() { f.offer("other", tt.other, 40, 30*tackclock.Second) })
				})
				convey.So(len(f.waits["other"]), convey.ShouldBeGreaterThanOrEqualTo, tt.least)
			})
		})
	}
}

// Symptom: a caller waits until its deadline and then learns that nothing was
// done, and comes back at once.
// Sequence: work arrives at five times what the slots can do.
// Cause: everything was queued, though the drain rate told at its arrival that
// it could not start in time.
func TestRefusedAtOnceWithTimeToComeBack(t *testing.T) {
	convey.Convey("At five times the capacity", t, func() {
		f := newFloor(10)
		var verdicts []tacklimit.Verdict
		f.run(20*tackclock.Second, func() {
			v := f.offer("many", tackid.ClassNormal, 100, 2*tackclock.Second)
			if v.Decision == tacklimit.Refused && f.now > tackclock.Time(tackclock.Hour+10*tackclock.Second) {
				verdicts = append(verdicts, v)
			}
			for range 4 {
				f.every(10, func() { f.offer("many", tackid.ClassNormal, 100, 2*tackclock.Second) })
			}
		})
		convey.Convey("refusals carry a time by the drain rate, and few expire in the queue", func() {
			convey.So(len(verdicts), convey.ShouldBeGreaterThan, 1000)
			for _, v := range verdicts {
				convey.So(v.Refusal.RetryAfter, convey.ShouldBeBetween, 1000, 3000)
			}
			convey.So(f.late, convey.ShouldBeLessThan, f.refused["many"]/50)
		})
	})
}

// Symptom: one team's flood has every other team refused with queue_full.
// Sequence: the flood fills the queue before the others come.
// Cause: the bound was on the queue as a whole.
func TestFloodLeavesRoomInQueue(t *testing.T) {
	convey.Convey("With 20 teams that queue all they may", t, func() {
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

// Symptom: a team with short requests gets hardly any slots.
// Sequence: it shares the service with a team whose requests take 40 times as
// long; both always have some waiting.
// Cause: the teams took turns to start, instead of each holding as many slots.
func TestTeamsShareSlotsEvenly(t *testing.T) {
	convey.Convey("With long and short requests on 16 slots", t, func() {
		f := newFloor(16)
		var slotTime, short int
		f.run(20*tackclock.Second, func() {
			f.every(5, func() {
				f.offer("long", tackid.ClassNormal, 2000, 30*tackclock.Second)
				f.offer("short", tackid.ClassNormal, 50, 30*tackclock.Second)
			})
			if f.now < tackclock.Time(tackclock.Hour+5*tackclock.Second) {
				return
			}
			for id := range f.ends {
				slotTime++
				if f.offers[id].Team == "short" {
					short++
				}
			}
		})
		convey.So(float64(short)/float64(slotTime), convey.ShouldBeBetween, 0.45, 0.55)
	})
}
