package tackvm

import (
	"fmt"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackquery"
	"auburntack/io/tackoperator"
)

// source provides the data for queries on this VM. The caller must hold the lock on the
// state.
type source struct {
	v   *VM
	now tackclock.Time
	// members is the status of the members as reported by the leader, or empty if the
	// leader did not answer in time.
	members []memberStatus
}

// Now returns the time of the query.
func (s source) Now() tackclock.Time { return s.now }

// Fleet returns the fleet.
func (s source) Fleet() *tackfleet.State { return &s.v.state.Fleet }

// Cost returns the estimated cost of a wave, computed by the planner that would run it.
func (s source) Cost(pool tackid.Pool, action tackfleet.Action, maxParallel int) tackquery.Table {
	plan := s.v.reconciler.planner.Cost(view{v: s.v, now: s.now}, pool, action, maxParallel, s.v.waveSettings(s.now))
	return tackquery.Table{
		Columns: []string{"vms", "left_out", "steps", "buffer_vms", "minutes", "moves", "binds", "problem", "lower_bound_minutes"},
		Rows: [][]any{{
			int64(plan.VMs), int64(plan.Left), int64(plan.Steps), int64(plan.BufferVMs), int64(plan.Minutes),
			int64(plan.Moves), plan.Binds, plan.Problem, int64((plan.LowerBound + tackclock.Minute - 1) / tackclock.Minute),
		}},
	}
}

// Hints returns what this VM knows about why a VM is being held back.
func (s source) Hints(id tackid.VM) []string {
	vm, ok := s.v.state.Fleet.VM(id)
	if !ok {
		return nil
	}
	var hints []string
	if n := s.v.caller.InFlight(id); n > 0 {
		hints = append(hints, fmt.Sprintf("%d requests in flight from %s", n, s.v.cfg.VM.ID))
	}
	for _, h := range s.v.reconciler.planner.Holds(vm.Wave) {
		if h.VM == id {
			hints = append(hints, h.Reason)
		}
	}
	return hints
}

// BackendServers returns the announced backend servers.
func (s source) BackendServers() []tackquery.BackendServerRow {
	s.v.directoryMu.Lock()
	servers := s.v.directory.BackendServers()
	s.v.directoryMu.Unlock()
	rows := make([]tackquery.BackendServerRow, 0, len(servers))
	for _, b := range servers {
		rows = append(rows, tackquery.BackendServerRow{
			BackendServer: b.ID,
			Service:       b.Service,
			VM:            b.VM,
			DataCentre:    b.DataCentre,
			Rack:          b.Rack,
			Address:       b.Address,
			Slots:         b.Slots,
			Connections:   b.Connections,
			Incarnation:   b.Incarnation,
			State:         stateOf(string(b.State), b.Health),
		})
	}
	return rows
}

// Workers returns the announced workers.
func (s source) Workers() []tackquery.WorkerRow {
	s.v.directoryMu.Lock()
	workers := s.v.directory.Workers()
	s.v.directoryMu.Unlock()
	rows := make([]tackquery.WorkerRow, 0, len(workers))
	for _, w := range workers {
		rows = append(rows, tackquery.WorkerRow{
			Worker:      w.ID,
			DataCentre:  w.DataCentre,
			Rack:        w.Rack,
			Cores:       w.Cores,
			MemoryMB:    w.MemoryMB,
			Incarnation: w.Incarnation,
			State:       stateOf(string(w.State), w.Health),
		})
	}
	return rows
}

func stateOf(announced string, health tackfleet.Health) string {
	if health == tackfleet.HealthServing {
		return announced
	}
	return health.String()
}

// Peers returns the VMs of the system. The applied revision and the lease of a peer come
// from the leader; if it did not answer, only this VM's own row has them.
func (s source) Peers() []tackquery.PeerRow {
	status := s.v.status.Load()
	lastHeard := make(map[tackid.Peer]tackclock.Time)
	for _, l := range s.v.links.Status() {
		lastHeard[l.Peer] = l.LastHeard
	}
	known := make(map[tackid.Peer]memberStatus)
	for _, x := range s.members {
		known[x.Peer] = x
	}
	known[s.v.cfg.VM.ID] = memberStatus{Peer: s.v.cfg.VM.ID, Applied: status.Applied, Leased: status.Leased}
	lastHeard[s.v.cfg.VM.ID] = s.now
	rows := make([]tackquery.PeerRow, 0, len(status.Members))
	for _, m := range status.Members {
		rows = append(rows, tackquery.PeerRow{
			Peer:        m.Peer,
			DataCentre:  m.DataCentre,
			Voter:       m.Voter,
			Role:        roleOf(m.Peer, status.Leader, m.Voter),
			Applied:     known[m.Peer].Applied,
			Leased:      known[m.Peer].Leased,
			LastHeardMS: int64(s.now.Sub(lastHeard[m.Peer])),
			InForce:     known[m.Peer].Applied,
		})
	}
	return rows
}

func roleOf(p, leader tackid.Peer, voter bool) string {
	switch {
	case p == leader:
		return "leader"
	case voter:
		return "replica"
	default:
		return "learner"
	}
}

// Health returns the status of this VM.
func (v *VM) Health() tackoperator.Health {
	s := v.status.Load()
	h := tackoperator.Health{
		Ready:    v.ready.Load(),
		Leased:   s.Leased,
		Leader:   s.Leader,
		Role:     s.Role.String(),
		Revision: s.Applied,
	}
	switch {
	case !h.Ready:
		h.Reason = "starting or stopping"
	case !h.Leased:
		h.Reason = "cut off: serves its own data centre by the last accepted configuration"
	}
	return h
}

// Burn returns the report on service-level objectives.
func (v *VM) Burn() tackburn.Report {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Burn.Report(v.clock.Now(), v.meter.current())
}
