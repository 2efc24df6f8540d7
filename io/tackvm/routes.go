package tackvm

import (
	"context"
	"errors"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackmember"
	"auburntack/core/tackroute"
	"auburntack/io/tackoperator"
)

// syncRoutesTimeout is shorter than the time for which the sender of an announcement
// waits, and a small part of the seconds within which nothing new may be sent to it.
const syncRoutesTimeout = 500 * time.Millisecond

// routeInputs identifies what the published routes were built from, so that they are
// rebuilt only when something has changed.
type routeInputs struct {
	fleet     tackid.Revision
	directory uint64
	leased    bool
	valid     bool
}

// publishRoutes builds the table by which callers' requests are routed. It runs before
// the log is notified that an entry was applied: once this VM reports a revision, it routes
// no request by an older one.
func (v *VM) publishRoutes(now tackclock.Time) {
	leased := v.node.Leased(now)
	v.directoryMu.Lock()
	version := v.directory.Version()
	v.directoryMu.Unlock()
	next := routeInputs{
		fleet:     v.fleetRevision,
		directory: version,
		leased:    leased,
		valid:     true,
	}
	if v.publishedInputs == next {
		return
	}
	if v.publishedInputs.valid && v.publishedInputs.leased != leased {
		v.log.WithField("leased", leased).Info("lease changed")
	}
	v.publishedInputs = next
	v.routes.Store(v.buildRoutes(leased))
	if v.sharer.Consumer != nil {
		v.sharer.SetTable(now, v.routes.Load())
	}
}

func (v *VM) buildRoutes(leased bool) *tackroute.Table {
	v.directoryMu.Lock()
	servers := v.directory.BackendServers()
	v.directoryMu.Unlock()
	v.mu.RLock()
	defer v.mu.RUnlock()
	table := &tackroute.Table{
		Revision: v.applied.Index,
		Services: make(map[tackid.Service][]tackroute.Candidate),
		Quotas:   make(map[tackid.Team]int),
		Peers:    len(v.cfg.Peers) + 1,
		HomeOnly: !leased,
	}
	for _, s := range v.state.Fleet.Services() {
		table.Services[s.ID] = nil
	}
	for _, q := range v.state.Fleet.Quotas() {
		table.Quotas[q.Team] = q.Slots
	}
	v.refreshMeter()
	for i := range servers {
		if servers[i].Health == tackfleet.HealthServing {
			v.addCandidate(table, &servers[i])
		}
	}
	v.addFallbackCandidates(table, servers)
	return table
}

// addFallbackCandidates adds backend servers of unreachable peers to the services that
// have no other candidates. Such a peer may be down while its backend servers are
// healthy; without them every request would be refused until they have announced
// themselves to another peer.
func (v *VM) addFallbackCandidates(table *tackroute.Table, servers []tackmember.BackendServerRecord) {
	none := make(map[tackid.Service]bool)
	for service, candidates := range table.Services {
		none[service] = len(candidates) == 0
	}
	for i := range servers {
		if servers[i].Health == tackfleet.HealthUnknown && none[servers[i].Service] {
			v.addCandidate(table, &servers[i])
		}
	}
}

// addCandidate adds the backend server to its service if it is serving on a VM of the
// pool in which the service is placed. A VM that moved to another pool keeps its backend
// servers for a while; nothing may be sent to them.
func (v *VM) addCandidate(table *tackroute.Table, b *tackmember.BackendServerRecord) {
	if b.State != tackmember.StateServing {
		return
	}
	service, ok := v.state.Fleet.Service(b.Service)
	if !ok {
		return
	}
	vm, ok := v.state.Fleet.VM(b.VM)
	if !ok || vm.Pool != service.Pool || !vm.Routable() {
		return
	}
	if table.HomeOnly && b.DataCentre != v.cfg.VM.DataCentre {
		return
	}
	table.Services[b.Service] = append(table.Services[b.Service], tackroute.Candidate{
		BackendServer: b.ID,
		VM:            b.VM,
		DataCentre:    b.DataCentre,
		Rack:          b.Rack,
		Address:       b.Address,
		Slots:         b.Slots,
		Connections:   b.Connections,
		Incarnation:   b.Incarnation,
	})
}

func (v *VM) tickDirectory(now tackclock.Time) {
	v.directoryMu.Lock()
	out := v.directory.Tick(now)
	v.directoryMu.Unlock()
	v.sendMember(out)
}

func (v *VM) onMember(from tackid.Peer, body []byte) {
	var m tackmember.Message
	if !v.decode(from, body, &m) {
		return
	}
	v.directoryMu.Lock()
	out := v.directory.Receive(v.clock.Now(), from, m)
	v.directoryMu.Unlock()
	v.sendMember(out)
	v.wake()
}

func (v *VM) sendMember(out []tackmember.Outgoing) {
	for _, o := range out {
		v.send(o.To, kindMember, o.Message)
	}
}

// Announce processes an announcement of a backend server or worker.
func (v *VM) Announce(a tackmember.Announcement) (tackmember.Reply, error) {
	v.directoryMu.Lock()
	reply, err := v.directory.Announce(v.clock.Now(), a)
	v.directoryMu.Unlock()
	if b := a.BackendServer; b != nil && b.State == tackmember.StateLeaving {
		v.syncRoutes()
	} else {
		v.wake()
	}
	var full *tackmember.FullError
	if errors.As(err, &full) {
		return reply, &tackoperator.NotRunError{Reason: err.Error(), RetryAfter: tackclock.Minute}
	}
	return reply, err
}

// Withdraw ends an incarnation of a backend server.
func (v *VM) Withdraw(b tackid.BackendServer, n tackid.Incarnation) bool {
	v.directoryMu.Lock()
	ok := v.directory.Withdraw(v.clock.Now(), b, n)
	v.directoryMu.Unlock()
	v.syncRoutes()
	return ok
}

// syncRoutes publishes routes without a leaving backend server, and tells the other
// peers, before its announcement is answered. Otherwise, if the loop is slow, a request
// right after the answer could still be sent to that backend server. If the loop is
// stalled, syncRoutes gives up after syncRoutesTimeout.
func (v *VM) syncRoutes() {
	ctx, cancel := context.WithTimeout(context.Background(), syncRoutesTimeout)
	defer cancel()
	done := make(chan struct{})
	v.loop.Post(ctx, func() {
		now := v.clock.Now()
		v.tickDirectory(now)
		v.publishRoutes(now)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
		v.log.WithField("limit_ms", syncRoutesTimeout.Milliseconds()).Warn("announcement answered before the routes were updated")
	case <-v.loop.Ended():
	}
}

// wake makes the loop process a change at once and send the directory's messages.
func (v *VM) wake() {
	v.loop.Post(context.Background(), func() { v.tickDirectory(v.clock.Now()) })
}
