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

// takeOutLimit is within the time for which whoever announces itself waits, and a
// small part of the seconds within which nothing new may be sent to it.
const takeOutLimit = 500 * time.Millisecond

// routeInputs tells what the published routes were made from, so that they
// are made anew only when something changed.
type routeInputs struct {
	fleet     tackid.Revision
	directory uint64
	leased    bool
	made      bool
}

// publishRoutes makes the table that callers' requests are routed by. It runs
// before the log is told that an entry was applied: once this VM reports a
// revision, no request it routes goes by an older one.
func (v *VM) publishRoutes(now tackclock.Time) {
	leased := v.node.Leased(now)
	v.directoryMu.Lock()
	version := v.directory.Version()
	v.directoryMu.Unlock()
	next := routeInputs{
		fleet:     v.fleetAt,
		directory: version,
		leased:    leased,
		made:      true,
	}
	if v.routedBy == next {
		return
	}
	if v.routedBy.made && v.routedBy.leased != leased {
		v.log.WithField("leased", leased).Info("lease changed")
	}
	v.routedBy = next
	v.routes.Store(v.makeRoutes(leased))
	if v.sharer.Consumer != nil {
		v.sharer.SetTable(now, v.routes.Load())
	}
}

func (v *VM) makeRoutes(leased bool) *tackroute.Table {
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
	v.addUnheard(table, servers)
	return table
}

// addUnheard gives the services that would have none the backend servers whose
// peer cannot be heard. Such a peer may be dead and its backend servers well:
// without them every request would be refused until they have announced
// themselves to another peer.
func (v *VM) addUnheard(table *tackroute.Table, servers []tackmember.BackendServerRecord) {
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

// addCandidate adds the backend server to its service if it serves on a VM of
// the pool that the service is placed on. A VM that moved away keeps its
// backend servers for a while; nothing may be sent to them.
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

// Announce takes an announcement of a backend server or worker.
func (v *VM) Announce(a tackmember.Announcement) (tackmember.Reply, error) {
	v.directoryMu.Lock()
	reply, err := v.directory.Announce(v.clock.Now(), a)
	v.directoryMu.Unlock()
	if b := a.BackendServer; b != nil && b.State == tackmember.StateLeaving {
		v.takeOut()
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
	v.takeOut()
	return ok
}

// takeOut has what leaves taken out of the routes before its announcement is
// answered, and the others told. A request that came right after the answer would
// else still be sent to it, when the loop is slow. One that is stalled holds the
// answer no longer than takeOutLimit.
func (v *VM) takeOut() {
	ctx, cancel := context.WithTimeout(context.Background(), takeOutLimit)
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
		v.log.WithField("limit_ms", takeOutLimit.Milliseconds()).Warn("announcement answered before the routes follow it")
	case <-v.loop.Ended():
	}
}

// wake has the loop look at once at what changed, and send what the
// directory has to say.
func (v *VM) wake() {
	v.loop.Post(context.Background(), func() { v.tickDirectory(v.clock.Now()) })
}
