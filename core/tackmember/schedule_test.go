package tackmember

import (
	"fmt"
	"reflect"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	"pgregory.net/rapid"
)

const scheduleServers = 6

type (
	// life is what one backend server really is, whoever knows.
	life struct {
		inc   tackid.Incarnation
		stage Stage
		alive bool
		next  tackclock.Time
		turn  int
	}

	// schedule drives a cluster through a random course of events and checks
	// after each step that no peer takes back what it has shown.
	schedule struct {
		t      *rapid.T
		c      *cluster
		lives  [scheduleServers]life
		shown  []map[key]Record
		fault  bool
		chance uint64
	}
)

func newSchedule(t *rapid.T) *schedule {
	n := rapid.IntRange(3, 5).Draw(t, "peers")
	s := &schedule{t: t, c: newCluster(n, rapid.IntRange(1, 3).Draw(t, "data centres"))}
	s.chance = rapid.Uint64().Draw(t, "seed")
	for i := range s.lives {
		s.lives[i] = life{inc: 1, alive: true}
	}
	s.shown = make([]map[key]Record, n)
	for i := range s.shown {
		s.shown[i] = map[key]Record{}
	}
	s.c.delay = s.delay
	s.c.checked = s.everyStep
	return s
}

// random is a small generator of its own, so that a case shrinks well.
func (s *schedule) random(n uint64) uint64 {
	s.chance = s.chance*6364136223846793005 + 1442695040888963407
	return (s.chance >> 33) % n
}

// delay holds a message back by up to 3 s, which also reorders, or loses it.
func (s *schedule) delay(path) (tackclock.Duration, bool) {
	if !s.fault {
		return 2, false
	}
	return tackclock.Duration(s.random(3000) / (1 + s.random(30))), s.random(5) == 0
}

// everyStep lets live backend servers announce themselves when it is due, and
// checks what the peers show.
func (s *schedule) everyStep() {
	for i := range s.lives {
		l := &s.lives[i]
		if l.alive && s.c.now >= l.next {
			s.announce(i)
		}
	}
	for p, d := range s.c.dirs {
		if !s.c.down[p] {
			s.assertNotTakenBack(p, d)
		}
	}
}

func (s *schedule) announce(i int) {
	l := &s.lives[i]
	l.turn++
	p := (i + l.turn/3) % len(s.c.dirs)
	for s.c.down[p] {
		p = (p + 1) % len(s.c.dirs)
	}
	l.next = s.c.now.Add(s.c.announce(p, s.c.server(i, i%len(s.c.dirs), l.inc, l.stage.state())).NextWithin)
}

func (s *schedule) assertNotTakenBack(p int, d *Directory) {
	for k, e := range d.entries {
		was := s.shown[p][k]
		if e.top.compare(&was) < 0 {
			s.t.Fatalf("peer %d went back from %+v to %+v", p, was, e.top)
		}
		s.shown[p][k] = e.top
	}
}

// leave announces leaving to one peer once delayed messages have come, with
// the cuts of the moment and no further loss, and checks every peer that can be reached over at most one
// other within 2 s.
func (s *schedule) leave(i int) {
	l := &s.lives[i]
	l.alive = false
	p := s.upPeer()
	fault := s.fault
	s.fault = false
	s.c.run(4 * tackclock.Second)
	a := s.c.server(i, i%len(s.c.dirs), l.inc, StateLeaving)
	accepted := s.c.announce(p, a).Accepted
	l.stage = max(l.stage, StageLeaving)
	s.c.run(2 * tackclock.Second)
	for q, d := range s.c.dirs {
		if accepted && s.reachable(p, q) && stateOf(d, a.BackendServer.ID) == string(StateServing) {
			s.t.Fatalf("peer %d routes to %s 2 s after peer %d accepted its leaving", q, a.BackendServer.ID, p)
		}
	}
	s.fault = fault
	l.alive = l.stage == StageLeaving && rapid.Bool().Draw(s.t, "lingers")
}

func (s *schedule) reachable(p, q int) bool {
	if p == q {
		return true
	}
	for x := range s.c.dirs {
		if s.open(p, x) && s.open(x, q) {
			return true
		}
	}
	return false
}

// open reports whether messages pass between p and q both ways.
func (s *schedule) open(p, q int) bool {
	return !s.c.down[p] && !s.c.down[q] && !s.c.cut[path{p, q}] && !s.c.cut[path{q, p}]
}

func (s *schedule) upPeer() int {
	p := rapid.IntRange(0, len(s.c.dirs)-1).Draw(s.t, "peer")
	for s.c.down[p] {
		p = (p + 1) % len(s.c.dirs)
	}
	return p
}

func (s *schedule) restart(p int) {
	s.c.restart(p)
	s.shown[p] = map[key]Record{}
}

func (s *schedule) actions() map[string]func(*rapid.T) {
	server := func() int { return rapid.IntRange(0, scheduleServers-1).Draw(s.t, "server") }
	peer := func() int { return rapid.IntRange(0, len(s.c.dirs)-1).Draw(s.t, "peer") }
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			s.c.run(tackclock.Duration(rapid.IntRange(1, 200).Draw(t, "steps")) * step)
		},
		"faults": func(t *rapid.T) { s.fault = !s.fault },
		"cut": func(t *rapid.T) {
			w := path{peer(), peer()}
			s.c.cut[w] = !s.c.cut[w] && w.from != w.to
		},
		"cut both": func(t *rapid.T) {
			if a, b := peer(), peer(); a != b {
				s.c.part(a, b, !s.c.cut[path{a, b}])
			}
		},
		"restart peer": func(t *rapid.T) { s.restart(peer()) },
		"kill peer": func(t *rapid.T) {
			if p := peer(); p != 0 {
				s.c.down[p] = true
			}
		},
		"leave": func(t *rapid.T) { s.leave(server()) },
		"die":   func(t *rapid.T) { s.lives[server()].alive = false },
		"withdraw": func(t *rapid.T) {
			i := server()
			s.lives[i].alive, s.lives[i].stage = false, StageWithdrawn
			id := s.c.server(i, 0, 1, StateServing).BackendServer.ID
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				s.c.dirs[s.upPeer()].Withdraw(s.c.now, id, s.lives[i].inc)
			}
		},
		"live again": func(t *rapid.T) {
			l := &s.lives[server()]
			*l = life{inc: l.inc + 1, alive: true, turn: l.turn}
		},
		"late announcement": func(t *rapid.T) {
			i := server()
			inc := rapid.Uint64Range(1, uint64(s.lives[i].inc)).Draw(t, "incarnation")
			if inc < uint64(s.lives[i].inc) || s.lives[i].stage == StageServing {
				s.c.announce(s.upPeer(), s.c.server(i, i%len(s.c.dirs), tackid.Incarnation(inc), StateServing))
			}
		},
	}
}

// settle heals everything, lets the time of silence pass and checks that all
// peers show just what is so.
func (s *schedule) settle() {
	s.fault = false
	clear(s.c.cut)
	for p := range s.c.down {
		if s.c.down[p] {
			s.restart(p)
		}
	}
	s.c.stride = 400 * tackclock.Millisecond
	s.c.run(90 * tackclock.Second)
	for p, d := range s.c.dirs {
		got := map[string]string{}
		for _, b := range d.BackendServers() {
			got[string(b.ID)] = fmt.Sprint(b.Incarnation, b.State, b.Health)
		}
		if want := s.truth(); !reflect.DeepEqual(got, want) {
			s.t.Fatalf("peer %d shows %v, want %v", p, got, want)
		}
		if len(d.spaces) != len(s.c.dirs) {
			s.t.Fatalf("peer %d keeps %d spaces of %d peers", p, len(d.spaces), len(s.c.dirs))
		}
	}
}

func (s *schedule) truth() map[string]string {
	want := map[string]string{}
	for i, l := range s.lives {
		if l.alive {
			id := s.c.server(i, 0, 1, StateServing).BackendServer.ID
			want[string(id)] = fmt.Sprint(l.inc, l.stage.state(), tackfleet.HealthServing)
		}
	}
	return want
}

// Symptom: peers disagree for good, show what has ended, or send work to one
// that leaves.
// Sequence: any order of announcements, late ones, withdrawals, losses,
// reorderings, cuts one way and both ways, restarts and deaths of peers.
// Cause: some pair of these that the directed tests did not think of.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		t.Repeat(s.actions())
		s.settle()
	})
}
