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

// quotas bounds the teams over all services of this entry VM.
type quotas struct {
	tacklimit.Quotas

	mu      sync.Mutex
	table   *tackroute.Table    // that bounds follow
	shares  map[tackid.Team]int // granted by a Sharer
	waiting map[tackid.Team]int // requests that wait in a queue
}

var _ tackshare.Consumer = (*Handler)(nil)

// SetShares implements tackshare.User.
func (h *Handler) SetShares(now tackclock.Time, group tackshare.Group, bound int, shares []tackroute.Share) {
	if group.Team != "" {
		h.quotas.share(group.Team, bound, shares)
		return
	}
	s := h.serviceNamed(group.Service)
	s.mu.Lock()
	s.chooser.SetShares(group.DataCentre, bound, shares)
	s.mu.Unlock()
	s.tick(now)
}

// Usage implements tackshare.User.
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

// follow takes over the bounds of a table. A team whose quota is shared among
// the entry VMs keeps its share.
func (q *quotas) follow(table *tackroute.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table == table {
		return
	}
	q.table = table
	q.set()
}

// share sets the part of a team's quota that this entry VM may fill.
func (q *quotas) share(team tackid.Team, bound int, shares []tackroute.Share) {
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
	q.set()
}

// set works the bounds out. A quota of zero slots is none, whereas a share of
// zero lets nothing start. The caller holds q.mu.
func (q *quotas) set() {
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

// wait counts requests of a team that began to wait, or ended if n is below
// zero.
func (q *quotas) wait(team tackid.Team, n int) {
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
