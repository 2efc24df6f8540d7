package tackquery

import "auburntack/core/tackfleet"

var backendServerView = viewOf[BackendServerRow]{
	rows: func(src Source) []BackendServerRow { return src.BackendServers() },
	columns: []column[BackendServerRow]{
		{"backend_server", func(b *BackendServerRow) any { return string(b.BackendServer) }},
		{"service", func(b *BackendServerRow) any { return string(b.Service) }},
		{"vm", func(b *BackendServerRow) any { return string(b.VM) }},
		{"data_centre", func(b *BackendServerRow) any { return string(b.DataCentre) }},
		{"rack", func(b *BackendServerRow) any { return string(b.Rack) }},
		{"address", func(b *BackendServerRow) any { return b.Address }},
		{"slots", func(b *BackendServerRow) any { return int64(b.Slots) }},
		{"connections", func(b *BackendServerRow) any { return int64(b.Connections) }},
		{"in_flight", func(b *BackendServerRow) any { return int64(b.InFlight) }},
		{"incarnation", func(b *BackendServerRow) any { return uint64(b.Incarnation) }},
		{"state", func(b *BackendServerRow) any { return b.State }},
		{"last_heard_ms", func(b *BackendServerRow) any { return b.LastHeardMS }},
	},
}

var workerView = viewOf[workerRow]{
	rows: workerRows,
	columns: []column[workerRow]{
		{"worker", func(w *workerRow) any { return string(w.Worker) }},
		{"pool", func(w *workerRow) any { return string(w.pool) }},
		{"data_centre", func(w *workerRow) any { return string(w.DataCentre) }},
		{"rack", func(w *workerRow) any { return string(w.Rack) }},
		{"cores", func(w *workerRow) any { return int64(w.Cores) }},
		{"memory_mb", func(w *workerRow) any { return int64(w.MemoryMB) }},
		{"tasks", func(w *workerRow) any { return int64(w.tasks) }},
		{"incarnation", func(w *workerRow) any { return uint64(w.Incarnation) }},
		{"state", func(w *workerRow) any { return w.State }},
		{"last_heard_ms", func(w *workerRow) any { return w.LastHeardMS }},
	},
}

var waveView = viewOf[tackfleet.Wave]{
	rows: func(src Source) []tackfleet.Wave { return src.Fleet().Waves() },
	columns: []column[tackfleet.Wave]{
		{"wave", func(w *tackfleet.Wave) any { return string(w.ID) }},
		{"pool", func(w *tackfleet.Wave) any { return string(w.Pool) }},
		{"action", func(w *tackfleet.Wave) any { return string(w.Action) }},
		{"max_parallel", func(w *tackfleet.Wave) any { return int64(w.MaxParallel) }},
		{"state", func(w *tackfleet.Wave) any { return w.Status.String() }},
		{"reason", func(w *tackfleet.Wave) any { return w.Reason }},
		{"steps", func(w *tackfleet.Wave) any { return int64(w.Steps) }},
		{"vms", func(w *tackfleet.Wave) any { return int64(len(w.VMs)) }},
		{"waiting", func(w *tackfleet.Wave) any { return inPhase(w, tackfleet.PhaseWaiting) }},
		{"out", func(w *tackfleet.Wave) any { return int64(w.OutCount()) }},
		{"settling", func(w *tackfleet.Wave) any { return inPhase(w, tackfleet.PhaseSettling) }},
		{"done", func(w *tackfleet.Wave) any { return inPhase(w, tackfleet.PhaseDone) }},
		{"failed", func(w *tackfleet.Wave) any { return inPhase(w, tackfleet.PhaseFailed) }},
		{"skipped", func(w *tackfleet.Wave) any { return inPhase(w, tackfleet.PhaseSkipped) }},
		{"started", func(w *tackfleet.Wave) any { return timeText(w.Started) }},
		{"ended", func(w *tackfleet.Wave) any { return timeText(w.Ended) }},
		{"revision", func(w *tackfleet.Wave) any { return uint64(w.Touched) }},
	},
}

var peerView = viewOf[PeerRow]{
	rows: func(src Source) []PeerRow { return src.Peers() },
	columns: []column[PeerRow]{
		{"peer", func(p *PeerRow) any { return string(p.Peer) }},
		{"data_centre", func(p *PeerRow) any { return string(p.DataCentre) }},
		{"replica", func(p *PeerRow) any { return p.Voter }},
		{"role", func(p *PeerRow) any { return p.Role }},
		{"applied", func(p *PeerRow) any { return uint64(p.Applied) }},
		{"leased", func(p *PeerRow) any { return p.Leased }},
		{"last_heard_ms", func(p *PeerRow) any { return p.LastHeardMS }},
		{"in_force", func(p *PeerRow) any { return uint64(p.InForce) }},
	},
}

var taskView = viewOf[tackfleet.Task]{
	rows: func(src Source) []tackfleet.Task { return src.Fleet().Tasks() },
	columns: []column[tackfleet.Task]{
		{"task", func(t *tackfleet.Task) any { return string(t.ID) }},
		{"team", func(t *tackfleet.Task) any { return string(t.Team) }},
		{"pool", func(t *tackfleet.Task) any { return string(t.Pool) }},
		{"class", func(t *tackfleet.Task) any { return t.Class.String() }},
		{"state", func(t *tackfleet.Task) any { return t.State.String() }},
		{"worker", func(t *tackfleet.Task) any { return string(t.Worker) }},
		{"token", func(t *tackfleet.Task) any { return uint64(t.Token) }},
		{"tries", func(t *tackfleet.Task) any { return int64(t.Tries) }},
		{"cores", func(t *tackfleet.Task) any { return int64(t.Cores) }},
		{"memory_mb", func(t *tackfleet.Task) any { return int64(t.MemoryMB) }},
		{"accelerators", func(t *tackfleet.Task) any { return int64(t.Accelerators) }},
		{"minutes", func(t *tackfleet.Task) any { return int64(t.Minutes) }},
		{"idempotent", func(t *tackfleet.Task) any { return t.Idempotent }},
		{"checkpointed", func(t *tackfleet.Task) any { return t.Checkpointed }},
		{"reason", func(t *tackfleet.Task) any { return t.Reason }},
		{"created", func(t *tackfleet.Task) any { return timeText(t.Created) }},
		{"started", func(t *tackfleet.Task) any { return timeText(t.Started) }},
		{"revision", func(t *tackfleet.Task) any { return uint64(t.Touched) }},
	},
}

func workerRows(src Source) []workerRow {
	f := src.Fleet()
	var rows []workerRow
	for _, w := range src.Workers() {
		row := workerRow{WorkerRow: w, tasks: f.RunningOn(w.Worker)}
		if v, found := f.VM(w.Worker); found {
			row.pool = v.Pool
		}
		rows = append(rows, row)
	}
	return rows
}

// inPhase counts the wave's VMs in a phase.
func inPhase(w *tackfleet.Wave, phase tackfleet.Phase) int64 {
	n := int64(0)
	for i := range w.VMs {
		if w.VMs[i].Phase == phase {
			n++
		}
	}
	return n
}
