// Package tackcontrol implements a control VM. It maintains the replicated log together with
// its peers. While it is the leader it accepts jobs and catalogs, answers workers' heartbeats
// with orders, and carries out upkeep waves.
package tackcontrol

import (
	"cmp"
	"math/rand/v2"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackadmit"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackpool"
	"auburntack/core/tackquota"
	"auburntack/core/tackrelay"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
	"auburntack/io/tackdisk"
	"auburntack/io/tackloop"
	"auburntack/io/tackpeer"
	"auburntack/io/tackport"
)

const (
	kindReplica tackpeer.Kind = "replica"
	// While there is no leader no job is accepted and no item starts, so a failed leader must
	// be replaced within about a second. The timeouts tolerate a disk whose syncs take 25
	// times the usual 6 ms, and a machine that is six times slower.
	logHeartbeat = 120 * tackclock.Millisecond
	logLease     = 600 * tackclock.Millisecond
	logElection  = 700 * tackclock.Millisecond
	// eventQueue is the capacity of the event loop's queue.
	eventQueue = 4096
	// maxBackoff bounds the delay between two attempts to connect to a peer. With half a
	// second a peer that has restarted is reached within the duration of a lease.
	maxBackoff = 500 * tackclock.Millisecond
)

type (
	// Config configures a control VM. Peers are identified by their IP addresses, since a
	// process is given no other information about them.
	Config struct {
		Self       tackid.Peer
		DataCentre tackid.DataCentre
		// LinksPort bounds the connections that others make to the links; nil means that there
		// are no bounds.
		LinksPort *tackport.Port
		// LinkPort is the port of the links between control VMs, ForwardPort that of the calls
		// from entry VMs. They are the same on all control VMs.
		LinkPort    int
		ForwardPort int
		// Seeds returns the control VMs that existed when the settings were written. With
		// Bootstrap they are those of the initial start of the system.
		Seeds     func() []tackid.Peer
		Bootstrap bool
		// Voters is the wanted number of voting control VMs.
		Voters int
		Folder string
		// Upkeep is how long the VM of a worker is down for its upkeep. Handover is how long
		// a new leader waits before it gives orders for a VM for which the previous leader
		// may have given some.
		Handover tackclock.Duration
		// ClosedRetention is how long a closed job can still be looked up.
		ClosedRetention tackclock.Duration
		// CallsPerSecond is the rate of orders that the platform accepts for the VMs of all
		// pools together; zero means no limit.
		CallsPerSecond float64
		// RelayThreshold is the number of workers at and above which they report to control
		// VMs other than the leader; zero means 1000.
		RelayThreshold int
		// Files is the file system of the data folder; nil means that of the operating
		// system.
		Files    tackdisk.Files
		Dispatch tackdispatch.Config
		Moves    tackpool.Planner
		// JointWithin is the longest objective of a queue that calls for joint planning;
		// zero means that any does.
		JointWithin tackclock.Duration
		Cloud       Cloud
		// Advisor may be nil.
		Advisor Advisor

		Clock    *tackclock.Clock
		Logger   logrus.FieldLogger
		Registry metrics.Registry
	}

	// Control is one control VM.
	Control struct {
		cfg    Config
		clock  *tackclock.Clock
		log    logrus.FieldLogger
		meters *meters
		links  *tackpeer.Links
		disk   *tackdisk.Disk

		// loop runs on the only goroutine that accesses node, waiters and members.
		loop       *tackloop.Loop
		node       *tackreplica.Node
		waiters    map[tackid.Revision]waiter
		snapshotAt tackid.Revision
		members    members
		redundancy redundancy
		// tickedAt is the time of the last tick, and leaseOutSince is when the leader lease
		// ran out, or zero if it holds or this VM does not lead.
		tickedAt, leaseOutSince tackclock.Time
		// reopenAt is when to reopen the data folder after a failure; zero if it has not
		// failed.
		reopenAt tackclock.Time

		submissions submissions

		status atomic.Pointer[tackreplica.Status]
		// learnedOf contains the VMs in members.known, for other goroutines.
		learnedOf atomic.Pointer[[]tackid.Peer]
		// unanswered counts the heartbeats that came while the leader lease was out, and
		// renewal notifies those that wait for it.
		unanswered atomic.Int64
		renewal    renewal
		// answeredAt is when a heartbeat was last answered; zero if none was.
		answeredAt atomic.Int64
		// moveSlots limits the number of concurrent move calls to the platform.
		moveSlots chan struct{}

		// mu guards the fields below, up to relay. Only the loop writes state.
		mu           tackloop.Mutex
		state        tackwork.State
		dispatch     *tackdispatch.Dispatcher
		dispatchTerm tackreplica.Term // the term for which dispatch was reset, 0 if none
		ends         []workerEnd
		findings     tackjob.Findings    // queued for the log, like ends
		grants       []tackquota.Grant   // queued for the log, like ends
		promises     []tackadmit.Promise // queued for the log, like ends
		upkeep       upkeep
		orders       orders
		// roster contains the relays that forward reports to this VM while it is the leader.
		roster tackrelay.Roster

		// relay is used while this VM is not the leader.
		relay relay
	}

	// StoppedError reports why a control VM cannot continue.
	StoppedError struct {
		What string
		Err  error
	}
)

// Error implements error.
func (e *StoppedError) Error() string {
	return e.What + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error {
	return e.Err
}

// New opens the data folder and creates a control VM. Nothing runs until Serve is called.
func New(cfg Config) (*Control, error) {
	c := &Control{
		cfg: cfg, clock: cfg.Clock, log: cfg.Logger, meters: newMeters(cfg.Registry),
		loop:      tackloop.New(eventQueue),
		mu:        tackloop.Mutex{Log: cfg.Logger},
		relay:     relay{mu: tackloop.Mutex{Log: cfg.Logger}, outbox: tackrelay.Outbox{Last: uint64(rand.Uint32())}},
		renewal:   renewal{mu: tackloop.Mutex{Log: cfg.Logger}},
		waiters:   make(map[tackid.Revision]waiter),
		dispatch:  tackdispatch.New(cfg.Dispatch),
		moveSlots: make(chan struct{}, maxMovesInFlight),
	}
	c.cfg.RelayThreshold = cmp.Or(cfg.RelayThreshold, defaultRelayThreshold)
	c.state.ClosedRetention = cfg.ClosedRetention
	c.orders.perSecond = cfg.CallsPerSecond
	stored, err := c.openDisk()
	if err != nil {
		return nil, &StoppedError{What: "open the data folder", Err: err}
	}
	if err := c.restore(stored); err != nil {
		return nil, err
	}
	c.links = tackpeer.New(tackpeer.Config{
		Self: cfg.Self, Listen: c.linkAddress(cfg.Self), Clock: cfg.Clock, Logger: cfg.Logger, Registry: cfg.Registry,
		MaxBackoff: maxBackoff, OnUnknown: c.onUnknownPeer, Port: cfg.LinksPort,
	})
	c.links.Handle(kindReplica, c.onReplica)
	c.links.Handle(kindReports, c.onReports)
	c.links.Handle(kindAnswers, c.onAnswers)
	c.relink()
	return c, nil
}

func (c *Control) restore(stored tackreplica.Stored) error {
	if len(stored.Snapshot.Data) > 0 {
		if err := c.state.Restore(stored.Snapshot.Data); err != nil {
			return &StoppedError{What: "read the snapshot", Err: err}
		}
		c.snapshotAt = stored.Snapshot.Index
	}
	c.orders.reset(c.clock.Now())
	c.node = tackreplica.New(tackreplica.Config{
		Self: c.cfg.Self, Members: c.initialMembers(), Seed: rand.Uint64(),
		Heartbeat: logHeartbeat, Lease: logLease, Election: logElection, LearnerInterval: logHeartbeat,
	}, stored, c.clock.Now())
	c.refreshStatus(c.clock.Now())
	return nil
}

// initialMembers returns the voters of the initial start. At any later start a VM with an
// empty folder counts only the others: it has forgotten whom it voted for, so it must wait
// until a leader adds it as a member again.
func (c *Control) initialMembers() []tackreplica.Member {
	var list []tackreplica.Member
	for _, p := range c.cfg.Seeds() {
		if len(list) == c.cfg.Voters {
			break
		}
		if p == c.cfg.Self && !c.cfg.Bootstrap {
			continue
		}
		list = append(list, tackreplica.Member{Peer: p, Voter: true, Address: c.linkAddress(p)})
	}
	return list
}

// leads reports whether this VM may act as the leader at now, and in which term.
func (c *Control) leads(now tackclock.Time) (tackreplica.Term, bool) {
	s := c.status.Load()
	return s.Term, s.LeaderLease && now < s.LeaderLeaseUntil
}

// Leader returns the leader that this VM knows of; empty if it knows none.
func (c *Control) Leader() tackid.Peer {
	return c.status.Load().Leader
}
