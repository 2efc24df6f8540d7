package tackquery

import (
	"auburntack/core/tackbudget"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	poolRow struct {
		tackfleet.Pool
		count    tackbudget.Count
		services int
	}

	serviceRow struct {
		tackfleet.Service
		count tackbudget.Count
	}

	workerRow struct {
		WorkerRow
		pool  tackid.Pool
		tasks int
	}

	quotaRow struct {
		tackfleet.Quota
		coresRunning int
	}
)

// views holds the tables by name.
var views = map[What]view{
	ShowVMs:            vmView,
	ShowPools:          poolView,
	ShowServices:       serviceView,
	ShowBackendServers: backendServerView,
	ShowWorkers:        workerView,
	ShowWaves:          waveView,
	ShowBudgets:        budgetView,
	ShowQuotas:         quotaView,
	ShowConfig:         configView,
	ShowPeers:          peerView,
	ShowTasks:          taskView,
}

var vmView = viewOf[tackfleet.VM]{
	rows: func(src Source) []tackfleet.VM { return src.Fleet().VMs() },
	columns: []column[tackfleet.VM]{
		{"vm", func(v *tackfleet.VM) any { return string(v.ID) }},
		{"pool", func(v *tackfleet.VM) any { return string(v.Pool) }},
		{"state", func(v *tackfleet.VM) any { return v.State.String() }},
		{"health", func(v *tackfleet.VM) any { return v.Health.String() }},
		{"data_centre", func(v *tackfleet.VM) any { return string(v.DataCentre) }},
		{"rack", func(v *tackfleet.VM) any { return string(v.Rack) }},
		{"cores", func(v *tackfleet.VM) any { return int64(v.Cores) }},
		{"memory_mb", func(v *tackfleet.VM) any { return int64(v.MemoryMB) }},
		{"accelerators", func(v *tackfleet.VM) any { return int64(v.Accelerators) }},
		{"wave", func(v *tackfleet.VM) any { return string(v.Wave) }},
		{"moving_to", func(v *tackfleet.VM) any { return string(v.MovingTo) }},
		{"since", func(v *tackfleet.VM) any { return timeText(v.Since) }},
		{"revision", func(v *tackfleet.VM) any { return uint64(v.Touched) }},
	},
}

var poolView = viewOf[poolRow]{
	rows: poolRows,
	columns: []column[poolRow]{
		{"pool", func(p *poolRow) any { return string(p.ID) }},
		{"vms", func(p *poolRow) any { return int64(p.count.Total) }},
		{"available", func(p *poolRow) any { return int64(p.count.Available) }},
		{"settling", func(p *poolRow) any { return int64(p.count.Available - p.count.Proven) }},
		{"services", func(p *poolRow) any { return int64(p.services) }},
		{"revision", func(p *poolRow) any { return uint64(p.Touched) }},
	},
}

var serviceView = viewOf[serviceRow]{
	rows: serviceRows,
	columns: []column[serviceRow]{
		{"service", func(s *serviceRow) any { return string(s.ID) }},
		{"pool", func(s *serviceRow) any { return string(s.Pool) }},
		{"vms", func(s *serviceRow) any { return int64(s.count.Total) }},
		{"available", func(s *serviceRow) any { return int64(s.count.Available) }},
		{"min_available", func(s *serviceRow) any { return s.budget() }},
		{"revision", func(s *serviceRow) any { return uint64(s.Touched) }},
	},
}

var budgetView = viewOf[serviceRow]{
	rows: serviceRows,
	columns: []column[serviceRow]{
		{"service", func(s *serviceRow) any { return string(s.ID) }},
		{"pool", func(s *serviceRow) any { return string(s.Pool) }},
		{"min_available", func(s *serviceRow) any { return s.budget() }},
		{"required", func(s *serviceRow) any { return int64(s.required()) }},
		{"available", func(s *serviceRow) any { return int64(s.count.Available) }},
		{"settling", func(s *serviceRow) any { return int64(s.count.Available - s.count.Proven) }},
		{"free", func(s *serviceRow) any { return int64(tackbudget.Free(s.Budget, s.count)) }},
		{"holds", func(s *serviceRow) any { return s.count.Available >= s.required() }},
		{"revision", func(s *serviceRow) any { return uint64(s.Touched) }},
	},
}

var quotaView = viewOf[quotaRow]{
	rows: quotaRows,
	columns: []column[quotaRow]{
		{"team", func(q *quotaRow) any { return string(q.Team) }},
		{"slots", func(q *quotaRow) any { return int64(q.Slots) }},
		{"cores", func(q *quotaRow) any { return int64(q.Cores) }},
		{"cores_running", func(q *quotaRow) any { return int64(q.coresRunning) }},
		{"revision", func(q *quotaRow) any { return uint64(q.Touched) }},
	},
}

var configView = viewOf[tackfleet.Setting]{
	rows: func(src Source) []tackfleet.Setting { return src.Fleet().Settings() },
	columns: []column[tackfleet.Setting]{
		{"key", func(s *tackfleet.Setting) any { return s.Key }},
		{"value", func(s *tackfleet.Setting) any { return s.Value }},
		{"revision", func(s *tackfleet.Setting) any { return uint64(s.Revision) }},
	},
}

func poolRows(src Source) []poolRow {
	f := src.Fleet()
	var rows []poolRow
	for _, p := range f.Pools() {
		rows = append(rows, poolRow{Pool: p, count: f.Count(p.ID), services: len(f.ServicesOn(p.ID))})
	}
	return rows
}

func serviceRows(src Source) []serviceRow {
	f := src.Fleet()
	var rows []serviceRow
	for _, s := range f.Services() {
		rows = append(rows, serviceRow{Service: s, count: f.Count(s.Pool)})
	}
	return rows
}

func quotaRows(src Source) []quotaRow {
	f := src.Fleet()
	var rows []quotaRow
	for _, q := range f.Quotas() {
		rows = append(rows, quotaRow{Quota: q, coresRunning: f.CoresOf(q.Team)})
	}
	return rows
}

// budget returns the budget as it was set.
func (s *serviceRow) budget() string {
	return s.Budget.String()
}

// required returns the number of VMs that the budget requires now.
func (s *serviceRow) required() int {
	return tackbudget.Required(s.Budget, s.count.Total)
}
