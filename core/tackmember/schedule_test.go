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
	// serverState is the true state of a backend server.
	serverState struct {
		inc       tackid.Incarnation
		stage     Stage
		alive     bool
		next      tackclock.Time
		announced int
	}

	// schedule runs a cluster through random events and checks after each step that no peer
	// goes back to an earlier state.
	schedule struct {
		t        *rapid.T
		c        *cluster
		servers  [scheduleServers]serverState
		shown    []map[key]Record
		fault    bool
		rngState uint64
	}
)

func newSchedule(t *rapid.T) *schedule {
	n := rapid.IntRange(3, 5).Draw(t, "peers")
	s := &schedule{t: t, c: newCluster(n, rapid.IntRange(1, 3).Draw(t, "data centres"))}
	s.rngState = rapid.Uint64().Draw(t, "seed")
	for i := range s.servers {
		s.servers[i] = serverState{inc: 1, alive: true}
	}
	s.shown = make([]map[key]Record, n)
	for i := range s.shown {
		s.shown[i] = map[key]Record{}
	}
	s.c.delay = s.delay
	s.c.checked = s.everyStep
	return s
}

// random is a generator that does not depend on rapid, so that failures shrink well.
func (s *schedule) random(n uint64) uint64 {
	s.rngState = s.rngState*6364136223846793005 + 1442695040888963407
	return (s.rngState >> 33) % n
}

// delay delays a message by up to 3 s, which also reorders messages, or loses it.
func (s *schedule) delay(path) (tackclock.Duration, bool) {
	if !s.fault {
		return 2, false
	}
	return tackclock.Duration(s.random(3000) / (1 + s.random(30))), s.random(5) == 0
}

// everyStep sends the announcements that are due and checks the entries of all peers.
func (s *schedule) everyStep() {
	for i := range s.servers {
		l := &s.servers[i]
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
	l := &s.servers[i]
	l.announced++
	p := (i + l.announced/3) % len(s.c.dirs)
	for s.c.down[p] {
		p = (p + 1) % len(s.c.dirs)
	}
	l.next = s.c.now.Add(s.c.announce(p, s.c.server(i, i%len(s.c.dirs), l.inc, l.stage.state())).NextWithin)
}

func (s *schedule) assertNotTakenBack(p int, d *Directory) {
	for k, e := range d.entries {
		was := s.shown[p][k]
		if e.latest.compare(&was) < 0 {
			s.t.Fatalf("peer %d went back from %+v to %+v", p, was, e.latest)
		}
		s.shown[p][k] = e.latest
	}
}

// leave announces leaving to one peer after delayed messages have arrived, with the current
// cuts and without further loss. Every peer that can be reached through at most one other
// must know it within 2 s.
func (s *schedule) leave(i int) {
	l := &s.servers[i]
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

// open reports whether messages pass between p and q in both directions.
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
		"die":   func(t *rapid.T) { s.servers[server()].alive = false },
		"withdraw": func(t *rapid.T) {
			i := server()
			s.servers[i].alive, s.servers[i].stage = false, StageWithdrawn
			id := s.c.server(i, 0, 1, StateServing).BackendServer.ID
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				s.c.dirs[s.upPeer()].Withdraw(s.c.now, id, s.servers[i].inc)
			}
		},
		"live again": func(t *rapid.T) {
			l := &s.servers[server()]
			*l = serverState{inc: l.inc + 1, alive: true, announced: l.announced}
		},
		"late announcement": func(t *rapid.T) {
			i := server()
			inc := rapid.Uint64Range(1, uint64(s.servers[i].inc)).Draw(t, "incarnation")
			if inc < uint64(s.servers[i].inc) || s.servers[i].stage == StageServing {
				s.c.announce(s.upPeer(), s.c.server(i, i%len(s.c.dirs), tackid.Incarnation(inc), StateServing))
			}
		},
	}
}

// settle heals all faults, waits until silence is detected and checks that all peers show
// the true state.
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
		if want := s.expected(); !reflect.DeepEqual(got, want) {
			s.t.Fatalf("peer %d shows %v, want %v", p, got, want)
		}
		if len(d.spaces) != len(s.c.dirs) {
			s.t.Fatalf("peer %d keeps %d spaces of %d peers", p, len(d.spaces), len(s.c.dirs))
		}
	}
}

func (s *schedule) expected() map[string]string {
	want := map[string]string{}
	for i, l := range s.servers {
		if l.alive {
			id := s.c.server(i, 0, 1, StateServing).BackendServer.ID
			want[string(id)] = fmt.Sprint(l.inc, l.stage.state(), tackfleet.HealthServing)
		}
	}
	return want
}

// Guards against peers that disagree permanently, show ended incarnations, or route to
// backend servers that are leaving, under random announcements (some delayed), withdrawals,
// message loss and reordering, cuts in one or both directions, and restarts and deaths of
// peers.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		t.Repeat(s.actions())
		s.settle()
	})
}
