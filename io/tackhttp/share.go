package tackhttp

import (
	"maps"
	"sync"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tacklimit"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
)

// quotas limits the slots of each team over all services of this entry VM.
type quotas struct {
	tacklimit.Quotas

	mu      sync.Mutex
	table   *tackroute.Table    // from which the limits are derived
	shares  map[tackid.Team]int // assigned by a tackshare.Sharer
	waiting map[tackid.Team]int // number of requests in the queues
}

var _ tackshare.Consumer = (*Handler)(nil)

// SetShares implements tackshare.Consumer.
func (h *Handler) SetShares(now tackclock.Time, group tackshare.Group, bound int, shares []tackroute.Share) {
	if group.Team != "" {
		h.quotas.setShare(group.Team, bound, shares)
		return
	}
	s := h.serviceNamed(group.Service)
	s.mu.Lock()
	s.chooser.SetShares(group.DataCentre, bound, shares)
	s.mu.Unlock()
	s.tick(now)
}

// Usage implements tackshare.Consumer.
func (h *Handler) Usage(_ tackclock.Time, subject tackshare.Subject) tackshare.Usage {
	if subject.Team != "" {
		return h.quotas.usage(subject.Team)
	}
	s := h.serviceNamed(subject.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := tackshare.Usage{Waiting: s.gate.Waiting(), Admitted: s.gate.Running(), InUse: s.chooser.InUse()}
	for _, used := range usage.InUse {
		usage.Admitted -= used.Slots
	}
	usage.Admitted = max(usage.Admitted, 0)
	return usage
}

// setTable sets the quotas from a table. If a team's quota is divided among
// the entry VMs, its share remains in effect.
func (q *quotas) setTable(table *tackroute.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table == table {
		return
	}
	q.table = table
	q.update()
}

// setShare sets the share of a team's quota that this entry VM may use.
func (q *quotas) setShare(team tackid.Team, bound int, shares []tackroute.Share) {
	slots := 0
	for _, share := range shares {
		slots += share.Slots
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shares == nil {
		q.shares = make(map[tackid.Team]int)
	}
	q.shares[team] = min(bound, slots)
	q.update()
}

// update recomputes the limits. A quota of zero slots means no limit, whereas
// with a share of zero no request starts. The caller must hold q.mu.
func (q *quotas) update() {
	if q.table == nil {
		return
	}
	bounds := maps.Clone(q.table.Quotas)
	maps.DeleteFunc(bounds, func(_ tackid.Team, slots int) bool { return slots == 0 })
	for team := range bounds {
		if share, ok := q.shares[team]; ok {
			bounds[team] = share
		}
	}
	q.Set(bounds)
}

func (q *quotas) usage(team tackid.Team) tackshare.Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	usage := tackshare.Usage{Waiting: q.waiting[team]}
	if held := q.Held(team); held > 0 {
		usage.InUse = []tackroute.Share{{Slots: held}}
	}
	return usage
}

// addWaiting adds n, which may be negative, to the number of waiting requests
// of a team.
func (q *quotas) addWaiting(team tackid.Team, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[tackid.Team]int)
	}
	q.waiting[team] += n
	if q.waiting[team] == 0 {
		delete(q.waiting, team)
	}
}
