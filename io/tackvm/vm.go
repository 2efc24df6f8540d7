// Package tackvm runs one VM of the system. A VM owns the replicated log and the state
// machine that applies it, connects them to the disk, to the other peers, to the ports
// for callers and operators and to the platform, and shuts them down in order.
package tackvm

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackmember"
	"auburntack/core/tackreplica"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
	"auburntack/core/tackstate"
	"auburntack/core/tackwave"
	"auburntack/io/tackdisk"
	"auburntack/io/tackhttp"
	"auburntack/io/tackloop"
	"auburntack/io/tackpeer"
	"auburntack/io/tackplatform"
	"auburntack/io/tackport"
	"auburntack/io/tacksettings"
	"auburntack/io/tackwait"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// eventQueueSize is how many events may be queued for the loop. If the queue is
	// full, senders block.
	eventQueueSize = 1024
	// snapshotInterval is the number of entries applied between two snapshots.
	snapshotInterval = 1000
	// operatorPercent and peerPercent are the parts of the process's budget for clients that are
	// kept for the operators' port and for the links.
	operatorPercent = 20
	peerPercent     = 10
)

type (
	// VM is one VM of the system. It is created by New and started by Run.
	VM struct {
		cfg      tacksettings.Settings
		clock    *tackclock.Clock
		log      *logrus.Entry
		registry metrics.Registry
		gauges   gauges

		links    *tackpeer.Links
		disk     *tackdisk.Disk
		platform *tackplatform.Client
		caller   *tackhttp.Handler

		ports        *tackport.Ports
		operatorPort *tackport.Port

		// loop runs events one at a time. Only the loop accesses node.
		loop         *tackloop.Loop
		node         *tackreplica.Node
		failed       atomic.Pointer[StoppedError]
		failedSignal chan struct{} // closed once failed is set

		// mu guards state and applied. Only the loop writes them.
		mu      tackloop.Mutex
		state   tackstate.State
		applied tackreplica.Entry

		directoryMu sync.Mutex
		directory   tackmember.Directory

		routes     atomic.Pointer[tackroute.Table]
		status     atomic.Pointer[tackreplica.Status]
		ready      atomic.Bool // reported to the load balancer
		serving    atomic.Bool // for callers: ready, or lingering during a graceful stop
		meter      meter
		reconciler reconciler

		// proposals and confirms are the requests that callers on this VM wait for.
		// pendingConfirms are the ones that this VM, as the leader, has yet to answer.
		proposals       tackwait.Callers[proposalResult]
		confirms        tackwait.Callers[confirmed]
		pendingConfirms []pendingConfirm

		sharer        tackshare.Sharer
		lastShareTick tackclock.Time

		snapshotIndex tackid.Revision
		// fleetRevision is the latest revision that changed the fleet. publishedInputs
		// is what the published routes were built from.
		fleetRevision   tackid.Revision
		publishedInputs routeInputs
	}

	// StoppedError reports that the VM cannot continue, and what to do about it.
	StoppedError struct {
		What   string
		Advice string
		Err    error
	}
)

// Error implements error.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("%s: %v; %s", e.What, e.Err, e.Advice)
}

// Unwrap returns the underlying error.
func (e *StoppedError) Unwrap() error {
	return e.Err
}

// New returns a VM with the given settings and reads its data folder. It starts nothing
// and opens no port; Run does.
func New(cfg tacksettings.Settings, clock *tackclock.Clock, logger *logrus.Logger) (*VM, error) {
	v := &VM{
		cfg:          cfg,
		clock:        clock,
		log:          logger.WithField("vm", string(cfg.VM.ID)),
		registry:     metrics.NewRegistry(),
		loop:         tackloop.New(eventQueueSize),
		failedSignal: make(chan struct{}),
	}
	v.mu.Log = v.log
	v.gauges = newGauges(v.registry)
	v.meter.clock = clock
	stored, err := v.openDisk(logger)
	if err != nil {
		return nil, err
	}
	if err := v.restore(stored); err != nil {
		return nil, err
	}
	v.openPorts(logger)
	v.connect(logger)
	v.reconciler.planner = &tackwave.Planner{}
	v.publishRoutes(clock.Now())
	v.caller = v.newCaller(logger)
	v.startSharing(clock.Now(), v.configuredMembers())
	return v, nil
}

// Registry returns the registry of the VM's metrics.
func (v *VM) Registry() metrics.Registry {
	return v.registry
}

func (v *VM) openDisk(logger *logrus.Logger) (tackreplica.Stored, error) {
	if v.cfg.State.Folder == "" {
		return tackreplica.Stored{}, nil
	}
	disk, stored, err := tackdisk.Open(v.cfg.State.Folder, tackdisk.Options{Peer: v.cfg.VM.ID, Logger: logger})
	if err != nil {
		return stored, &StoppedError{
			What:   "open the data folder " + v.cfg.State.Folder,
			Advice: "see the disks page of the operators' manual",
			Err:    err,
		}
	}
	v.disk = disk
	return stored, nil
}

// restore rebuilds the state from what was read from the disk. The loop applies the
// entries after the snapshot again once the log reports them committed.
func (v *VM) restore(stored tackreplica.Stored) error {
	if len(stored.Snapshot.Data) > 0 {
		if err := v.state.Restore(stored.Snapshot.Data); err != nil {
			return &StoppedError{
				What:   "read the snapshot",
				Advice: "start with an empty data folder, the other replicas bring it up to date",
				Err:    err,
			}
		}
		v.applied = tackreplica.Entry{
			Index: stored.Snapshot.Index,
			Term:  stored.Snapshot.Term,
			Time:  stored.Snapshot.Time,
		}
		v.snapshotIndex = stored.Snapshot.Index
	}
	v.node = tackreplica.New(tackreplica.Config{
		Self:      v.cfg.VM.ID,
		Members:   v.configuredMembers(),
		Heartbeat: v.cfg.Replica.Heartbeat,
		Election:  v.cfg.Replica.Election,
		Lease:     v.cfg.Replica.Lease,
		Seed:      rand.Uint64(),
	}, stored, v.clock.Now())
	v.refreshStatus(v.clock.Now())
	return nil
}

// configuredMembers returns the members listed in the settings, without addresses.
// Addresses belong to each VM's own settings; the log holds one only for a member that
// was added later. If the log held them all, every VM would use the addresses in the
// settings of the first leader.
func (v *VM) configuredMembers() []tackreplica.Member {
	members := []tackreplica.Member{{
		Peer:       v.cfg.VM.ID,
		DataCentre: v.cfg.VM.DataCentre,
		Voter:      v.cfg.State.Replica,
	}}
	for _, p := range v.cfg.Peers {
		members = append(members, tackreplica.Member{
			Peer:       p.ID,
			DataCentre: p.DataCentre,
			Voter:      p.Replica,
		})
	}
	return members
}

// openPorts creates the budget that the clients of all ports share.
func (v *VM) openPorts(logger *logrus.Logger) {
	v.ports = tackport.New(tackport.Config{
		Limits: tackport.LimitsOf(&v.cfg.Clients), Machine: tackport.ThisMachine(), Clock: v.clock, Logger: logger, Registry: v.registry,
	})
	v.operatorPort = v.ports.Port("operator", tackport.Share{Percent: operatorPercent})
}

func (v *VM) connect(logger *logrus.Logger) {
	v.links = tackpeer.New(tackpeer.Config{
		Self:     v.cfg.VM.ID,
		Listen:   v.cfg.Listen.Peer,
		Peers:    v.linkPeers(v.configuredMembers()),
		Clock:    v.clock,
		Logger:   logger,
		Registry: v.registry,
		Port:     v.ports.Port("peer", tackport.Share{Percent: peerPercent}),
	})
	v.links.Handle(kindReplica, v.onReplica)
	v.links.Handle(kindMember, v.onMember)
	v.links.Handle(kindForward, v.onForward)
	v.links.Handle(kindReject, v.onReject)
	v.links.Handle(kindConfirm, v.onConfirm)
	v.links.Handle(kindConfirmed, v.onConfirmed)
	v.links.Handle(kindReport, v.onReport)
	v.links.Handle(kindShare, v.onShare)
	v.directory.Configure(v.cfg.VM.ID, v.cfg.VM.DataCentre)
	v.directory.SetPeers(peerIDs(v.configuredMembers(), v.cfg.VM.ID))
	if v.cfg.Platform.Address != "" {
		v.platform = &tackplatform.Client{Address: v.cfg.Platform.Address}
	}
}

// linkPeers returns the other members with their addresses. The address of a member that
// was added later comes from the log, that of the others from the settings.
func (v *VM) linkPeers(members []tackreplica.Member) []tackpeer.Peer {
	configured := make(map[tackid.Peer]string)
	for _, p := range v.cfg.Peers {
		configured[p.ID] = p.Address
	}
	var peers []tackpeer.Peer
	for _, m := range members {
		if m.Peer == v.cfg.VM.ID {
			continue
		}
		address := cmp.Or(m.Address, configured[m.Peer])
		peers = append(peers, tackpeer.Peer{ID: m.Peer, DataCentre: m.DataCentre, Address: address})
	}
	return peers
}

func peerIDs(members []tackreplica.Member, self tackid.Peer) []tackid.Peer {
	var ids []tackid.Peer
	for _, m := range members {
		if m.Peer != self {
			ids = append(ids, m.Peer)
		}
	}
	return ids
}
