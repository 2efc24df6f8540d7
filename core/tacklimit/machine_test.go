package tacklimit_test

import (
	"testing"

	"pgregory.net/rapid"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
)

const (
	isQueued state = iota + 1
	isRunning
	hasEnded
)

type (
	state uint8

	// modelRequest is a request with its state in the model.
	modelRequest struct {
		tacklimit.Request
		gate    int
		state   state
		offered tackclock.Time
	}

	// gateMachine compares two Gates with common quotas to a model that keeps
	// the state of every request.
	gateMachine struct {
		quotas   tacklimit.Quotas
		gates    [2]*tacklimit.Gate
		capacity [2]int
		bounds   map[tackid.Team]int
		now      tackclock.Time
		ticked   tackclock.Time
		requests map[uint64]*modelRequest
		next     uint64
	}
)

func newGateMachine() *gateMachine {
	m := &gateMachine{now: tackclock.Time(tackclock.Hour), requests: make(map[uint64]*modelRequest)}
	for i := range m.gates {
		m.gates[i] = &tacklimit.Gate{Quotas: &m.quotas, Settings: tacklimit.Settings{Queue: 12}}
		m.capacity[i] = 2
		m.gates[i].SetCapacity(2)
	}
	return m
}

func (m *gateMachine) Offer(t *rapid.T) {
	i := m.gate(t)
	m.next++
	r := tacklimit.Request{
		ID:    m.next,
		Team:  rapid.SampledFrom([]tackid.Team{"a", "b", "c"}).Draw(t, "team"),
		Class: tackid.Class(rapid.IntRange(0, 2).Draw(t, "class")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = m.now.Add(tackclock.Duration(rapid.IntRange(0, 1500).Draw(t, "deadline")))
	}
	verdict := m.gates[i].Offer(m.now, r)
	m.requests[r.ID] = &modelRequest{Request: r, gate: i, state: isQueued, offered: m.now}
	switch verdict.Decision {
	case tacklimit.Admitted:
		m.started(t, i, []uint64{r.ID})
	case tacklimit.Refused:
		m.requests[r.ID].state = hasEnded
		if verdict.Refusal.RetryAfter <= 0 {
			t.Fatalf("refused without RetryAfter: %v", verdict.Err())
		}
	}
	if again := m.gates[i].Offer(m.now, r); verdict.Decision != tacklimit.Refused && again.Decision != tacklimit.Refused {
		t.Fatalf("request offered twice; decisions %v and %v", verdict, again)
	}
}

func (m *gateMachine) Release(t *rapid.T) {
	m.now = m.now.Add(tackclock.Duration(rapid.IntRange(0, 1500).Draw(t, "later")))
	if id, ok := m.draw(t, isRunning); ok {
		m.requests[id].state = hasEnded
		i := m.requests[id].gate
		m.started(t, i, m.gates[i].Release(m.now, id))
		m.checkNoSlotWasted(t, i)
	}
}

func (m *gateMachine) Cancel(t *rapid.T) {
	for _, state := range []state{isQueued, isRunning} {
		id, ok := m.draw(t, state)
		if !ok {
			continue
		}
		r := m.requests[id]
		if got := m.gates[r.gate].Cancel(m.now, id); got != (state == isQueued) {
			t.Fatalf("Cancel of request %d in state %d: %v", id, state, got)
		}
		if state == isQueued {
			r.state = hasEnded
		}
	}
}

func (m *gateMachine) Tick(t *rapid.T) {
	m.now = m.now.Add(tackclock.Duration(rapid.IntRange(0, 1500).Draw(t, "later")))
	m.tick(t)
}

// tick calls Tick on both gates.
func (m *gateMachine) tick(t *rapid.T) {
	for i, g := range m.gates {
		started, expired := g.Tick(m.now)
		for _, id := range expired {
			if m.requests[id].state != isQueued {
				t.Fatalf("request %d expired in state %d", id, m.requests[id].state)
			}
			m.requests[id].state = hasEnded
		}
		m.started(t, i, started)
	}
	m.ticked = m.now
	m.checkWaiting(t)
	m.checkQuotaUsed(t)
}

func (m *gateMachine) SetCapacity(t *rapid.T) {
	i := m.gate(t)
	m.capacity[i] = rapid.IntRange(0, 5).Draw(t, "capacity")
	m.gates[i].SetCapacity(m.capacity[i])
}

func (m *gateMachine) SetQuotas(t *rapid.T) {
	m.bounds = map[tackid.Team]int{"a": rapid.IntRange(0, 3).Draw(t, "quota")}
	if m.bounds["a"] == 0 && rapid.Bool().Draw(t, "no bounds") {
		m.gates[m.gate(t)].SetQuotas(m.bounds)
		m.bounds = nil
	} else {
		m.quotas.Set(m.bounds)
	}
	m.tick(t)
}

// Check compares the counts of the gates and the model.
func (m *gateMachine) Check(t *rapid.T) {
	for i, g := range m.gates {
		if got, want := g.Running(), m.count(i, isRunning); got != want {
			t.Fatalf("gate %d runs %d, want %d", i, got, want)
		}
		if got, want := g.Waiting(), m.count(i, isQueued); got > want {
			t.Fatalf("gate %d has %d waiting, want at most %d", i, got, want)
		}
	}
}

// started marks the requests as running and checks that they were allowed to
// start.
func (m *gateMachine) started(t *rapid.T, gate int, ids []uint64) {
	for _, id := range ids {
		r := m.requests[id]
		if r == nil || r.state != isQueued || r.gate != gate {
			t.Fatalf("gate %d started request %d, which isn't queued there: %+v", gate, id, r)
		}
		if r.Deadline != 0 && m.now >= r.Deadline {
			t.Fatalf("started request %d at %d, after its deadline %d", id, m.now, r.Deadline)
		}
		r.state = isRunning
	}
	if len(ids) == 0 {
		return
	}
	if n := m.count(gate, isRunning); n > m.capacity[gate] {
		t.Fatalf("gate %d runs %d on %d slots", gate, n, m.capacity[gate])
	}
	m.checkQuotas(t, ids)
}

func (m *gateMachine) checkQuotas(t *rapid.T, ids []uint64) {
	for _, id := range ids {
		team := m.requests[id].Team
		bound, ok := m.bounds[team]
		if held := m.held(team); ok && held > bound {
			t.Fatalf("started a request of team %s, which holds %d slots of a quota of %d", team, held, bound)
		}
	}
}

// mayExpire reports whether half of the time between the request's arrival and
// its deadline has passed, after which the Gate may find that it can no longer
// be answered in time.
func (r *modelRequest) mayExpire(now tackclock.Time) bool {
	return r.Deadline != 0 && now.Sub(r.offered) >= r.Deadline.Sub(r.offered)/2
}

// checkWaiting checks after a Tick that no request waits past its deadline and
// that no slot is free for a waiting request.
func (m *gateMachine) checkWaiting(t *rapid.T) {
	for id, r := range m.requests {
		if r.state == isQueued && r.Deadline != 0 && m.now >= r.Deadline {
			t.Fatalf("request %d still waits at %d, after its deadline %d", id, m.now, r.Deadline)
		}
	}
	m.checkNoSlotWasted(t, 0)
	m.checkNoSlotWasted(t, 1)
}

// checkNoSlotWasted checks that no slot of the gate is free for a request that
// waits there. It skips teams with a bound, since a slot of their quota may have
// been released at the other gate, and requests that may have expired but that
// no Tick has reported yet.
func (m *gateMachine) checkNoSlotWasted(t *rapid.T, gate int) {
	for id, r := range m.requests {
		_, bounded := m.bounds[r.Team]
		if r.state != isQueued || r.gate != gate || bounded {
			continue
		}
		if m.now > m.ticked && r.mayExpire(m.now) {
			continue
		}
		if m.count(gate, isRunning)+m.reserve(r) < m.capacity[gate] {
			t.Fatalf("request %d of class %v waits, but a slot is free", id, r.Class)
		}
	}
}

// checkQuotaUsed checks after a Tick that no request of a team below its quota
// waits while a slot is free, whichever gate released the team's slots.
func (m *gateMachine) checkQuotaUsed(t *rapid.T) {
	for id, r := range m.requests {
		bound, bounded := m.bounds[r.Team]
		if r.state != isQueued || !bounded || m.held(r.Team) >= bound {
			continue
		}
		if m.count(r.gate, isRunning)+m.reserve(r) < m.capacity[r.gate] {
			t.Fatalf("request %d of team %s waits, but the team is below its quota", id, r.Team)
		}
	}
}

// reserve returns how many free slots the request must leave: with four slots or
// more, one for the first urgent request of a team, and for the lower classes
// one for urgent requests in general.
func (m *gateMachine) reserve(r *modelRequest) int {
	n := 0
	if m.capacity[r.gate] >= 4 {
		n++
	}
	if r.Class != tackid.ClassUrgent {
		n++
	}
	return n
}

func (m *gateMachine) held(team tackid.Team) int {
	n := 0
	for _, r := range m.requests {
		if r.state == isRunning && r.Team == team {
			n++
		}
	}
	return n
}

func (m *gateMachine) count(gate int, s state) int {
	n := 0
	for _, r := range m.requests {
		if r.gate == gate && r.state == s {
			n++
		}
	}
	return n
}

func (m *gateMachine) gate(t *rapid.T) int {
	return rapid.IntRange(0, 1).Draw(t, "gate")
}

// draw draws a request in the state.
func (m *gateMachine) draw(t *rapid.T, s state) (uint64, bool) {
	var ids []uint64
	for id := uint64(1); id <= m.next; id++ {
		if r := m.requests[id]; r != nil && r.state == s {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

func TestGateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newGateMachine()))
	})
}
